//! Counts of requests that began to run, by window and by the process that sent them.
//!
//! Each process only adds to its own counts, so that of two words about the same process and window the larger one is the newer,
//! whoever brings it and however often.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Done, ProcessUsage, TenantCount, Usage};
use tokio::sync::watch;

use super::windows::WindowClock;

/// Windows that are remembered: those that may still be reported, and some more.
const KEPT_WINDOWS: usize = 12;

/// Requests by tenant.
pub type WindowCounts = BTreeMap<Arc<str>, u64>;

#[derive(Debug, Default)]
struct Counted {
    /// By window, then by process.
    windows: BTreeMap<u64, BTreeMap<u64, WindowCounts>>,
}

impl Counted {
    fn forget_old(&mut self) {
        while self.windows.len() > KEPT_WINDOWS {
            self.windows.pop_first();
        }
    }
}

/// What this process has counted, and what others told of their counts. Cheap to clone.
#[derive(Debug, Clone)]
pub struct UsageMeter {
    process: u64,
    started_at: Instant,
    clock: WindowClock,
    counted: Arc<Mutex<Counted>>,
    /// Windows whose own counts have changed.
    changed: watch::Sender<u64>,
}

impl UsageMeter {
    /// Counts nothing yet; `process` is the random number of this process start.
    pub fn new(process: u64, clock: WindowClock) -> Self {
        Self {
            process,
            started_at: Instant::now(),
            clock,
            counted: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// The clock that windows are told by.
    pub fn clock(&self) -> WindowClock {
        self.clock
    }

    /// When counting began.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Counts a request of a tenant that began to run at `at`.
    pub fn record_start(&self, tenant: &Arc<str>, at: Instant) {
        let window = self.clock.window_of(at);
        let mut counted = self.lock();
        let processes = counted.windows.entry(window).or_default();
        let own = processes.entry(self.process).or_default();
        *own.entry(Arc::clone(tenant)).or_insert(0) += 1;
        counted.forget_old();
        drop(counted);
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Changes whenever a request is counted here.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Takes what another process told, of itself or of a third one.
    pub fn take(&self, usage: &[ProcessUsage]) {
        let mut counted = self.lock();
        for told in usage.iter().filter(|told| told.process != self.process) {
            let processes = counted.windows.entry(told.window).or_default();
            let known = processes.entry(told.process).or_default();
            for count in &told.counts {
                let known = known.entry(count.tenant.as_str().into()).or_insert(0);
                *known = count.requests.max(*known);
            }
        }
        counted.forget_old();
    }

    /// Own counts of the newest `windows` windows that have any.
    pub fn own(&self, windows: usize) -> Vec<ProcessUsage> {
        let counted = self.lock();
        let own = counted.windows.iter().rev().filter_map(|(window, all)| {
            let counts = all.get(&self.process)?;
            Some(told(self.process, *window, counts))
        });
        own.take(windows).collect()
    }

    /// All that is known here of a window.
    pub fn of_window(&self, window: u64) -> Vec<ProcessUsage> {
        let counted = self.lock();
        let processes = counted.windows.get(&window).into_iter().flatten();
        processes
            .map(|(process, counts)| told(*process, window, counts))
            .collect()
    }

    /// Requests by tenant in a window, of all processes.
    pub fn total(&self, window: u64) -> WindowCounts {
        let counted = self.lock();
        let mut total = WindowCounts::new();
        let processes = counted.windows.get(&window).into_iter().flatten();
        for (tenant, requests) in processes.flat_map(|(_, counts)| counts) {
            *total.entry(Arc::clone(tenant)).or_insert(0) += requests;
        }
        total
    }

    /// Answers what another node tells or asks of counts.
    pub fn answer(&self, request: RequestKind) -> ResponseKind {
        match request {
            RequestKind::read_usage(request) => ResponseKind::usage(Usage {
                usage: self.of_window(request.window),
                unix_ms: self.clock.since_epoch(Instant::now()).as_millis() as u64,
            }),
            RequestKind::usage_note(note) => {
                self.take(&note.usage);
                ResponseKind::done(Done {})
            }
            _ => ResponseKind::None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counted> {
        self.counted
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn told(process: u64, window: u64, counts: &WindowCounts) -> ProcessUsage {
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
