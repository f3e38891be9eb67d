//! Tests that reward calls leave slots of their service to live requests.

use ladderstage_front::backend::{Candidate, WorkKind, choose};
use ladderstage_front::region::Distance;
use proptest::prelude::*;

fn candidate(load: u32, slots: u32) -> Candidate {
    Candidate {
        load,
        slots,
        distance: Distance::SameZone,
        round_trip_ms: None,
        unit_time_ms: None,
    }
}

#[test]
fn the_last_slot_is_left_to_live_requests() {
    assert_eq!(choose(&[candidate(5, 6)], WorkKind::Scoring, 0), None);
    assert_eq!(choose(&[candidate(4, 6)], WorkKind::Scoring, 0), Some(0));
    assert_eq!(choose(&[candidate(5, 6)], WorkKind::Live, 0), Some(0));
}

proptest! {
    #[test]
    fn no_instance_gets_more_calls_than_slots(load in 0u32..20, slots in 0u32..20, random: u64) {
        let chosen = choose(&[candidate(load, slots)], WorkKind::Scoring, random);
        prop_assert!(chosen.is_none() || load < slots);
    }
}
