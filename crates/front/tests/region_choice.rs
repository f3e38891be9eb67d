//! Tests of the choice between instances of the local region and of other regions.

use std::collections::BTreeMap;

use ladderstage_front::backend::{
    BackendTable, Candidate, DiscoveredInstance, RequiredWeights, WorkKind, choose,
};
use ladderstage_front::region::{AllowedRegions, Distance, RegionMap};
use proptest::prelude::*;

/// Round trip to another region, in milliseconds.
const ROUND_TRIP_MS: f64 = 24.0;

/// Time of a live request at an instance, in milliseconds.
const LIVE_MS: f64 = 25.0;

/// Time of a reward call at an instance, in milliseconds.
const REWARD_MS: f64 = 200.0;

/// Time between two events of a generation, in milliseconds.
const EVENT_MS: f64 = 45.0;

const SLOTS: u32 = 6;

fn candidate(distance: Distance, load: u32, unit_time_ms: Option<f64>) -> Candidate {
    Candidate {
        load,
        slots: SLOTS,
        distance,
        round_trip_ms: (distance == Distance::OtherRegion).then_some(ROUND_TRIP_MS),
        unit_time_ms,
    }
}

/// Returns a candidate with its typical measured time, which includes the round trip for complete
/// answers.
fn measured(distance: Distance, load: u32, demand: WorkKind) -> Candidate {
    let round_trip = if distance == Distance::OtherRegion {
        ROUND_TRIP_MS
    } else {
        0.0
    };
    let unit_time_ms = match demand {
        WorkKind::Live => LIVE_MS + round_trip,
        WorkKind::Scoring => REWARD_MS + round_trip,
        WorkKind::Batch | WorkKind::LongBatch | WorkKind::InterruptedBatch => EVENT_MS,
    };
    candidate(distance, load, Some(unit_time_ms))
}

const DEMANDS: [WorkKind; 5] = [
    WorkKind::Live,
    WorkKind::Scoring,
    WorkKind::Batch,
    WorkKind::LongBatch,
    WorkKind::InterruptedBatch,
];

#[test]
fn an_instance_in_the_local_region_is_preferred_to_an_equal_remote_one() {
    for demand in DEMANDS {
        for random in 0..8 {
            let known = [Distance::OtherRegion, Distance::SameRegion]
                .map(|distance| measured(distance, 1, demand));
            assert_eq!(choose(&known, demand, random), Some(1), "{demand:?}");
            let unknown = [Distance::OtherRegion, Distance::SameRegion]
                .map(|distance| candidate(distance, 1, None));
            assert_eq!(choose(&unknown, demand, random), Some(1), "{demand:?}");
        }
    }
}

