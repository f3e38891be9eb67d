//! Work stays in its region, and moves to another when that serves it better.

use std::collections::BTreeMap;

use ladderstage_front::backend::{BackendTable, Candidate, Demand, DiscoveredInstance, choose};
use ladderstage_front::region::{AllowedRegions, Distance, RegionMap};
use proptest::prelude::*;

/// Round trip to another region.
const ROUND_TRIP_MS: f64 = 24.0;

/// Time of a live request at an instance.
const LIVE_MS: f64 = 25.0;

/// Time of a reward call at an instance.
const REWARD_MS: f64 = 200.0;

/// Time between two events of a text.
const EVENT_MS: f64 = 45.0;

const SLOTS: u32 = 6;

fn candidate(distance: Distance, load: u32, unit_time_ms: Option<f64>) -> Candidate {
    Candidate {
        load,
        slots: SLOTS,
        distance,
        round_trip_ms: (distance == Distance::Elsewhere).then_some(ROUND_TRIP_MS),
        unit_time_ms,
    }
}

/// As measured: for whole answers, round trip included.
fn measured(distance: Distance, load: u32, demand: Demand) -> Candidate {
    let way = if distance == Distance::Elsewhere {
        ROUND_TRIP_MS
    } else {
        0.0
    };
    let pace = match demand {
        Demand::Live => LIVE_MS + way,
        Demand::Scoring => REWARD_MS + way,
        Demand::Batch | Demand::LongBatch | Demand::InterruptedBatch => EVENT_MS,
    };
    candidate(distance, load, Some(pace))
}

const DEMANDS: [Demand; 5] = [
    Demand::Live,
    Demand::Scoring,
    Demand::Batch,
    Demand::LongBatch,
    Demand::InterruptedBatch,
];

#[test]
fn an_instance_of_this_region_goes_before_an_equal_one_elsewhere() {
    for demand in DEMANDS {
        for random in 0..8 {
            let known = [Distance::Elsewhere, Distance::SameRegion]
                .map(|distance| measured(distance, 1, demand));
            assert_eq!(choose(&known, demand, random), Some(1), "{demand:?}");
            let unknown = [Distance::Elsewhere, Distance::SameRegion]
                .map(|distance| candidate(distance, 1, None));
            assert_eq!(choose(&unknown, demand, random), Some(1), "{demand:?}");
        }
    }
}

/// Instances `near` and `far`, one in each region, known to a chooser in the region `east`.
fn table_of_two_regions() -> BackendTable {
    let zones = [("e1", "east"), ("w1", "west")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let table = BackendTable::new("e1").with_regions(RegionMap::new(zones.into()));
    for (id, zone) in [("near", "e1"), ("far", "w1"), ("lost", "unknown")] {
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
        let first = table.choose_within("service", "", Demand::Live, allowed, |_| true);
        let again = table.choose_for_retry("service", allowed);
        [first, again].map(|one| one.map(|instance| instance.id().to_owned()))
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
    assert!(table.has_any_within("service", &only("west")));
    assert!(!table.has_any_within("service", &only("north")));
}

/// A live request takes about as long as the round trip: it goes elsewhere once it would wait here for as long.
#[test]
fn short_requests_stay_here_for_longer_than_long_ones() {
    let least_load_to_leave = |demand| {
        let near = 0..=SLOTS * 2;
        let leaves = near.into_iter().find(|load| {
            let near = measured(Distance::SameZone, *load, demand);
            let idle_far = measured(Distance::Elsewhere, 0, demand);
            choose(&[near, idle_far], demand, 0) == Some(1)
        });
        leaves.unwrap()
    };
    let live = least_load_to_leave(Demand::Live);
    let reward = least_load_to_leave(Demand::Scoring);
    let text = least_load_to_leave(Demand::Batch);
    assert!(live > reward && reward >= text, "{live} {reward} {text}");
    assert!(live <= SLOTS, "{live}");
    assert!(text >= 1, "{text}");
}

#[test]
fn a_full_region_sends_its_items_elsewhere_at_once() {
    for demand in [Demand::Batch, Demand::LongBatch, Demand::Scoring] {
        let near = measured(Distance::SameZone, SLOTS, demand);
        let far = measured(Distance::Elsewhere, 2, demand);
        assert_eq!(choose(&[near, far], demand, 0), Some(1), "{demand:?}");
    }
}

/// Regions whose instances each finish one request at a time unit and slot; each region chooses by what it knows of all.
struct Regions {
    /// Loads of the instances of each region.
    loads: Vec<Vec<u32>>,
}

impl Regions {
    fn new(sizes: &[usize]) -> Self {
        let loads = sizes.iter().map(|size| vec![0; *size]);
        Self {
            loads: loads.collect(),
        }
    }

    /// Gives one request of region `from` an instance; returns the region of it.
    fn send(&mut self, from: usize, demand: Demand, random: u64) -> Option<usize> {
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
                    Distance::Elsewhere
                };
                measured(distance, self.loads[*region][*index], demand)
            })
            .collect();
        let (region, index) = places[choose(&candidates, demand, random)?];
        self.loads[region][index] += 1;
        Some(region)
    }

    /// All instances finish what runs in their slots.
    fn finish(&mut self) {
        for load in self.loads.iter_mut().flatten() {
            *load = load.saturating_sub(SLOTS);
        }
    }

    /// Shares of the requests of each region that were served there, over some rounds with `demand[region]` requests a round.
    fn play(&mut self, requests: &[u32], demand: Demand) -> Vec<Vec<u32>> {
        (0..20u64)
            .map(|round| {
                let most = *requests.iter().max().unwrap();
                let mut stayed = vec![0; requests.len()];
                for turn in 0..most {
                    for (from, count) in requests.iter().enumerate() {
                        let is_sent = turn < *count;
                        let random = round * 31 + u64::from(turn);
                        if is_sent && self.send(from, demand, random) == Some(from) {
                            stayed[from] += 1;
                        }
                    }
                }
                self.finish();
                stayed
            })
            .collect()
    }
}

