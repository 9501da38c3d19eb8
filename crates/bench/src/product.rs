//! Entry instances that decide as the product does.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bluebellpath_dispatch::{
    Assignment, Dispatcher, Ending, Exclusion, InstanceId, Job as Queued, JobId, KindId, NextStep,
    NotStarted, Policy, Report, SlotLedger, SlotStatus, Target, TargetId, TargetSlots, Task, Team,
    TeamId,
};
use bluebellpath_runtime::Instant;

use crate::{
    deployment::{Domain, RACK, SLOTS},
    scheduler::{End, Scheduler, Start, Verdict},
    trace::{Job, TEAMS, share, weight},
};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time before a heartbeat in which slots are set aside for it.
const LEAD: Duration = Duration::from_millis(300);
/// Seconds of its quota that a team's burst holds.
const BURST: f64 = 5.0;
/// Starts that a burst holds besides: a job of a modest team.
const LARGEST: f64 = 40.0;

/// What a heartbeat brings to a peer.
#[derive(Clone)]
struct Mail {
    from: usize,
    to: usize,
    notice: SlotStatus,
    suspects: Vec<(TargetId, Exclusion)>,
}

struct Instance {
    dispatcher: Dispatcher,
    ledger: SlotLedger,
    next_beat: Instant,
    prepared: bool,
    told: bool,
}

/// Entry instances that decide as the product does.
pub struct Product<'a> {
    domain: &'a Domain,
    instances: Vec<Instance>,
    mail: BTreeMap<(Instant, u64), Mail>,
    sequence: u64,
    jobs: BTreeMap<usize, Rc<Job>>,
    assignments: BTreeMap<Start, Assignment>,
    extra: u64,
}

impl<'a> Product<'a> {
    /// Entry instances of `domain` under `policy`, with quotas of the whole
    /// capacity when `quotas` is set.
    pub fn new(domain: &'a Domain, policy: Policy, quotas: Option<f64>) -> Product<'a> {
        let mut instances = Vec::new();
        for (index, part) in domain.shares.iter().enumerate() {
            let mut dispatcher = Dispatcher::new(policy);
            for team in 0..TEAMS {
                let quota = quotas.map(|it| it * share(team) * part);
                dispatcher.set_team(TeamId(team), team_of(team, quota));
            }
            let targets = (0..domain.slowness.len()).map(|it| TargetSlots {
                target: it as u32,
                slots: SLOTS,
            });
            let mut ledger = SlotLedger::new(InstanceId(index as u64 + 1));
            ledger.set_targets(targets);
            ledger.set_membership_complete(domain.shares.len() == 1);
            instances.push(Instance {
                dispatcher,
                ledger,
                next_beat: Instant::default(),
                prepared: false,
                told: false,
            });
        }
        Product {
            domain,
            instances,
            mail: BTreeMap::new(),
            sequence: 0,
            jobs: BTreeMap::new(),
            assignments: BTreeMap::new(),
            extra: 0,
        }
    }

    fn beat(&mut self, index: usize, now: Instant) {
        let instance = &mut self.instances[index];
        let dispatcher = &instance.dispatcher;
        let demand = instance.demand();
        let used = |target| dispatcher.used(TargetId(target));
        let notice = instance.ledger.next_status(now, demand, used);
        let findings = instance.dispatcher.exclusions();
        let suspects: Vec<_> = findings.map(|(id, finding, _)| (id, finding)).collect();
        self.apply(index, now);
        for to in (0..self.instances.len()).filter(|it| *it != index) {
            self.sequence += 1;
            let mail = Mail {
                from: index,
                to,
                notice: notice.clone(),
                suspects: suspects.clone(),
            };
            let at = now + self.domain.one_way;
            self.mail.insert((at, self.sequence), mail);
        }
    }

    fn hear(&mut self, mail: Mail, now: Instant) {
        let count = self.instances.len();
        let instance = &mut self.instances[mail.to];
        let account = InstanceId(mail.from as u64 + 1);
        instance.ledger.receive(account, mail.notice);
        let heard: BTreeSet<InstanceId> = (1..=count as u64).map(InstanceId).collect();
        instance.ledger.retain_peers(&heard);
        instance.ledger.set_membership_complete(true);
        instance.ledger.claim(now);
        for (target, finding) in mail.suspects {
            instance
                .dispatcher
                .apply_peer_exclusion(target, finding, now);
        }
        let first = !std::mem::replace(&mut instance.told, true);
        self.apply(mail.to, now);
        if first {
            self.extra += 1;
            self.beat(mail.to, now);
        }
    }

    fn apply(&mut self, index: usize, now: Instant) {
        let instance = &mut self.instances[index];
        for target in 0..self.domain.slowness.len() as u32 {
            let target = Target {
                id: TargetId(target),
                slots: SLOTS,
                credit: instance.ledger.credit(target),
                rack: target / RACK,
                leaving: false,
            };
            instance.dispatcher.set_target(target, now);
        }
    }
}

impl Instance {
    fn prepare_at(&self) -> Instant {
        Instant::from_nanos(
            self.next_beat
                .as_nanos()
                .saturating_sub(LEAD.as_nanos() as u64),
        )
    }

