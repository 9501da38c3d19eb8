/*!
What control costs an entry instance, by number of entries and targets.

Runs whole entry instances without jobs in one thread, with real loopback
sockets between them, against the platform's stand-in in another thread, and
prints what one of them sends, receives, computes and holds. Wall clock; meant
for a quiet machine and not for CI.
*/

mod fit;
mod platform;
mod report;
mod run;

use std::{
    io,
    process::{self, ExitCode},
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use self::run::{Row, Size};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("one", matches)) => one(matches),
        _ => sweep(&matches),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("bluebellpath-controlbench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures one size and prints it as JSON.
fn one(matches: &ArgMatches) -> io::Result<bool> {
    let number = |name| number(matches, name) as u16;
    let size = Size {
        entries: number("entries"),
        targets: number("targets"),
        domains: number("domains"),
    };
    let row = run::measure(size, u64::from(number("seconds")))?;
    println!("{}", serde_json::to_string(&row)?);
    Ok(true)
}

/// Measures all sizes, each in a fresh process, whose memory is its own.
fn sweep(matches: &ArgMatches) -> io::Result<bool> {
    let seconds = number(matches, "seconds");
    let domains = |domains| match matches.get_flag("one-domain") {
        true => 1,
        false => domains,
    };
    let layouts = [(7, domains(4)), (28, domains(4)), (84, domains(14))];
    let mut rows = Vec::new();
    report::head();
    for targets in [50, 436, 6_100] {
        for (entries, domains) in layouts {
            let size = Size {
                entries,
                targets,
                domains,
            };
            let row = apart(size, seconds)?;
            report::row(&row);
            rows.push(row);
        }
    }
    report::fits(&rows);
    Ok(report::within(&rows))
}

fn apart(size: Size, seconds: u64) -> io::Result<Row> {
    let mut command = process::Command::new(std::env::current_exe()?);
    command.arg("one");
    let arguments = [
        ("--entries", u64::from(size.entries)),
        ("--targets", u64::from(size.targets)),
        ("--domains", u64::from(size.domains)),
        ("--seconds", seconds),
    ];
    for (name, value) in arguments {
        command.arg(name).arg(value.to_string());
    }
    let output = command.stderr(process::Stdio::inherit()).output()?;
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("clap fills in the default")
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..=20_000))
    };
    let seconds = number("seconds", "15", "Time of each measurement");
    Command::new("bluebellpath-controlbench")
        .about("Measures what control costs an entry instance")
        .arg(seconds.clone())
        .arg(
            Arg::new("one-domain")
                .long("one-domain")
                .help("Puts all entries and targets into one domain")
                .action(ArgAction::SetTrue),
        )
        .subcommand(
            Command::new("one")
                .about("Measures one size and prints it as JSON")
                .arg(seconds)
                .arg(number("entries", "7", "Entry instances in all"))
                .arg(number("targets", "50", "Targets in all"))
                .arg(number("domains", "4", "Failure domains")),
        )
}
