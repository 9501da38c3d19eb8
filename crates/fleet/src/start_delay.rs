/*!
Measured delay between the arrival of tasks at an owner and their start.

Load: many frontends admit jobs at the same time against room that they learned up to
a tenth of a second ago. At some thousand tasks a second each of them sees the same
targets become free, and together they admit far more than fits. A forecast from that
room can't show it; the delay that tasks have just met can. Frontends therefore admit
a job only if it ends within its goal after the delay that owners measure.

An owner keeps one [`Measurement`] for each priority. Tasks that still wait count with
the time that they have waited so far, so that a backlog shows before it moves.
*/

use std::{collections::BTreeMap, time::Duration};

use bluebellpath_runtime::Instant;

/// Time constant of the exponential decay. A burst must show within a fraction of a
/// second, and must not be held against callers once it has passed.
const DECAY_TIME: Duration = Duration::from_millis(200);

/// Number of undelayed starts that are assumed beside the measured ones. While nothing
/// starts, the measured delay fades.
const PRIOR_STARTS: f64 = 3.0;

/// Decaying sum of start delays.
#[derive(Clone, Copy, Debug, Default)]
struct Measurement {
    delay_ms: f64,
    starts: f64,
    updated: Instant,
}

impl Measurement {
    fn decayed(self, now: Instant) -> Measurement {
        let decay = (-(now - self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        Measurement {
            delay_ms: self.delay_ms * decay,
            starts: self.starts * decay,
            updated: now,
        }
    }

    fn add(&mut self, delay: Duration) {
        self.delay_ms += delay.as_secs_f64() * 1_000.0;
        self.starts += 1.0;
    }
}

/// Start delays at one owner, by priority.
#[derive(Clone, Debug, Default)]
pub struct StartDelays {
    measurements: BTreeMap<u8, Measurement>,
}

/// Start delay of one priority at one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartDelay {
    /// Number of recent starts and of waiting tasks.
    pub starts: u16,
    /// Their mean delay in milliseconds.
    pub mean_ms: u16,
}

impl StartDelays {
    /// Records that a task of `priority` started after `delay`.
    pub fn record(&mut self, priority: u8, delay: Duration, now: Instant) {
        let entry = self.measurements.entry(priority).or_default();
        *entry = entry.decayed(now);
        entry.add(delay);
    }

    /// Delays by priority, with the tasks that wait now, each given by its priority and
    /// the time that it has waited.
    pub fn summarize(
        &self,
        waiting: impl Iterator<Item = (u8, Duration)>,
        now: Instant,
    ) -> BTreeMap<u8, StartDelay> {
        let mut sums: BTreeMap<u8, Measurement> = BTreeMap::new();
        for (priority, measurement) in &self.measurements {
            sums.insert(*priority, measurement.decayed(now));
        }
        for (priority, waited) in waiting {
            sums.entry(priority).or_default().add(waited);
        }
        let delays = sums.into_iter().filter(|(_, it)| it.starts >= 0.5);
        delays
            .map(|(priority, it)| {
                let delay = StartDelay {
                    starts: it.starts.round() as u16,
                    mean_ms: (it.delay_ms / it.starts).round() as u16,
                };
                (priority, delay)
            })
            .collect()
    }
}

/// Expected delay until the last of `tasks` tasks of `priority` starts, from the delays
/// that all owners measured for it and for higher priorities.
///
/// Delays are taken as exponentially distributed, whose largest of `n` is the mean times
/// the harmonic number of `n`.
pub fn expected_delay(
    priority: u8,
    tasks: u16,
    measured: impl Iterator<Item = (u8, StartDelay)>,
) -> Duration {
    let mut sums: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
    for (measured_priority, it) in measured.filter(|it| it.0 <= priority) {
        let sum = sums.entry(measured_priority).or_default();
        sum.0 += f64::from(it.starts) * f64::from(it.mean_ms);
        sum.1 += f64::from(it.starts);
    }
    // Work of a lower priority starts after that of a higher one.
    let means = sums.values().map(|it| it.0 / (it.1 + PRIOR_STARTS));
    let mean_ms = means.fold(0.0, f64::max);
    let harmonic: f64 = (1..=tasks).map(|it| 1.0 / f64::from(it)).sum();
    Duration::from_secs_f64(mean_ms * harmonic.sqrt() / 1_000.0)
}
