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
const MOST_BYTES: usize = 16 * 1024 * 1024;

/// Results from the first on, as far as they were read without a gap.
struct SeenJob {
    total: u64,
    results: Vec<JobResult>,
    bytes: usize,
    read_at: Instant,
}

/// What is remembered, by job.
#[derive(Default)]
pub(super) struct SeenResults {
    jobs: HashMap<String, SeenJob>,
    bytes: usize,
}

impl SeenResults {
    /// How many results of a job are remembered, from the first on.
    pub fn known(&self, job: &str) -> u64 {
        let seen = self.jobs.get(job);
        seen.map_or(0, |seen| seen.results.len() as u64)
    }

    /// Results of a job from position `after` on; `None` if none of them was read before.
    pub fn page(&mut self, job: &str, after: u64) -> Option<JobResults> {
        let seen = self.jobs.get_mut(job)?;
        seen.read_at = Instant::now();
        let is_known = after < seen.results.len() as u64;
        is_known.then(|| page_of(&seen.results, seen.total, after))
    }

    /// Remembers what the owner of a job answered for position `after`.
    pub fn record(&mut self, job: &str, after: u64, answer: &JobResults) {
        let now = Instant::now();
        let seen = self.jobs.entry(job.to_owned()).or_insert_with(|| SeenJob {
            total: 0,
            results: Vec::new(),
            bytes: 0,
            read_at: now,
        });
        seen.total = answer.total;
        let known = (seen.results.len() as u64).saturating_sub(after);
        if after > seen.results.len() as u64 {
            return;
        }
        for result in answer.results.iter().skip(known as usize) {
            seen.bytes += result.text.len();
            self.bytes += result.text.len();
            seen.results.push(result.clone());
        }
        self.make_room(job);
    }

    /// Forgets jobs that nobody has read for `age`.
    pub fn forget(&mut self, age: Duration) {
        self.jobs.retain(|_, seen| seen.read_at.elapsed() < age);
        self.bytes = self.jobs.values().map(|seen| seen.bytes).sum();
    }

    /// Forgets the jobs that were read the longest ago, but not `kept`, until the rest fits.
    fn make_room(&mut self, kept: &str) {
        while self.bytes > MOST_BYTES {
            let others = self.jobs.iter().filter(|(job, _)| *job != kept);
            let oldest = others.min_by_key(|(_, seen)| seen.read_at);
            let Some(oldest) = oldest.map(|(job, _)| job.clone()) else {
                return;
            };
            let gone = self.jobs.remove(&oldest);
            self.bytes -= gone.map_or(0, |seen| seen.bytes);
        }
    }
}
