//! Which instance a request goes to: one cost function over what is known of each.

/// Added to the cost of an instance in another zone, in shares of its capacity.
const OTHER_ZONE: f64 = 0.02;

/// Cost of an idle instance against that of its occupancy: what part of a request's time does not depend on others.
const IDLE_SHARE: f64 = 0.5;

/// The same for a long request: its time depends on the pace most of all.
const LONG_IDLE_SHARE: f64 = 4.0;

/// Cost of waiting for a slot: more than that of the slowest instance with a free one.
const QUEUE_COST: f64 = 100.0;

/// Least share of the fleet's pace that counts, so that one quick answer does not draw everything.
const LEAST_RELATIVE_PACE: f64 = 0.6;

/// What is known of an instance that may be given work.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Requests there as best known, own ones included.
    pub load: u32,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Whether it is in the chooser's zone.
    pub is_same_zone: bool,
    /// Recent milliseconds per unit of work; `None` while unknown.
    pub pace_ms: Option<f64>,
}

/// What the choice is made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    /// A client waits: any instance will do, a full one last.
    Live,
    /// An item of a batch job: only an instance with a free slot.
    Batch,
    /// A long item of a batch job: only an instance with a free slot, the fastest.
    LongBatch,
    /// The rest of a text whose run was cut or moved, the fastest instance: it has lost time already, and is let in behind others
    /// rather than wait here until a slot is free that new items are started on.
    CutBatch,
    /// A reward call: only an instance with slots to spare for clients who wait.
    Scoring,
}

/// One of so many slots is left to live requests by reward calls, which come in bursts as texts end: 24 calls of 30 ms at once
/// would else make each client wait for all of them.
const LIVE_SLOT_SHARE: u32 = 6;

/// One cut text may wait at an instance for so many slots there.
const CUT_QUEUE_SHARE: u32 = 8;

/// Index of the instance to use; `None` if none fits. `random` decides among equal ones.
pub fn choose(candidates: &[Candidate], demand: Demand, random: u64) -> Option<usize> {
    let typical = typical_pace(candidates);
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.load < most_load(candidate, demand));
    let count = candidates.len().max(1);
    let offset = (random % count as u64) as usize;
    fitting
        .min_by(|(left_index, left), (right_index, right)| {
            let rotate = |index: usize| (index + offset) % count;
            cost(left, typical, demand)
                .total_cmp(&cost(right, typical, demand))
                .then(rotate(*left_index).cmp(&rotate(*right_index)))
        })
        .map(|(index, _)| index)
}

/// Load from which on an instance gets no more work of a kind.
fn most_load(candidate: &Candidate, demand: Demand) -> u32 {
    match demand {
        Demand::Live => u32::MAX,
        Demand::Batch | Demand::LongBatch => candidate.slots,
        Demand::CutBatch => candidate.slots + candidate.slots.div_ceil(CUT_QUEUE_SHARE),
        Demand::Scoring => candidate.slots - candidate.slots / LIVE_SLOT_SHARE,
    }
}

/// Expected time of one more request against an idle typical instance.
fn cost(candidate: &Candidate, typical: Option<f64>, demand: Demand) -> f64 {
    let occupancy = f64::from(candidate.load + 1) / f64::from(candidate.slots.max(1));
    let relative_pace = match (candidate.pace_ms, typical) {
        (Some(pace), Some(typical)) if typical > 0.0 => (pace / typical).max(LEAST_RELATIVE_PACE),
        _ => 1.0,
    };
    let surcharge = if candidate.is_same_zone {
        0.0
    } else {
        OTHER_ZONE
    };
    let idle_share = match demand {
        Demand::LongBatch | Demand::CutBatch => LONG_IDLE_SHARE,
        Demand::Live | Demand::Batch | Demand::Scoring => IDLE_SHARE,
    };
    let queueing = if demand == Demand::CutBatch && candidate.load >= candidate.slots {
        QUEUE_COST
    } else {
        0.0
    };
    (idle_share + occupancy) * relative_pace + surcharge + queueing
}

/// Median of the known paces.
fn typical_pace(candidates: &[Candidate]) -> Option<f64> {
    median(
        candidates
            .iter()
            .filter_map(|candidate| candidate.pace_ms)
            .collect(),
    )
}

/// Median; `None` of nothing.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