    fn demand(&self) -> u32 {
        (self.dispatcher.waiting() + self.dispatcher.running()) as u32
    }
}

fn team_of(team: u32, starts_per_s: Option<f64>) -> Team {
    let weight = weight(team);
    match starts_per_s {
        Some(sustained_per_s) => Team {
            weight,
            sustained_per_s,
            burst: sustained_per_s * BURST + LARGEST,
        },
        None => Team {
            weight,
            ..Team::default()
        },
    }
}

fn queued(index: usize, job: &Job) -> Queued {
    let task = |(index, it): (usize, &crate::trace::Task)| Task {
        index: index as u32,
        kind: KindId(it.kind),
        size: it.size,
        declared_run_time: it.declared,
        idempotent: it.idempotent,
    };
    Queued {
        id: JobId(index as u64),
        team: TeamId(job.team),
        deadline: job.deadline,
        input_bytes: 0,
        tasks: job.tasks.iter().enumerate().map(task).collect(),
    }
}

fn ending(end: End) -> Ending {
    match end {
        End::Complete => Ending::Complete,
        End::Failed => Ending::Failed,
        End::Unknown => Ending::Unknown,
        End::Stopped => Ending::Stopped,
        End::Full => Ending::NotStarted(NotStarted::Full),
        End::Leaving => Ending::NotStarted(NotStarted::Leaving),
        End::Unreachable => Ending::NotStarted(NotStarted::Unreachable),
    }
}

impl Scheduler for Product<'_> {
    fn submit(&mut self, index: usize, job: &Rc<Job>, now: Instant) -> bool {
        let dispatcher = &mut self.instances[job.entry].dispatcher;
        let accepted = dispatcher.submit(queued(index, job), now).is_ok();
        if accepted {
            self.jobs.insert(index, job.clone());
        }
        accepted
    }

    fn next(&mut self, now: Instant) -> Option<Start> {
        let mut instances = self.instances.iter_mut();
        let assignment = instances.find_map(|it| it.dispatcher.next(now))?;
        let start = Start {
            job: assignment.job.0 as usize,
            task: assignment.task as usize,
            target: assignment.target.0 as usize,
        };
        self.assignments.insert(start, assignment);
        Some(start)
    }

    fn end(&mut self, start: Start, end: End, elapsed: Duration, now: Instant) -> Verdict {
        let Some(assignment) = self.assignments.remove(&start) else {
            return Verdict::Over;
        };
        let report = Report {
            assignment,
            ending: ending(end),
            elapsed,
        };
        let entry = self.jobs[&start.job].entry;
        let instance = &mut self.instances[entry];
        let next = instance.dispatcher.finish(report, now);
        match next {
            NextStep::Requeued => Verdict::Again,
            NextStep::Done => Verdict::Over,
        }
    }

    fn cancel(&mut self, job: usize, _now: Instant) {
        if let Some(found) = self.jobs.get(&job) {
            let entry = found.entry;
            self.instances[entry].dispatcher.cancel(JobId(job as u64));
        }
    }

    fn should_stop(&self, start: Start, now: Instant) -> bool {
        let dispatcher = &self.instances[self.jobs[&start.job].entry].dispatcher;
        dispatcher.should_stop(JobId(start.job as u64), start.task as u32, now)
    }

    fn tick(&mut self, now: Instant) -> Vec<usize> {
        while let Some(entry) = self.mail.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let mail = entry.remove();
            self.hear(mail, now);
        }
        let mut given_up = BTreeSet::new();
        for index in 0..self.instances.len() {
            if self.instances[index].next_beat <= now {
                self.instances[index].prepared = false;
                self.instances[index].next_beat = now + HEARTBEAT;
                self.beat(index, now);
            }
            let instance = &mut self.instances[index];
            if !instance.prepared && instance.prepare_at() <= now {
                instance.prepared = true;
                instance.ledger.reserve();
                self.apply(index, now);
            }
            let dropped = self.instances[index].dispatcher.expire(now);
            given_up.extend(dropped.iter().map(|it| it.job.0 as usize));
        }
        given_up.into_iter().collect()
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        let mail = self.mail.first_key_value().map(|it| it.0.0);
        let due = |it: &Instance| it.dispatcher.next_expiry(now);
        let expiries = self.instances.iter().filter_map(due);
        let beats = self.instances.iter().map(|it| it.next_beat);
        let unprepared = self.instances.iter().filter(|it| !it.prepared);
        let beats = beats.chain(unprepared.map(Instance::prepare_at));
        mail.into_iter().chain(expiries).chain(beats).min()
    }

    fn extra_messages(&self) -> u64 {
        self.extra
    }
}
