//! Outcomes by team.

use std::{cell::RefCell, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use crate::job::Outcome;

/// Most teams that are told apart; what comes after counts as one.
const MAX_TEAMS: usize = 10_000;

/// Name under which further teams count.
const OTHERS: &str = "(others)";

/// Answers by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Complete answers.
    pub complete: u64,
    /// Failed jobs.
    pub failed: u64,
    /// Jobs that were not run.
    pub not_run: u64,
    /// Jobs of which it is not known what ran.
    pub unknown: u64,
}

/// Outcomes by team since this instance started.
#[derive(Default)]
pub struct Outcomes(RefCell<BTreeMap<String, Counts>>);

impl Outcomes {
    /// Counts one answer.
    pub fn count(&self, team: &str, outcome: Outcome) {
        let mut teams = self.0.borrow_mut();
        let known = teams.contains_key(team) || teams.len() < MAX_TEAMS;
        let name = if known { team } else { OTHERS };
        let counts = teams.entry(name.to_owned()).or_default();
        let count = match outcome {
            Outcome::Complete => &mut counts.complete,
            Outcome::Failed => &mut counts.failed,
            Outcome::NotRun => &mut counts.not_run,
            Outcome::Unknown => &mut counts.unknown,
        };
        *count += 1;
    }

    /// Counts of every team, or of one.
    pub fn of(&self, team: Option<&str>) -> BTreeMap<String, Counts> {
        let teams = self.0.borrow();
        let wanted = teams
            .iter()
            .filter(|it| team.is_none_or(|team| it.0 == team));
        wanted.map(|(name, it)| (name.clone(), *it)).collect()
    }
}
