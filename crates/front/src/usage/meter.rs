//! Counts of started requests, by window and by the process that sent them.
//!
//! A process counts only its own requests, and its counts never decrease. Of two messages about one
//! process and window, the one with the larger counts is newer, so that messages may be repeated,
//! reordered and forwarded.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Done, ProcessUsage, TenantCount, Usage};
use tokio::sync::watch;

use super::windows::WindowClock;

/// Maximum number of windows kept: those that may still be reported, and a few more.
const MAX_WINDOWS: usize = 12;

/// Number of requests by tenant.
pub type WindowCounts = BTreeMap<Arc<str>, u64>;

#[derive(Debug, Default)]
struct UsageCounts {
    /// Counts by window, then by process.
    windows: BTreeMap<u64, BTreeMap<u64, WindowCounts>>,
}

impl UsageCounts {
    fn evict_old(&mut self) {
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }
}

/// Counts of this process and those received from others. Cheap to clone.
#[derive(Debug, Clone)]
pub struct UsageMeter {
    process: u64,
    started_at: Instant,
    clock: WindowClock,
    counted: Arc<Mutex<UsageCounts>>,
    /// Number of requests counted by this process.
    changed: watch::Sender<u64>,
}

impl UsageMeter {
    /// Creates a meter without counts; `process` is the random identifier of this process.
    pub fn new(process: u64, clock: WindowClock) -> Self {
        Self {
            process,
            started_at: Instant::now(),
            clock,
            counted: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the clock of the windows.
    pub fn clock(&self) -> WindowClock {
        self.clock
    }

    /// Returns the time at which the meter was created.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Counts a request of a tenant that started at `at`.
    pub fn record_start(&self, tenant: &Arc<str>, at: Instant) {
        let window = self.clock.window_of(at);
        let mut counted = self.lock();
        let processes = counted.windows.entry(window).or_default();
        let own = processes.entry(self.process).or_default();
        *own.entry(Arc::clone(tenant)).or_insert(0) += 1;
        counted.evict_old();
        drop(counted);
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Returns a receiver that changes whenever a request is counted here.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Merges counts received from another process: those of that process or forwarded ones.
    pub fn merge(&self, usage: &[ProcessUsage]) {
        let mut counted = self.lock();
        for received in usage
            .iter()
            .filter(|received| received.process != self.process)
        {
            let processes = counted.windows.entry(received.window).or_default();
            let known = processes.entry(received.process).or_default();
            for count in &received.counts {
                let known = known.entry(count.tenant.as_str().into()).or_insert(0);
                *known = count.requests.max(*known);
            }
        }
        counted.evict_old();
    }

    /// Returns this process's counts of the newest `windows` windows that have any.
    pub fn own_counts(&self, windows: usize) -> Vec<ProcessUsage> {
        let counted = self.lock();
        let own = counted.windows.iter().rev().filter_map(|(window, all)| {
            let counts = all.get(&self.process)?;
            Some(process_usage(self.process, *window, counts))
        });
        own.take(windows).collect()
    }

    /// Returns all known counts of a window.
    pub fn counts_in(&self, window: u64) -> Vec<ProcessUsage> {
        let counted = self.lock();
        let processes = counted.windows.get(&window).into_iter().flatten();
        processes
            .map(|(process, counts)| process_usage(*process, window, counts))
            .collect()
    }

    /// Returns the number of requests by tenant in a window, over all processes.
    pub fn total(&self, window: u64) -> WindowCounts {
        let counted = self.lock();
        let mut total = WindowCounts::new();
        let processes = counted.windows.get(&window).into_iter().flatten();
        for (tenant, requests) in processes.flat_map(|(_, counts)| counts) {
            *total.entry(Arc::clone(tenant)).or_insert(0) += requests;
        }
        total
    }

    /// Answers a request of another node that reads or shares counts.
    pub fn answer(&self, request: RequestKind) -> ResponseKind {
        match request {
            RequestKind::read_usage(request) => ResponseKind::usage(Usage {
                usage: self.counts_in(request.window),
                unix_ms: self.clock.since_epoch(Instant::now()).as_millis() as u64,
            }),
            RequestKind::usage_note(note) => {
                self.merge(&note.usage);
                ResponseKind::done(Done {})
            }
            _ => ResponseKind::None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, UsageCounts> {
        self.counted
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn process_usage(process: u64, window: u64, counts: &WindowCounts) -> ProcessUsage {
    let counts = counts.iter().map(|(tenant, requests)| TenantCount {
        tenant: tenant.to_string(),
        requests: *requests,
    });
    ProcessUsage {
        process,
        window,
        counts: counts.collect(),
    }
}
