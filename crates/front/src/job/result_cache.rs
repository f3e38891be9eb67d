//! Cache of other nodes' results that were read through this node.
//!
//! A result never changes its position or content, so a cached one need not be requested again.
//! Clients read the same results several times, often from another zone than the owner's.

use std::collections::HashMap;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{JobResult, JobResults};

use super::reading::results_page;

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
pub(super) struct ResultCache {
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

    /// Returns the number of cached results of a job.
    pub fn count(&self, job: &str) -> u64 {
        let cached = self.jobs.get(job);
        cached.map_or(0, |cached| cached.results.len() as u64)
    }

    /// Returns cached results of a job from position `after` on, or `None` if there are none.
    pub fn page(&mut self, job: &str, after: u64) -> Option<JobResults> {
        let cached = self.jobs.get_mut(job)?;
        cached.read_at = Instant::now();
        let is_known = after < cached.results.len() as u64;
        is_known.then(|| results_page(&cached.results, cached.total, after))
    }

    /// Adds the results that a job's owner returned for position `after`.
    pub fn insert(&mut self, job: &str, after: u64, answer: &JobResults) {
        let now = Instant::now();
        let cached = self
            .jobs
            .entry(job.to_owned())
            .or_insert_with(|| CachedJob {
                total: 0,
                results: Vec::new(),
                bytes: 0,
                read_at: now,
            });
        cached.total = answer.total;
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
