//! Stand-ins as separate processes, for trying out the daemon.

use std::{net::SocketAddr, process::ExitCode, rc::Rc, time::Duration};

use bluebellpath::{
    http::{Limits, Server, Service},
    platform::{Instance, Role, State},
    settings::Domain,
};
use bluebellpath_runtime::runtime;
use bluebellpath_standin::{Behaviour, Instances, Objects, Table, Targets, serve};
use clap::{Arg, ArgMatches, Command, value_parser};
use monoio::net::TcpListener;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let served = runtime::block_on(async {
        match matches.subcommand() {
            Some(("platform", matches)) => platform(matches).await,
            Some(("target", matches)) => target(matches).await,
            _ => Ok(()),
        }
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebellpath-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let address = Arg::new("listen")
        .long("listen")
        .help("Address to listen on")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let target = Arg::new("target")
        .long("target")
        .help("Target in the instance list; may be repeated")
        .action(clap::ArgAction::Append)
        .value_parser(value_parser!(SocketAddr));
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u32))
    };
    Command::new("bluebellpath-standin")
        .about("Stand-ins for the platform and the targets")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Table, object store and instance list, in memory")
                .arg(address.clone())
                .arg(target)
                .arg(number("slots", "8").help("Slots of each target")),
        )
        .subcommand(
            Command::new("target")
                .about("Target that sleeps for the run time in the payload")
                .arg(address)
                .arg(number("slots", "8").help("Tasks that run at once"))
                .arg(number("slowness", "1000").help("Thousandths of the nominal run time")),
        )
}

async fn platform(matches: &ArgMatches) -> std::io::Result<()> {
    let slots = number(matches, "slots");
    let targets = matches.get_many::<SocketAddr>("target").unwrap_or_default();
    let instances = targets.map(|it| instance(*it, slots)).collect();
    let service = serve::Platform::new(Table::new(), Objects::new(), Instances::new(instances));
    run(matches, Rc::new(service)).await
}

async fn target(matches: &ArgMatches) -> std::io::Result<()> {
    let targets = Targets::new(Duration::ZERO);
    let instance = instance(listen(matches), number(matches, "slots"));
    let slowness_permille = number(matches, "slowness");
    targets.set(
        &instance.name,
        Behaviour {
            slowness_permille,
            trouble: None,
        },
    );
    run(matches, Rc::new(serve::Target::new(targets, instance))).await
}

async fn run(matches: &ArgMatches, service: Rc<dyn Service>) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen(matches))?;
    Server::new(listener, service, Limits::default())
        .run()
        .await;
    Ok(())
}

fn instance(address: SocketAddr, slots: u32) -> Instance {
    Instance {
        name: format!("target-{}", address.port()),
        role: Role::Target,
        state: State::Live,
        domain: Domain::new(0),
        rack: 0,
        address,
        slots,
        connections: 64,
    }
}

fn listen(matches: &ArgMatches) -> SocketAddr {
    *matches
        .get_one("listen")
        .expect("clap requires the argument")
}

fn number(matches: &ArgMatches, name: &str) -> u32 {
    *matches.get_one(name).expect("clap fills in the default")
}
