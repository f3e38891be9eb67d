//! Staleness bound of samples.

use std::time::Duration;

use ladderstage::staleness::{StalenessBound, append_tokens, oldest_version};
use ladderstage_wire::messages::Segment;

const BOUND: StalenessBound = StalenessBound {
    weight_version: 7,
    versions: 2,
    age: None,
};

fn segments(versions: &[u64]) -> Vec<Segment> {
    let mut segments = Vec::new();
    for version in versions {
        append_tokens(&mut segments, *version, 1);
    }
    segments
}

#[test]
fn oldest_segment_decides() {
    assert!(BOUND.admits(&segments(&[5, 6, 7]), None));
    assert!(!BOUND.admits(&segments(&[7, 4, 7]), None));
    assert_eq!(oldest_version(&segments(&[7, 4, 7])), Some(4));
}

#[test]
fn newer_than_in_force_is_fresh() {
    assert!(BOUND.admits(&segments(&[9]), None));
}

#[test]
fn without_a_named_version_is_never_delivered() {
    assert!(!BOUND.admits(&[], Some(Duration::ZERO)));
}

#[test]
fn unknown_age_is_too_old_for_an_age_bound() {
    let bound = StalenessBound {
        age: Some(Duration::from_secs(10)),
        ..BOUND
    };
    assert!(bound.admits(&segments(&[7]), Some(Duration::from_secs(10))));
    assert!(!bound.admits(&segments(&[7]), Some(Duration::from_millis(10_001))));
    assert!(!bound.admits(&segments(&[7]), None));
}

#[test]
fn equal_neighbours_merge() {
    let merged = segments(&[3, 3, 4, 3]);
    let shape: Vec<(u64, u32)> = merged
        .iter()
        .map(|segment| (segment.weight_version, segment.tokens))
        .collect();
    assert_eq!(shape, [(3, 2), (4, 1), (3, 1)]);
}
