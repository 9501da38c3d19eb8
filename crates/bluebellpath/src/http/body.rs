//! Body that grows as it is received.

use bytes::Bytes;

/// Size of a block in bytes.
const BLOCK_BYTES: usize = 16 << 10;

/// Received part of a body, in blocks of one size: growing neither copies what is there
/// nor leaves gaps of many sizes to the allocator.
#[derive(Default)]
pub(super) struct Body {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl Body {
    /// Received bytes.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Bytes of memory that are taken once `more` bytes have been added.
    pub(super) fn size_with(&self, more: usize) -> usize {
        (self.length + more).next_multiple_of(BLOCK_BYTES)
    }

    /// Adds bytes.
    pub(super) fn extend(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < BLOCK_BYTES => block,
                _ => {
                    self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
                    continue;
                }
            };
            let (now, later) = bytes.split_at(bytes.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(now);
            bytes = later;
        }
    }

    /// The whole body as one piece.
    pub(super) fn join(self) -> Bytes {
        let mut body = Vec::with_capacity(self.length);
        for block in self.blocks {
            body.extend_from_slice(&block);
        }
        body.into()
    }
}
