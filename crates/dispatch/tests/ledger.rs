//! Tests of slot sharing among instances that lose heartbeats, join and leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bluebellpath_dispatch::{InstanceId, SlotLedger, SlotStatus, TargetSlots};
use bluebellpath_runtime::Instant;
use quickcheck::{QuickCheck, TestResult};

const TARGETS: u32 = 5;
const SLOTS: u32 = 8;
const INTERVAL: Duration = Duration::from_millis(500);
/// Intervals without a heartbeat after which a peer is gone.
const TIMEOUT: u64 = 4;

/// One instance with its view of its peers.
struct Member {
    ledger: SlotLedger,
    /// Interval of the last heartbeat from each peer.
    last_heartbeats: BTreeMap<InstanceId, u64>,
    used: BTreeMap<u32, u32>,
    demand: u32,
}

impl Member {
    fn new(id: InstanceId) -> Member {
        let mut ledger = SlotLedger::new(id);
        ledger.set_targets((0..TARGETS).map(|target| TargetSlots {
            target,
            slots: SLOTS,
        }));
        Member {
            ledger,
            last_heartbeats: BTreeMap::new(),
            used: BTreeMap::new(),
            demand: 10,
        }
    }

    fn heartbeat(&mut self, interval: u64) -> SlotStatus {
        let live: BTreeSet<InstanceId> = self
            .last_heartbeats
            .iter()
            .filter(|(_, it)| interval - **it < TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        self.ledger.retain_peers(&live);
        let used = self.used.clone();
        let now = Instant::default() + INTERVAL * interval as u32;
        let used = |target| used.get(&target).copied().unwrap_or(0);
        self.ledger.next_status(now, self.demand, used)
    }

    /// Uses `quarters` quarters of the slots that it may use.
    fn fill(&mut self, quarters: u32) {
        for target in 0..TARGETS {
            let credit = self.ledger.credit(target);
            self.used.insert(target, credit * quarters / 4);
        }
    }

    fn held(&self) -> u32 {
        (0..TARGETS).map(|it| self.ledger.credit(it)).sum()
    }
}

/// Instances of a failure domain, started together.
struct Domain {
    members: BTreeMap<InstanceId, Member>,
    interval: u64,
}

impl Domain {
    fn new(count: u64) -> Domain {
        let ids = (1..=count).map(InstanceId);
        let members = ids.map(|it| (it, Member::new(it))).collect();
        let mut domain = Domain {
            members,
            interval: 0,
        };
        for _ in 0..3 {
            domain.round(|_, _| true);
        }
        domain
    }

    /// Runs one interval: each instance sends a heartbeat to those peers for which
    /// `arrives` returns true.
    fn round(&mut self, arrives: impl Fn(InstanceId, InstanceId) -> bool) {
        self.interval += 1;
        let ids: Vec<InstanceId> = self.members.keys().copied().collect();
        for from in &ids {
            let Some(member) = self.members.get_mut(from) else {
                continue;
            };
            let status = member.heartbeat(self.interval);
            for to in ids.iter().filter(|it| *it != from) {
                if !arrives(*from, *to) {
                    continue;
                }
                if let Some(peer) = self.members.get_mut(to) {
                    peer.last_heartbeats.insert(*from, self.interval);
                    peer.ledger.receive(*from, status.clone());
                    // Complete once all instances were heard from.
                    let complete = peer.last_heartbeats.len() + 1 >= ids.len();
                    peer.ledger.set_membership_complete(complete);
                }
            }
        }
    }

    /// Largest sum over all members of the slots of one target.
    fn max_target_sum(&self) -> u32 {
        let sum = |target| {
            self.members
                .values()
                .map(|it| it.ledger.credit(target))
                .sum()
        };
        (0..TARGETS).map(sum).max().unwrap_or(0)
    }

