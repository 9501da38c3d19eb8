/*!
Groups of tasks that stop together.

[`spawn`] puts a task into the scope of the task that calls it, so one scope
holds all tasks of a process. The scope counts polls, which is how a paused
clock detects that every task waits.
*/

use std::{
    cell::{Cell, RefCell},
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use futures_channel::oneshot;
use slab::Slab;

thread_local! {
    static CURRENT: RefCell<Option<Scope>> = const { RefCell::new(None) };
    static POLL_COUNT: Cell<u64> = const { Cell::new(0) };
    static GENERATION: Cell<u64> = const { Cell::new(0) };
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Frozen,
    Dead,
}

struct Inner {
    state: Cell<State>,
    skew_ms: Cell<i64>,
    tasks: RefCell<Slab<Waker>>,
}

/// Tasks of one process, to be frozen, thawed or killed together.
#[derive(Clone)]
pub struct Scope(Rc<Inner>);

impl Default for Scope {
    fn default() -> Scope {
        Scope::new()
    }
}

impl Scope {
    /// Creates a running scope without tasks.
    pub fn new() -> Scope {
        Scope(Rc::new(Inner {
            state: Cell::new(State::Running),
            skew_ms: Cell::new(0),
            tasks: RefCell::default(),
        }))
    }

    /// Spawns `future` in this scope; dropping the handle detaches it.
    pub fn spawn<F>(&self, future: F) -> Handle<F::Output>
    where
        F: Future + 'static,
        F::Output: 'static,
    {
        let (sender, receiver) = oneshot::channel();
        let future = async move {
            let output = future.await;
            // Fails if the handle was dropped, which detaches the task.
            let _ = sender.send(output);
        };
        let future: Pin<Box<dyn Future<Output = ()>>> = Box::pin(future);
        let task = ScopedTask {
            scope: self.clone(),
            generation: GENERATION.get(),
            future: Some(future),
            slot: None,
        };
        drop(monoio::spawn(task));
        Handle(receiver)
    }

    /// Stops polling the scope's tasks; timers still expire and messages still
    /// arrive.
    pub fn freeze(&self) {
        if self.is_alive() {
            self.0.state.set(State::Frozen);
        }
    }

    /// Resumes a frozen scope.
    pub fn thaw(&self) {
        if self.0.state.get() == State::Frozen {
            self.0.state.set(State::Running);
            self.wake_all();
        }
    }

    /// Drops every task of the scope when it is next polled.
    pub fn kill(&self) {
        self.0.state.set(State::Dead);
        self.wake_all();
    }

    /// True until the scope is killed.
    pub fn is_alive(&self) -> bool {
        self.0.state.get() != State::Dead
    }

    /// Skews the wall clock that the scope's tasks read, in milliseconds.
    pub fn set_skew_ms(&self, skew_ms: i64) {
        self.0.skew_ms.set(skew_ms);
    }

    /// Number of tasks that have been polled and have not ended.
    pub fn task_count(&self) -> usize {
        self.0.tasks.borrow().len()
    }

    fn wake_all(&self) {
        let wakers: Vec<Waker> = self
            .0
            .tasks
            .borrow()
            .iter()
            .map(|(_, it)| it.clone())
            .collect();
        for waker in wakers {
            waker.wake();
        }
    }
}

/// Spawns `future` in the scope of the current task, or in a new scope outside
/// of any task.
pub fn spawn<F>(future: F) -> Handle<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    let scope = CURRENT.with_borrow(Clone::clone).unwrap_or_default();
    scope.spawn(future)
}

/// Wall clock skew of the current scope, in milliseconds.
pub(crate) fn current_skew_ms() -> i64 {
    CURRENT.with_borrow(|it| it.as_ref().map_or(0, |it| it.0.skew_ms.get()))
}

/// Number of polls of scoped tasks on this thread so far.
pub(crate) fn poll_count() -> u64 {
    POLL_COUNT.get()
}

/// Drops every task spawned so far on this thread when it is next polled.
pub(crate) fn cancel_all() {
    GENERATION.set(GENERATION.get() + 1);
}

/// Future of a spawned task's output; `None` if its scope was killed first.
pub struct Handle<T>(oneshot::Receiver<T>);

impl<T> Future for Handle<T> {
    type Output = Option<T>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        Pin::new(&mut self.0).poll(cx).map(Result::ok)
    }
}

struct ScopedTask {
    scope: Scope,
    generation: u64,
    future: Option<Pin<Box<dyn Future<Output = ()>>>>,
    slot: Option<usize>,
}

impl ScopedTask {
    fn store_waker(&mut self, waker: &Waker) {
        let mut tasks = self.scope.0.tasks.borrow_mut();
        match self.slot {
            Some(slot) if tasks[slot].will_wake(waker) => {}
            Some(slot) => tasks[slot] = waker.clone(),
            None => self.slot = Some(tasks.insert(waker.clone())),
        }
    }

    fn finish(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.scope.0.tasks.borrow_mut().remove(slot);
        }
        let _guard = CurrentScopeGuard::new(&self.scope);
        self.future = None;
    }
}

impl Future for ScopedTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        POLL_COUNT.set(POLL_COUNT.get() + 1);
        if self.generation != GENERATION.get() {
            self.finish();
            return Poll::Ready(());
        }
        match self.scope.0.state.get() {
            State::Dead => {
                self.finish();
                return Poll::Ready(());
            }
            State::Frozen => {
                self.store_waker(cx.waker());
                return Poll::Pending;
            }
            State::Running => self.store_waker(cx.waker()),
        }
        let poll = {
            let _guard = CurrentScopeGuard::new(&self.scope.clone());
            match &mut self.future {
                Some(future) => future.as_mut().poll(cx),
                None => Poll::Ready(()),
            }
        };
        if poll.is_ready() {
            self.finish();
        }
        poll
    }
}

impl Drop for ScopedTask {
    fn drop(&mut self) {
        self.finish();
    }
}

struct CurrentScopeGuard(Option<Scope>);

impl CurrentScopeGuard {
    fn new(scope: &Scope) -> CurrentScopeGuard {
        CurrentScopeGuard(CURRENT.replace(Some(scope.clone())))
    }
}

impl Drop for CurrentScopeGuard {
    fn drop(&mut self) {
        CURRENT.set(self.0.take());
    }
}
