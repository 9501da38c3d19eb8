/*!
Assignment of targets to instances.

Assignment is by weighted rendezvous hashing: each instance computes it from the
peers that it hears, and the change of one peer moves only the targets of that
peer. Instances of the target's own failure domain come first, so that a
partitioned domain keeps its targets. If two instances disagree about the live
peers, the fencing token at the target decides.
*/

/// Instance that may own targets.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// Share of the targets that it should own, relative to its peers.
    pub weight: u32,
}

/// Returns the name of the candidate that should own the target `id` in
/// `domain`.
pub fn choose<'a>(
    id: &str,
    domain: &str,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<&'a str> {
    let ranked = candidates.map(|it| (it.domain == domain, score(id, &it), it.name));
    let best = ranked.max_by(|a, b| {
        let local = a.0.cmp(&b.0);
        local.then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2))
    });
    best.map(|it| it.2)
}

/// Computes the weighted rendezvous score: the logarithm of a uniform hash of
/// the pair, divided by the weight.
fn score(id: &str, candidate: &Candidate<'_>) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(candidate.name.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_bytes());
    let mut low = [0; 8];
    low.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    let uniform = (u64::from_le_bytes(low) >> 11) as f64 / (1_u64 << 53) as f64;
    uniform.max(f64::MIN_POSITIVE).ln() / f64::from(candidate.weight.max(1))
}
