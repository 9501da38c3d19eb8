//! Identifiers of jobs and tasks.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits of a job id.
const JOB_ID_DIGITS: usize = 16;

/// Id of a job, chosen by its caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// Error for text that is not a job or task id.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a job or task id")]
pub struct ParseIdError;

impl FromStr for JobId {
    type Err = ParseIdError;

    /// Parses exactly 16 lower-case hexadecimal digits, the form that
    /// [`Display`] writes.
    fn from_str(text: &str) -> Result<JobId, ParseIdError> {
        let digit = |it: u8| it.is_ascii_digit() || (b'a'..=b'f').contains(&it);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(digit) {
            return Err(ParseIdError);
        }
        let number = u64::from_str_radix(text, 16);
        number.map(JobId).map_err(|_| ParseIdError)
    }
}

/// Id of a task.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Repetition of the job; 0 for the first or only one.
    pub occurrence: u32,
    /// Step within the job.
    pub step: u16,
    /// Index within the step.
    pub index: u16,
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<TaskId, ParseIdError> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(ParseIdError);
        let task = TaskId {
            job: part()?.parse()?,
            occurrence: part()?.parse().map_err(|_| ParseIdError)?,
            step: part()?.parse().map_err(|_| ParseIdError)?,
            index: part()?.parse().map_err(|_| ParseIdError)?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(ParseIdError),
        }
    }
}
