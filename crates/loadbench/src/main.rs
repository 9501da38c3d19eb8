/*!
Wall-clock benches of one entry instance over loopback HTTP.

`path throughput` counts task starts of one entry instance, which has one
thread, against targets that reply at once in other threads. `path memory`
holds jobs that wait and divides the growth of the resident set by them. Both
depend on the machine and stay out of CI.
*/

mod load;
mod memory;
mod system;
mod throughput;
mod usage;

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let run = match matches.subcommand() {
        Some(("throughput", matches)) => throughput::run(&throughput::Config {
            seconds: number(matches, "seconds"),
            jobs: number(matches, "connections") as usize,
            tasks: number(matches, "tasks") as usize,
            targets: number(matches, "targets") as usize,
            floor: number(matches, "floor"),
        }),
        Some(("memory", matches)) => memory::run(&memory::Config {
            jobs: number(matches, "jobs") as usize,
            tasks: number(matches, "tasks") as usize,
        }),
        _ => Ok(false),
    };
    match run {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("path: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("path")
        .about("Benches one entry instance over loopback HTTP")
        .subcommand_required(true)
        .subcommand(
            Command::new("throughput")
                .about("Task starts a second of one entry instance on one thread")
                .arg(number("seconds", "5", "Time of measurement"))
                .arg(number("connections", "16", "Jobs in flight"))
                .arg(number("tasks", "50", "Tasks of each job"))
                .arg(number("targets", "16", "Targets"))
                .arg(number(
                    "floor",
                    "20000",
                    "Fewest starts a second to succeed",
                )),
        )
        .subcommand(
            Command::new("memory")
                .about("Resident bytes of jobs that wait")
                .arg(number("jobs", "10000", "Jobs that wait"))
                .arg(number("tasks", "1", "Tasks of each job")),
        )
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("clap fills in the default")
}
