//! Validation of submissions.

use super::Refusal;
use crate::job::Submission;

/// Checks `submission` against the limits.
///
/// # Errors
///
/// Returns [`Refusal::Invalid`] for the first limit that is exceeded.
pub(super) fn validate(submission: &Submission) -> Result<(), Refusal> {
    let invalid = |field: String, found: String, allowed: &str| Refusal::Invalid {
        field,
        found,
        allowed: allowed.to_owned(),
    };
    let tasks = submission.tasks.len();
    if tasks == 0 || tasks > Submission::MAX_TASKS {
        return Err(invalid(
            "tasks".to_owned(),
            format!("{tasks} tasks"),
            "1 to 190 tasks",
        ));
    }
    if submission.deadline_ms == 0 {
        return Err(invalid(
            "deadline_ms".to_owned(),
            "0".to_owned(),
            "1 or more",
        ));
    }
    for (index, task) in submission.tasks.iter().enumerate() {
        if task.size == 0 {
            let field = format!("tasks[{index}].size");
            return Err(invalid(field, "0".to_owned(), "1 or more"));
        }
    }
    Ok(())
}
