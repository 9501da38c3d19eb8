//! Compares answers with what targets ran.

use std::{collections::BTreeMap, io, path::Path};

use bluebellpath::job::Outcome;

use super::{Line, RunLine, line::read};

/// What a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs whose last answer was complete.
    pub complete: usize,
    /// Jobs whose last answer was failed.
    pub failed: usize,
    /// Jobs whose last answer was not run.
    pub not_run: usize,
    /// Jobs whose last answer was unknown.
    pub unknown: usize,
    /// Jobs without any answer.
    pub unanswered: usize,
    /// Attempts whose connection broke after the request was sent.
    pub cut: usize,
    /// Starts that targets carried out.
    pub starts: usize,
    /// Tasks that started more than once.
    pub twice: Vec<String>,
    /// Jobs answered complete without all of their tasks having started.
    pub incomplete: Vec<String>,
    /// Jobs answered not run of which a task started.
    pub untrue: Vec<String>,
}

impl Report {
    /// True when no answer was contradicted.
    pub fn is_clean(&self) -> bool {
        self.twice.is_empty() && self.incomplete.is_empty() && self.untrue.is_empty()
    }
}

/// Compares the lines in `answers` with the runs in `runs`.
pub fn check(answers: &[&Path], runs: &[&Path]) -> io::Result<Report> {
    let mut report = Report::default();
    let mut starts: BTreeMap<String, u32> = BTreeMap::new();
    for path in runs {
        for run in read::<RunLine>(path)? {
            *starts.entry(run.task).or_default() += 1;
            report.starts += 1;
        }
    }
    report.twice = starts
        .iter()
        .filter(|it| *it.1 > 1)
        .map(|it| it.0.clone())
        .collect();
    for path in answers {
        for line in read::<Line>(path)? {
            report.add(&line, &starts);
        }
    }
    Ok(report)
}

impl Report {
    fn add(&mut self, line: &Line, starts: &BTreeMap<String, u32>) {
        self.jobs += 1;
        self.cut += line.cut as usize;
        let ran = (0..line.tasks).filter(|it| starts.contains_key(&format!("{}/{it}", line.job)));
        let ran = ran.count() as u32;
        match line.answers.last() {
            Some(Outcome::Complete) => {
                self.complete += 1;
                if ran < line.tasks {
                    self.incomplete.push(line.job.to_string());
                }
            }
            Some(Outcome::Failed) => self.failed += 1,
            Some(Outcome::NotRun) => {
                self.not_run += 1;
                if ran > 0 {
                    self.untrue.push(line.job.to_string());
                }
            }
            Some(Outcome::Unknown) => self.unknown += 1,
            None => self.unanswered += 1,
        }
    }
}
