//! Which instance a request goes to: one cost function over what is known of each.
//!
//! The cost is the expected time of one more request against that of an idle typical instance. For an
//! instance in another region the round trip is added in the same unit, so that it is chosen once the wait at nearer ones is longer.

use ladderstage::region::Distance;

/// Added to the cost of an instance in another zone, in shares of its capacity.
const OTHER_ZONE: f64 = 0.02;

/// Round trip to an instance in another region, in milliseconds, until one is measured: that of regions some 1,500 km apart.
const ASSUMED_ROUND_TRIP_MS: f64 = 20.0;

/// Time of a request at an idle instance, in milliseconds, until one is measured.
const ASSUMED_WORK_MS: f64 = 100.0;

/// Events of a typical text. Paces of streams are known per event.
const USUAL_EVENTS: f64 = 16.0;

/// Cost of an idle instance against that of its occupancy: what part of a request's time does not depend on others.
const IDLE_SHARE: f64 = 0.5;

/// The same for a long request: its time depends on the pace most of all.
const LONG_IDLE_SHARE: f64 = 4.0;

/// Cost of waiting for a slot: more than that of the slowest instance with a free one.
const QUEUE_COST: f64 = 100.0;

/// Least share of the fleet's pace that counts, so that one quick answer does not draw everything.
const LEAST_RELATIVE_PACE: f64 = 0.6;

/// Least share of a measured pace that is the instance's own work: the round trip may have been overestimated.
const LEAST_OWN_SHARE: f64 = 0.25;

/// What is known of an instance that may be given work.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Requests there as best known, own ones included.
    pub load: u32,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// How far it is from the chooser.
    pub distance: Distance,
    /// Shortest time in which it took a connection, in milliseconds; `None` before the first one.
    pub round_trip_ms: Option<f64>,
    /// Recent milliseconds per unit of work: per whole answer, round trip included, or per event; `None` while unknown.
    pub unit_time_ms: Option<f64>,
}

impl Candidate {
    /// The round trip in milliseconds; zero within the region, where it does not matter.
    fn counted_round_trip_ms(&self) -> f64 {
        match self.distance {
            Distance::Elsewhere => self.round_trip_ms.unwrap_or(ASSUMED_ROUND_TRIP_MS),
            Distance::SameMachine | Distance::SameZone | Distance::SameRegion => 0.0,
        }
    }

    /// Recent milliseconds per unit of work, without the round trip.
    fn work_ms(&self, demand: Demand) -> Option<f64> {
        let pace = self.unit_time_ms?;
        if demand.has_whole_answers() {
            return Some((pace - self.counted_round_trip_ms()).max(pace * LEAST_OWN_SHARE));
        }
        Some(pace)
    }
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
    InterruptedBatch,
    /// A reward call: only an instance with slots to spare for clients who wait.
    Scoring,
}

impl Demand {
    /// Whether paces are those of whole answers, and not of events.
    fn has_whole_answers(self) -> bool {
        match self {
            Self::Live | Self::Scoring => true,
            Self::Batch | Self::LongBatch | Self::InterruptedBatch => false,
        }
    }
}

/// Reward calls leave one of so many slots to live requests: they come in bursts as texts end, and each client would otherwise wait for a
/// whole burst.
const LIVE_SLOT_SHARE: u32 = 6;

/// One cut text may wait at an instance for so many slots there.
const CUT_QUEUE_SHARE: u32 = 8;

/// Index of the instance to use; `None` if none fits. `random` decides among equal ones.
pub fn choose(candidates: &[Candidate], demand: Demand, random: u64) -> Option<usize> {
    let typical = typical_unit_time(candidates, demand);
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
        Demand::InterruptedBatch => candidate.slots + candidate.slots.div_ceil(CUT_QUEUE_SHARE),
        Demand::Scoring => candidate.slots - candidate.slots / LIVE_SLOT_SHARE,
    }
}

/// Expected time of one more request against an idle typical instance.
fn cost(candidate: &Candidate, typical: Option<f64>, demand: Demand) -> f64 {
    let occupancy = f64::from(candidate.load + 1) / f64::from(candidate.slots.max(1));
    let relative_pace = match (candidate.work_ms(demand), typical) {
        (Some(pace), Some(typical)) if typical > 0.0 => (pace / typical).max(LEAST_RELATIVE_PACE),
        _ => 1.0,
    };
    let idle_share = match demand {
        Demand::LongBatch | Demand::InterruptedBatch => LONG_IDLE_SHARE,
        Demand::Live | Demand::Batch | Demand::Scoring => IDLE_SHARE,
    };
    let queueing = if demand == Demand::InterruptedBatch && candidate.load >= candidate.slots {
        QUEUE_COST
    } else {
        0.0
    };
    let idle = idle_share + 1.0 / f64::from(candidate.slots.max(1));
    let round_trip = round_trip_cost(candidate, typical, demand) * idle;
    (idle_share + occupancy) * relative_pace + zone_surcharge(candidate) + round_trip + queueing
}

/// Added to the cost of an instance that is not in the chooser's zone.
fn zone_surcharge(candidate: &Candidate) -> f64 {
    match candidate.distance {
        Distance::SameMachine | Distance::SameZone => 0.0,
        Distance::SameRegion | Distance::Elsewhere => OTHER_ZONE,
    }
}

/// The round trip to an instance as a share of the time of a request at an idle typical one.
fn round_trip_cost(candidate: &Candidate, typical: Option<f64>, demand: Demand) -> f64 {
    let units = if demand.has_whole_answers() {
        1.0
    } else {
        USUAL_EVENTS
    };
    let work_ms = typical.map_or(ASSUMED_WORK_MS, |pace| pace * units);
    candidate.counted_round_trip_ms() / work_ms.max(f64::MIN_POSITIVE)
}

/// Median of the known paces.
fn typical_unit_time(candidates: &[Candidate], demand: Demand) -> Option<f64> {
    median(
        candidates
            .iter()
            .filter_map(|candidate| candidate.work_ms(demand))
            .collect(),
    )
}

/// Median; `None` of nothing.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
