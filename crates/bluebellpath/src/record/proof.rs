//! How a promise was kept for one request, or why that can't be shown.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Promise;
use crate::job::{Answer, Outcome};

/// Longest age of the instance list with which the promise about leaving
/// targets can be shown, in milliseconds.
const MAX_LIST_AGE_MS: u64 = 3_000;

/// How a promise was kept.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// The id names the only incarnation that may start the job.
    #[display("the ticket names this incarnation alone")]
    Ticket,
    /// The key was claimed before the first start.
    #[display("the key was claimed before the first start")]
    Claim,
    /// No task was started.
    #[display("no task was started")]
    NothingStarted,
    /// Every task completed.
    #[display("every task completed")]
    Whole,
    /// The answer is marked and holds no results.
    #[display("marked {_0}, without results")]
    Marked(Outcome),
    /// The answer holds a part for each caller of the request.
    #[display("one part for each of the request's own callers")]
    OwnParts,
    /// No byte of any task was handed over.
    #[display("no byte of any task was handed over")]
    NeverSent,
    /// The answer says that the outcome is not known.
    #[display("said to be unknown")]
    SaidUnknown,
    /// The answer does not say "not run".
    #[display("nothing was said to be not run")]
    NotSaid,
    /// A task was handed to one target only.
    #[display("each task was handed to one target at most")]
    OneTarget,
    /// The instance list was read shortly before.
    #[display("the instance list was {age_ms} ms old")]
    FreshList {
        /// Age of the list in milliseconds.
        age_ms: u64,
    },
    /// The answer was given before the instance stopped.
    #[display("answered before the instance stopped")]
    Answered,
    /// The configuration was confirmed when the request was admitted.
    #[display("configuration version {version} was confirmed")]
    Confirmed {
        /// Version in force.
        version: u64,
    },
    /// This entry.
    #[display("this entry")]
    Entry,
}

/// Why it can't be shown that a promise was kept.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// The instance that may have started the job can't be asked.
    #[display("the instance that may have started it is gone")]
    OwnerGone,
    /// The instance list was too old.
    #[display("the instance list was {age_ms} ms old")]
    OldList {
        /// Age of the list in milliseconds.
        age_ms: u64,
    },
    /// The configuration could not be confirmed.
    #[display("the configuration was unconfirmed since {since_ms}")]
    Unconfirmed {
        /// Wall time since when, in milliseconds since the epoch.
        since_ms: u64,
    },
}

/// Whether it can be shown that a promise was kept.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// Kept, and how.
    #[display("kept: {_0}")]
    Kept(How),
    /// Not shown, and why.
    #[display("not shown: {_0}")]
    NotShown(Why),
}

/// What is known of one promise for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Promise.
    pub promise: Promise,
    /// Whether it can be shown that it was kept.
    pub finding: Finding,
}

/// By what right an instance started a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Right {
    /// It handed out the ticket.
    Ticket,
    /// It claimed the key.
    Claim,
    /// None: it started nothing.
    None,
}

/// What the proofs of a request rest on, beside its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Facts {
    /// By what right the instance started the job.
    pub right: Right,
    /// Age of the instance list at admission, in milliseconds.
    pub list_age_ms: u64,
    /// Wall time since when the configuration could not be confirmed.
    pub unconfirmed_since: Option<u64>,
}

impl Proof {
    /// Proofs of all promises for a request that got `answer`.
    pub fn all(answer: &Answer, facts: &Facts) -> Vec<Proof> {
        let findings = [
            (Promise::P1, once(answer, facts, by_right(facts))),
            (Promise::P2, whole(answer)),
            (Promise::P3, Finding::Kept(How::OwnParts)),
            (Promise::P4, said(answer)),
            (
                Promise::P5,
                once(answer, facts, Finding::Kept(How::OneTarget)),
            ),
            (Promise::P6, leaving(answer, facts)),
            (Promise::P7, Finding::Kept(How::Answered)),
            (Promise::P8, preset(answer, facts)),
            (Promise::P9, Finding::Kept(How::Entry)),
        ];
        let proof = |(promise, finding)| Proof { promise, finding };
        findings.into_iter().map(proof).collect()
    }
}

fn may_have_run(answer: &Answer) -> bool {
    answer.outcome == Outcome::Unknown
        || answer.parts.iter().any(|it| it.outcome != Outcome::NotRun)
}

fn by_right(facts: &Facts) -> Finding {
    match facts.right {
        Right::Ticket => Finding::Kept(How::Ticket),
        Right::Claim => Finding::Kept(How::Claim),
        Right::None => Finding::NotShown(Why::OwnerGone),
    }
}

fn once(answer: &Answer, facts: &Facts, started: Finding) -> Finding {
    match facts.right {
        _ if !may_have_run(answer) => Finding::Kept(How::NothingStarted),
        Right::None => Finding::NotShown(Why::OwnerGone),
        Right::Ticket | Right::Claim => started,
    }
}

fn whole(answer: &Answer) -> Finding {
    Finding::Kept(match answer.outcome {
        Outcome::Complete => How::Whole,
        outcome => How::Marked(outcome),
    })
}

fn said(answer: &Answer) -> Finding {
    Finding::Kept(match answer.outcome {
        Outcome::NotRun => How::NeverSent,
        Outcome::Unknown => How::SaidUnknown,
        Outcome::Complete | Outcome::Failed => How::NotSaid,
    })
}

fn leaving(answer: &Answer, facts: &Facts) -> Finding {
    let age_ms = facts.list_age_ms;
    match facts.right {
        _ if !may_have_run(answer) => Finding::Kept(How::NothingStarted),
        Right::None => Finding::NotShown(Why::OwnerGone),
        _ if age_ms <= MAX_LIST_AGE_MS => Finding::Kept(How::FreshList { age_ms }),
        _ => Finding::NotShown(Why::OldList { age_ms }),
    }
}

fn preset(answer: &Answer, facts: &Facts) -> Finding {
    match facts.unconfirmed_since {
        Some(since_ms) => Finding::NotShown(Why::Unconfirmed { since_ms }),
        None => Finding::Kept(How::Confirmed {
            version: answer.config_version,
        }),
    }
}
