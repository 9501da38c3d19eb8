//! Lines of the files that a soak leaves.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use bluebellpath::job::{Id, Outcome};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// What came of one job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Job.
    pub job: Id,
    /// Tasks of the job.
    pub tasks: u32,
    /// Outcome of each attempt that was answered, in their order.
    pub answers: Vec<Outcome>,
    /// Attempts whose connection broke after the request was sent.
    pub cut: u32,
    /// Wall time of the submission, in milliseconds since the epoch.
    pub submitted_ms: u64,
    /// Time to the last answer, in milliseconds.
    pub elapsed_ms: u64,
}

/// One start that a target carried out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunLine {
    /// Task, as `JOB/INDEX`.
    pub task: String,
    /// Target.
    pub target: String,
}

/// Reads a file of JSON lines; a last line that was cut short is left out.
pub fn read<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let mut parsed = Vec::new();
    let mut lines = BufReader::new(File::open(path)?).lines().peekable();
    while let Some(line) = lines.next() {
        match serde_json::from_str(&line?) {
            Ok(it) => parsed.push(it),
            Err(_) if lines.peek().is_none() => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(parsed)
}
