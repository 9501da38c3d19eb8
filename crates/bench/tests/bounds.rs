//! Bounds of docs/MEASURES.md, on a seed that no policy was tuned on.
//!
//! A bound that is missed is listed in KNOWN-RED.txt under its name. The tests
//! print those, and fail when another one is missed or a listed one holds.

use bluebellpath_bench::{
    deployment::{DEPLOYMENTS, Deployment},
    fault::{FAULTS, Fault},
    figures::Figures,
    row::{FAULT_LOAD, OVERLOAD, session},
    session::{CONTENDERS, Contender, Session},
};

const SEED: u64 = 11;
const LOAD: f64 = 0.8;
const KNOWN_RED: &str = include_str!("../../../KNOWN-RED.txt");

/// Bound of docs/MEASURES.md with the figure that was measured.
struct Bound {
    name: String,
    measured: f64,
    limit: f64,
    /// The figure is to be at least the limit, not at most.
    at_least: bool,
}

impl Bound {
    fn most(name: String, measured: f64, limit: f64) -> Bound {
        Bound {
            name,
            measured,
            limit,
            at_least: false,
        }
    }

    fn least(name: String, measured: f64, limit: f64) -> Bound {
        Bound {
            at_least: true,
            ..Bound::most(name, measured, limit)
        }
    }

    fn holds(&self) -> bool {
        if self.at_least {
            self.measured >= self.limit
        } else {
            self.measured <= self.limit
        }
    }

    fn is_listed(&self) -> bool {
        let entry = format!("bound: {}", self.name);
        KNOWN_RED.lines().any(|it| it.trim() == entry)
    }
}

/// Fails on each bound that is missed and not listed, or listed and met.
fn check(bounds: &[Bound]) {
    let mut wrong = Vec::new();
    for bound in bounds {
        let sign = if bound.at_least { ">=" } else { "<=" };
        let line = format!(
            "{}: {:.4}, to be {sign} {:.4}",
            bound.name, bound.measured, bound.limit
        );
        match (bound.holds(), bound.is_listed()) {
            (true, false) => println!("holds {line}"),
            (false, true) => println!("KNOWN RED {line}"),
            (false, false) => wrong.push(format!("missed {line}")),
            (true, true) => wrong.push(format!("listed as red but holds {line}")),
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

fn run(deployment: Deployment, load: f64, fault: Fault, contender: Contender) -> Figures {
    session(deployment, SEED, load, fault).run(contender)
}

fn ordinary(deployment: Deployment) {
    let name = |what: &str| format!("{} load {LOAD} {what}", deployment.name);
    let of = |contender| run(deployment, LOAD, Fault::None, contender);
    let (ours, best) = (of(Contender::Product), of(Contender::Clairvoyant));
    let mut bounds = vec![
        Bound::most(name("mean"), ours.mean / best.mean, 1.05),
        Bound::most(name("p99"), ours.p99 / best.p99, 1.25),
        Bound::most(name("wasted"), ours.wasted, 1.0),
    ];
    for (contender, other) in CONTENDERS {
        if let Contender::Baseline(_) = contender {
            let theirs = of(contender);
            let mean = name(&format!("mean against {other}"));
            let wasted = name(&format!("wasted against {other}"));
            bounds.push(Bound::most(mean, ours.mean, theirs.mean));
            bounds.push(Bound::most(wasted, ours.wasted, theirs.wasted));
        }
    }
    check(&bounds);
}

fn under_faults(deployment: Deployment) {
    let calm = run(deployment, FAULT_LOAD, Fault::None, Contender::Product);
    let calm_best = run(deployment, FAULT_LOAD, Fault::None, Contender::Clairvoyant);
    let calm = calm.later_mean / calm_best.later_mean;
    let mut bounds = Vec::new();
    for (fault, fault_name) in FAULTS {
        let name = |what: &str| format!("{} {fault_name} {what}", deployment.name);
        let ours = run(deployment, FAULT_LOAD, fault, Contender::Product);
        let best = run(deployment, FAULT_LOAD, fault, Contender::Clairvoyant);
        let kept = ours.in_deadline / best.in_deadline;
        let later = ours.later_mean / best.later_mean;
        bounds.push(Bound::least(name("in deadline"), kept, 0.99));
        bounds.push(Bound::most(name("wasted"), ours.wasted, 10.0));
        bounds.push(Bound::most(name("recovery"), later / calm, 1.05));
    }
    check(&bounds);
}

fn overload(deployment: Deployment) {
    let name = |what: &str| format!("{} overload {what}", deployment.name);
    let session = Session {
        greedy: true,
        ..session(deployment, SEED, OVERLOAD, Fault::None)
    };
    let ours = session.run(Contender::Product);
    check(&[
        Bound::least(name("goodput"), ours.goodput, 0.95),
        Bound::most(name("worst loss"), ours.modest_loss, 0.01),
    ]);
}

#[test]
fn guild_ordinary() {
    ordinary(DEPLOYMENTS[0]);
}

#[test]
fn calortec_ordinary() {
    ordinary(DEPLOYMENTS[1]);
}

#[test]
fn guild_faults() {
    under_faults(DEPLOYMENTS[0]);
}

#[test]
fn calortec_faults() {
    under_faults(DEPLOYMENTS[1]);
}

#[test]
fn guild_overload() {
    overload(DEPLOYMENTS[0]);
}

#[test]
fn calortec_overload() {
    overload(DEPLOYMENTS[1]);
}

#[test]
fn same_figures_on_every_run() {
    let figures = || run(DEPLOYMENTS[0], LOAD, Fault::Failing, Contender::Product);
    assert_eq!(figures(), figures());
}
