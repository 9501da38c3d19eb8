//! Sessions and who decides in them.

use std::rc::Rc;

use bluebellpath_dispatch::Policy;

use crate::{
    baseline::{Baseline, Choice},
    clairvoyant::Clairvoyant,
    deployment::Deployment,
    fault::Fault,
    figures::{Figures, Tally},
    product::Product,
    scheduler::Scheduler,
    sim::Sim,
    trace::{self, Recipe},
};

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contender {
    /// The product.
    Product,
    /// The clairvoyant.
    Clairvoyant,
    /// One of the usual ways.
    Baseline(Choice),
}

/// All contenders, with their names in the table.
pub const CONTENDERS: [(Contender, &str); 6] = [
    (Contender::Clairvoyant, "clairvoyant"),
    (Contender::Product, "bluebellpath"),
    (Contender::Baseline(Choice::TwoChoices), "two choices"),
    (
        Contender::Baseline(Choice::LeastOutstanding),
        "least outstanding",
    ),
    (Contender::Baseline(Choice::RoundRobin), "round robin"),
    (Contender::Baseline(Choice::Random), "random"),
];

/// Task starts a second for each nominal second of work a second: quotas count
/// starts, and a start is this fraction of a second of work on average.
const STARTS_PER_WORK: f64 = 2.9;

/// One session to be measured.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    /// Deployment.
    pub deployment: Deployment,
    /// Offered work over capacity.
    pub load: f64,
    /// Fault.
    pub fault: Fault,
    /// Half of the teams ask for more than their quota.
    pub greedy: bool,
    /// Seed.
    pub seed: u64,
    /// Policy of the product.
    pub policy: Policy,
}

impl Session {
    /// Runs all domains under `contender`.
    pub fn run(&self, contender: Contender) -> Figures {
        let mut total: Option<Tally> = None;
        for index in 0..self.deployment.targets.len() {
            let tally = self.run_domain(index, contender);
            match &mut total {
                Some(total) => total.add(&tally),
                None => total = Some(tally),
            }
        }
        total
            .map(|it| it.figures())
            .expect("a deployment has domains")
    }

    fn run_domain(&self, index: usize, contender: Contender) -> Tally {
        let domain = self.deployment.domain(index);
        let recipe = Recipe {
            load: self.load,
            fault: self.fault,
            greedy: self.greedy,
            seed: self.seed * 100 + index as u64,
        };
        let jobs = trace::generate(&domain, &recipe);
        let jobs: Vec<_> = jobs.into_iter().map(Rc::new).collect();
        let quotas = self.greedy.then(|| domain.capacity() * STARTS_PER_WORK);
        let scheduler: Box<dyn Scheduler> = match contender {
            Contender::Product => Box::new(Product::new(&domain, self.policy, quotas)),
            Contender::Clairvoyant => Box::new(Clairvoyant::new(&domain, self.fault)),
            Contender::Baseline(choice) => Box::new(Baseline::new(&domain, choice)),
        };
        Sim::new(&domain, self.fault, &jobs, scheduler).run()
    }
}
