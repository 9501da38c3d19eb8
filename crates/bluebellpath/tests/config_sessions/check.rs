//! Rules that every session must satisfy.

use std::collections::BTreeMap;

use bluebellpath::config::Revision;

/// Rule that every session must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An instance never returns to an older version.
    VersionNeverDecreases,
    /// At any time, all instances with a confirmed version use the same preset.
    SinglePresetInForce,
    /// A revision is in force at every connected instance within 4 s of its
    /// acceptance.
    InForceWithinBound,
    /// A change reported as accepted stays in the history.
    AcceptedIsKept,
    /// A change reported as refused never takes effect.
    RefusedHasNoEffect,
    /// The history has no gaps, no decreasing effective times and no operation
    /// twice.
    HistoryIsConsistent,
    /// Some time after the last fault, all instances use the newest version.
    AllConverge,
}

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Violated rule.
    pub rule: Rule,
    /// Observed values.
    pub detail: String,
}

/// Configuration that a member used at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// True wall time, in milliseconds.
    pub at_ms: u64,
    /// Index of the member.
    pub member: usize,
    /// Version.
    pub version: u64,
    /// Preset.
    pub preset: String,
    /// True if the member had confirmed the version.
    pub confirmed: bool,
}

/// Response to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Accepted as this version.
    Accepted(u64),
    /// Certainly not accepted.
    Refused,
    /// Possibly accepted, or the instance stopped before it responded.
    Unknown,
}

/// Checks the observations of a session; returns all violations.
pub fn check(
    samples: &[Sample],
    responses: &[(String, Response)],
    history: &[Revision],
) -> Vec<Finding> {
    let mut findings = check_versions(samples);
    findings.extend(check_presets(samples));
    findings.extend(check_responses(responses, history));
    findings.extend(check_history(history));
    findings
}

fn check_versions(samples: &[Sample]) -> Vec<Finding> {
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut findings = Vec::new();
    for sample in samples {
        let newest = newest.entry(sample.member).or_default();
        if sample.version < *newest {
            findings.push(Finding {
                rule: Rule::VersionNeverDecreases,
                detail: format!("after version {newest}: {sample:?}"),
            });
        }
        *newest = (*newest).max(sample.version);
    }
    findings
}

fn check_presets(samples: &[Sample]) -> Vec<Finding> {
    let mut at: BTreeMap<u64, &Sample> = BTreeMap::new();
    let mut findings = Vec::new();
    for sample in samples.iter().filter(|it| it.confirmed) {
        let first = at.entry(sample.at_ms).or_insert(sample);
        if first.preset != sample.preset {
            findings.push(Finding {
                rule: Rule::SinglePresetInForce,
                detail: format!("{first:?} and {sample:?}"),
            });
        }
    }
    findings
}

fn check_responses(responses: &[(String, Response)], history: &[Revision]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (operation, response) in responses {
        let made: Vec<u64> = history
            .iter()
            .filter(|it| it.operation == *operation)
            .map(|it| it.version)
            .collect();
        let broken = match response {
            Response::Accepted(version) => (made != [*version]).then_some(Rule::AcceptedIsKept),
            Response::Refused => (!made.is_empty()).then_some(Rule::RefusedHasNoEffect),
            Response::Unknown => (made.len() > 1).then_some(Rule::HistoryIsConsistent),
        };
        findings.extend(broken.map(|rule| Finding {
            rule,
            detail: format!("{operation} was answered {response:?} and made {made:?}"),
        }));
    }
    findings
}

fn check_history(history: &[Revision]) -> Vec<Finding> {
    let pairs = history.windows(2);
    let broken = pairs.filter(|it| {
        let (a, b) = (&it[0], &it[1]);
        a.version + 1 != b.version || a.effective_ms > b.effective_ms
    });
    broken
        .map(|it| Finding {
            rule: Rule::HistoryIsConsistent,
            detail: format!("{it:?}"),
        })
        .collect()
}
