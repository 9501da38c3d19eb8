//! What goes on while the store or other domains can't be reached.

use std::{rc::Rc, time::Duration};

use bluebellpath::{
    job::{Id, Outcome, Submission, TaskSpec},
    settings::Domain,
};
use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Fleet, Layout};

/// Time in which a fleet has taken its shards and its instances know each other.
const SETTLED: Duration = Duration::from_secs(8);

/// Time in which a lost store is noticed.
const NOTICED: Duration = Duration::from_secs(5);

/// Jobs of each case.
const JOBS: usize = 200;

#[derive(Clone, Copy, Debug)]
enum Cut {
    Store,
    DomainFromPlatform,
    DomainFromAll,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ids {
    Tickets,
    Keys,
}

struct Case {
    cut: Cut,
    ids: Ids,
    /// Jobs that must be complete.
    complete: usize,
}

const CASES: &[Case] = &[
    Case {
        cut: Cut::Store,
        ids: Ids::Tickets,
        complete: JOBS,
    },
    Case {
        cut: Cut::DomainFromPlatform,
        ids: Ids::Tickets,
        complete: JOBS,
    },
    Case {
        cut: Cut::DomainFromAll,
        ids: Ids::Tickets,
        complete: JOBS,
    },
    Case {
        cut: Cut::Store,
        ids: Ids::Keys,
        complete: JOBS,
    },
    Case {
        cut: Cut::DomainFromPlatform,
        ids: Ids::Keys,
        complete: JOBS,
    },
    Case {
        cut: Cut::DomainFromAll,
        ids: Ids::Keys,
        complete: JOBS,
    },
];

fn submission() -> Submission {
    Submission {
        team: "default".to_owned(),
        deadline_ms: 3_000,
        tasks: vec![TaskSpec {
            caller: "crew".to_owned(),
            kind: "quote".to_owned(),
            payload: "{\"run_ms\": 50}".to_owned(),
            run_time_ms: None,
            size: 1,
            idempotent: false,
        }],
    }
}

fn cut(fleet: &Fleet, cut: Cut) {
    let home = Domain::new(0);
    match cut {
        Cut::Store => fleet.table.faults().down.set(true),
        Cut::DomainFromPlatform | Cut::DomainFromAll => {
            let members = fleet.members.iter().filter(|it| it.domain == home);
            members.for_each(|it| it.cut.set(true));
        }
    }
    if matches!(cut, Cut::DomainFromAll) {
        fleet.isolate(home, true);
    }
}

/// Jobs of domain 0, submitted in turn at its instances, that were complete.
async fn complete(fleet: &Rc<Fleet>, ids: Ids) -> usize {
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let member = number % usize::from(fleet.layout().entries);
        let entry = fleet.members[member].entry();
        let id = match ids {
            Ids::Tickets => Id::Ticket(entry.ticket()),
            Ids::Keys => format!("order-{number}@0").parse().expect("valid"),
        };
        jobs.push(spawn(async move { entry.submit(id, submission()).await }));
        clock::sleep(Duration::from_millis(20)).await;
    }
    let mut complete = 0;
    for job in jobs {
        let answer = job.await.expect("no instance crashes").expect("valid");
        complete += usize::from(answer.outcome == Outcome::Complete);
    }
    complete
}

#[test]
fn a_domain_goes_on_without_what_it_is_cut_off_from() {
    for case in CASES {
        let (served, runs) = runtime::paused(async {
            let fleet = Rc::new(Fleet::start(Layout::default()));
            clock::sleep(SETTLED).await;
            cut(&fleet, case.cut);
            clock::sleep(NOTICED).await;
            let served = complete(&fleet, case.ids).await;
            (served, fleet.targets.runs().len())
        });
        println!("{:?}, {:?}: {served} of {JOBS}", case.cut, case.ids);
        assert_eq!(served, case.complete, "{:?}, {:?}", case.cut, case.ids);
        assert_eq!(runs, JOBS, "{:?}, {:?}", case.cut, case.ids);
    }
}

/// Jobs under keys that ran during an outage stay known after it, whoever then
/// owns them.
#[test]
fn what_ran_in_an_outage_never_runs_again() {
    for crash in [false, true] {
        let (before, after) = runtime::paused(async move {
            let fleet = Rc::new(Fleet::start(Layout::default()));
            clock::sleep(SETTLED).await;
            cut(&fleet, Cut::Store);
            clock::sleep(NOTICED).await;
            complete(&fleet, Ids::Keys).await;
            let before = fleet.targets.runs().len();
            if crash {
                fleet.kill(0);
            }
            fleet.table.faults().down.set(false);
            clock::sleep(Duration::from_secs(70)).await;
            let entry = fleet.members[1].entry();
            for number in 0..JOBS {
                let id: Id = format!("order-{number}@0").parse().expect("valid");
                let answer = entry.submit(id, submission()).await.expect("the same job");
                assert_ne!(answer.outcome, Outcome::NotRun);
            }
            (before, fleet.targets.runs().len())
        });
        assert_eq!(before, JOBS);
        assert_eq!(after, before, "crash: {crash}");
    }
}
