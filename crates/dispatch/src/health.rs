/*!
What is known of a target's state, from the ends of its tasks.

Three findings shut a target out: connections that fail, tasks that fail more
often than at its peers, and tasks that run far longer than the target's own
past. Time spent on a failed task is never taken for speed, so a target that
fails at once looks worse and not faster. A target that is out gets one task at
a time as a probe; when that ends well, its slots come back by doubling.
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;

/// Weight of one observation in the rate of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of a failure that came at once.
const AT_ONCE_WEIGHT: f64 = 0.45;
/// Rate of failures above which a target is suspected: two at once in a row, or
/// three slow ones.
const FAILING: f64 = 0.6;
/// Rate of failures above which a target counts among failing peers.
const PEER_FAILING: f64 = 0.25;
/// Weight of one observation in the recent slowness.
const RECENT_WEIGHT: f64 = 0.125;
/// Observations that the lasting slowness remembers.
const LASTING: f64 = 50.0;
/// Observations before recent and lasting slowness are compared.
const SETTLED: u32 = 16;
/// Recent over lasting slowness at which a target is a straggler.
const STRAGGLING: f64 = 2.5;
/// Overdue tasks in a row at which a target is taken to hang.
const HANGING: u32 = 3;
/// Slow probes after which the slowness is taken to last.
const LASTING_PROBES: u32 = 4;
/// Times between a finding and a probe: the first, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));

/// Why a target is shut out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// Connections to it fail.
    Unreachable,
    /// Its tasks fail more often than those of its peers.
    Failing,
    /// Its tasks take far longer than before.
    Straggling,
    /// Its tasks don't end.
    Hanging,
}

/// Whether a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Up to so many slots.
    Open(u32),
    /// Not until then, when it may be probed.
    Out(Exclusion, Instant),
    /// One task at a time, to find out.
    Probing(Exclusion),
}

/// State of one target.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: State,
    backoff: Duration,
    failures: f64,
    observations: u32,
    /// Natural logarithms of slowness.
    recent: f64,
    lasting: f64,
    overdue: u32,
    successes: u32,
    slow_probes: u32,
    /// Shut out by this instance's own finding.
    own: bool,
}

impl Default for Health {
    /// Nothing known: nominal speed, all slots.
    fn default() -> Health {
        Health {
            state: State::Open(u32::MAX),
            backoff: BACKOFF.0,
            failures: 0.0,
            observations: 0,
            recent: 0.0,
            lasting: 0.0,
            overdue: 0,
            successes: 0,
            slow_probes: 0,
            own: true,
        }
    }
}

impl Health {
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Run time here over nominal run time.
    pub(crate) fn slowness(&self) -> f64 {
        self.lasting.exp()
    }

    /// Recent over lasting slowness.
    pub(crate) fn excess(&self) -> f64 {
        (self.recent - self.lasting).exp()
    }

    /// True when this target alone would not be blamed for a failure.
    pub(crate) fn is_dubious(&self) -> bool {
        self.failures > PEER_FAILING || self.overdue >= HANGING
    }

    /// Takes in a task that ran `ratio` times its nominal run time.
    pub(crate) fn complete(&mut self, ratio: f64) -> Option<Exclusion> {
        self.observations += 1;
        self.overdue = 0;
        self.failures *= 1.0 - FAILURE_WEIGHT;
        let slow = ratio > self.slowness() * STRAGGLING;
        self.observe(ratio);
        if let State::Probing(finding) = self.state {
            self.probed(finding, slow);
            return slow.then_some(Exclusion::Straggling);
        }
        self.ramp();
        let settled = self.observations >= SETTLED;
        (settled && self.excess() > STRAGGLING).then_some(Exclusion::Straggling)
    }

    /// Takes in a task that failed, `at_once` when far sooner than it should
    /// have ended.
    pub(crate) fn failed(&mut self, at_once: bool) -> Option<Exclusion> {
        let weight = if at_once {
            AT_ONCE_WEIGHT
        } else {
            FAILURE_WEIGHT
        };
        self.failures += weight * (1.0 - self.failures);
        let probing = matches!(self.state, State::Probing(_));
        (probing || self.failures > FAILING).then_some(Exclusion::Failing)
    }

    /// Takes in a connection that failed.
    pub(crate) fn unreachable(&mut self) -> Option<Exclusion> {
        Some(Exclusion::Unreachable)
    }

    /// Takes in a running task that should have ended long ago.
    pub(crate) fn overdue(&mut self) -> Option<Exclusion> {
        self.overdue += 1;
        let probing = matches!(self.state, State::Probing(_));
        (probing || self.overdue >= HANGING).then_some(Exclusion::Hanging)
    }

    /// Takes in a task whose end is not known.
    pub(crate) fn unanswered(&mut self) -> Option<Exclusion> {
        self.failed(false).map(|_| Exclusion::Hanging)
    }

    /// Takes in an end that says nothing of the target; a probe is due again.
    pub(crate) fn inconclusive(&mut self, now: Instant) -> Option<Exclusion> {
        if let State::Probing(finding) = self.state {
            self.state = State::Out(finding, now + self.backoff);
            return Some(finding);
        }
        None
    }

    /// Shuts the target out until a probe is due.
    pub(crate) fn shut(&mut self, finding: Exclusion, now: Instant) {
        if matches!(self.state, State::Out(..)) {
            return;
        }
        self.own = true;
        let again = matches!(self.state, State::Probing(_));
        let longer = if again { self.backoff * 2 } else { BACKOFF.0 };
        self.backoff = longer.min(BACKOFF.1);
        self.state = State::Out(finding, now + self.backoff);
    }

    /// Shuts the target out on a peer's word, which is not passed on.
    pub(crate) fn suspect(&mut self, finding: Exclusion, now: Instant) {
        self.shut(finding, now);
        self.own = false;
    }

    /// True when this instance itself found reason to shut the target out.
    pub(crate) fn is_own(&self) -> bool {
        self.own
    }

    /// Allows one task.
    pub(crate) fn probe(&mut self) {
        if let State::Out(finding, _) = self.state {
            self.state = State::Probing(finding);
        }
    }

    fn observe(&mut self, ratio: f64) {
        let log = ratio.clamp(0.02, 100.0).ln();
        let first = 1.0 / f64::from(self.observations);
        self.recent += first.max(RECENT_WEIGHT) * (log - self.recent);
        // A straggling spell is not to become the lasting slowness: it counts up
        // to a limit, and not at all once it was found.
        let settled = self.observations > SETTLED;
        if settled && !matches!(self.state, State::Open(_)) {
            return;
        }
        let limit = self.lasting + STRAGGLING.ln();
        let log = if settled { log.min(limit) } else { log };
        self.lasting += first.max(1.0 / LASTING) * (log - self.lasting);
    }

    fn probed(&mut self, finding: Exclusion, slow: bool) {
        if !slow {
            self.open();
            return;
        }
        self.slow_probes += 1;
        if self.slow_probes >= LASTING_PROBES && finding == Exclusion::Straggling {
            self.lasting = self.recent;
            self.open();
        }
    }

    fn open(&mut self) {
        self.state = State::Open(1);
        self.recent = self.lasting;
        self.failures = 0.0;
        self.successes = 0;
        self.slow_probes = 0;
    }

    fn ramp(&mut self) {
        let State::Open(limit) = self.state else {
            return;
        };
        if limit == u32::MAX {
            return;
        }
        self.successes += 1;
        if self.successes >= limit {
            self.successes = 0;
            // Past the slots of any target there is nothing left to hold back.
            let next = limit * 2;
            self.state = State::Open(if next > 64 { u32::MAX } else { next });
        }
    }
}
