//! Sweeps seeds and reports violations.

use std::{
    collections::BTreeMap,
    ops::Range,
    process::ExitCode,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use bluebellpath_sessions::{Case, Fault, Report, session};
use clap::{Arg, Command, value_parser};

/// Violations that are printed in full.
const PRINTED: usize = 20;

#[derive(Default)]
struct Sum {
    sessions: u64,
    requests: usize,
    starts: usize,
    struck: BTreeMap<Fault, u64>,
    violated: Vec<Report>,
}

impl Sum {
    fn add(&mut self, report: Report) {
        self.sessions += 1;
        self.requests += report.requests;
        self.starts += report.starts;
        for (fault, times) in &report.struck {
            *self.struck.entry(*fault).or_default() += times;
        }
        if !report.violations.is_empty() {
            self.violated.push(report);
        }
    }

    fn print(&mut self) {
        println!(
            "{} sessions, {} requests, {} starts",
            self.sessions, self.requests, self.starts
        );
        for (fault, times) in &self.struck {
            println!("{fault}: struck {times} times");
        }
        self.violated.sort_by_key(|it| it.case.seed);
        for report in self.violated.iter().take(PRINTED) {
            println!("{}", report.case);
            for violation in &report.violations {
                println!("  {violation}");
            }
        }
        println!("{} sessions with violations", self.violated.len());
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let seeds = matches.get_one::<Range<u64>>("seeds").cloned();
    let seeds = seeds.unwrap_or(0..Case::TABLE);
    let threads = matches.get_one::<usize>("threads").copied().unwrap_or(1);
    let mut sum = sweep(seeds, threads);
    sum.print();
    ExitCode::from(u8::from(!sum.violated.is_empty()))
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

fn sweep(seeds: Range<u64>, threads: usize) -> Sum {
    let next = AtomicU64::new(seeds.start);
    let sum = Mutex::new(Sum::default());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let report = session::run(Case::of(seed));
            if let Ok(mut sum) = sum.lock() {
                sum.add(report);
            }
        }
    };
    thread::scope(|scope| (0..threads.max(1)).for_each(|_| drop(scope.spawn(work))));
    sum.into_inner().unwrap_or_default()
}
