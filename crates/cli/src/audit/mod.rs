/*!
Answers from the record: what is known of one job, and whether anything was
changed or is missing.

Reads the platform directly, so that it works while every entry instance is
down, and takes nobody's word but the record's.
*/

mod job;
mod verify;

use std::{net::SocketAddr, process::ExitCode, rc::Rc, time::Duration};

use bluebellpath::{
    http::{Client, ClientConfig},
    platform::http::Http,
    record::Reader,
};
use bluebellpath_runtime::runtime;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Longest wait for an answer of the platform.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Name that no job has, as it stands for the check of all chains.
const VERIFY: &str = "verify";

/// Runs `bluebellpath audit`.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let platform: SocketAddr = *matches
        .get_one("platform")
        .expect("clap requires the argument");
    let what: &String = matches.get_one("what").expect("clap requires the argument");
    let json = matches.get_flag("json");
    runtime::block_on(async {
        let client = Client::new(ClientConfig::default());
        let http = Rc::new(Http::new(client, platform, TIMEOUT));
        let reader = Reader::new(http.clone(), http);
        let done = match what.as_str() {
            VERIFY => verify::run(&reader, json).await,
            id => job::run(&reader, id, json).await,
        };
        match done {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("bluebellpath: {error}");
                ExitCode::from(2)
            }
        }
    })
}

/// Arguments of `bluebellpath audit`.
pub fn command() -> Command {
    Command::new("audit")
        .about("Shows what the record says of a job, or checks the whole record")
        .after_help(
            "Exits with 0 when the job was found or the record is sound, with 1 when not, \
             with 2 when the platform could not be read.",
        )
        .arg(
            Arg::new("what")
                .value_name("JOB|verify")
                .help("Job id, or `verify` to check all chains")
                .required(true),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .help("Address of the platform")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints JSON")
                .action(ArgAction::SetTrue),
        )
}
