//! Wakes every task that waits for a change of shared state.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// Broadcast signal within one thread.
#[derive(Default)]
pub struct Notify {
    epoch: Cell<u64>,
    waiters: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Signal that nobody waits for yet.
    pub fn new() -> Notify {
        Notify::default()
    }

    /// Wakes every current waiter.
    pub fn notify(&self) {
        self.epoch.set(self.epoch.get() + 1);
        for waker in self.waiters.take() {
            waker.wake();
        }
    }

    /// Waits for the next call of [`Notify::notify`].
    pub fn notified(&self) -> impl Future<Output = ()> + '_ {
        let epoch = self.epoch.get();
        poll_fn(move |cx| {
            if self.epoch.get() != epoch {
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
