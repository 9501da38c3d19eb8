/*!
What an owner knows of one target.

The target's listings are taken in by its own clock: one that is older than the
newest is dropped, as answers on different connections overtake each other. A
start without an answer keeps its room until a listing under a higher fencing
token shows whether it was carried out.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bluebellpath_runtime::{Instant, Notify, clock};
use futures_channel::oneshot;

use crate::{
    Resources, Target, TaskId,
    circuit_breaker::CircuitBreaker,
    messages::{RunOutcome, RunRequest},
    run_time::Estimator,
    target_client::{ExitStatus, Status},
};

/// Run of a task.
pub(super) type Key = (TaskId, u32);

/// Ends without a taker that are remembered for a later claim.
const MAX_ENDS: usize = 256;

/// Greatest error of a target's clock rate.
const CLOCK_DRIFT: f64 = 0.02;

/// Margin on the end of a lease for the way of an order.
const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Stage of a run on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The order to start is under way.
    Starting,
    /// The order got no answer; it may run, or start yet.
    Doubtful,
    /// It runs.
    Running,
    /// It runs, or may start yet, and is to be stopped.
    Stopping,
    /// It was found there, started by another owner.
    Unclaimed,
}

/// Run on a target.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) phase: Phase,
    /// Unknown for a run of another owner.
    pub(super) order: Option<RunRequest>,
    pub(super) reply: Option<oneshot::Sender<RunOutcome>>,
    pub(super) front: Option<SocketAddr>,
    pub(super) since: Instant,
    /// Fencing token of its start.
    pub(super) fence: u64,
    /// Target's clock when it acknowledged the start.
    pub(super) started_ms: Option<u64>,
    pub(super) start_by: Instant,
    pub(super) give_up: Instant,
    /// Time by which a front must have claimed it, if it has none.
    pub(super) claim_by: Option<Instant>,
}

/// Consequence of a listing for one run.
#[derive(Debug)]
pub(super) enum Effect {
    /// It ended.
    Ended(Key, Run, ExitStatus),
    /// It is over without an end that is known.
    Gone(Key, Run),
    /// Its start never took effect and can't any more.
    Void(Key, Run),
}

/// Target that is owned, or about to be.
pub(super) struct Held {
    /// Its short name in messages between instances.
    pub(super) short_id: u32,
    pub(super) target: RefCell<Target>,
    pub(super) state: RefCell<State>,
    /// Wakes its watch for a look without delay.
    pub(super) urgent: Notify,
    pub(super) released: Cell<bool>,
    /// Number of the last look that somebody asked for.
    pub(super) asked: Cell<u64>,
    /// Number of the last one that was answered.
    pub(super) answered: Cell<u64>,
    /// Wakes those who asked for a look.
    pub(super) looked: Notify,
}

/// What is known of it.
pub(super) struct State {
    pub(super) fence: u64,
    /// True while what runs there is known.
    pub(super) known: bool,
    /// True once the target has obeyed this owner.
    pub(super) taken: bool,
    clock: Option<(u64, Instant)>,
    /// Time after which nothing can run there under the leases granted.
    pub(super) lease_end: Instant,
    pub(super) seen: u64,
    newest_ms: u64,
    incarnation_ms: Option<u64>,
    pub(super) runs: BTreeMap<Key, Run>,
    ends: VecDeque<(Key, ExitStatus)>,
    pub(super) speed: Estimator,
    pub(super) trust: CircuitBreaker,
    pub(super) heard: Instant,
}

impl Held {
    pub(super) fn new(target: Target, fence: u64) -> Held {
        let now = clock::now();
        Held {
            short_id: Target::short_id(&target.id),
            target: RefCell::new(target),
            state: RefCell::new(State {
                fence,
                known: false,
                taken: false,
                clock: None,
                lease_end: now,
                seen: 0,
                newest_ms: 0,
                incarnation_ms: None,
                runs: BTreeMap::new(),
                ends: VecDeque::new(),
                speed: Estimator::default(),
                trust: CircuitBreaker::default(),
                heard: now,
            }),
            urgent: Notify::new(),
            released: Cell::new(false),
            asked: Cell::new(0),
            answered: Cell::new(0),
            looked: Notify::new(),
        }
    }

    /// Looks at the target now, waiting up to `wait`; gives the look's number.
    ///
    /// An owner that was fenced off learns of it only with its next look.
    pub(super) async fn look(&self, wait: Duration) -> u64 {
        let number = self.asked.get() + 1;
        self.asked.set(number);
        self.urgent.notify();
        let answered = async {
            while self.answered.get() < number && !self.released.get() {
                self.looked.notified().await;
            }
        };
        clock::timeout(wait, answered).await;
        number
    }

    /// True when the target obeyed this owner at the look `number`, and nothing
    /// else has been heard since.
    pub(super) fn obeyed(&self, number: u64) -> bool {
        self.answered.get() >= number && !self.released.get() && self.state.borrow().known
    }

    /// Room for new tasks, nothing while unknown runs take some of it.
    pub(super) fn free(&self) -> Resources {
        let state = self.state.borrow();
        let mut free = self.target.borrow().capacity;
        for run in state.runs.values() {
            match &run.order {
                Some(order) => free = free.minus(order.resources),
                None => return Resources::default(),
            }
        }
        free
    }

    /// True while tasks may be started there.
    pub(super) fn is_open(&self) -> bool {
        let state = self.state.borrow();
        state.known && !self.released.get() && !self.target.borrow().draining
    }

    /// True while it has to wait, or to prove itself with a single task.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.trust.is_open(now) || !state.trust.is_closed() && !state.runs.is_empty()
    }
}

impl State {
    /// End of a lease of `length` from now, on the target's clock.
    pub(super) fn lease(&self, length: Duration) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let elapsed = clock::now() - at;
        Some(clock_ms + millis(elapsed) + millis(length))
    }

    /// Notes that an order with a lease of `length` is about to leave.
    pub(super) fn grant(&mut self, length: Duration) {
        let longest = length.mul_f64(1.0 + 2.0 * CLOCK_DRIFT) + LEASE_MARGIN;
        self.lease_end = self.lease_end.max(clock::now() + longest);
    }

    /// Treats starts in doubt as if the token had been raised since.
    pub(super) fn believe_raised(&mut self) {
        for run in self.runs.values_mut() {
            if run.started_ms.is_none() {
                run.fence = run.fence.saturating_sub(1);
            }
        }
    }

    /// Notes the target's clock from an answer.
    pub(super) fn sync(&mut self, clock_ms: u64) {
        if self.clock.is_none_or(|it| clock_ms >= it.0) {
            self.clock = Some((clock_ms, clock::now()));
        }
        self.heard = clock::now();
    }

    /// Forgets the clock, whose reading was refused.
    pub(super) fn unsync(&mut self) {
        self.clock = None;
    }

    /// Takes in a listing that was asked for under `fence`.
    pub(super) fn apply(
        &mut self,
        listing: &Status,
        fence: u64,
        claim_wait: Duration,
    ) -> Vec<Effect> {
        let reborn = matches!((self.incarnation_ms, listing.incarnation_ms), (Some(old), Some(new)) if old != new);
        let mut effects = Vec::new();
        if reborn {
            effects.extend(self.drop_all());
            self.forget_life();
        } else if listing.clock_ms < self.newest_ms || fence < self.fence {
            return effects;
        }
        self.incarnation_ms = listing.incarnation_ms.or(self.incarnation_ms);
        self.newest_ms = listing.clock_ms;
        self.sync(listing.clock_ms);
        for end in &listing.ended {
            if end.number <= self.seen {
                continue;
            }
            self.seen = end.number;
            let key = (end.task, end.run);
            match self.runs.remove(&key) {
                Some(run) => effects.push(Effect::Ended(key, run, end.exit_status)),
                None => {
                    self.ends.push_back((key, end.exit_status));
                    if self.ends.len() > MAX_ENDS {
                        self.ends.pop_front();
                    }
                }
            }
        }
        let now = clock::now();
        for row in &listing.running {
            let key = (row.task, row.run);
            let run = self.runs.entry(key).or_insert_with(|| Run {
                phase: Phase::Unclaimed,
                order: None,
                reply: None,
                front: None,
                since: now,
                fence,
                started_ms: Some(listing.clock_ms),
                start_by: now,
                give_up: now,
                claim_by: Some(now + claim_wait),
            });
            if run.phase == Phase::Doubtful {
                run.phase = Phase::Running;
                run.started_ms = Some(listing.clock_ms);
            }
        }
        let present = |key: &Key| listing.running.iter().any(|it| (it.task, it.run) == *key);
        let absent: Vec<Key> = self
            .runs
            .keys()
            .filter(|it| !present(it))
            .copied()
            .collect();
        for key in absent {
            let Some(run) = self.runs.get(&key) else {
                continue;
            };
            let settled = run.started_ms.is_some_and(|it| listing.clock_ms > it);
            let void = run.started_ms.is_none() && run.fence < fence;
            let gone = match run.phase {
                Phase::Starting => false,
                Phase::Doubtful => void,
                Phase::Running | Phase::Unclaimed => settled,
                Phase::Stopping => settled || void,
            };
            if gone && let Some(run) = self.runs.remove(&key) {
                effects.push(match run.phase {
                    Phase::Doubtful => Effect::Void(key, run),
                    _ => Effect::Gone(key, run),
                });
            }
        }
        self.known = true;
        self.taken = true;
        effects
    }

    /// Ends every run, none of which can be there any more.
    pub(super) fn drop_all(&mut self) -> Vec<Effect> {
        let runs = std::mem::take(&mut self.runs);
        runs.into_iter()
            .map(|(key, run)| Effect::Gone(key, run))
            .collect()
    }

    /// Forgets what belonged to one life of the target.
    pub(super) fn forget_life(&mut self) {
        self.known = false;
        self.clock = None;
        self.seen = 0;
        self.newest_ms = 0;
        self.incarnation_ms = None;
        self.ends.clear();
        self.trust = CircuitBreaker::default();
    }

    /// End of `key` that nobody has asked for.
    pub(super) fn take_end(&mut self, key: Key) -> Option<ExitStatus> {
        let at = self.ends.iter().position(|it| it.0 == key)?;
        self.ends.remove(at).map(|it| it.1)
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
