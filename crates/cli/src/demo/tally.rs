//! What came of the demonstration's jobs.

use std::time::Duration;

use bluebellpath::job::{Answer, Outcome};

use super::job::Job;

/// What came of the demonstration's jobs.
#[derive(Default)]
pub struct Tally {
    /// Jobs whose submission ended.
    pub jobs: usize,
    tasks: usize,
    complete: usize,
    ratios: Vec<f64>,
}

impl Tally {
    /// Adds a job and its answer, if one came.
    pub fn add(&mut self, job: &Job, answer: Option<&Answer>, response: Duration) {
        self.jobs += 1;
        self.tasks += job.submission.tasks.len();
        if answer.is_some_and(|it| is_whole(job, it)) {
            self.complete += 1;
            self.ratios
                .push(response.as_secs_f64() / job.ideal.as_secs_f64());
        }
    }

    /// True when every answer was whole.
    pub fn is_whole(&self) -> bool {
        self.jobs > 0 && self.complete == self.jobs
    }

    /// Prints the table; `messages` reached or left the targets.
    pub fn print(&self, messages: u64) {
        let needed = 2 * self.tasks as u64;
        println!();
        println!("{:<28}{:>10}", "jobs", self.jobs);
        println!("{:<28}{:>10}", "tasks", self.tasks);
        println!("{:<28}{:>10}", "complete", self.complete);
        println!("{:<28}{:>10}", "failed or lost", self.jobs - self.complete);
        println!("{:<28}{:>10.2}", "response / ideal, mean", self.mean());
        println!(
            "{:<28}{:>10.2}",
            "response / ideal, p99",
            self.quantile(0.99)
        );
        println!(
            "{:<28}{:>10}",
            "wasted messages",
            messages.saturating_sub(needed)
        );
    }

    fn mean(&self) -> f64 {
        self.ratios.iter().sum::<f64>() / self.ratios.len().max(1) as f64
    }

    fn quantile(&self, quantile: f64) -> f64 {
        let mut sorted = self.ratios.clone();
        sorted.sort_by(f64::total_cmp);
        let rank = (sorted.len() as f64 * quantile).ceil() as usize;
        sorted
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

fn is_whole(job: &Job, answer: &Answer) -> bool {
    let callers = job.submission.tasks.iter().map(|it| &it.caller);
    answer.outcome == Outcome::Complete
        && answer.parts.iter().all(|it| it.result.is_some())
        && callers.eq(answer.parts.iter().map(|it| &it.caller))
}
