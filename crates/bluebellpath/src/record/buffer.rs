//! Items that wait to be written, within bounds.

use std::collections::VecDeque;

use super::{Entry, Gap, Item};
use crate::job::Id;

/// Item as it will be written.
struct Waiting {
    job: Option<Id>,
    bytes: Vec<u8>,
}

/// Items of the next batch.
#[derive(Debug, Default)]
pub(super) struct Chunk {
    /// Jobs among them.
    pub(super) jobs: Vec<Id>,
    /// Encoded items.
    pub(super) items: Vec<Vec<u8>>,
    /// True when the last one closes the chain.
    pub(super) closes: bool,
}

/// Items that wait to be written, within bounds.
///
/// What does not fit becomes one gap, which stands where the entries would.
pub(super) struct Buffer {
    waiting: VecDeque<Waiting>,
    bytes: usize,
    max_bytes: usize,
    gap: Option<Gap>,
    close: Option<u64>,
}

impl Buffer {
    /// Empty buffer of `max_bytes`.
    pub(super) fn new(max_bytes: usize) -> Buffer {
        Buffer {
            waiting: VecDeque::new(),
            bytes: 0,
            max_bytes,
            gap: None,
            close: None,
        }
    }

    /// Adds an entry, or counts it into the gap.
    pub(super) fn push(&mut self, entry: Entry) {
        let (job, answered_ms) = (entry.job.clone(), entry.times.answered_ms);
        let bytes = encode(&Item::Entry(Box::new(entry)));
        if self.bytes + bytes.len() > self.max_bytes {
            self.skip(answered_ms);
            return;
        }
        self.end_gap();
        self.add(Some(job), bytes);
    }

    /// Adds the item that closes the chain, behind all that waits.
    pub(super) fn close(&mut self, at_ms: u64) {
        self.close.get_or_insert(at_ms);
    }

    /// Entries that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True without anything to write.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.gap.is_none() && self.close.is_none()
    }

    /// Takes up to `count` items out.
    pub(super) fn take(&mut self, count: usize) -> Chunk {
        let mut chunk = Chunk::default();
        while chunk.items.len() < count {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            self.bytes -= waiting.bytes.len();
            chunk.jobs.extend(waiting.job);
            chunk.items.push(waiting.bytes);
        }
        if !self.waiting.is_empty() {
            return chunk;
        }
        // The gap is the youngest: no entry came in since.
        if let Some(gap) = self.gap.take() {
            chunk.items.push(encode(&Item::Gap(gap)));
        }
        if let Some(at_ms) = self.close.take() {
            chunk.items.push(encode(&Item::Close { at_ms }));
            chunk.closes = true;
        }
        chunk
    }

    fn skip(&mut self, answered_ms: u64) {
        let gap = self.gap.get_or_insert(Gap {
            entries: 0,
            from_ms: answered_ms,
            to_ms: answered_ms,
        });
        gap.entries += 1;
        gap.from_ms = gap.from_ms.min(answered_ms);
        gap.to_ms = gap.to_ms.max(answered_ms);
    }

    fn end_gap(&mut self) {
        if let Some(gap) = self.gap.take() {
            self.add(None, encode(&Item::Gap(gap)));
        }
    }

    fn add(&mut self, job: Option<Id>, bytes: Vec<u8>) {
        self.bytes += bytes.len();
        self.waiting.push_back(Waiting { job, bytes });
    }
}

fn encode(item: &Item) -> Vec<u8> {
    postcard::to_stdvec(item).expect("an item holds only numbers, strings and lists")
}
