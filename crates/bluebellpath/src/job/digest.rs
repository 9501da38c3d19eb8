//! Hashes of submissions.

use serde::{Deserialize, Serialize};

use super::Submission;

/// Hash over all fields of a submission.
///
/// Two submissions with the same id are the same job only if their digests are
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
