//! Prints the table of response ratios and wasted messages.

use std::process::ExitCode;

use bluebellpath_bench::{
    deployment::DEPLOYMENTS,
    output::{csv, plot, print},
    row::{Row, ordinary, overload, under_faults},
};
use clap::{Arg, ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of the traces");
    let csv = Arg::new("csv")
        .long("csv")
        .help("Writes the table to a file");
    let plot = Arg::new("plot")
        .long("plot")
        .help("Draws the mean ratio over the load, as SVG");
    Command::new("bluebellpath-bench")
        .about("Response ratios and wasted messages of all ways to dispatch, see docs/MEASURES.md")
        .args([seed, csv, plot])
}

fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let mut rows: Vec<Row> = Vec::new();
    for deployment in DEPLOYMENTS {
        rows.extend(ordinary(deployment, seed));
        rows.extend(under_faults(deployment, seed));
        rows.extend(overload(deployment, seed));
    }
    print(&rows);
    if let Some(file) = matches.get_one::<String>("csv") {
        std::fs::write(file, csv(&rows))?;
    }
    if let Some(file) = matches.get_one::<String>("plot") {
        plot(&rows, file)?;
    }
    Ok(())
}
