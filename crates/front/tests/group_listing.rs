//! Tests the listing of a step's results by groups, and its effect on a trainer that polls twice a
//! second.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::job::GroupListing;
use ladderstage_wire::messages::{JobItem, JobSpec};
use proptest::prelude::*;

/// Pause of a trainer after a read that returned at once, in milliseconds.
const READ_PAUSE_MS: u64 = 500;

/// Duration of the longest blocking read, in milliseconds.
const MAX_BLOCKING_READ_MS: u64 = 1_000;

/// Time at which the results of a step are due, in milliseconds.
const DUE_MS: u64 = 7_500;

fn step(groups: usize, size: usize, desired: u32) -> JobSpec {
    let items = (0..groups * size).map(|index| JobItem {
        id: format!("i{index}"),
        group: format!("g{}", index / size),
        ..JobItem::default()
    });
    JobSpec {
        desired_groups: desired,
        items: items.collect(),
        ..JobSpec::default()
    }
}

/// Returns the times at which the items of a step are listed, given the times at which they are
/// done, in milliseconds.
fn listed_at(spec: &JobSpec, due: Option<u64>, done_ms: &[u64]) -> Vec<Option<u64>> {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut listing = GroupListing::new(spec, due.map(at), |_| false);
    let mut listed = vec![None; done_ms.len()];
    for now in 0..=15_000 {
        for (index, _) in done_ms.iter().enumerate().filter(|(_, done)| **done == now) {
            listing.add_result(index, at(now));
        }
        for index in listing.drain_ready(at(now)) {
            assert!(listed[index].is_none(), "listed twice");
            listed[index] = Some(now);
        }
    }
    listed
}

/// Returns the time at which a trainer ends a step, in milliseconds. The trainer checks for enough
/// complete groups every half second, or when a longer blocking read returns.
fn ended_at(spec: &JobSpec, listed: &[Option<u64>], offset: u64) -> u64 {
    let mut read = offset;
    let mut known = 0;
    loop {
        let count = |at: u64| {
            listed
                .iter()
                .flatten()
                .filter(|listed| **listed <= at)
                .count()
        };
        let answered = (read..read + MAX_BLOCKING_READ_MS).find(|at| count(*at) > known);
        let answered = answered.unwrap_or(read + MAX_BLOCKING_READ_MS);
        known = count(answered);
        read = answered.max(read + READ_PAUSE_MS);
        if complete_groups(spec, listed, answered) >= spec.desired_groups as usize {
            return read;
        }
    }
}

fn complete_groups(spec: &JobSpec, listed: &[Option<u64>], at: u64) -> usize {
    let mut groups = std::collections::BTreeMap::<&str, bool>::new();
    for (item, listed) in spec.items.iter().zip(listed) {
        let is_listed = listed.is_some_and(|listed| listed <= at);
        *groups.entry(&item.group).or_insert(true) &= is_listed;
    }
    groups
        .into_values()
        .filter(|is_complete| *is_complete)
        .count()
}

/// Returns completion times of which one in forty is close to the maximum and the others average a
/// seventh of it.
fn done_times(spec: &JobSpec, seed: u64) -> Vec<u64> {
    let mut state = seed | 1;
    let mut random = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    let items = spec.items.iter();
    items
        .map(|_| {
            let seconds = if random() < 0.025 {
                7.0 + random() * 0.2
            } else {
                (-(1.0 - random()).ln()).min(6.5)
            };
            (seconds * 1e3) as u64
        })
        .collect()
}

/// Guards against listing results one by one: the trainer would then receive its last group more
/// than 0.5 s late instead of less than 0.3 s.
#[test]
fn group_listing_shortens_the_trainers_wait_for_its_last_group() {
    let spec = step(28, 8, 26);
    let (mut one_by_one, mut by_groups) = (0, 0);
    const STEPS: u64 = 16;
    for seed in 1..=STEPS {
        let done = done_times(&spec, seed.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let at_once: Vec<Option<u64>> = done.iter().copied().map(Some).collect();
        let by_group = listed_at(&spec, Some(DUE_MS), &done);
        let enough = (0..)
            .find(|at| complete_groups(&spec, &at_once, *at) >= 26)
            .unwrap();
        one_by_one += ended_at(&spec, &at_once, seed * 12 % 500) - enough;
        by_groups += ended_at(&spec, &by_group, seed * 12 % 500) - enough;
    }
    println!(
        "one by one {} ms, by groups {} ms",
        one_by_one / STEPS,
        by_groups / STEPS
    );
    assert!(one_by_one / STEPS > 500, "{one_by_one}");
    assert!(by_groups / STEPS < 300, "{by_groups}");
}

#[test]
fn complete_groups_are_listed_together_once_enough_are_complete() {
    let spec = step(3, 2, 2);
    let listed = listed_at(&spec, Some(DUE_MS), &[100, 300, 200, 9_000, 400, 500]);
    // Two groups are complete at 500 ms. The third one misses the due time, at which its first item
    // is listed.
    assert_eq!(listed[..2], [Some(500); 2]);
    assert_eq!(listed[4..], [Some(500); 2]);
    assert_eq!(listed[2], Some(DUE_MS - 150));
    assert_eq!(listed[3], Some(9_000));
}

#[test]
fn a_complete_group_waits_at_most_a_second() {
    let spec = step(3, 1, 3);
    let listed = listed_at(&spec, Some(DUE_MS), &[100, 900, 5_000]);
    assert_eq!(listed, [Some(1_100), Some(1_100), Some(5_000)]);
}

#[test]
fn results_without_desired_groups_or_due_time_are_listed_as_they_arrive() {
    let done = [100, 900, 5_000];
    let expected: Vec<Option<u64>> = done.iter().copied().map(Some).collect();
    assert_eq!(listed_at(&step(1, 3, 0), Some(DUE_MS), &done), expected);
    assert_eq!(listed_at(&step(1, 3, 1), None, &done), expected);
}

#[test]
fn groups_count_results_that_are_already_in_the_log() {
    let spec = step(2, 2, 2);
    let now = Instant::now();
    let due = now + Duration::from_secs(5);
    let mut listing = GroupListing::new(&spec, Some(due), |item| item == "i0" || item == "i1");
    listing.add_result(2, now);
    assert!(listing.drain_ready(now).is_empty());
    listing.add_result(3, now);
    assert_eq!(listing.drain_ready(now).len(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 24, ..ProptestConfig::default() })]

    /// Every result is listed once, after it arrives and no later than the due time or a second
    /// after its group is complete.
    #[test]
    fn every_result_is_listed_in_time(
        groups in 1_usize..6,
        size in 1_usize..4,
        desired in 0_u32..6,
        times in proptest::collection::vec(0_u64..12_000, 18),
    ) {
        let spec = step(groups, size, desired);
        let done = &times[..groups * size];
        let listed = listed_at(&spec, Some(DUE_MS), done);
        for (index, listed) in listed.iter().enumerate() {
            let group = index / size;
            let complete_at = *done[group * size..(group + 1) * size].iter().max().unwrap();
            let latest = (complete_at + 1_000).min(DUE_MS - 150).max(done[index]);
            let listed = listed.unwrap();
            prop_assert!(done[index] <= listed && listed <= latest, "{} {} {}", done[index], listed, latest);
        }
    }
}
