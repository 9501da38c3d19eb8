/*!
Entry points of a thread: one for daemons, one for tests with a paused clock.

Both choose the epoll driver by its type. A dependency may switch on monoio's
`iouring` feature, so the type is what keeps io_uring out.
*/

use std::{cell::Cell, future::Future};

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::{Scope, clock, scope};

/// Yields without progress elsewhere after which all tasks count as waiting.
const IDLE_YIELDS: u32 = 2;

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
/// Panics when every task waits and no timer is left: such a session can never
/// end.
pub fn paused<F>(future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .build()
        .expect("epoll is part of every supported kernel");
    runtime.block_on(async move {
        let paused = clock::pause();
        let root = Scope::new();
        let ended = root.clone();
        let main = root.spawn(async move {
            let output = future.await;
            ended.kill();
            output
        });
        let stuck = std::rc::Rc::new(Cell::new(false));
        let advancer = monoio::spawn(advance(root.clone(), stuck.clone()));
        let output = main.await;
        advancer.await;
        scope::retire();
        drop(paused);
        settle().await;
        assert!(
            !stuck.get(),
            "deadlock: every task waits and no timer is left"
        );
        output.expect("the root scope outlives its main task")
    })
}

async fn advance(root: Scope, stuck: std::rc::Rc<Cell<bool>>) {
    let mut idle = 0;
    while root.is_alive() {
        let before = scope::polls();
        yield_now().await;
        if scope::polls() != before {
            idle = 0;
            continue;
        }
        idle += 1;
        if idle < IDLE_YIELDS {
            continue;
        }
        idle = 0;
        if !clock::advance() {
            stuck.set(true);
            root.kill();
        }
    }
}

/// Lets tasks end that were woken by the end of others.
///
/// A task that is dropped after the runtime has ended can't wake those that
/// wait for it, and panics.
async fn settle() {
    let mut before = None;
    while before != Some(scope::polls()) {
        before = Some(scope::polls());
        yield_now().await;
    }
}

/// Lets every task that is ready now run before the caller goes on.
pub async fn yield_now() {
    // monoio puts a task that wakes itself at the front of the queue; a fresh
    // task goes to the back.
    monoio::spawn(std::future::ready(())).await;
}
