//! Chooses the instance for a request by a cost function.
//!
//! The cost grows with the expected time of one more request. Its unit is the load-dependent part
//! of a typical request's time at full load. The cost of an instance in another region includes its
//! round trip, so the instance is chosen once closer ones are expected to be slower.

use ladderstage::region::Distance;

/// Cost added for an instance in another zone.
const OTHER_ZONE_COST: f64 = 0.02;

/// Assumed round trip to another region until one is measured, in milliseconds.
const ASSUMED_ROUND_TRIP_MS: f64 = 20.0;

/// Assumed time of a request at an idle instance until one is measured, in milliseconds.
const ASSUMED_WORK_MS: f64 = 100.0;

/// Assumed number of events in a generation; converts the time per event to the time of a request.
const TYPICAL_EVENTS: f64 = 16.0;

/// Ratio of the load-independent part of a request's time to the load-dependent part at full load.
const FIXED_TIME_RATIO: f64 = 0.5;

/// The ratio for long and interrupted items, for which the speed of the instance matters more than
/// its load.
const LONG_FIXED_TIME_RATIO: f64 = 4.0;

/// Cost added for waiting for a slot; large compared with the cost of an instance with a free slot.
const QUEUE_COST: f64 = 100.0;

/// Lower bound of an instance's relative time, so that one quick response does not attract all
/// requests.
const MIN_RELATIVE_TIME: f64 = 0.6;

/// Minimum share of a measured time that remains after the round trip is subtracted, since the
/// round trip may be overestimated.
const MIN_WORK_SHARE: f64 = 0.25;

/// State of an instance that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Estimated number of requests at the instance, including those of this node.
    pub load: u32,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Distance from the choosing node.
    pub distance: Distance,
    /// Shortest connect time in milliseconds; `None` before the first connection.
    pub round_trip_ms: Option<f64>,
    /// Recent milliseconds per unit of work: per complete answer including the round trip, or per
    /// event. `None` if unknown.
    pub unit_time_ms: Option<f64>,
}

impl Candidate {
    /// Returns the round trip in milliseconds that the cost includes; zero within the region.
    fn round_trip_cost_ms(&self) -> f64 {
        match self.distance {
            Distance::OtherRegion => self.round_trip_ms.unwrap_or(ASSUMED_ROUND_TRIP_MS),
            Distance::SameMachine | Distance::SameZone | Distance::SameRegion => 0.0,
        }
    }

    /// Returns the recent milliseconds per unit of work without the round trip.
    fn work_ms(&self, demand: WorkKind) -> Option<f64> {
        let time_ms = self.unit_time_ms?;
        if demand.is_timed_per_answer() {
            return Some((time_ms - self.round_trip_cost_ms()).max(time_ms * MIN_WORK_SHARE));
        }
        Some(time_ms)
    }
}

/// Kind of work that an instance is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A client is waiting: any instance, full ones last.
    Live,
    /// An item of a batch job: only instances with a free slot.
    Batch,
    /// A long item of a batch job: the fastest instance with a free slot.
    LongBatch,
    /// The rest of an interrupted or migrated generation: the fastest instance, even if the request
    /// must queue, since new items would otherwise occupy each slot that becomes free.
    InterruptedBatch,
    /// A reward call: only instances that keep slots free for live requests.
    Scoring,
}

impl WorkKind {
    /// Returns whether times are measured per complete answer rather than per event.
    fn is_timed_per_answer(self) -> bool {
        match self {
            Self::Live | Self::Scoring => true,
            Self::Batch | Self::LongBatch | Self::InterruptedBatch => false,
        }
    }
}

/// One in this many slots is reserved for live requests, since reward calls arrive in bursts when
/// generations complete.
const LIVE_SLOT_DIVISOR: u32 = 6;

/// An instance accepts one queued interrupted generation per this many slots.
const INTERRUPTED_QUEUE_DIVISOR: u32 = 8;

/// Returns the index of the cheapest instance that accepts the demand, `None` if there is none.
/// `random` breaks ties.
pub fn choose(candidates: &[Candidate], demand: WorkKind, random: u64) -> Option<usize> {
    let typical = typical_unit_time(candidates, demand);
    let eligible = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.load < max_load(candidate, demand));
    let count = candidates.len().max(1);
    let offset = (random % count as u64) as usize;
    eligible
        .min_by(|(left_index, left), (right_index, right)| {
            let rotate = |index: usize| (index + offset) % count;
            cost(left, typical, demand)
                .total_cmp(&cost(right, typical, demand))
                .then(rotate(*left_index).cmp(&rotate(*right_index)))
        })
        .map(|(index, _)| index)
}

/// Returns the load at which the instance stops accepting this kind of work.
fn max_load(candidate: &Candidate, demand: WorkKind) -> u32 {
    match demand {
        WorkKind::Live => u32::MAX,
        WorkKind::Batch | WorkKind::LongBatch => candidate.slots,
        WorkKind::InterruptedBatch => {
            candidate.slots + candidate.slots.div_ceil(INTERRUPTED_QUEUE_DIVISOR)
        }
        WorkKind::Scoring => candidate.slots - candidate.slots / LIVE_SLOT_DIVISOR,
    }
}

/// Returns the cost of one more request at this instance, in the unit of the module's head.
fn cost(candidate: &Candidate, typical: Option<f64>, demand: WorkKind) -> f64 {
    let occupancy = f64::from(candidate.load + 1) / f64::from(candidate.slots.max(1));
    let relative_time = match (candidate.work_ms(demand), typical) {
        (Some(time_ms), Some(typical)) if typical > 0.0 => {
            (time_ms / typical).max(MIN_RELATIVE_TIME)
        }
        _ => 1.0,
    };
    let fixed_ratio = match demand {
        WorkKind::LongBatch | WorkKind::InterruptedBatch => LONG_FIXED_TIME_RATIO,
        WorkKind::Live | WorkKind::Batch | WorkKind::Scoring => FIXED_TIME_RATIO,
    };
    let queue_cost = if demand == WorkKind::InterruptedBatch && candidate.load >= candidate.slots {
        QUEUE_COST
    } else {
        0.0
    };
    let idle = fixed_ratio + 1.0 / f64::from(candidate.slots.max(1));
    let round_trip = round_trip_cost(candidate, typical, demand) * idle;
    (fixed_ratio + occupancy) * relative_time + zone_cost(candidate) + round_trip + queue_cost
}

/// Returns the cost of an instance outside the chooser's zone.
fn zone_cost(candidate: &Candidate) -> f64 {
    match candidate.distance {
        Distance::SameMachine | Distance::SameZone => 0.0,
        Distance::SameRegion | Distance::OtherRegion => OTHER_ZONE_COST,
    }
}

/// Returns the round trip relative to the time of a request at an idle typical instance.
fn round_trip_cost(candidate: &Candidate, typical: Option<f64>, demand: WorkKind) -> f64 {
    let events_per_request = if demand.is_timed_per_answer() {
        1.0
    } else {
        TYPICAL_EVENTS
    };
    let work_ms = typical.map_or(ASSUMED_WORK_MS, |time_ms| time_ms * events_per_request);
    candidate.round_trip_cost_ms() / work_ms.max(f64::MIN_POSITIVE)
}

/// Returns the median work time per unit of the candidates with a measured time.
fn typical_unit_time(candidates: &[Candidate], demand: WorkKind) -> Option<f64> {
    median(
        candidates
            .iter()
            .filter_map(|candidate| candidate.work_ms(demand))
            .collect(),
    )
}

/// Returns the median, `None` if `values` is empty.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
