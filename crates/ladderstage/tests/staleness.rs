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
fn staleness_is_that_of_the_oldest_segment() {
    assert!(BOUND.admits(&segments(&[5, 6, 7]), None));
    assert!(!BOUND.admits(&segments(&[7, 4, 7]), None));
    assert_eq!(oldest_version(&segments(&[7, 4, 7])), Some(4));
}

#[test]
fn segments_newer_than_the_version_in_force_are_fresh() {
    assert!(BOUND.admits(&segments(&[9]), None));
}

#[test]
fn samples_without_a_weight_version_are_never_admitted() {
    assert!(!BOUND.admits(&[], Some(Duration::ZERO)));
}

#[test]
fn unknown_age_exceeds_any_age_bound() {
    let bound = StalenessBound {
        age: Some(Duration::from_secs(10)),
        ..BOUND
    };
    assert!(bound.admits(&segments(&[7]), Some(Duration::from_secs(10))));
    assert!(!bound.admits(&segments(&[7]), Some(Duration::from_millis(10_001))));
    assert!(!bound.admits(&segments(&[7]), None));
}

#[test]
fn adjacent_segments_of_one_version_are_merged() {
    let merged = segments(&[3, 3, 4, 3]);
    let shape: Vec<(u64, u32)> = merged
        .iter()
        .map(|segment| (segment.weight_version, segment.tokens))
        .collect();
    assert_eq!(shape, [(3, 2), (4, 1), (3, 1)]);
}
