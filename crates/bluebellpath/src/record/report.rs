//! What a check of one chain found.

use derive_more::Display;
use serde::Serialize;

use super::{Batch, Gap, Hash, Item, Mark};
use crate::job::Incarnation;

/// Something wrong with a chain.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Flaw {
    /// Batch that is gone.
    #[display("batch {number} is missing")]
    Missing {
        /// Number of the batch.
        number: u64,
    },
    /// Object that is no batch.
    #[display("batch {number} can't be read")]
    Malformed {
        /// Number of the batch.
        number: u64,
    },
    /// Batch of another place.
    #[display("batch {number} stands in the wrong place")]
    Misplaced {
        /// Number of the batch.
        number: u64,
    },
    /// Batch that does not follow the one before it: one of the two was changed.
    #[display("batch {number} does not follow the one before it")]
    Broken {
        /// Number of the batch.
        number: u64,
    },
    /// Last batch that is not the one that the table knows.
    #[display("batch {number} is not the one that was marked as last")]
    Head {
        /// Number of the batch.
        number: u64,
    },
    /// Batches behind the mark.
    #[display("there are batches behind the last marked one")]
    Beyond,
}

/// What a check of one chain found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Run of the instance that wrote the chain, as text.
    pub incarnation: String,
    /// Instance.
    pub instance: String,
    /// Batches up to the mark.
    pub batches: u64,
    /// Entries in them.
    pub entries: u64,
    /// Requests that are declared as missing.
    pub gaps: Vec<Gap>,
    /// True when the incarnation stopped as planned. Without it, answers given
    /// after the last batch may be missing.
    pub closed: bool,
    /// Wall time of the last batch's mark, in milliseconds since the epoch.
    pub marked_ms: u64,
    /// What is wrong.
    pub flaws: Vec<Flaw>,
}

impl Report {
    pub(super) fn new(incarnation: Incarnation, mark: &Mark) -> Report {
        Report {
            incarnation: incarnation.to_string(),
            instance: mark.instance.clone(),
            batches: mark.number,
            entries: 0,
            gaps: Vec::new(),
            closed: mark.closed,
            marked_ms: mark.at_ms,
            flaws: Vec::new(),
        }
    }

    /// True when nothing is wrong.
    pub fn is_sound(&self) -> bool {
        self.flaws.is_empty()
    }

    pub(super) fn take(&mut self, number: u64, batch: &Batch, previous: Hash) {
        let head = &batch.head;
        if head.number != number || head.incarnation.to_string() != self.incarnation {
            self.flaws.push(Flaw::Misplaced { number });
        }
        if head.previous != previous {
            self.flaws.push(Flaw::Broken { number });
        }
        for item in &batch.items {
            match item {
                Item::Entry(_) => self.entries += 1,
                Item::Gap(gap) => self.gaps.push(*gap),
                Item::Close { .. } => {}
            }
        }
    }
}
