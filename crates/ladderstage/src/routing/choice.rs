//! Selection of the candidate that serves a request.

use std::time::Duration;

use super::{Candidate, rendezvous_score};

/// Maximum age of a load report that is used; beyond it, only requests of this process count as
/// load.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Cost of a back end that serves as many requests as its capacity.
const FULL_LOAD_COST: u64 = 1_000;
/// Cost added for a back end in another zone: a twentieth of its capacity.
const OTHER_ZONE_COST: u64 = 50;
/// Maximum load of a back end for prefix affinity, in percent of the mean load (consistent hashing
/// with bounded loads).
const AFFINITY_LOAD_PERCENT: u64 = 125;

/// Inputs of a choice besides the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ChoiceOptions<'a> {
    /// Zone of the choosing process.
    pub zone: &'a str,
    /// Start of the prompt. Requests with equal prefixes go to the same back end while its load
    /// allows.
    pub prefix: Option<&'a [u8]>,
}

/// Returns the number of requests at a candidate: the last report plus own requests sent since, or
/// only own requests in flight if that report is older than [`MAX_REPORT_AGE`].
pub fn load(candidate: &Candidate) -> u64 {
    if candidate.report_age > MAX_REPORT_AGE {
        return u64::from(candidate.own_in_flight);
    }
    u64::from(candidate.running)
        + u64::from(candidate.waiting)
        + u64::from(candidate.dispatched_since_report)
}

/// Returns the cost of giving a candidate one more request, in thousandths of its capacity: the
/// load including that request, plus a surcharge for another zone.
pub fn cost(candidate: &Candidate, zone: &str) -> u64 {
    let capacity = u64::from(candidate.capacity.max(1));
    let surcharge = if candidate.zone == zone {
        0
    } else {
        OTHER_ZONE_COST
    };
    (load(candidate) + 1) * FULL_LOAD_COST / capacity + surcharge
}

/// Returns the index of the candidate to use; `None` only if there are no candidates.
///
/// With a prefix, this is the first candidate by rendezvous hash whose load is within bounds;
/// otherwise the cheapest by [`cost`]. `random` selects among candidates of equal cost.
pub fn choose(candidates: &[Candidate], options: &ChoiceOptions<'_>, random: u64) -> Option<usize> {
    options
        .prefix
        .and_then(|prefix| choose_by_prefix(candidates, prefix))
        .or_else(|| choose_cheapest(candidates, options.zone, random))
}

/// Returns the best-ranked candidate for the prefix whose load is below its capacity and below the
/// affinity bound; `None` if there is none.
fn choose_by_prefix(candidates: &[Candidate], prefix: &[u8]) -> Option<usize> {
    let bound = affinity_bound(candidates);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| load(candidate) < bound)
        .filter(|(_, candidate)| load(candidate) < u64::from(candidate.capacity.max(1)))
        .max_by_key(|(_, candidate)| rendezvous_score(prefix, &candidate.name))
        .map(|(index, _)| index)
}

/// Returns the lowest load that is too high for prefix affinity: the allowed share of the mean load
/// after one more request, rounded up.
fn affinity_bound(candidates: &[Candidate]) -> u64 {
    let total: u64 = candidates.iter().map(load).sum();
    let count = candidates.len().max(1) as u64;
    ((total + 1) * AFFINITY_LOAD_PERCENT).div_ceil(count * 100)
}

fn choose_cheapest(candidates: &[Candidate], zone: &str, random: u64) -> Option<usize> {
    let lowest = candidates
        .iter()
        .map(|candidate| cost(candidate, zone))
        .min()?;
    let cheapest: Vec<usize> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| cost(candidate, zone) == lowest)
        .map(|(index, _)| index)
        .collect();
    cheapest
        .get((random % cheapest.len() as u64) as usize)
        .copied()
}
