//! The entry daemon.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use bluebellpath::{
    daemon,
    settings::{Error, Settings},
};
use bluebellpath_runtime::runtime;
use clap::{Arg, ArgAction, Command, value_parser};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches
        .get_one("config")
        .expect("clap requires the argument");
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            report(path, &error);
            return ExitCode::FAILURE;
        }
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    match runtime::block_on(daemon::run(settings)) {
        Ok(stopped) if stopped.is_clean() => ExitCode::SUCCESS,
        Ok(stopped) => {
            let left = stopped.left();
            eprintln!(
                "bluebellpathd: stopped early; lost: {} jobs without an answer, \
                 {} tasks waiting, {} tasks running, {} record entries",
                left.jobs, left.waiting, left.running, left.unwritten
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("bluebellpathd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints every fault on a line of its own, as compilers do.
fn report(path: &Path, error: &Error) {
    match error {
        Error::Invalid { faults } => {
            for fault in faults {
                eprintln!("{}:{fault}", path.display());
            }
        }
        Error::Read { .. } => eprintln!("bluebellpathd: {error}"),
    }
}

fn command() -> Command {
    Command::new("bluebellpathd")
        .about("Takes jobs of callers and runs their tasks on the targets of its domain")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("config")
                .long("config")
                .help("Settings, JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
}
