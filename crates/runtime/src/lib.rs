/*!
The runtime under every process of this project: one thread, monoio's epoll
driver, a clock that tests pause, and scopes that tests freeze and kill.

monoio has timers but no clock that can be paused, so [`clock`] stands before
them. Code of this project reads the time and sleeps only through it. A test
enters [`runtime::paused`]; from then on no time passes while any task has work
to do, and when all of them wait the clock jumps to the next timer. A whole
session of several instances then runs in one thread with the same trace each
time.

A [`Scope`] groups the tasks of one process. In a daemon it ends them together
at the end of a drain. In a test it stands for the process itself: killing it
drops every task where it stands, and freezing it is what a paused virtual
machine looks like from outside, with time going on meanwhile.

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

pub use clock::Instant;
pub use notify::Notify;
pub use scope::{Scope, spawn};

/// Boxed future of this thread.
pub type LocalFuture<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;
