//! Signal that wakes every task that waits for a change of shared state.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// Broadcast signal within one thread.
#[derive(Default)]
pub struct Notify {
    generation: Cell<u64>,
    waiters: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Creates a signal without waiters.
    pub fn new() -> Notify {
        Notify::default()
    }

    /// Wakes every current waiter.
    pub fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.waiters.take() {
            waker.wake();
        }
    }

    /// Waits for the next call of [`Notify::notify`].
    pub fn notified(&self) -> impl Future<Output = ()> + '_ {
        let generation = self.generation.get();
        poll_fn(move |cx| {
            if self.generation.get() != generation {
                return Poll::Ready(());
            }
            let mut waiters = self.waiters.borrow_mut();
            if !waiters.iter().any(|it| it.will_wake(cx.waker())) {
                waiters.push(cx.waker().clone());
            }
            Poll::Pending
        })
    }
}
