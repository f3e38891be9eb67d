//! Tests of reads that are answered in part from cached results.

use std::time::Duration;

use ladderstage_front::job::{CachedRead, ResultCache};
use ladderstage_wire::messages::{JobResult, JobResults};
use proptest::prelude::*;

/// Number of jobs; their texts do not fit into the cache together.
const JOBS: usize = 3;

/// Number of items of each job.
const ITEMS: u64 = 12;

/// Size of a text, in bytes.
const TEXT_BYTES: usize = 10;

/// Size of the cache, in bytes: one job and a half.
const CACHE_BYTES: usize = 18 * TEXT_BYTES;

/// Maximum number of results in an answer of an owner.
const PAGE: u64 = 5;

/// One step of an interleaving; numbers are taken modulo the number of items or of pending reads.
#[derive(Debug, Clone)]
enum Step {
    /// A client reads a job, and its owner is asked.
    Read { job: usize, after: u64 },
    /// The owner receives the request of a pending read.
    Receive { read: usize },
    /// Its answer arrives.
    Answer { read: usize },
    /// The owner of a pending read does not answer.
    Fail { read: usize },
    /// The owner of a job lists another result.
    List { job: usize },
    /// Cached results expire.
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    let number = any::<usize>;
    prop_oneof![
        6 => (0..JOBS, 0..=ITEMS).prop_map(|(job, after)| Step::Read { job, after }),
        8 => number().prop_map(|read| Step::Receive { read }),
        8 => number().prop_map(|read| Step::Answer { read }),
        1 => number().prop_map(|read| Step::Fail { read }),
        6 => (0..JOBS).prop_map(|job| Step::List { job }),
        1 => Just(Step::Expire),
    ]
}

struct PendingRead {
    job: usize,
    after: u64,
    read: CachedRead,
    answer: Option<JobResults>,
}

fn result(job: usize, position: u64) -> JobResult {
    JobResult {
        item: format!("{job}/{position}"),
        text: "x".repeat(TEXT_BYTES),
        ..JobResult::default()
    }
}

/// Returns what the owner of a job that has listed `listed` results answers.
fn owner_page(job: usize, listed: u64, after: u64) -> JobResults {
    let end = listed.min(after.saturating_add(PAGE));
    JobResults {
        total: ITEMS,
        results: (after..end).map(|position| result(job, position)).collect(),
    }
}

/// Checks that a page has the results of consecutive positions from `after` on.
fn check_page(pending: &PendingRead, page: &JobResults) {
    let positions = pending.after..;
    for (position, found) in positions.zip(&page.results) {
        assert_eq!(*found, result(pending.job, position), "position {position}");
    }
    assert_eq!(page.total, ITEMS);
}

proptest! {
    /// Guards against results at other positions than before, whatever the cache drops or adds while a
    /// read waits for the owner.
    #[test]
    fn a_page_has_the_results_of_the_position_that_was_read(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut cache = ResultCache::new(CACHE_BYTES);
        let mut listed = [0; JOBS];
        let mut pending: Vec<PendingRead> = Vec::new();
        let pick = |number: usize, count: usize| number.checked_rem(count);
        for step in steps {
            match step {
                Step::Read { job, after } => {
                    let read = cache.start_read(&job.to_string(), after);
                    pending.push(PendingRead { job, after, read, answer: None });
                }
                Step::Receive { read } => {
                    if let Some(index) = pick(read, pending.len()) {
                        let read = &mut pending[index];
                        let next = read.read.next_position();
                        read.answer = Some(owner_page(read.job, listed[read.job], next));
                    }
                }
                Step::Answer { read } => {
                    let Some(index) = pick(read, pending.len()) else { continue };
                    let mut answered = pending.swap_remove(index);
                    let Some(answer) = answered.answer.take() else { continue };
                    let next = answered.read.next_position();
                    cache.insert(&answered.job.to_string(), next, &answer);
                    let is_empty = answer.results.is_empty() && !answered.read.has_results();
                    let page = answered.read.clone().complete(answer);
                    check_page(&answered, &page);
                    prop_assert_eq!(page.results.is_empty(), is_empty);
                }
                Step::Fail { read } => {
                    let Some(index) = pick(read, pending.len()) else { continue };
                    let failed = pending.swap_remove(index);
                    if let Some(page) = failed.read.clone().into_cached() {
                        check_page(&failed, &page);
                        prop_assert!(!page.results.is_empty());
                    }
                }
                Step::List { job } => listed[job] = (listed[job] + 1).min(ITEMS),
                Step::Expire => cache.remove_unread_for(Duration::ZERO),
            }
        }
    }
}

/// Guards against pages that skip results where a page of cached results is cut: a short result that
/// still fits must not follow a long one that did not.
#[test]
fn an_answer_is_added_only_to_a_page_that_reaches_it() {
    const LONG_BYTES: usize = 500 * 1024;
    let result = |position: u64| JobResult {
        item: position.to_string(),
        text: "x".repeat(if position < 2 { LONG_BYTES } else { 1 }),
        ..JobResult::default()
    };
    let answer = |positions: std::ops::Range<u64>| JobResults {
        total: 3,
        results: positions.map(result).collect(),
    };
    let mut cache = ResultCache::new(4 * LONG_BYTES);
    cache.insert("job", 0, &answer(0..2));
    let read = cache.start_read("job", 0);
    assert_eq!(read.next_position(), 2);
    assert_eq!(read.complete(answer(2..3)).results, [result(0)]);
    let read = cache.start_read("job", 1);
    assert_eq!(read.complete(answer(2..3)).results, [result(1), result(2)]);
}

/// Guards against the eviction of a job that a client follows, in place of one that nobody reads.
#[test]
fn a_job_whose_end_is_read_counts_as_read() {
    let mut cache = ResultCache::new(2 * TEXT_BYTES);
    cache.insert("followed", 0, &owner_page(0, 1, 0));
    cache.insert("unread", 0, &owner_page(1, 1, 0));
    assert!(!cache.start_read("followed", 1).has_results());
    cache.insert("new", 0, &owner_page(2, 1, 0));
    assert!(cache.start_read("followed", 0).has_results());
    assert!(!cache.start_read("unread", 0).has_results());
}
