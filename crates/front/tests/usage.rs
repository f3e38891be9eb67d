//! Counts of use, windows, and that no window is ever reported with two counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::usage::{FixedReports, UsageMeter, WindowClock};
use ladderstage_wire::messages::{ProcessUsage, TenantCount};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(5);

fn counts(requests: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("one".to_owned(), requests)])
}

fn told(process: u64, window: u64, requests: u64) -> ProcessUsage {
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
fn windows_begin_at_multiples_of_their_length_since_the_epoch() {
    let now = Instant::now();
    let clock = WindowClock::anchored(WINDOW, now, Duration::from_millis(14_999));
    assert_eq!(clock.window_of(now), 2);
    let later = now + Duration::from_millis(1);
    assert_eq!(clock.window_of(later), 3);
    assert_eq!(clock.since_end(2, now), None);
    assert_eq!(clock.since_end(2, later), Some(Duration::ZERO));
    let set_back = clock.corrected(-2_000);
    assert_eq!(set_back.since_end(2, later), None);
    assert_eq!(
        set_back.corrected(2_000).since_epoch(now),
        clock.since_epoch(now)
    );
}

#[test]
fn what_was_counted_before_the_anchor_falls_into_its_own_window() {
    let now = Instant::now() + Duration::from_secs(60);
    let clock = WindowClock::anchored(WINDOW, now, Duration::from_secs(100));
    assert_eq!(clock.window_of(now - Duration::from_secs(6)), 18);
}

#[test]
fn each_process_counts_for_itself_and_its_own_word_is_not_taken_from_others() {
    let now = Instant::now();
    let clock = WindowClock::anchored(WINDOW, now, Duration::from_secs(50));
    let meter = UsageMeter::new(1, clock);
    let tenant: Arc<str> = "one".into();
    meter.record_start(&tenant, now);
    meter.record_start(&tenant, now);
    meter.take(&[told(2, 10, 5), told(1, 10, 9), told(2, 11, 1)]);
    assert_eq!(meter.total(10).get("one"), Some(&7));
    assert_eq!(meter.total(11).get("one"), Some(&1));
    assert_eq!(meter.own(2), vec![told(1, 10, 2)]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Words of counts that rise may be told by anybody, in any order and again: the highest of each process counts.
    #[test]
    fn words_in_any_order_make_the_same_total(
        words in proptest::collection::vec((2_u64..6, 0_u64..50), 1..40),
        order in any::<u64>(),
    ) {
        let clock = WindowClock::anchored(WINDOW, Instant::now(), Duration::from_secs(50));
        let mut highest = BTreeMap::<u64, u64>::new();
        for (process, requests) in &words {
            let known = highest.entry(*process).or_insert(0);
            *known = (*known).max(*requests);
        }
        let meter = UsageMeter::new(1, clock);
        let split = (order % words.len() as u64) as usize;
        for (process, requests) in words[split..].iter().chain(&words).rev() {
            meter.take(&[told(*process, 10, *requests)]);
        }
        let total = meter.total(10).get("one").copied().unwrap_or(0);
        prop_assert_eq!(total, highest.values().sum::<u64>());
    }
}

/// Two holders that may act at any moment, as a lapsed lease is no bar to one that was frozen, before a store that answers,
/// loses answers, and carries writes out late. All interleavings are played.
mod model {
    use super::*;

    /// Windows that are reported.
    const WINDOWS: u64 = 2;

    /// Swaps and reports that are under way at once.
    const UNDER_WAY: usize = 2;

    /// What the model is played with.
    #[derive(Clone, Copy, PartialEq, Eq)]
    pub enum Rule {
        /// A report is sent once it is fixed.
        FixedFirst,
        /// A report is sent before its swap is known to have won.
        SentUnfixed,
        /// The swap does not say which revision it replaces.
        BlindSwap,
    }

    #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
    struct Swap {
        expected: u64,
        value: FixedReports,
    }

    #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
    struct Holder {
        revision: u64,
        fixed: FixedReports,
    }

    #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
    pub struct World {
        revision: u64,
        fixed: FixedReports,
        holders: [Holder; 2],
        swaps: Vec<Swap>,
        reports: Vec<(u64, BTreeMap<String, u64>)>,
        taken: BTreeMap<u64, BTreeMap<String, u64>>,
        is_broken: bool,
    }

    impl World {
        fn swap(&mut self, swap: &Swap, rule: Rule) -> bool {
            if rule != Rule::BlindSwap && swap.expected != self.revision {
                return false;
            }
            self.revision += 1;
            self.fixed = swap.value.clone();
            true
        }

        fn report(&mut self, window: u64, counts: &BTreeMap<String, u64>) {
            let first = self.taken.entry(window).or_insert_with(|| counts.clone());
            self.is_broken |= first != counts;
        }

        fn nexts(&self, rule: Rule) -> Vec<Self> {
            let mut nexts = Vec::new();
            for holder in 0..2 {
                self.holder_nexts(holder, rule, &mut nexts);
            }
            for index in 0..self.swaps.len() {
                let mut next = self.clone();
                let swap = next.swaps.remove(index);
                next.swap(&swap, rule);
                nexts.push(next);
            }
            for index in 0..self.reports.len() {
                let mut next = self.clone();
                let (window, counts) = next.reports.remove(index);
                next.report(window, &counts);
                nexts.push(next);
            }
            nexts
        }

        fn holder_nexts(&self, index: usize, rule: Rule, nexts: &mut Vec<Self>) {
            let holder = &self.holders[index];
            // It reads what is fixed.
            let mut next = self.clone();
            next.holders[index] = Holder {
                revision: self.revision,
                fixed: self.fixed.clone(),
            };
            nexts.push(next);
            // It fixes the next window with what it has gathered, which differs from one gathering to the next.
            let window = holder.fixed.newest().map_or(1, |newest| newest + 1);
            for requests in 1..=2 {
                let mut value = holder.fixed.clone();
                if window > WINDOWS || !value.fix(window, counts(requests)) {
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
                        fixed: value,
                    };
                }
                nexts.push(answered);
                let mut lost = self.clone();
                if lost.swaps.len() < UNDER_WAY {
                    lost.swaps.push(swap);
                    if rule == Rule::SentUnfixed {
                        lost.report(window, &counts(requests));
                    }
                    nexts.push(lost);
                }
            }
            // It sends a report that it knows to be fixed; the call is carried out now or later.
            for window in 1..=WINDOWS {
                let Some(counts) = holder.fixed.get(window) else {
                    continue;
                };
                let mut sent = self.clone();
                sent.report(window, counts);
                nexts.push(sent);
                let mut late = self.clone();
                if late.reports.len() < UNDER_WAY {
                    late.reports.push((window, counts.clone()));
                    late.reports.sort();
                    nexts.push(late);
                }
            }
        }
    }

    /// Plays all interleavings; returns the number of worlds, or none if one of them has a window with two counts.
    pub fn explore(rule: Rule) -> Option<usize> {
        let mut seen = BTreeSet::from([World::default()]);
        let mut open = VecDeque::from([World::default()]);
        while let Some(world) = open.pop_front() {
            for next in world.nexts(rule) {
                if next.is_broken {
                    return None;
                }
                if seen.insert(next.clone()) {
                    open.push_back(next);
                }
            }
        }
        Some(seen.len())
    }
}

#[test]
fn no_window_is_reported_with_two_counts_whatever_is_late_or_lost() {
    let worlds = model::explore(model::Rule::FixedFirst);
    assert!(worlds.is_some_and(|worlds| worlds > 1_000), "{worlds:?}");
}

#[test]
fn the_model_finds_reports_that_are_not_fixed_first() {
    assert_eq!(model::explore(model::Rule::SentUnfixed), None);
    assert_eq!(model::explore(model::Rule::BlindSwap), None);
}
