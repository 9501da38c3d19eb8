/*!
Determines from a conflict whether an earlier attempt took effect whose answer
was lost.

A transaction is atomic, and the version of a row only grows. If a repeated
transaction finds all its own values, each at the version that it would have
written, the earlier attempt took effect. If a condition still holds, or another
value is stored at the version that it would have written, the earlier attempt
did not take effect and never will, because a version is never reused. In all
other cases the outcome is unknown, for example if another writer deleted a row.

Values must identify their writer, by an incarnation or an operation id. If two
writers store equal bytes, each concludes that its own write took effect.
*/

use crate::platform::{Conflict, Expect, Write};

/// Outcome of an earlier attempt whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// It took effect; the new version of each row.
    Applied(Vec<u64>),
    /// It did not take effect and never will.
    NotApplied,
    /// It may or may not have taken effect.
    Unknown,
}

/// Outcome as far as a single write shows it.
enum Evidence {
    Applied(u64),
    NotApplied,
    Unknown,
}

impl EarlierAttempt {
    /// Outcome of an earlier attempt at `writes`, given the conflicts of a later
    /// attempt.
    pub fn from_conflicts(writes: &[Write], conflicts: &[Conflict]) -> EarlierAttempt {
        let evidence: Vec<Evidence> = writes
            .iter()
            .enumerate()
            .map(|(index, it)| classify(it, conflicts.iter().find(|c| c.index == index)))
            .collect();
        if evidence.iter().any(|it| matches!(it, Evidence::NotApplied)) {
            return EarlierAttempt::NotApplied;
        }
        let versions = evidence.iter().map(|it| match it {
            Evidence::Applied(version) => Some(*version),
            Evidence::NotApplied | Evidence::Unknown => None,
        });
        let versions: Option<Vec<u64>> = versions.collect();
        versions.map_or(EarlierAttempt::Unknown, EarlierAttempt::Applied)
    }
}

fn classify(write: &Write, conflict: Option<&Conflict>) -> Evidence {
    let Some(value) = &write.value else {
        return Evidence::Unknown;
    };
    let written = match write.expect {
        Expect::Absent => 1,
        Expect::Version(version) => version + 1,
        Expect::Any => return Evidence::Unknown,
    };
    let Some(conflict) = conflict else {
        return match write.expect {
            // The earlier attempt would have increased the row's version.
            Expect::Version(_) => Evidence::NotApplied,
            // Another writer may have deleted the row since.
            Expect::Absent | Expect::Any => Evidence::Unknown,
        };
    };
    match &conflict.row {
        Some(row) if row.version == written && row.value == *value => Evidence::Applied(written),
        // At version 1 another writer may have deleted and recreated the row:
        // versions of a recreated row restart at 1.
        Some(row) if row.version == written && written > 1 => Evidence::NotApplied,
        Some(_) | None => Evidence::Unknown,
    }
}

/// True if repeating `writes` can't overwrite a concurrent write.
pub fn is_repeatable(writes: &[Write]) -> bool {
    writes.iter().all(|it| it.expect != Expect::Any)
}
