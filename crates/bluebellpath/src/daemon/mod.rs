/*!
An entry instance as a process: settings in, listeners and clients around an
[`Entry`](crate::entry::Entry).
*/

mod error;

pub use error::{Error, Step};

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath_runtime::{Scope, clock};
use monoio::net::TcpListener;
use rand::RngExt;
use slog::info;

use crate::{
    caller::Api,
    config::{Current, Timing},
    entry::{Config, Entry, Env},
    http::{Client, ClientConfig, Limits, Server},
    job::Incarnation,
    log,
    peer::{self, Key, Link, Net, Offline},
    platform,
    settings::Settings,
    target,
};

/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an entry instance until its listener closes.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let listener = TcpListener::bind(settings.listen).map_err(|error| Error {
        step: Step::Listen,
        peer: settings.listen,
        detail: error.to_string(),
    })?;
    serve(listener, &settings).await
}

/// Runs an entry instance on a listener that is already bound.
pub async fn serve(listener: TcpListener, settings: &Settings) -> Result<(), Error> {
    let incarnation = Incarnation::new(clock::wall(), rand::rng().random());
    let log = log::json(std::io::stderr(), &settings.name, incarnation);
    let client = Client::new(ClientConfig::default());
    let platform = Rc::new(platform::http::Http::new(
        client.clone(),
        settings.platform,
        PLATFORM_TIMEOUT,
    ));
    let (link, membership, address) = peers(settings)?;
    let env = Env {
        table: platform.clone(),
        objects: platform.clone(),
        instances: platform,
        targets: Rc::new(target::Http::new(client)),
        link,
        config: Rc::new(Current::starting(Timing::default())),
        log: log.clone(),
    };
    let config = Config {
        domain: settings.home().unwrap_or(crate::settings::Domain::new(0)),
        domains: settings.domains.len() as u16,
        membership,
        ..Config::new(&settings.name, incarnation, address)
    };
    let entry = Entry::new(config, env);
    let scope = Scope::new();
    let serving = {
        let entry = entry.clone();
        scope.spawn(async move {
            entry.start();
            let api = Rc::new(Api::new(entry));
            Server::new(listener, api, Limits::default()).run().await;
        })
    };
    info!(log, "serving"; "address" => %settings.listen, "domain" => &settings.domain);
    serving.await;
    Ok(())
}

/// Way to other instances, timing of heartbeats and address for peers.
fn peers(settings: &Settings) -> Result<(Rc<dyn Link>, peer::Config, SocketAddr), Error> {
    let Some(peers) = &settings.peers else {
        return Ok((Rc::new(Offline), peer::Config::default(), settings.listen));
    };
    let key = Key::new(&peers.key);
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
