/*!
Commands towards a running system, over the operators' interface.

Each command makes one or two requests to the first entry instance that answers.
A change carries an operation id, so that asking a second instance after the
first one's answer was lost can't change anything twice.
*/

mod client;
mod command;
mod config;
mod drain;
mod error;
mod key;
mod output;
mod preset;
mod status;
mod team;

pub use command::commands;

use std::process::ExitCode;

use bluebellpath_runtime::runtime;
use clap::ArgMatches;

use self::{client::Client, error::Error, output::Output};

/// Runs the command `name`.
pub fn run(name: &str, matches: &ArgMatches) -> ExitCode {
    let output = Output::new(matches.get_flag("json"));
    match runtime::block_on(dispatch(name, matches, &output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.error(&error);
            error.exit_code()
        }
    }
}

async fn dispatch(name: &str, matches: &ArgMatches, output: &Output) -> Result<(), Error> {
    let client = Client::new(matches);
    let (verb, matches) = matches.subcommand().unwrap_or(("", matches));
    match name {
        "config" => config::run(verb, matches, &client, output).await,
        "preset" => preset::run(verb, matches, &client, output).await,
        "team" => team::run(verb, matches, &client, output).await,
        "drain" | "undrain" => drain::run(name, verb, matches, &client, output).await,
        "key" => key::run(verb, matches, &client, output).await,
        _ => status::run(name, matches, &client, output).await,
    }
}
