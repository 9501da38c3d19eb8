/*!
An entry instance as a process: settings in, listeners and clients around an
[`Entry`](crate::entry::Entry).
*/

mod error;
mod life;
mod stops;

pub use error::{Error, Step};
pub use life::{Draining, Life, Serving, Starting, Stopped};
pub use stops::Stops;

use std::{net::SocketAddr, rc::Rc};

use bluebellpath_runtime::{Scope, clock, runtime};
use monoio::net::TcpListener;
use rand::RngExt;
use slog::Logger;

use crate::{
    caller::Api,
    config::{LocalConfig, Timing},
    entry::{Config, Dependencies, Entry},
    http::{Budget, Client, ClientConfig, Server},
    job::Incarnation,
    log,
    peer::{self, Key, Link, Net, Offline},
    platform,
    settings::Settings,
    target,
};

/// Runs an entry instance until it is told to stop by a signal.
pub async fn run(settings: Settings) -> Result<Life<Stopped>, Error> {
    let listener = Server::listen(settings.listen).map_err(|error| Error {
        step: Step::Listen,
        peer: settings.listen,
        detail: error.to_string(),
    })?;
    let stops = Stops::signals().map_err(|error| Error {
        step: Step::Signals,
        peer: settings.listen,
        detail: error.to_string(),
    })?;
    serve_until(listener, &settings, stops).await
}

/// Runs an entry instance on a listener that is already bound, for ever.
pub async fn serve(listener: TcpListener, settings: &Settings) -> Result<(), Error> {
    let instance = Instance::start(listener, settings)?;
    let _life = instance.life.ready().await;
    std::future::pending().await
}

/// Runs an entry instance on a listener that is already bound until `stops`
/// asks for a stop.
pub async fn serve_until(
    listener: TcpListener,
    settings: &Settings,
    mut stops: Stops,
) -> Result<Life<Stopped>, Error> {
    let instance = Instance::start(listener, settings)?;
    let serving = instance.life.ready().await;
    let draining = serving.until(&mut stops).await;
    let stopped = draining.finish(&mut stops).await;
    instance.scope.kill();
    // Killed tasks go at their next turn, and with them their descriptors.
    runtime::yield_now().await;
    Ok(stopped)
}

/// Entry instance with its tasks and its life.
struct Instance {
    scope: Scope,
    life: Life<Starting>,
}

impl Instance {
    fn start(listener: TcpListener, settings: &Settings) -> Result<Instance, Error> {
        let incarnation = Incarnation::new(clock::wall(), rand::rng().random());
        let log = log::json(
            std::io::stderr(),
            &settings.name,
            incarnation,
            settings.log_level,
            log::PER_SECOND,
        );
        let (env, config) = parts(settings, incarnation, &log)?;
        let budget = env.callers.clone();
        let entry = Entry::new(config, env);
        let api = Rc::new(Api::new(entry.clone()));
        let server = Server::with_budget(listener, api, settings.http, budget);
        let life = Life::new(entry.clone(), server.closer(), settings.drain, log);
        let scope = Scope::new();
        drop(scope.spawn(async move {
            entry.start();
            server.run().await;
        }));
        Ok(Instance { scope, life })
    }
}

fn parts(
    settings: &Settings,
    incarnation: Incarnation,
    log: &Logger,
) -> Result<(Dependencies, Config), Error> {
    let client = Client::new(ClientConfig::default());
    let platform = Rc::new(platform::http::Http::new(
        client.clone(),
        settings.platform,
        settings.platform_timeout,
    ));
    let (link, membership, address) = peers(settings)?;
    let env = Dependencies {
        table: platform.clone(),
        object_store: platform.clone(),
        instance_list: platform,
        target_client: Rc::new(target::Http::new(client)),
        link,
        config: Rc::new(LocalConfig::empty(Timing::default())),
        callers: Budget::new(settings.capacity, log.clone()),
        log: log.clone(),
    };
    let config = Config {
        domain: settings
            .local_domain()
            .unwrap_or(crate::settings::Domain::new(0)),
        domain_count: settings.domains.len() as u16,
        max_jobs: settings.max_jobs,
        membership,
        ..Config::new(&settings.name, incarnation, address)
    };
    Ok((env, config))
}

/// Way to other instances, timing of heartbeats and address for peers.
fn peers(settings: &Settings) -> Result<(Rc<dyn Link>, peer::Config, SocketAddr), Error> {
    let Some(peers) = &settings.peers else {
        return Ok((Rc::new(Offline), peer::Config::default(), settings.listen));
    };
    let secret = peers.key.read().map_err(|error| Error {
        step: Step::Key,
        peer: peers.listen,
        detail: error.to_string(),
    })?;
    let key = Key::new(&secret);
    let net = Net::bind(peers.listen, key, peer::net::Config::default());
    let net = net.map_err(|error| Error {
        step: Step::Listen,
        peer: peers.listen,
        detail: error.to_string(),
    })?;
    let membership = peer::Config {
        key,
        ..peer::Config::default()
    };
    Ok((Rc::new(net), membership, peers.listen))
}
