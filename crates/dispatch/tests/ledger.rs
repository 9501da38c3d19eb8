//! Slots among instances whose heartbeats get lost, and which come and go.

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
/// Intervals of silence after which a peer is gone.
const TIMEOUT: u64 = 4;

/// One instance, as its peers could see it.
struct Member {
    ledger: SlotLedger,
    /// Peers by the interval in which they were last heard of.
    heard: BTreeMap<InstanceId, u64>,
    used: BTreeMap<u32, u32>,
    demand: u32,
}

impl Member {
    fn new(account: InstanceId) -> Member {
        let mut ledger = SlotLedger::new(account);
        ledger.set_targets((0..TARGETS).map(|target| TargetSlots {
            target,
            slots: SLOTS,
        }));
        Member {
            ledger,
            heard: BTreeMap::new(),
            used: BTreeMap::new(),
            demand: 10,
        }
    }

    fn beat(&mut self, interval: u64) -> SlotStatus {
        let live: BTreeSet<InstanceId> = self
            .heard
            .iter()
            .filter(|(_, it)| interval - **it < TIMEOUT)
            .map(|(account, _)| *account)
            .collect();
        self.ledger.retain_peers(&live);
        let used = self.used.clone();
        let now = Instant::default() + INTERVAL * interval as u32;
        let used = |target| used.get(&target).copied().unwrap_or(0);
        self.ledger.next_status(now, self.demand, used)
    }

    /// Uses all slots that it may, as a loaded instance does.
    fn fill(&mut self, part: u32) {
        for target in 0..TARGETS {
            let credit = self.ledger.credit(target);
            self.used.insert(target, credit * part / 4);
        }
    }

    fn held(&self) -> u32 {
        (0..TARGETS).map(|it| self.ledger.credit(it)).sum()
    }
}

/// Instances of a domain that are all complete from the start.
struct Domain {
    members: BTreeMap<InstanceId, Member>,
    interval: u64,
}

impl Domain {
    fn new(count: u64) -> Domain {
        let accounts = (1..=count).map(InstanceId);
        let members = accounts.map(|it| (it, Member::new(it))).collect();
        let mut domain = Domain {
            members,
            interval: 0,
        };
        for _ in 0..3 {
            domain.round(|_, _| true);
        }
        domain
    }

    /// One interval: all beat, and those that `arrives` lets through hear it.
    fn round(&mut self, arrives: impl Fn(InstanceId, InstanceId) -> bool) {
        self.interval += 1;
        let accounts: Vec<InstanceId> = self.members.keys().copied().collect();
        for from in &accounts {
            let Some(member) = self.members.get_mut(from) else {
                continue;
            };
            let notice = member.beat(self.interval);
            for to in accounts.iter().filter(|it| *it != from) {
                if !arrives(*from, *to) {
                    continue;
                }
                if let Some(peer) = self.members.get_mut(to) {
                    peer.heard.insert(*from, self.interval);
                    peer.ledger.receive(*from, notice.clone());
                    // All listed instances count as heard of once all were.
                    let complete = peer.heard.len() + 1 >= accounts.len();
                    peer.ledger.set_membership_complete(complete);
                }
            }
        }
    }

    /// Most slots of one target that all members together may use.
    fn most(&self) -> u32 {
        let of = |target| {
            self.members
                .values()
                .map(|it| it.ledger.credit(target))
                .sum()
        };
        (0..TARGETS).map(of).max().unwrap_or(0)
    }

    fn total(&self) -> u32 {
        self.members.values().map(Member::held).sum()
    }
}

/// Never over a target's slots, whatever gets lost and however demand shifts.
#[test]
fn sums_stay_within_the_slots() {
    fn property(count: u8, losses: Vec<u8>, demands: Vec<u8>) -> TestResult {
        let count = u64::from(count % 3) + 2;
        let mut domain = Domain::new(count);
        for (round, loss) in losses.iter().enumerate() {
            let lost = |from: InstanceId, to: InstanceId| {
                // At most two in a row, so that nobody counts as gone.
                round % 3 != 2 && (u64::from(*loss) >> ((from.0 * 3 + to.0) % 8)) & 1 == 1
            };
            for (index, member) in domain.members.values_mut().enumerate() {
                let demand = demands.get((round + index) % demands.len().max(1));
                member.demand = demand.copied().map_or(10, u32::from);
                member.fill(u32::from(*loss) % 5);
            }
            domain.round(|from, to| !lost(from, to));
            if domain.most() > SLOTS {
                return TestResult::error(format!("{} slots in round {round}", domain.most()));
            }
        }
        // Nothing is lost for good either.
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

struct Case {
    name: &'static str,
    members: u64,
    /// Demands of the members in the end.
    demands: &'static [u32],
    /// Least slots of each member in the end, of 40.
    least: &'static [u32],
}

const CASES: &[Case] = &[
    Case {
        name: "alone",
        members: 1,
        demands: &[5],
        least: &[40],
    },
    Case {
        name: "alike",
        members: 2,
        demands: &[10, 10],
        least: &[18, 18],
    },
    Case {
        name: "a burst at one of two",
        members: 2,
        demands: &[100, 2],
        least: &[28, 4],
    },
    Case {
        name: "a burst at one of three",
        members: 3,
        demands: &[2, 100, 2],
        least: &[3, 24, 3],
    },
];

#[test]
fn slots_follow_the_demand() {
    for case in CASES {
        let mut domain = Domain::new(case.members);
        for (member, demand) in domain.members.values_mut().zip(case.demands) {
            member.demand = *demand;
        }
        if case.members == 1 {
            let member = domain.members.get_mut(&InstanceId(1)).expect("it is there");
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
fn a_crashed_instance_is_inherited_only_after_its_timeout() {
    let mut domain = Domain::new(3);
    domain.members.remove(&InstanceId(3));
    let before = domain.total();
    for _ in 0..TIMEOUT - 1 {
        domain.round(|_, _| true);
        assert_eq!(domain.total(), before);
    }
    for _ in 0..6 {
        domain.round(|_, _| true);
        assert!(domain.most() <= SLOTS);
    }
    assert_eq!(domain.total(), TARGETS * SLOTS);
}

#[test]
fn an_instance_that_lapsed_holds_nothing_until_it_has_heard_its_peers() {
    let mut domain = Domain::new(2);
    let member = domain.members.get_mut(&InstanceId(1)).expect("it is there");
    member.ledger.reset();
    member.heard.clear();
    assert_eq!(member.held(), 0);
    for _ in 0..4 {
        domain.round(|_, _| true);
        assert!(domain.most() <= SLOTS);
    }
    assert_eq!(domain.total(), TARGETS * SLOTS);
}

#[test]
fn two_sides_of_a_mended_cut_give_up_the_excess() {
    let mut domain = Domain::new(2);
    for _ in 0..TIMEOUT + 3 {
        domain.round(|_, _| false);
    }
    assert_eq!(domain.most(), 2 * SLOTS, "each side took all it saw unheld");
    for _ in 0..6 {
        domain.round(|_, _| true);
    }
    assert_eq!(domain.most(), SLOTS);
    assert_eq!(domain.total(), TARGETS * SLOTS);
}
