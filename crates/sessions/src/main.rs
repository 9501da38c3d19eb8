//! Sweeps seeds and reports violations.

use std::{ops::Range, process::ExitCode};

use bluebellpath_sessions::{Case, Sweep};
use clap::{Arg, Command, value_parser};

/// Sessions with violations that are printed in full.
const PRINTED: usize = 20;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let seeds = matches.get_one::<Range<u64>>("seeds").cloned();
    let seeds = seeds.unwrap_or(0..Case::TABLE);
    let threads = matches.get_one::<usize>("threads").copied().unwrap_or(1);
    let sweep = Sweep::run(seeds, threads);
    print(&sweep);
    ExitCode::from(u8::from(!sweep.violated.is_empty()))
}

fn print(sweep: &Sweep) {
    println!(
        "{} sessions, {} requests, {} starts",
        sweep.sessions, sweep.requests, sweep.starts
    );
    println!("submissions: {:?}", sweep.outcomes);
    for (fault, times) in &sweep.struck {
        println!("{fault}: struck {times} times");
    }
    for report in sweep.violated.iter().take(PRINTED) {
        println!("{}", report.case);
        for violation in &report.violations {
            println!("  {violation}");
        }
    }
    println!("{} sessions with violations", sweep.violated.len());
}

fn command() -> Command {
    let seeds = Arg::new("seeds")
        .long("seeds")
        .value_name("A..B")
        .help("Seeds from A up to B, without B")
        .value_parser(range);
    let threads = Arg::new("threads")
        .long("threads")
        .value_name("N")
        .help("Threads that play sessions")
        .default_value("4")
        .value_parser(value_parser!(usize));
    Command::new("bluebellpath-sessions")
        .about("Plays seeded sessions under faults and checks every answer")
        .arg(seeds)
        .arg(threads)
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("a range reads A..B")?;
    let number = |it: &str| it.parse::<u64>().map_err(|it| it.to_string());
    Ok(number(from)?..number(to)?)
}
