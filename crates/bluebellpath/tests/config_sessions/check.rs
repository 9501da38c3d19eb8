//! What must hold in every session.

use std::collections::BTreeMap;

use bluebellpath::config::Revision;

/// Rule that a session broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No instance acts under an older version after a newer one.
    NeverBack,
    /// Never two presets at one true instant among instances that confirm.
    OnePreset,
    /// In force at most 4 s after acceptance at every connected instance.
    InForceSoon,
    /// What an operator was told is accepted stays in the history.
    AcceptedStays,
    /// What an operator was told is refused never takes effect.
    RefusedNever,
    /// The history is whole: versions, effective times, operations.
    WholeHistory,
    /// Some time after the last fault all act under the newest version.
    AllAgreeAtLast,
}

/// Rule that a session broke, with what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Rule.
    pub rule: Rule,
    /// What was seen.
    pub detail: String,
}

/// What a member acted under at one true instant.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// True wall time, in milliseconds.
    pub at_ms: u64,
    /// Member.
    pub member: usize,
    /// Version.
    pub version: u64,
    /// Preset.
    pub preset: String,
    /// True when the member confirms it.
    pub confirmed: bool,
}

/// What an operator was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Accepted as this version.
    Accepted(u64),
    /// Certainly not accepted.
    Refused,
    /// May be accepted, or the instance went before it answered.
    Unknown,
}

/// All findings in what a session saw.
pub fn check(samples: &[Sample], told: &[(String, Told)], history: &[Revision]) -> Vec<Finding> {
    let mut findings = never_back(samples);
    findings.extend(one_preset(samples));
    findings.extend(operators(told, history));
    findings.extend(whole(history));
    findings
}

fn never_back(samples: &[Sample]) -> Vec<Finding> {
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut findings = Vec::new();
    for sample in samples {
        let newest = newest.entry(sample.member).or_default();
        if sample.version < *newest {
            findings.push(Finding {
                rule: Rule::NeverBack,
                detail: format!("after version {newest}: {sample:?}"),
            });
        }
        *newest = (*newest).max(sample.version);
    }
    findings
}

fn one_preset(samples: &[Sample]) -> Vec<Finding> {
    let mut at: BTreeMap<u64, &Sample> = BTreeMap::new();
    let mut findings = Vec::new();
    for sample in samples.iter().filter(|it| it.confirmed) {
        let first = at.entry(sample.at_ms).or_insert(sample);
        if first.preset != sample.preset {
            findings.push(Finding {
                rule: Rule::OnePreset,
                detail: format!("{first:?} and {sample:?}"),
            });
        }
    }
    findings
}

fn operators(told: &[(String, Told)], history: &[Revision]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (operation, told) in told {
        let made: Vec<u64> = history
            .iter()
            .filter(|it| it.operation == *operation)
            .map(|it| it.version)
            .collect();
        let broken = match told {
            Told::Accepted(version) => (made != [*version]).then_some(Rule::AcceptedStays),
            Told::Refused => (!made.is_empty()).then_some(Rule::RefusedNever),
            Told::Unknown => (made.len() > 1).then_some(Rule::WholeHistory),
        };
        findings.extend(broken.map(|rule| Finding {
            rule,
            detail: format!("{operation} was told {told:?} and made {made:?}"),
        }));
    }
    findings
}

fn whole(history: &[Revision]) -> Vec<Finding> {
    let pairs = history.windows(2);
    let broken = pairs.filter(|it| {
        let (a, b) = (&it[0], &it[1]);
        a.version + 1 != b.version || a.effective_ms > b.effective_ms
    });
    broken
        .map(|it| Finding {
            rule: Rule::WholeHistory,
            detail: format!("{it:?}"),
        })
        .collect()
}
