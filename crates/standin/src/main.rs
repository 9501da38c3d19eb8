//! Stand-ins as separate processes, load on them, and a check of what ran.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    str::FromStr,
    time::Duration,
};

use bluebellpath::{
    http::{Limits, Server, Service},
    platform::{Instance, Role, State},
    settings::Domain,
};
use bluebellpath_runtime::runtime;
use bluebellpath_standin::{Behaviour, Instances, Objects, Table, Targets, load, serve};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use monoio::net::TcpListener;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("platform", matches)) => runtime::block_on(platform(matches)),
        Some(("target", matches)) => runtime::block_on(target(matches)),
        Some(("load", matches)) => runtime::block_on(load::run(load_config(matches))),
        Some(("check", matches)) => check(matches),
        _ => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebellpath-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("bluebellpath-standin")
        .about("Stand-ins for the platform and the targets, and load on them")
        .subcommand_required(true)
        .subcommand(platform_command())
        .subcommand(target_command())
        .subcommand(load_command())
        .subcommand(check_command())
}

fn platform_command() -> Command {
    let place = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::Append)
            .value_parser(value_parser!(Place))
    };
    Command::new("platform")
        .about("Table, object store and instance list, in memory")
        .arg(listen_arg())
        .arg(place("target").help("Target in the instance list, ADDRESS[@DOMAIN]"))
        .arg(place("entry").help("Entry instance in the list, ADDRESS-FOR-PEERS[@DOMAIN]"))
        .arg(number_arg("slots", "8").help("Slots of each target"))
}

fn target_command() -> Command {
    Command::new("target")
        .about("Target that sleeps for the run time in the payload")
        .arg(listen_arg())
        .arg(number_arg("slots", "8").help("Tasks that run at once"))
        .arg(number_arg("slowness", "1000").help("Thousandths of the nominal run time"))
        .arg(path_arg("runs").help("File that takes a line for each start"))
}

fn load_command() -> Command {
    let entry = Arg::new("entry")
        .long("entry")
        .help("Entry instance; may be repeated")
        .action(ArgAction::Append)
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    Command::new("load")
        .about("Submits jobs at a steady rate and writes what came of them")
        .arg(entry)
        .arg(number_arg("rate", "20").help("Jobs a second"))
        .arg(number_arg("seconds", "10").help("Seconds of load"))
        .arg(number_arg("tasks", "12").help("Most tasks in a job"))
        .arg(number_arg("seed", "1").help("Seed of the jobs"))
        .arg(
            path_arg("answers")
                .required(true)
                .help("File that takes a line for each job"),
        )
}

fn check_command() -> Command {
    let paths = |name: &'static str| path_arg(name).action(ArgAction::Append).required(true);
    Command::new("check")
        .about("Compares answers with what targets ran")
        .arg(paths("answers").help("File written by a load; may be repeated"))
        .arg(paths("runs").help("File written by a target; may be repeated"))
        .arg(
            Arg::new("no-cuts")
                .long("no-cuts")
                .help("Fail also when a request in progress was cut off or not answered")
                .action(ArgAction::SetTrue),
        )
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .help("Address to listen on")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn number_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u32))
}

fn path_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(PathBuf))
}

/// Address in a failure domain, as `ADDRESS` or `ADDRESS@DOMAIN`.
#[derive(Clone, Copy)]
struct Place {
    address: SocketAddr,
    domain: Domain,
}

impl FromStr for Place {
    type Err = String;

    fn from_str(text: &str) -> Result<Place, String> {
        let (address, domain) = text.split_once('@').unwrap_or((text, "0"));
        let address = address
            .parse()
            .map_err(|error| format!("{address}: {error}"))?;
        let domain = domain
            .parse()
            .map_err(|error| format!("{domain}: {error}"))?;
        Ok(Place {
            address,
            domain: Domain::new(domain),
        })
    }
}

async fn platform(matches: &ArgMatches) -> io::Result<()> {
    let slots = number(matches, "slots");
    let places = |name| matches.get_many::<Place>(name).unwrap_or_default();
    let targets = places("target").map(|it| instance(*it, Role::Target, slots));
    let entries = places("entry").map(|it| instance(*it, Role::Entry, 0));
    let instances = Instances::new(targets.chain(entries).collect());
    let service = serve::Platform::new(Table::new(), Objects::new(), instances);
    run(matches, Rc::new(service)).await
}

async fn target(matches: &ArgMatches) -> io::Result<()> {
    let targets = Targets::new(Duration::ZERO);
    let place = Place {
        address: listen(matches),
        domain: Domain::new(0),
    };
    let instance = instance(place, Role::Target, number(matches, "slots"));
    let slowness_permille = number(matches, "slowness");
    targets.set(
        &instance.name,
        Behaviour {
            slowness_permille,
            trouble: None,
        },
    );
    if let Some(path) = matches.get_one::<PathBuf>("runs") {
        targets.log_to(File::create(path)?);
    }
    run(matches, Rc::new(serve::Target::new(targets, instance))).await
}

async fn run(matches: &ArgMatches, service: Rc<dyn Service>) -> io::Result<()> {
    let listener = TcpListener::bind(listen(matches))?;
    Server::new(listener, service, Limits::default())
        .run()
        .await;
    Ok(())
}

fn load_config(matches: &ArgMatches) -> load::Config {
    let entries = matches
        .get_many("entry")
        .unwrap_or_default()
        .copied()
        .collect();
    let answers: &PathBuf = matches
        .get_one("answers")
        .expect("clap requires the argument");
    load::Config {
        entries,
        jobs_per_s: number(matches, "rate"),
        seconds: number(matches, "seconds"),
        max_tasks: number(matches, "tasks"),
        seed: u64::from(number(matches, "seed")),
        answers: answers.clone(),
    }
}

fn check(matches: &ArgMatches) -> io::Result<()> {
    let paths = |name| -> Vec<&Path> {
        let paths = matches.get_many::<PathBuf>(name).unwrap_or_default();
        paths.map(PathBuf::as_path).collect()
    };
    let report = load::check(&paths("answers"), &paths("runs"))?;
    println!("{report:#?}");
    let whole = report.cut == 0 && report.unanswered == 0;
    if report.is_clean() && (whole || !matches.get_flag("no-cuts")) {
        return Ok(());
    }
    Err(io::Error::other("the answers do not hold"))
}

fn instance(place: Place, role: Role, slots: u32) -> Instance {
    let kind = match role {
        Role::Entry => "entry",
        Role::Target => "target",
    };
    Instance {
        name: format!("{kind}-{}", place.address.port()),
        role,
        state: State::Live,
        domain: place.domain,
        rack: 0,
        address: place.address,
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
