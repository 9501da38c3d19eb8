/*!
Entry points that run a future on the current thread: one for daemons, one for
tests with a paused clock.

Both name the epoll driver by its type. A dependency may enable monoio's
`iouring` feature, so only the type rules out io_uring.
*/

use std::{cell::Cell, future::Future, time::Duration};

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::{Instant, Scope, clock, scope};

/// Consecutive yields without a poll of another task after which all tasks count
/// as waiting.
const IDLE_YIELDS: u32 = 2;

/// Shortest time of a timer.
const TIMER_CHECK_TIME: Duration = Duration::from_millis(1);

/// Time after which a timer of [`TIMER_CHECK_TIME`] is late.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);

thread_local! {
    /// Start of the timer that shows whether timers are late, while it runs.
    static TIMER_CHECK: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Runs `future` on epoll with real timers.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("epoll is part of every supported kernel");
    runtime.block_on(future)
}

/// Runs `future` on a paused clock that jumps to the next timer when idle.
///
/// Panics when every task waits and no timer is left, since `future` can then
/// never complete.
pub fn paused<F>(future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .build()
        .expect("epoll is part of every supported kernel");
    runtime.block_on(async move {
        let clock_guard = clock::pause();
        let root = Scope::new();
        let root_to_kill = root.clone();
        let main = root.spawn(async move {
            let output = future.await;
            root_to_kill.kill();
            output
        });
        let deadlocked = std::rc::Rc::new(Cell::new(false));
        let advancer = monoio::spawn(advance_when_idle(root.clone(), deadlocked.clone()));
        let output = main.await;
        advancer.await;
        scope::cancel_all();
        drop(clock_guard);
        drain_woken_tasks().await;
        assert!(
            !deadlocked.get(),
            "deadlock: every task waits and no timer is left"
        );
        output.expect("the root scope outlives its main task")
    })
}

async fn advance_when_idle(root: Scope, deadlocked: std::rc::Rc<Cell<bool>>) {
    let mut idle_yields = 0;
    while root.is_alive() {
        let before = scope::poll_count();
        yield_now().await;
        if scope::poll_count() != before {
            idle_yields = 0;
            continue;
        }
        idle_yields += 1;
        if idle_yields < IDLE_YIELDS {
            continue;
        }
        idle_yields = 0;
        if !clock::advance() {
            deadlocked.set(true);
            root.kill();
        }
    }
}

/// Runs the tasks that were woken by the end of others until none is left.
///
/// A task that is dropped after the end of the runtime can't wake the tasks that
/// wait for it, and panics.
async fn drain_woken_tasks() {
    let mut before = None;
    while before != Some(scope::poll_count()) {
        before = Some(scope::poll_count());
        yield_now().await;
    }
}

/// Lets the others run before the caller continues: every task that is ready now, and
/// timers that are late.
///
/// monoio looks at its timers only when no task is ready, which tasks that yield and
/// sockets that are always ready may prevent for ever.
pub async fn give_way() {
    if clock::is_paused() {
        return yield_now().await;
    }
    match TIMER_CHECK.get() {
        Some(since) if clock::now() - since > MAX_TIMER_DELAY => {
            clock::sleep(TIMER_CHECK_TIME).await;
            TIMER_CHECK.set(None);
        }
        Some(_) => yield_now().await,
        None => {
            TIMER_CHECK.set(Some(clock::now()));
            drop(monoio::spawn(async {
                clock::sleep(TIMER_CHECK_TIME).await;
                TIMER_CHECK.set(None);
            }));
            yield_now().await;
        }
    }
}

/// Runs every task that is ready now before the caller continues.
pub async fn yield_now() {
    // monoio puts a task that wakes itself at the front of the queue; a fresh
    // task goes to the back.
    monoio::spawn(std::future::ready(())).await;
}