/// A region at twice its load keeps what it can serve and sends the rest elsewhere, in each round the same; the others keep theirs.
#[test]
fn a_region_at_twice_its_load_sends_the_rest_elsewhere_and_nothing_swings() {
    for demand in [Demand::Live, Demand::Batch, Demand::Scoring] {
        let mut regions = Regions::new(&[4, 4, 4]);
        let slots = 4 * SLOTS;
        let played = regions.play(&[slots * 2, slots / 4, slots / 4], demand);
        for stayed in &played {
            assert!(stayed[0] >= slots * 3 / 4, "{demand:?} {played:?}");
            assert!(stayed[0] < slots * 2, "{demand:?} {played:?}");
        }
        let of = |region: usize| played.iter().map(move |stayed| stayed[region]);
        for region in 0..3 {
            let spread = of(region).max().unwrap() - of(region).min().unwrap();
            assert!(spread <= SLOTS, "{demand:?} region {region}: {played:?}");
        }
    }
}

#[test]
fn a_region_that_loses_half_of_its_instances_goes_on_with_the_rest_and_the_others() {
    let mut regions = Regions::new(&[4, 4, 4]);
    let requests = [2 * SLOTS, 2 * SLOTS, 2 * SLOTS];
    for stayed in regions.play(&requests, Demand::Live) {
        assert_eq!(stayed, requests, "each region serves its own");
    }
    regions.loads[0].truncate(2);
    let played = regions.play(&requests, Demand::Live);
    for stayed in &played {
        assert!(stayed[0] >= SLOTS, "{played:?}");
        assert!(stayed[1] + stayed[2] >= 3 * SLOTS, "{played:?}");
    }
}

proptest! {
    /// Without another region the round trip is no part of the cost: its measured values change no choice.
    #[test]
    fn in_one_region_the_way_changes_nothing(
        loads in prop::collection::vec((0u32..10, any::<bool>(), prop::option::of(1.0..200.0f64)), 1..8),
        ways in prop::collection::vec(0.1..300.0f64, 8),
        random: u64,
    ) {
        let of = |index: usize, way: Option<f64>| {
            let (load, is_near, unit_time_ms) = loads[index];
            let distance = if is_near { Distance::SameZone } else { Distance::SameRegion };
            Candidate { round_trip_ms: way, ..candidate(distance, load, unit_time_ms) }
        };
        let without: Vec<Candidate> = (0..loads.len()).map(|index| of(index, None)).collect();
        let with: Vec<Candidate> = (0..loads.len()).map(|index| of(index, Some(ways[index]))).collect();
        for demand in DEMANDS {
            prop_assert_eq!(choose(&without, demand, random), choose(&with, demand, random));
        }
    }
}