/// Returns a table in region `east` with the instances `near` in `east`, `far` in `west`, and
/// `unzoned` in an unknown zone.
fn table_of_two_regions() -> BackendTable {
    let zones = [("e1", "east"), ("w1", "west")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let table = BackendTable::new("e1").with_regions(RegionMap::new(zones.into()));
    for (id, zone) in [("near", "e1"), ("far", "w1"), ("unzoned", "unknown")] {
        table.upsert(DiscoveredInstance {
            id: id.to_owned(),
            service: "service".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: zone.to_owned(),
            is_ready: true,
            slots: SLOTS,
            started_unix_ms: 0,
            cold_ms: 0,
            is_preemptible: false,
            leaves_ms: None,
            versions: BTreeMap::new(),
        });
    }
    table
}

#[test]
fn an_instance_outside_the_allowed_regions_is_never_chosen() {
    let table = table_of_two_regions();
    let only = |region: &str| AllowedRegions::only([region.into()]);
    let chosen = |allowed: &AllowedRegions| {
        let first = table.choose_in_regions(
            "service",
            RequiredWeights::ANY,
            WorkKind::Live,
            allowed,
            |_| true,
        );
        let again = table.choose_for_retry("service", allowed);
        [first, again].map(|choice| choice.map(|instance| instance.id().to_owned()))
    };
    for _ in 0..32 {
        assert_eq!(
            chosen(&only("east")),
            ["near", "near"].map(|id| Some(id.to_owned()))
        );
        assert_eq!(
            chosen(&only("west")),
            ["far", "far"].map(|id| Some(id.to_owned()))
        );
        assert_eq!(chosen(&only("north")), [None, None]);
        let anywhere = AllowedRegions::default();
        assert_eq!(chosen(&anywhere)[0].as_deref(), Some("near"));
    }
    assert!(table.has_instance_in("service", &only("west")));
    assert!(!table.has_instance_in("service", &only("north")));
}

/// For a short request, the round trip outweighs a higher load in the local region.
#[test]
fn short_requests_leave_the_region_at_higher_loads_than_long_ones() {
    let min_load_to_leave = |demand| {
        let loads = 0..=SLOTS * 2;
        let leaves = loads.into_iter().find(|load| {
            let busy_local = measured(Distance::SameZone, *load, demand);
            let idle_remote = measured(Distance::OtherRegion, 0, demand);
            choose(&[busy_local, idle_remote], demand, 0) == Some(1)
        });
        leaves.unwrap()
    };
    let live = min_load_to_leave(WorkKind::Live);
    let reward = min_load_to_leave(WorkKind::Scoring);
    let text = min_load_to_leave(WorkKind::Batch);
    assert!(live > reward && reward >= text, "{live} {reward} {text}");
    assert!(live <= SLOTS, "{live}");
    assert!(text >= 1, "{text}");
}

#[test]
fn batch_and_reward_work_leaves_a_full_region() {
    for demand in [WorkKind::Batch, WorkKind::LongBatch, WorkKind::Scoring] {
        let local = measured(Distance::SameZone, SLOTS, demand);
        let remote = measured(Distance::OtherRegion, 2, demand);
        assert_eq!(choose(&[local, remote], demand, 0), Some(1), "{demand:?}");
    }
}

/// Simulated regions. Each instance finishes one request per slot and round. The loads of all
/// instances are known to every region.
struct RegionSimulation {
    /// Loads of the instances of each region.
    loads: Vec<Vec<u32>>,
}

impl RegionSimulation {
    fn new(sizes: &[usize]) -> Self {
        let loads = sizes.iter().map(|size| vec![0; *size]);
        Self {
            loads: loads.collect(),
        }
    }

    /// Sends one request of region `from`; returns the region that serves it.
    fn send(&mut self, from: usize, demand: WorkKind, random: u64) -> Option<usize> {
        let places: Vec<(usize, usize)> = self
            .loads
            .iter()
            .enumerate()
            .flat_map(|(region, loads)| (0..loads.len()).map(move |index| (region, index)))
            .collect();
        let candidates: Vec<Candidate> = places
            .iter()
            .map(|(region, index)| {
                let distance = if *region == from {
                    Distance::SameRegion
                } else {
                    Distance::OtherRegion
                };
                measured(distance, self.loads[*region][*index], demand)
            })
            .collect();
        let (region, index) = places[choose(&candidates, demand, random)?];
        self.loads[region][index] += 1;
        Some(region)
    }

    /// Finishes the requests running in all slots.
    fn finish(&mut self) {
        for load in self.loads.iter_mut().flatten() {
            *load = load.saturating_sub(SLOTS);
        }
    }

    /// Runs 20 rounds with `requests[region]` requests each; returns how many of each region's
    /// requests were served there, per round.
    fn run_rounds(&mut self, requests: &[u32], demand: WorkKind) -> Vec<Vec<u32>> {
        (0..20u64)
            .map(|round| {
                let max_requests = *requests.iter().max().unwrap();
                let mut served_locally = vec![0; requests.len()];
                for index_in_round in 0..max_requests {
                    for (from, count) in requests.iter().enumerate() {
                        let is_sent = index_in_round < *count;
                        let random = round * 31 + u64::from(index_in_round);
                        if is_sent && self.send(from, demand, random) == Some(from) {
                            served_locally[from] += 1;
                        }
                    }
                }
                self.finish();
                served_locally
            })
            .collect()
    }
}

#[test]
fn a_region_at_twice_its_capacity_sends_the_rest_elsewhere_without_oscillation() {
    for demand in [WorkKind::Live, WorkKind::Batch, WorkKind::Scoring] {
        let mut regions = RegionSimulation::new(&[4, 4, 4]);
        let region_slots = 4 * SLOTS;
        let rounds = regions.run_rounds(
            &[region_slots * 2, region_slots / 4, region_slots / 4],
            demand,
        );
        for served_locally in &rounds {
            assert!(
                served_locally[0] >= region_slots * 3 / 4,
                "{demand:?} {rounds:?}"
            );
            assert!(
                served_locally[0] < region_slots * 2,
                "{demand:?} {rounds:?}"
            );
        }
        let of = |region: usize| {
            rounds
                .iter()
                .map(move |served_locally| served_locally[region])
        };
        for region in 0..3 {
            let spread = of(region).max().unwrap() - of(region).min().unwrap();
            assert!(spread <= SLOTS, "{demand:?} region {region}: {rounds:?}");
        }
    }
}

#[test]
fn a_region_that_loses_half_of_its_instances_uses_the_rest_and_other_regions() {
    let mut regions = RegionSimulation::new(&[4, 4, 4]);
    let requests = [2 * SLOTS, 2 * SLOTS, 2 * SLOTS];
    for served_locally in regions.run_rounds(&requests, WorkKind::Live) {
        assert_eq!(
            served_locally, requests,
            "each region serves its own requests"
        );
    }
    regions.loads[0].truncate(2);
    let rounds = regions.run_rounds(&requests, WorkKind::Live);
    for served_locally in &rounds {
        assert!(served_locally[0] >= SLOTS, "{rounds:?}");
        assert!(
            served_locally[1] + served_locally[2] >= 3 * SLOTS,
            "{rounds:?}"
        );
    }
}

proptest! {
    #[test]
    fn within_one_region_the_round_trip_changes_no_choice(
        loads in prop::collection::vec((0u32..10, any::<bool>(), prop::option::of(1.0..200.0f64)), 1..8),
        round_trips in prop::collection::vec(0.1..300.0f64, 8),
        random: u64,
    ) {
        let of = |index: usize, round_trip: Option<f64>| {
            let (load, is_same_zone, unit_time_ms) = loads[index];
            let distance = if is_same_zone { Distance::SameZone } else { Distance::SameRegion };
            Candidate { round_trip_ms: round_trip, ..candidate(distance, load, unit_time_ms) }
        };
        let without: Vec<Candidate> = (0..loads.len()).map(|index| of(index, None)).collect();
        let with: Vec<Candidate> = (0..loads.len()).map(|index| of(index, Some(round_trips[index]))).collect();
        for demand in DEMANDS {
            prop_assert_eq!(choose(&without, demand, random), choose(&with, demand, random));
        }
    }
}
