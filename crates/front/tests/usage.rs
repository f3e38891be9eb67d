//! Tests of usage counts and windows, and a model check that no window is ever reported with two
//! different counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::usage::{CommittedReports, UsageMeter, WindowClock};
use ladderstage_wire::messages::{ProcessUsage, TenantCount};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(5);

fn counts(requests: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("one".to_owned(), requests)])
}

fn usage_of(process: u64, window: u64, requests: u64) -> ProcessUsage {
    ProcessUsage {
        process,
        window,
        counts: vec![TenantCount {
            tenant: "one".to_owned(),
            requests,
        }],
    }
}

#[test]
fn windows_start_at_multiples_of_their_length_since_the_epoch() {
    let now = Instant::now();
    let clock = WindowClock::anchored(WINDOW, now, Duration::from_millis(14_999));
    assert_eq!(clock.window_of(now), 2);
    let later = now + Duration::from_millis(1);
    assert_eq!(clock.window_of(later), 3);
    assert_eq!(clock.since_end(2, now), None);
    assert_eq!(clock.since_end(2, later), Some(Duration::ZERO));
    let behind = clock.corrected(-2_000);
    assert_eq!(behind.since_end(2, later), None);
    assert_eq!(
        behind.corrected(2_000).since_epoch(now),
        clock.since_epoch(now)
    );
}

#[test]
fn an_instant_before_the_anchor_has_an_earlier_window() {
    let now = Instant::now() + Duration::from_secs(60);
    let clock = WindowClock::anchored(WINDOW, now, Duration::from_secs(100));
    assert_eq!(clock.window_of(now - Duration::from_secs(6)), 18);
}

