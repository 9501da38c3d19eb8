//! Metrics and state dumps of an entry instance.

use bluebellpath_runtime::clock;

use super::{Entry, job::Job};
use crate::{
    dump::{self, Table},
    metric::Sample,
};

impl Entry {
    /// Returns all metrics as text.
    pub fn metrics(&self) -> String {
        let state = &self.0;
        let (work, read_ms) = (self.pending_work(), state.deps.config.read_ms());
        state.meters.read(&Sample {
            jobs: state.jobs.len() as u64,
            waiting: work.waiting as u64,
            running: work.running as u64,
            targets: state.targets.borrow().len() as u64,
            peers: state.membership.peers().len() as u64,
            leases: state.claims.held().len() as u64,
            unwritten: work.unwritten as u64,
            heartbeat_bytes: state.membership.traffic().sent_bytes,
            config_version: state.deps.config.view().version,
            // A configuration from a file has no read time and is always current.
            config_age_ms: read_ms.map_or(0, |it| clock::wall().saturating_sub(it)),
            callers: state.deps.callers.usage(),
            ..Sample::default()
        })
    }

    /// Returns the state of this instance, with at most `limit` rows per table.
    pub fn dump(&self, limit: usize) -> dump::State {
        let state = &self.0;
        let (view, work) = (state.deps.config.view(), self.pending_work());
        let shards = state.claims.held();
        dump::State {
            instance: state.config.name.clone(),
            incarnation: state.config.incarnation,
            phase: self.phase(),
            wall_ms: clock::wall(),
            config_version: view.version,
            preset: view.document.preset.clone(),
            unconfirmed_since: view.unconfirmed_since,
            waiting: work.waiting,
            running: work.running,
            unwritten: work.unwritten,
            jobs: self.dump_jobs(limit),
            targets: self.dump_targets(limit),
            peers: self.dump_peers(limit),
            shards: Table::new(shards.len(), shards.iter().copied(), limit),
        }
    }

    fn dump_jobs(&self, limit: usize) -> Table<dump::Job> {
        let jobs = &self.0.jobs;
        let oldest = jobs.oldest(limit);
        Table::new(jobs.len(), oldest.iter().map(|it| job_row(it)), limit)
    }

    fn dump_targets(&self, limit: usize) -> Table<dump::Target> {
        let targets = self.0.targets.borrow();
        let mut ids: Vec<_> = targets.keys().copied().collect();
        ids.sort_unstable();
        let rows = ids.iter().map(|id| {
            let target = &targets[id];
            dump::Target {
                name: target.name.clone(),
                address: target.address,
                state: target.state,
                slots: target.slots,
            }
        });
        Table::new(targets.len(), rows, limit)
    }

    fn dump_peers(&self, limit: usize) -> Table<dump::Peer> {
        let peers = self.0.membership.peers();
        let rows = peers.iter().map(|it| dump::Peer {
            name: it.identity.name.clone(),
            incarnation: it.identity.incarnation,
            phase: it.heartbeat.phase,
            config_version: it.heartbeat.config_version,
        });
        Table::new(peers.len(), rows, limit)
    }
}

fn job_row(job: &Job) -> dump::Job {
    dump::Job {
        id: job.id.clone(),
        team: job.submission.team.clone(),
        age_ms: (clock::now() - job.created).as_millis() as u64,
        deadline_ms: job.submission.deadline_ms,
        tasks: job.submission.tasks.len(),
        running: job.running_tasks().len(),
        answered: job.is_answered(),
        cancelled: job.cancelled.get(),
    }
}
