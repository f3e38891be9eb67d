//! Results of other nodes' jobs that were read through this node.
//!
//! A result keeps its position and content for as long as it can be read, so what was read once need not be asked of its owner
//! again. Trainers and whoever looks at their jobs read the same results several times, mostly in other zones than the owner's.

use std::collections::HashMap;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{JobResult, JobResults};

use super::reading::page_of;

/// Bytes of texts that are remembered, all jobs together: a tenth of the memory of the smallest machines, 160 MB.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Results from the first on, as far as they were read without a gap.
struct CachedJob {
    total: u64,
    results: Vec<JobResult>,
    bytes: usize,
    read_at: Instant,
}

/// What is remembered, by job.
#[derive(Default)]
pub(super) struct ResultCache {
    jobs: HashMap<String, CachedJob>,
    bytes: usize,
}

impl ResultCache {
    /// How many results of a job are remembered, from the first on.
    pub fn count(&self, job: &str) -> u64 {
        let cached = self.jobs.get(job);
        cached.map_or(0, |cached| cached.results.len() as u64)
    }

    /// Results of a job from position `after` on; `None` if none of them was read before.
    pub fn page(&mut self, job: &str, after: u64) -> Option<JobResults> {
        let cached = self.jobs.get_mut(job)?;
        cached.read_at = Instant::now();
        let is_known = after < cached.results.len() as u64;
        is_known.then(|| page_of(&cached.results, cached.total, after))
    }

    /// Remembers what the owner of a job answered for position `after`.
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

    /// Forgets jobs that nobody has read for `age`.
    pub fn remove_unread_for(&mut self, age: Duration) {
        self.jobs.retain(|_, cached| cached.read_at.elapsed() < age);
        self.bytes = self.jobs.values().map(|cached| cached.bytes).sum();
    }

    /// Forgets the jobs that were read the longest ago, but not `kept`, until the rest fits.
    fn evict_until_fits(&mut self, kept: &str) {
        while self.bytes > MAX_BYTES {
            let others = self.jobs.iter().filter(|(job, _)| *job != kept);
            let oldest = others.min_by_key(|(_, cached)| cached.read_at);
            let Some(oldest) = oldest.map(|(job, _)| job.clone()) else {
                return;
            };
            let evicted = self.jobs.remove(&oldest);
            self.bytes -= evicted.map_or(0, |cached| cached.bytes);
        }
    }
}
