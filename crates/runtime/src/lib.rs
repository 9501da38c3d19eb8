/*!
Single-threaded async runtime of every process in this project: monoio's epoll
driver, a clock that tests can pause, and scopes that tests can freeze and kill.

monoio has timers but no clock that can be paused, so [`clock`] wraps them. All
code of this project reads the time and sleeps through it. Inside
[`runtime::paused`] no time passes while any task is ready to run. When all tasks
wait, the clock jumps to the next timer. A simulation of several instances
therefore runs in one thread with the same trace every time.

A [`Scope`] groups the tasks of one process. In a daemon it ends them together
at the end of a drain. In a test it stands for the process itself: killing it
drops every task at its current await point, and freezing it simulates a paused
virtual machine, while time goes on outside.

# Example

```
use std::time::Duration;
use bluebellpath_runtime::{clock, runtime};

let waited = runtime::paused(async {
    let start = clock::now();
    clock::sleep(Duration::from_secs(3600)).await;
    clock::now() - start
});
assert_eq!(waited, Duration::from_secs(3600));
```
*/

pub mod clock;
pub mod notify;
pub mod runtime;
pub mod scope;
pub mod suspension;

pub use clock::Instant;
pub use notify::Notify;
pub use scope::{Scope, spawn};

/// Boxed future that is not `Send`.
pub type LocalFuture<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;
