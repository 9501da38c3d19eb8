/*!
Monotonic and wall clocks, timers and timeouts.

Each thread's clock has two modes. While it runs, [`now`] reads the system's
monotonic clock and [`sleep`] uses monoio's timer. While it is paused, [`now`]
reads a counter that only [`runtime::paused`](crate::runtime::paused) advances,
from timer to timer.

Monotonic time orders events inside a process and decides when leases expire.
Wall time ([`wall`]) is used in records and for the announced time at which a
configuration takes effect. The current [`Scope`](crate::Scope) may skew it, so
that tests can run instances whose clocks disagree.
*/

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::Future,
    ops::{Add, Sub},
    pin::Pin,
    task::{Context, Poll, Waker},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use futures_util::future::{Either, select};

use crate::scope;

/// Wall time at which a paused clock starts, in milliseconds since the Unix
/// epoch.
const PAUSED_EPOCH_MS: u64 = 1_800_000_000_000;

/// Point in monotonic time, in nanoseconds since the thread's first reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Instant at `nanos` nanoseconds after the clock's origin.
    pub const fn from_nanos(nanos: u64) -> Instant {
        Instant(nanos)
    }

    /// Nanoseconds since the clock's origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to `self`, zero when `earlier` is later.
    pub fn saturating_since(self, earlier: Instant) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        let nanos = u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(nanos))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, rhs: Instant) -> Duration {
        self.saturating_since(rhs)
    }
}

struct PausedClock {
    now: Instant,
    sequence: u64,
    timers: BTreeMap<(Instant, u64), Waker>,
}

thread_local! {
    static PAUSED_CLOCK: RefCell<Option<PausedClock>> = const { RefCell::new(None) };
    static ORIGIN: Cell<Option<std::time::Instant>> = const { Cell::new(None) };
}

/// Current monotonic time.
pub fn now() -> Instant {
    let paused = PAUSED_CLOCK.with_borrow(|it| it.as_ref().map(|it| it.now));
    paused.unwrap_or_else(|| {
        let origin = ORIGIN.get().unwrap_or_else(|| {
            let origin = std::time::Instant::now();
            ORIGIN.set(Some(origin));
            origin
        });
        Instant(u64::try_from(origin.elapsed().as_nanos()).unwrap_or(u64::MAX))
    })
}

/// Current wall time in milliseconds since the Unix epoch, with the skew of the
/// current scope.
pub fn wall() -> u64 {
    let paused = PAUSED_CLOCK.with_borrow(|it| it.as_ref().map(|it| it.now));
    let unskewed_ms = match paused {
        Some(now) => PAUSED_EPOCH_MS + now.0 / 1_000_000,
        None => {
            let since = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        }
    };
    unskewed_ms.saturating_add_signed(scope::current_skew_ms())
}

/// Sleeps for `duration`.
pub fn sleep(duration: Duration) -> Sleep {
    sleep_until(now() + duration)
}

/// Sleeps until `deadline`.
pub fn sleep_until(deadline: Instant) -> Sleep {
    Sleep {
        deadline,
        timer: Timer::Idle,
    }
}

/// Runs `future` for at most `duration`; `None` if the time runs out.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Option<F::Output> {
    timeout_at(now() + duration, future).await
}

/// Runs `future` until `deadline`; `None` if the time runs out.
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let sleep = sleep_until(deadline);
    let future = std::pin::pin!(future);
    match select(future, sleep).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(((), _)) => None,
    }
}

enum Timer {
    Idle,
    Paused(u64),
    Real(Pin<Box<monoio::time::Sleep>>),
}

/// Future of [`sleep`].
pub struct Sleep {
    deadline: Instant,
    timer: Timer,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let now = now();
        if now >= self.deadline {
            return Poll::Ready(());
        }
        if is_paused() {
            self.poll_paused(cx);
            return Poll::Pending;
        }
        if matches!(self.timer, Timer::Idle) {
            let sleep = monoio::time::sleep(self.deadline - now);
            self.timer = Timer::Real(Box::pin(sleep));
        }
        match &mut self.timer {
            Timer::Real(sleep) => sleep.as_mut().poll(cx),
            Timer::Idle | Timer::Paused(_) => Poll::Pending,
        }
    }
}

impl Sleep {
    fn poll_paused(&mut self, cx: &Context<'_>) {
        let deadline = self.deadline;
        PAUSED_CLOCK.with_borrow_mut(|it| {
            let Some(it) = it.as_mut() else { return };
            let sequence = match self.timer {
                Timer::Paused(sequence) => sequence,
                Timer::Idle | Timer::Real(_) => {
                    it.sequence += 1;
                    it.sequence
                }
            };
            self.timer = Timer::Paused(sequence);
            it.timers.insert((deadline, sequence), cx.waker().clone());
        });
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Timer::Paused(sequence) = self.timer {
            let key = (self.deadline, sequence);
            PAUSED_CLOCK.with_borrow_mut(|it| it.as_mut().map(|it| it.timers.remove(&key)));
        }
    }
}

/// True while this thread's clock is paused.
pub fn is_paused() -> bool {
    PAUSED_CLOCK.with_borrow(|it| it.is_some())
}

/// Pauses this thread's clock until the guard is dropped.
pub(crate) fn pause() -> PauseGuard {
    let state = PausedClock {
        now: Instant::default(),
        sequence: 0,
        timers: BTreeMap::new(),
    };
    PAUSED_CLOCK.set(Some(state));
    PauseGuard(())
}

pub(crate) struct PauseGuard(());

impl Drop for PauseGuard {
    fn drop(&mut self) {
        PAUSED_CLOCK.set(None);
    }
}

/// Advances a paused clock to its next timer and wakes it; false if there is
/// none.
pub(crate) fn advance() -> bool {
    let waker = PAUSED_CLOCK.with_borrow_mut(|it| {
        let it = it.as_mut()?;
        let ((deadline, _), waker) = it.timers.pop_first()?;
        it.now = it.now.max(deadline);
        Some(waker)
    });
    match waker {
        Some(waker) => {
            waker.wake();
            true
        }
        None => false,
    }
}
