//! The operators' tool.

mod demo;
mod dump;
mod operate;

use std::{
    io::{self, Write as _},
    net::SocketAddr,
    process::ExitCode,
};

use clap::{Arg, Command, value_parser};
use clap_complete::Shell;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("demo", matches)) => {
            let jobs = *matches.get_one("jobs").expect("clap fills in the default");
            let seed = *matches.get_one("seed").expect("clap fills in the default");
            demo::run(&demo::Config { jobs, seed })
        }
        Some(("dump", matches)) => {
            let entry: &SocketAddr = matches
                .get_one("entry")
                .expect("clap requires the argument");
            let limit = *matches.get_one("limit").expect("clap fills in the default");
            dump::run(*entry, limit)
        }
        Some(("completions", matches)) => {
            let shell: Shell = *matches.get_one("shell").expect("clap requires it");
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut command(), "bluebellpath", &mut script);
            match io::stdout().write_all(&script) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::FAILURE,
            }
        }
        Some((name, matches)) => operate::run(name, matches),
        None => ExitCode::FAILURE,
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("bluebellpath")
        .about("Operates bluebellpath")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("demo")
                .about("Runs real jobs against stand-ins in this process")
                .arg(number("jobs", "60").help("Jobs to submit"))
                .arg(number("seed", "1").help("Seed of the jobs")),
        )
        .subcommand(
            Command::new("dump")
                .about("Shows the tables of an entry instance")
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .help("Address of the instance")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr)),
                )
                .arg(number("limit", "100").help("Most rows of each table")),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints completions for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
        .subcommands(operate::commands())
}
