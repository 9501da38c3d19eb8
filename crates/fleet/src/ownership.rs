/*!
Assignment of targets to instances.

Assignment is by weighted rendezvous hashing: each instance computes it from the
peers that it hears, and the change of one peer moves only the targets of that
peer. Instances of the target's own failure domain come first, so that a
partitioned domain keeps its targets. If two instances disagree about the live
peers, the fencing token at the target decides.

Every change of a peer makes each instance compute its share again. An
[`Assignment`] therefore hashes each instance and each target once, and compares
a target only with the instances of its domain.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Instance that may own targets.
#[derive(Clone, Debug)]
pub struct Candidate {
    name: Rc<str>,
    domain: Rc<str>,
    weight: u32,
    hash: u64,
}

impl Candidate {
    /// Candidate `name` in the failure domain `domain`. `weight` is the share of the
    /// targets that it should own, relative to its peers.
    pub fn new(name: Rc<str>, domain: Rc<str>, weight: u32) -> Candidate {
        let hash = hash(&name);
        Candidate {
            name,
            domain,
            weight: weight.max(1),
            hash,
        }
    }
}

/// Owners of all targets, as one instance sees them.
#[derive(Debug, Default)]
pub struct Assignment {
    candidates: BTreeMap<Rc<str>, Vec<Candidate>>,
    unassigned_domains: BTreeSet<Rc<str>>,
}

impl Assignment {
    /// Assignment of targets to these candidates.
    pub fn new(candidates: impl IntoIterator<Item = Candidate>) -> Assignment {
        let mut assignment = Assignment::default();
        for candidate in candidates {
            let in_domain = assignment.candidates.entry(candidate.domain.clone());
            in_domain.or_default().push(candidate);
        }
        assignment
    }

    /// Leaves the targets of a domain without an owner if it has no candidates.
    pub fn keep_unassigned(&mut self, domain: Rc<str>) {
        self.unassigned_domains.insert(domain);
    }

    /// Whether an instance of another domain may own targets of `domain`.
    pub fn is_open(&self, domain: &str) -> bool {
        !self.candidates.contains_key(domain) && !self.unassigned_domains.contains(domain)
    }

    /// Name of the candidate that should own the target `id` in `domain`.
    pub fn owner_of(&self, id: &str, domain: &str) -> Option<&Rc<str>> {
        let target = hash(id);
        match self.candidates.get(domain) {
            Some(local) => best(target, local.iter()),
            None if self.unassigned_domains.contains(domain) => None,
            None => best(target, self.candidates.values().flatten()),
        }
    }
}

fn best<'a>(target: u64, candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Rc<str>> {
    let scored = candidates.map(|it| (score(it.hash ^ target, it.weight), &it.name));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    best.map(|it| it.1)
}

/// Weighted rendezvous score of a pair: the logarithm of a uniform hash of the
/// pair, divided by the weight.
fn score(pair: u64, weight: u32) -> f64 {
    let uniform = (mix(pair) >> 11) as f64 / (1_u64 << 53) as f64;
    uniform.max(f64::MIN_POSITIVE).ln() / f64::from(weight)
}

/// Finalizer of SplitMix64, which spreads each bit over all others.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn hash(name: &str) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
