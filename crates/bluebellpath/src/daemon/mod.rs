/*!
An entry instance as a process: settings in, listeners and clients around an
[`Entry`](crate::entry::Entry).
*/

mod error;

pub use error::{Error, Step};

use std::{rc::Rc, time::Duration};

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
    peer::Offline,
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
    serve(listener, &settings).await;
    Ok(())
}

/// Runs an entry instance on a listener that is already bound.
pub async fn serve(listener: TcpListener, settings: &Settings) {
    let incarnation = Incarnation::new(clock::wall(), rand::rng().random());
    let log = log::json(std::io::stderr(), &settings.name, incarnation);
    let client = Client::new(ClientConfig::default());
    let platform = Rc::new(platform::http::Http::new(
        client.clone(),
        settings.platform,
        PLATFORM_TIMEOUT,
    ));
    let env = Env {
        table: platform.clone(),
        objects: platform.clone(),
        instances: platform,
        targets: Rc::new(target::Http::new(client)),
        link: Rc::new(Offline),
        config: Rc::new(Current::starting(Timing::default())),
        log: log.clone(),
    };
    let config = Config {
        domain: settings.home().unwrap_or(crate::settings::Domain::new(0)),
        domains: settings.domains.len() as u16,
        ..Config::new(&settings.name, incarnation, settings.listen)
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
}
