//! The entry daemon.

use std::{path::PathBuf, process::ExitCode};

use bluebellpath::{daemon, settings::Settings};
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
            eprintln!("bluebellpathd: {error}");
            return ExitCode::FAILURE;
        }
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    match runtime::block_on(daemon::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bluebellpathd: {error}");
            ExitCode::FAILURE
        }
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
