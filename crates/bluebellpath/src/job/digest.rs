//! Fingerprint of a submission.

use serde::{Deserialize, Serialize};

use super::Submission;

/// Hash over all that a submission asks for.
///
/// Two submissions under one id are the same job only when their digests are
/// equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest of `submission`.
    pub fn of(submission: &Submission) -> Digest {
        let bytes = postcard::to_stdvec(submission)
            .expect("a submission holds only numbers, strings and lists");
        Digest(*blake3::hash(&bytes).as_bytes())
    }
}