    fn total(&self) -> u32 {
        self.members.values().map(Member::held).sum()
    }
}

/// The sum of held slots never exceeds a target's slots, whichever heartbeats are
/// lost and however demand changes.
#[test]
fn held_slots_never_exceed_target_slots() {
    fn property(count: u8, losses: Vec<u8>, demands: Vec<u8>) -> TestResult {
        let count = u64::from(count % 3) + 2;
        let mut domain = Domain::new(count);
        for (round, loss) in losses.iter().enumerate() {
            let lost = |from: InstanceId, to: InstanceId| {
                // Loses at most two heartbeats in a row, so that no peer counts as gone.
                round % 3 != 2 && (u64::from(*loss) >> ((from.0 * 3 + to.0) % 8)) & 1 == 1
            };
            for (index, member) in domain.members.values_mut().enumerate() {
                let demand = demands.get((round + index) % demands.len().max(1));
                member.demand = demand.copied().map_or(10, u32::from);
                member.fill(u32::from(*loss) % 5);
            }
            domain.round(|from, to| !lost(from, to));
            if domain.max_target_sum() > SLOTS {
                return TestResult::error(format!(
                    "{} slots in round {round}",
                    domain.max_target_sum()
                ));
            }
        }
        // No slots are lost permanently either.
        for member in domain.members.values_mut() {
            member.used.clear();
        }
        for _ in 0..12 {
            domain.round(|_, _| true);
        }
        TestResult::from_bool(domain.total() == TARGETS * SLOTS)
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, 5))
        .tests(300)
        .quickcheck(property as fn(u8, Vec<u8>, Vec<u8>) -> TestResult);
}

struct DemandCase {
    name: &'static str,
    members: u64,
    /// Final demand of each member.
    demands: &'static [u32],
    /// Least final number of slots of each member, of 40.
    least: &'static [u32],
}

const DEMAND_CASES: &[DemandCase] = &[
    DemandCase {
        name: "alone",
        members: 1,
        demands: &[5],
        least: &[40],
    },
    DemandCase {
        name: "alike",
        members: 2,
        demands: &[10, 10],
        least: &[18, 18],
    },
    DemandCase {
        name: "a burst at one of two",
        members: 2,
        demands: &[100, 2],
        least: &[28, 4],
    },
    DemandCase {
        name: "a burst at one of three",
        members: 3,
        demands: &[2, 100, 2],
        least: &[3, 24, 3],
    },
];

#[test]
fn slots_follow_the_demand() {
    for case in DEMAND_CASES {
        let mut domain = Domain::new(case.members);
        for (member, demand) in domain.members.values_mut().zip(case.demands) {
            member.demand = *demand;
        }
        if case.members == 1 {
            let member = domain
                .members
                .get_mut(&InstanceId(1))
                .expect("the member exists");
            member.ledger.set_membership_complete(true);
        }
        for _ in 0..20 {
            domain.round(|_, _| true);
        }
        let held: Vec<u32> = domain.members.values().map(Member::held).collect();
        assert_eq!(domain.total(), TARGETS * SLOTS, "{}: {held:?}", case.name);
        let enough = held
            .iter()
            .zip(case.least)
            .all(|(held, least)| held >= least);
        assert!(enough, "{}: {held:?}", case.name);
    }
}

#[test]
fn slots_of_a_crashed_instance_are_claimed_only_after_its_timeout() {
    let mut domain = Domain::new(3);
    domain.members.remove(&InstanceId(3));
    let before = domain.total();
    for _ in 0..TIMEOUT - 1 {
        domain.round(|_, _| true);
        assert_eq!(domain.total(), before);
    }
    for _ in 0..6 {
        domain.round(|_, _| true);
        assert!(domain.max_target_sum() <= SLOTS);
    }
    assert_eq!(domain.total(), TARGETS * SLOTS);
}

#[test]
fn reset_instance_holds_no_slots_until_it_hears_from_its_peers() {
    let mut domain = Domain::new(2);
    let member = domain
        .members
        .get_mut(&InstanceId(1))
        .expect("the member exists");
    member.ledger.reset();
    member.last_heartbeats.clear();
    assert_eq!(member.held(), 0);
    for _ in 0..4 {
        domain.round(|_, _| true);
        assert!(domain.max_target_sum() <= SLOTS);
    }
    assert_eq!(domain.total(), TARGETS * SLOTS);
}

#[test]
fn excess_slots_are_given_up_after_a_partition_heals() {
    let mut domain = Domain::new(2);
    for _ in 0..TIMEOUT + 3 {
        domain.round(|_, _| false);
    }
    assert_eq!(
        domain.max_target_sum(),
        2 * SLOTS,
        "each side claimed the slots of the other"
    );
    for _ in 0..6 {
        domain.round(|_, _| true);
    }
    assert_eq!(domain.max_target_sum(), SLOTS);
    assert_eq!(domain.total(), TARGETS * SLOTS);
}
