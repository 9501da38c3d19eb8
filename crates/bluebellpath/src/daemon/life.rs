/*!
The life of a daemon: [`Starting`], [`Serving`], [`Draining`], [`Stopped`].

Each stage is a type, and only its methods lead on, so that nothing is closed
before the balancer had time to see that the instance is not ready. A drain
goes in this order: not ready, but accepting for the grace; shards of callers'
keys handed to the peers; listener closed once its backlog is empty; connections ended one by one as they fall idle; jobs
without an answer waited for. Its limit, or a second request to stop, ends it
with work left, and [`Life::left`] says which.
*/

use std::time::Duration;

use bluebellpath_runtime::clock;
use futures_util::future::{Either, select};
use slog::{Logger, info, warn};

use super::Stops;
use crate::{
    entry::{Entry, PendingWork},
    http::Closer,
    peer::Phase,
    settings,
};

/// Time between two looks at what is left.
const POLL: Duration = Duration::from_millis(20);

/// Longest wait for a first target before the instance counts as ready.
const MAX_START: Duration = Duration::from_secs(5);

/// Longest time for handing over what outlives the instance.
const MAX_RELEASE: Duration = Duration::from_secs(10);

/// Stage before the first target is known.
pub struct Starting;

/// Stage of ordinary service.
pub struct Serving;

/// Stage between the request to stop and the end.
pub struct Draining;

/// Stage after which the process exits.
pub struct Stopped {
    left: PendingWork,
    connections: usize,
}

/// Life of a daemon in the stage `S`.
pub struct Life<S> {
    entry: Entry,
    closer: Closer,
    times: settings::Drain,
    log: Logger,
    stage: S,
}

impl Life<Starting> {
    /// Life of an instance that has just begun to listen.
    pub fn new(entry: Entry, closer: Closer, times: settings::Drain, log: Logger) -> Self {
        entry.set_phase(Phase::Starting);
        Life {
            entry,
            closer,
            times,
            log,
            stage: Starting,
        }
    }

    /// Waits until the instance can run tasks, then tells that it is ready.
    pub async fn ready(self) -> Life<Serving> {
        while !self.entry.config().is_ready() {
            clock::sleep(POLL).await;
        }
        let deadline = clock::now() + MAX_START;
        while !self.entry.has_targets() && clock::now() < deadline {
            clock::sleep(POLL).await;
        }
        self.entry.set_phase(Phase::Serving);
        info!(self.log, "serving");
        self.enter(Serving)
    }
}

impl Life<Serving> {
    /// Serves until the first request to stop.
    pub async fn until(self, stops: &mut Stops) -> Life<Draining> {
        stops.next().await;
        self.entry.set_phase(Phase::Draining);
        let work = self.entry.pending_work();
        info!(self.log, "draining"; "jobs" => work.jobs, "running" => work.running);
        self.enter(Draining)
    }
}

impl Life<Draining> {
    /// Finishes what the instance has, unless another request to stop comes
    /// or the limit passes first.
    pub async fn finish(self, stops: &mut Stops) -> Life<Stopped> {
        let finished = {
            let drain = std::pin::pin!(self.drain());
            let again = std::pin::pin!(stops.next());
            match select(drain, again).await {
                Either::Left((finished, _)) => finished,
                Either::Right(_) => false,
            }
        };
        let left = self.entry.pending_work();
        let connections = self.closer.open();
        if finished {
            info!(self.log, "stopped");
        } else {
            warn!(self.log, "stopped before the end";
                "jobs" => left.jobs, "waiting" => left.waiting, "running" => left.running,
                "unwritten" => left.unwritten, "connections" => connections);
        }
        self.enter(Stopped { left, connections })
    }

    async fn drain(&self) -> bool {
        clock::sleep(self.times.grace).await;
        // Peers pass on no new work for callers' keys once others own them;
        // under load an owner would never be idle.
        self.entry.hand_over_shards().await;
        self.closer.close();
        let idle = async {
            while !self.closer.is_done() || !self.entry.pending_work().is_drained() {
                clock::sleep(POLL).await;
            }
        };
        if clock::timeout(self.times.limit, idle).await.is_none() {
            return false;
        }
        match clock::timeout(MAX_RELEASE, self.entry.close()).await {
            Some(Ok(())) => true,
            Some(Err(error)) => {
                warn!(self.log, "record not written to its end"; "error" => %error);
                false
            }
            None => false,
        }
    }
}

impl Life<Stopped> {
    /// Work that was not finished.
    pub fn left(&self) -> PendingWork {
        self.stage.left
    }

    /// True when nothing was cut off and the record is written.
    pub fn is_clean(&self) -> bool {
        let left = self.stage.left;
        left.is_drained() && left.unwritten == 0 && self.stage.connections == 0
    }
}

impl<S> Life<S> {
    fn enter<T>(self, stage: T) -> Life<T> {
        Life {
            entry: self.entry,
            closer: self.closer,
            times: self.times,
            log: self.log,
            stage,
        }
    }
}
