//! One session to play.

use derive_more::Display;

use crate::Fault;

/// One session to play.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("seed {seed}, {}", names(*first, *second))]
pub struct Case {
    /// First fault.
    pub first: Option<Fault>,
    /// Second fault.
    pub second: Option<Fault>,
    /// Seed of the plan and of all that is random.
    pub seed: u64,
}

fn names(first: Option<Fault>, second: Option<Fault>) -> String {
    let names: Vec<String> = [first, second]
        .iter()
        .flatten()
        .map(Fault::to_string)
        .collect();
    if names.is_empty() {
        "no fault".to_owned()
    } else {
        names.join(" + ")
    }
}

impl Case {
    /// Faults in the table: none, each alone, each pair.
    pub const TABLE: u64 = {
        let faults = Fault::ALL.len() as u64;
        1 + faults + faults * (faults - 1) / 2
    };

    /// Case of a seed; any [`Case::TABLE`] seeds in a row play the whole table.
    pub fn of(seed: u64) -> Case {
        let mut row = seed % Case::TABLE;
        let case = |first, second| Case {
            first,
            second,
            seed,
        };
        if row == 0 {
            return case(None, None);
        }
        row -= 1;
        for (index, first) in Fault::ALL.iter().enumerate() {
            let rest = &Fault::ALL[index + 1..];
            let rows = 1 + rest.len() as u64;
            if row < rows {
                let second = row.checked_sub(1).map(|it| rest[it as usize]);
                return case(Some(*first), second);
            }
            row -= rows;
        }
        case(None, None)
    }

    /// True when the session has the fault.
    pub fn has(&self, fault: Fault) -> bool {
        self.first == Some(fault) || self.second == Some(fault)
    }

    /// True when answers are kept so short a time that resubmissions come after
    /// it: in every second round of the table.
    pub fn forgets(&self) -> bool {
        (self.seed / Case::TABLE) % 2 == 1
    }

    /// Faults of the session.
    pub fn faults(&self) -> impl Iterator<Item = Fault> {
        [self.first, self.second].into_iter().flatten()
    }
}
