/*!
Health of a target, derived from the results of its tasks.

A target is excluded for one of three reasons: connections to it fail, its tasks
fail more often than those of its peers, or its tasks take far longer than the
target's own past tasks. The duration of a failed task never counts as speed, so
a target that fails immediately looks worse, not faster.

An excluded target gets one task at a time as a probe, like a half-open circuit
breaker. After a successful probe, its slots come back in a slow start: one slot
first, then doubling.
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;

/// Weight of one observation in the failure rate.
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of an immediate failure in the failure rate.
const IMMEDIATE_FAILURE_WEIGHT: f64 = 0.45;
/// Failure rate above which a target is excluded: reached by two immediate
/// failures in a row, or by three slow ones.
const MAX_FAILURE_RATE: f64 = 0.6;
/// Failure rate above which a target counts among the failing peers of another.
const PEER_FAILURE_RATE: f64 = 0.25;
/// Weight of one observation in the recent slowness.
const RECENT_WEIGHT: f64 = 0.125;
/// Number of observations over which the long-term slowness is averaged.
const LONG_TERM_WINDOW: f64 = 50.0;
/// Number of observations before recent and long-term slowness are compared.
const MIN_OBSERVATIONS: u32 = 16;
/// Ratio of recent to long-term slowness above which a target is a straggler.
const STRAGGLER_RATIO: f64 = 2.5;
/// Number of overdue tasks in a row at which a target counts as hanging.
const HANGING_TASKS: u32 = 3;
/// Number of slow probes after which the slowness is accepted as long-term.
const MAX_SLOW_PROBES: u32 = 4;
/// Time between an exclusion and the next probe: initial and longest.
const PROBE_BACKOFF: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));

/// Why a target is excluded.
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
    /// Up to this number of slots may be used.
    Available(u32),
    /// Not used until this time, when a probe is due.
    Excluded(Exclusion, Instant),
    /// One task runs as a probe.
    Probing(Exclusion),
}

/// Health of one target.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: State,
    backoff: Duration,
    failure_rate: f64,
    observations: u32,
    /// Natural logarithm of the recent slowness.
    recent_ln: f64,
    /// Natural logarithm of the long-term slowness.
    long_term_ln: f64,
    overdue_in_a_row: u32,
    /// Tasks completed at the current limit of slots.
    successes: u32,
    slow_probes: u32,
    /// The last exclusion was decided by this instance, not by a peer.
    own_exclusion: bool,
}

impl Default for Health {
    /// Health of an unknown target: nominal speed, all slots available.
    fn default() -> Health {
        Health {
            state: State::Available(u32::MAX),
            backoff: PROBE_BACKOFF.0,
            failure_rate: 0.0,
            observations: 0,
            recent_ln: 0.0,
            long_term_ln: 0.0,
            overdue_in_a_row: 0,
            successes: 0,
            slow_probes: 0,
            own_exclusion: true,
        }
    }
}

impl Health {
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Ratio of the run time on this target to the nominal run time, long-term.
    pub(crate) fn slowness(&self) -> f64 {
        self.long_term_ln.exp()
    }

    /// Ratio of recent to long-term slowness.
    pub(crate) fn relative_slowness(&self) -> f64 {
        (self.recent_ln - self.long_term_ln).exp()
    }

    /// Returns true if this target shows failures, so that the same failures on
    /// another target are probably not that target's fault.
    pub(crate) fn shows_failures(&self) -> bool {
        self.failure_rate > PEER_FAILURE_RATE || self.overdue_in_a_row >= HANGING_TASKS
    }

    /// Records a completed task that ran `ratio` times its nominal run time.
    pub(crate) fn record_complete(&mut self, ratio: f64) -> Option<Exclusion> {
        self.observations += 1;
        self.overdue_in_a_row = 0;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        let slow = ratio > self.slowness() * STRAGGLER_RATIO;
        self.update_slowness(ratio);
        if let State::Probing(exclusion) = self.state {
            self.finish_probe(exclusion, slow);
            return slow.then_some(Exclusion::Straggling);
        }
        self.raise_limit();
        let enough = self.observations >= MIN_OBSERVATIONS;
        (enough && self.relative_slowness() > STRAGGLER_RATIO).then_some(Exclusion::Straggling)
    }

    /// Records a failed task. `immediate` is true if it failed far sooner than it
    /// should have ended.
    pub(crate) fn record_failure(&mut self, immediate: bool) -> Option<Exclusion> {
        let weight = if immediate {
            IMMEDIATE_FAILURE_WEIGHT
        } else {
            FAILURE_WEIGHT
        };
        self.failure_rate += weight * (1.0 - self.failure_rate);
        let probing = matches!(self.state, State::Probing(_));
        (probing || self.failure_rate > MAX_FAILURE_RATE).then_some(Exclusion::Failing)
    }

    /// Records a failed connection.
    pub(crate) fn record_unreachable(&mut self) -> Option<Exclusion> {
        Some(Exclusion::Unreachable)
    }

    /// Records a running task that should have ended long ago.
    pub(crate) fn record_overdue(&mut self) -> Option<Exclusion> {
        self.overdue_in_a_row += 1;
        let probing = matches!(self.state, State::Probing(_));
        (probing || self.overdue_in_a_row >= HANGING_TASKS).then_some(Exclusion::Hanging)
    }

    /// Records a task whose end is unknown.
    pub(crate) fn record_unanswered(&mut self) -> Option<Exclusion> {
        self.record_failure(false).map(|_| Exclusion::Hanging)
    }

    /// Records a task whose end tells nothing about the target. If it was a probe,
    /// another one becomes due.
    pub(crate) fn record_inconclusive(&mut self, now: Instant) -> Option<Exclusion> {
        if let State::Probing(exclusion) = self.state {
            self.state = State::Excluded(exclusion, now + self.backoff);
            return Some(exclusion);
        }
        None
    }

    /// Excludes the target until a probe is due.
    pub(crate) fn exclude(&mut self, exclusion: Exclusion, now: Instant) {
        if matches!(self.state, State::Excluded(..)) {
            return;
        }
        self.own_exclusion = true;
        let again = matches!(self.state, State::Probing(_));
        let longer = if again {
            self.backoff * 2
        } else {
            PROBE_BACKOFF.0
        };
        self.backoff = longer.min(PROBE_BACKOFF.1);
        self.state = State::Excluded(exclusion, now + self.backoff);
    }

    /// Excludes the target because a peer did. Such an exclusion is not reported
    /// to other peers.
    pub(crate) fn exclude_for_peer(&mut self, exclusion: Exclusion, now: Instant) {
        self.exclude(exclusion, now);
        self.own_exclusion = false;
    }

    /// Returns true if the last exclusion was this instance's own decision.
    pub(crate) fn is_own_exclusion(&self) -> bool {
        self.own_exclusion
    }

    /// Allows one task as a probe.
    pub(crate) fn start_probe(&mut self) {
        if let State::Excluded(exclusion, _) = self.state {
            self.state = State::Probing(exclusion);
        }
    }

    fn update_slowness(&mut self, ratio: f64) {
        let ratio_ln = ratio.clamp(0.02, 100.0).ln();
        let first = 1.0 / f64::from(self.observations);
        self.recent_ln += first.max(RECENT_WEIGHT) * (ratio_ln - self.recent_ln);
        // A temporary slowdown must not become the long-term slowness: it counts
        // only up to a limit, and not at all once the target is excluded.
        let enough = self.observations > MIN_OBSERVATIONS;
        if enough && !matches!(self.state, State::Available(_)) {
            return;
        }
        let limit = self.long_term_ln + STRAGGLER_RATIO.ln();
        let ratio_ln = if enough {
            ratio_ln.min(limit)
        } else {
            ratio_ln
        };
        self.long_term_ln += first.max(1.0 / LONG_TERM_WINDOW) * (ratio_ln - self.long_term_ln);
    }

    fn finish_probe(&mut self, exclusion: Exclusion, slow: bool) {
        if !slow {
            self.readmit();
            return;
        }
        self.slow_probes += 1;
        if self.slow_probes >= MAX_SLOW_PROBES && exclusion == Exclusion::Straggling {
            self.long_term_ln = self.recent_ln;
            self.readmit();
        }
    }

    fn readmit(&mut self) {
        self.state = State::Available(1);
        self.recent_ln = self.long_term_ln;
        self.failure_rate = 0.0;
        self.successes = 0;
        self.slow_probes = 0;
    }

    fn raise_limit(&mut self) {
        let State::Available(limit) = self.state else {
            return;
        };
        if limit == u32::MAX {
            return;
        }
        self.successes += 1;
        if self.successes >= limit {
            self.successes = 0;
            // A limit above 64 exceeds the slots of any target, so it is lifted.
            let next = limit * 2;
            self.state = State::Available(if next > 64 { u32::MAX } else { next });
        }
    }
}
