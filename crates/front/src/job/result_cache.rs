//! Cache of other nodes' results that were read through this node.
//!
//! A result never changes its position or content, so a cached one need not be requested again.
//! Clients read the same results several times, often from another zone than the owner's.

use std::collections::HashMap;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{JobResult, JobResults};

use super::reading::{extend_page, results_page, text_bytes};

/// Default maximum total size of the cached texts of all jobs, in bytes.
pub const DEFAULT_RESULT_CACHE_BYTES: usize = 16 * 1024 * 1024;

/// Cached results of one job, from the first one on without a gap.
struct CachedJob {
    total: u64,
    results: Vec<JobResult>,
    bytes: usize,
    read_at: Instant,
}

/// Cached results, by job.
pub struct ResultCache {
    jobs: HashMap<String, CachedJob>,
    bytes: usize,
    max_bytes: usize,
}

impl ResultCache {
    /// Creates an empty cache for texts of at most `max_bytes` in total.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            jobs: HashMap::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Starts a read of a job from position `after` on.
    pub fn start_read(&mut self, job: &str, after: u64) -> CachedRead {
        let mut read = CachedRead {
            page: JobResults::default(),
            after,
            next: after,
        };
        let Some(cached) = self.jobs.get_mut(job) else {
            return read;
        };
        // Also if the client has all cached results and waits for the next one.
        cached.read_at = Instant::now();
        let known = cached.results.len() as u64;
        if after < known {
            read.page = results_page(&cached.results, cached.total, after);
            read.next = known;
        }
        read
    }

    /// Adds the results that a job's owner returned for position `after`.
    pub fn insert(&mut self, job: &str, after: u64, answer: &JobResults) {
        let cached = self.jobs.entry(job.to_owned());
        let cached = cached.or_insert_with(|| CachedJob {
            total: 0,
            results: Vec::new(),
            bytes: 0,
            read_at: Instant::now(),
        });
        // Answers to concurrent reads arrive in any order.
        cached.total = cached.total.max(answer.total);
        let known = (cached.results.len() as u64).saturating_sub(after);
        if after > cached.results.len() as u64 {
            return;
        }
        for result in answer.results.iter().skip(known as usize) {
            cached.bytes += result.text.len();
            self.bytes += result.text.len();
            cached.results.push(result.clone());
        }
        self.evict_until_fits(job);
    }

    /// Removes jobs that were not read for `age`.
    pub fn remove_unread_for(&mut self, age: Duration) {
        self.jobs.retain(|_, cached| cached.read_at.elapsed() < age);
        self.bytes = self.jobs.values().map(|cached| cached.bytes).sum();
    }

    /// Evicts the least recently read jobs except `protected` until the cache is within its limit.
    fn evict_until_fits(&mut self, protected: &str) {
        while self.bytes > self.max_bytes {
            let others = self.jobs.iter().filter(|(job, _)| *job != protected);
            let oldest = others.min_by_key(|(_, cached)| cached.read_at);
            let Some(oldest) = oldest.map(|(job, _)| job.clone()) else {
                return;
            };
            let Some(evicted) = self.jobs.remove(&oldest) else {
                return;
            };
            self.bytes -= evicted.bytes;
            log::info!(
                "event=cached_results_evicted job={oldest} results={} bytes={}",
                evicted.results.len(),
                evicted.bytes
            );
        }
    }
}

/// Read of a job that has cached results, with its own copy of them: the cache may evict the job before
/// the owner has answered.
#[derive(Debug, Clone)]
pub struct CachedRead {
    /// Cached results from position `after` on, as many as fit into one page.
    page: JobResults,
    after: u64,
    next: u64,
}

impl CachedRead {
    /// Returns the first position that was not cached, from which the owner is asked.
    pub fn next_position(&self) -> u64 {
        self.next
    }

    /// Returns the total size of the cached texts of the page, in bytes.
    pub fn text_bytes(&self) -> usize {
        text_bytes(&self.page)
    }

    /// Returns whether the position that is read was cached.
    pub fn has_results(&self) -> bool {
        !self.page.results.is_empty()
    }

    /// Returns the page for the position that is read, given the owner's answer for
    /// [`CachedRead::next_position`].
    pub fn complete(mut self, answer: JobResults) -> JobResults {
        self.page.total = self.page.total.max(answer.total);
        let page_end = self.after + self.page.results.len() as u64;
        if page_end == self.next {
            extend_page(&mut self.page.results, answer.results);
        }
        self.page
    }

    /// Returns the cached results, which stay valid if the owner does not answer; `None` if there are
    /// none.
    pub fn into_cached(self) -> Option<JobResults> {
        self.has_results().then_some(self.page)
    }
}
