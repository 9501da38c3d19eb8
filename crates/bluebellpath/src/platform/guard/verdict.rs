/*!
What a conflict says of an earlier attempt whose answer was lost.

A transaction takes effect as a whole or not at all, and the versions of a row
only grow. So a repeated transaction that meets its own values, each at the
version that it would have made, took effect before. One that meets a condition
that still holds, or another value at the version that it would have made, did
not, and as a version never comes back it never will. All else stays in doubt,
rows that another deleted among them.

The values must tell their writers apart, by an incarnation or an operation id
in them; two writers of equal bytes would each believe to have won.
*/

use crate::platform::{Conflict, Expect, Write};

/// What a conflict says of an earlier attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The earlier attempt took effect and made these versions.
    Applied(Vec<u64>),
    /// It did not and never will.
    Refused,
    /// Either may be.
    Unclear,
}

/// What a single write says.
enum Sign {
    Applied(u64),
    Refused,
    Unclear,
}

impl Verdict {
    /// Verdict on an earlier attempt at `writes`, given the conflicts of a later
    /// one.
    pub fn of(writes: &[Write], conflicts: &[Conflict]) -> Verdict {
        let signs: Vec<Sign> = writes
            .iter()
            .enumerate()
            .map(|(index, it)| sign(it, conflicts.iter().find(|c| c.index == index)))
            .collect();
        if signs.iter().any(|it| matches!(it, Sign::Refused)) {
            return Verdict::Refused;
        }
        let versions = signs.iter().map(|it| match it {
            Sign::Applied(version) => Some(*version),
            Sign::Refused | Sign::Unclear => None,
        });
        let versions: Option<Vec<u64>> = versions.collect();
        versions.map_or(Verdict::Unclear, Verdict::Applied)
    }
}

fn sign(write: &Write, conflict: Option<&Conflict>) -> Sign {
    let Some(value) = &write.value else {
        return Sign::Unclear;
    };
    let made = match write.expect {
        Expect::Absent => 1,
        Expect::Version(version) => version + 1,
        Expect::Any => return Sign::Unclear,
    };
    let Some(conflict) = conflict else {
        return match write.expect {
            // Had it taken effect, the row would have moved on.
            Expect::Version(_) => Sign::Refused,
            // Another may have deleted the row since.
            Expect::Absent | Expect::Any => Sign::Unclear,
        };
    };
    match &conflict.row {
        Some(row) if row.version == made && row.value == *value => Sign::Applied(made),
        // A row that was deleted and made anew counts from 1 again.
        Some(row) if row.version == made && made > 1 => Sign::Refused,
        Some(_) | None => Sign::Unclear,
    }
}

/// True when repeating `writes` can't undo what another wrote meanwhile.
pub fn is_repeatable(writes: &[Write]) -> bool {
    writes.iter().all(|it| it.expect != Expect::Any)
}
