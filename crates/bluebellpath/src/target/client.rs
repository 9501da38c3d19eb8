//! Client interface to the targets.

use std::rc::Rc;

use bluebellpath_runtime::LocalFuture;

use super::{Error, Fence, Reply, Start};
use crate::{job::TaskId, platform::Instance};

/// Client of all targets. Each call is one attempt.
pub trait Client {
    /// Starts a task and waits for its end; checks `fence` as the last step
    /// before any byte is sent.
    fn start<'a>(
        &'a self,
        start: Start<'a>,
        fence: Rc<dyn Fence>,
    ) -> LocalFuture<'a, Result<Reply, Error>>;

    /// Tells a target to stop a task; true if the target confirms that the task
    /// no longer runs.
    fn stop<'a>(
        &'a self,
        target: &'a Instance,
        task: &'a TaskId,
    ) -> LocalFuture<'a, Result<bool, Error>>;
}
