//! Rows of the table.

use bluebellpath_dispatch::Policy;

use crate::{
    deployment::Deployment,
    fault::{FAULTS, Fault},
    figures::Figures,
    session::{CONTENDERS, Contender, Session},
};

/// Loads of the table without faults.
pub const LOADS: [f64; 6] = [0.3, 0.5, 0.7, 0.8, 0.9, 0.95];
/// Load of the table with faults.
pub const FAULT_LOAD: f64 = 0.7;
/// Load of the table with overload.
pub const OVERLOAD: f64 = 3.0;

/// One row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// Fault, `ordinary` or `overload`.
    pub condition: &'static str,
    /// Offered work over capacity.
    pub load: f64,
    /// Who decides.
    pub contender: &'static str,
    /// What came of it.
    pub figures: Figures,
}

impl Row {
    /// Names of the columns.
    pub const COLUMNS: [&'static str; 14] = [
        "deployment",
        "condition",
        "load",
        "contender",
        "mean",
        "p50",
        "p99",
        "p99.9",
        "later mean",
        "wasted/1000",
        "goodput",
        "in deadline",
        "fairness",
        "worst loss",
    ];

    /// Cells in the order of [`Row::COLUMNS`].
    pub fn cells(&self) -> [String; 14] {
        let it = &self.figures;
        [
            self.deployment.to_owned(),
            self.condition.to_owned(),
            format!("{:.2}", self.load),
            self.contender.to_owned(),
            format!("{:.3}", it.mean),
            format!("{:.2}", it.p50),
            format!("{:.2}", it.p99),
            format!("{:.2}", it.p999),
            format!("{:.3}", it.later_mean),
            format!("{:.2}", it.wasted),
            format!("{:.3}", it.goodput),
            format!("{:.4}", it.in_deadline),
            format!("{:.3}", it.fairness),
            format!("{:.3}", it.modest_loss),
        ]
    }
}

/// Rows without faults, at each load.
pub fn ordinary(deployment: Deployment, seed: u64) -> Vec<Row> {
    let session = |load| session(deployment, seed, load, Fault::None);
    let rows = LOADS.map(|load| all("ordinary", session(load)));
    rows.into_iter().flatten().collect()
}

/// Rows of each fault alone.
pub fn under_faults(deployment: Deployment, seed: u64) -> Vec<Row> {
    let rows = FAULTS.map(|(fault, name)| all(name, session(deployment, seed, FAULT_LOAD, fault)));
    rows.into_iter().flatten().collect()
}

/// Rows under overload by half of the teams.
pub fn overload(deployment: Deployment, seed: u64) -> Vec<Row> {
    let session = Session {
        greedy: true,
        ..session(deployment, seed, OVERLOAD, Fault::None)
    };
    all("overload", session)
}

/// Session under the ordinary policy.
pub fn session(deployment: Deployment, seed: u64, load: f64, fault: Fault) -> Session {
    Session {
        deployment,
        load,
        fault,
        greedy: false,
        seed,
        policy: Policy::ORDINARY,
    }
}

fn all(condition: &'static str, session: Session) -> Vec<Row> {
    let row = |(contender, name): (Contender, &'static str)| Row {
        deployment: session.deployment.name,
        condition,
        load: session.load,
        contender: name,
        figures: session.run(contender),
    };
    CONTENDERS.map(row).into_iter().collect()
}