#[test]
fn counts_are_added_over_processes_and_own_counts_are_not_accepted_from_others() {
    let now = Instant::now();
    let clock = WindowClock::anchored(WINDOW, now, Duration::from_secs(50));
    let meter = UsageMeter::new(1, clock);
    let tenant: Arc<str> = "one".into();
    meter.record_start(&tenant, now);
    meter.record_start(&tenant, now);
    meter.merge(&[usage_of(2, 10, 5), usage_of(1, 10, 9), usage_of(2, 11, 1)]);
    assert_eq!(meter.total(10).get("one"), Some(&7));
    assert_eq!(meter.total(11).get("one"), Some(&1));
    assert_eq!(meter.own_counts(2), vec![usage_of(1, 10, 2)]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Messages with increasing counts may arrive in any order and repeatedly; the highest count of
    /// each process is used.
    #[test]
    fn the_total_does_not_depend_on_the_order_of_messages(
        received in proptest::collection::vec((2_u64..6, 0_u64..50), 1..40),
        order in any::<u64>(),
    ) {
        let clock = WindowClock::anchored(WINDOW, Instant::now(), Duration::from_secs(50));
        let mut highest = BTreeMap::<u64, u64>::new();
        for (process, requests) in &received {
            let known = highest.entry(*process).or_insert(0);
            *known = (*known).max(*requests);
        }
        let meter = UsageMeter::new(1, clock);
        let split = (order % received.len() as u64) as usize;
        for (process, requests) in received[split..].iter().chain(&received).rev() {
            meter.merge(&[usage_of(*process, 10, *requests)]);
        }
        let total = meter.total(10).get("one").copied().unwrap_or(0);
        prop_assert_eq!(total, highest.values().sum::<u64>());
    }
}

/// Explores all interleavings of two lease holders, which may both act as a frozen one does not
/// notice the loss of its lease, with a store that may lose answers and apply writes late.
mod model {
    use super::*;

    /// Number of windows.
    const WINDOWS: u64 = 2;

    /// Maximum number of swaps, and of reports, in flight.
    const MAX_IN_FLIGHT: usize = 2;

    /// Variant of the protocol.
    #[derive(Clone, Copy, PartialEq, Eq)]
    pub enum Rule {
        /// A report is sent after it was committed.
        CommittedFirst,
        /// A report is sent before its swap is known to have succeeded.
        SentUncommitted,
        /// The swap ignores the expected revision.
        UnconditionalSwap,
    }

    #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
    struct Swap {
        expected: u64,
        value: CommittedReports,
    }

    #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
    struct Holder {
        revision: u64,
        committed: CommittedReports,
    }

    #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
    pub struct State {
        revision: u64,
        committed: CommittedReports,
        holders: [Holder; 2],
        swaps: Vec<Swap>,
        reports: Vec<(u64, BTreeMap<String, u64>)>,
        accepted: BTreeMap<u64, BTreeMap<String, u64>>,
        is_violated: bool,
    }

    impl State {
        fn swap(&mut self, swap: &Swap, rule: Rule) -> bool {
            if rule != Rule::UnconditionalSwap && swap.expected != self.revision {
                return false;
            }
            self.revision += 1;
            self.committed = swap.value.clone();
            true
        }

        fn report(&mut self, window: u64, counts: &BTreeMap<String, u64>) {
            let first = self
                .accepted
                .entry(window)
                .or_insert_with(|| counts.clone());
            self.is_violated |= first != counts;
        }

        fn successors(&self, rule: Rule) -> Vec<Self> {
            let mut successors = Vec::new();
            for holder in 0..2 {
                self.holder_successors(holder, rule, &mut successors);
            }
            for index in 0..self.swaps.len() {
                let mut next = self.clone();
                let swap = next.swaps.remove(index);
                next.swap(&swap, rule);
                successors.push(next);
            }
            for index in 0..self.reports.len() {
                let mut next = self.clone();
                let (window, counts) = next.reports.remove(index);
                next.report(window, &counts);
                successors.push(next);
            }
            successors
        }

        fn holder_successors(&self, index: usize, rule: Rule, successors: &mut Vec<Self>) {
            let holder = &self.holders[index];
            // The holder reads the committed reports.
            let mut next = self.clone();
            next.holders[index] = Holder {
                revision: self.revision,
                committed: self.committed.clone(),
            };
            successors.push(next);
            // The holder commits the next window. The collected counts may differ between attempts.
            let window = holder.committed.newest().map_or(1, |newest| newest + 1);
            for requests in 1..=2 {
                let mut value = holder.committed.clone();
                if window > WINDOWS || !value.commit(window, counts(requests)) {
                    continue;
                }
                let swap = Swap {
                    expected: holder.revision,
                    value: value.clone(),
                };
                let mut answered = self.clone();
                if answered.swap(&swap, rule) {
                    answered.holders[index] = Holder {
                        revision: answered.revision,
                        committed: value,
                    };
                }
                successors.push(answered);
                let mut lost = self.clone();
                if lost.swaps.len() < MAX_IN_FLIGHT {
                    lost.swaps.push(swap);
                    if rule == Rule::SentUncommitted {
                        lost.report(window, &counts(requests));
                    }
                    successors.push(lost);
                }
            }
            // The holder sends a committed report; the call arrives now or later.
            for window in 1..=WINDOWS {
                let Some(counts) = holder.committed.get(window) else {
                    continue;
                };
                let mut sent = self.clone();
                sent.report(window, counts);
                successors.push(sent);
                let mut late = self.clone();
                if late.reports.len() < MAX_IN_FLIGHT {
                    late.reports.push((window, counts.clone()));
                    late.reports.sort();
                    successors.push(late);
                }
            }
        }
    }

    /// Explores all interleavings; returns the number of states, or `None` if a window is reported
    /// with two different counts.
    pub fn explore(rule: Rule) -> Option<usize> {
        let mut seen = BTreeSet::from([State::default()]);
        let mut pending = VecDeque::from([State::default()]);
        while let Some(world) = pending.pop_front() {
            for next in world.successors(rule) {
                if next.is_violated {
                    return None;
                }
                if seen.insert(next.clone()) {
                    pending.push_back(next);
                }
            }
        }
        Some(seen.len())
    }
}

#[test]
fn no_window_is_reported_with_two_counts() {
    let states = model::explore(model::Rule::CommittedFirst);
    assert!(states.is_some_and(|states| states > 1_000), "{states:?}");
}

#[test]
fn the_model_finds_violations_of_faulty_protocols() {
    assert_eq!(model::explore(model::Rule::SentUncommitted), None);
    assert_eq!(model::explore(model::Rule::UnconditionalSwap), None);
}
