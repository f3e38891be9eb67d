//! The holder's part: gathers the counts of a window that is over, fixes the report in the store, and sends it.
//!
//! A report that is not fixed is never sent, and what is fixed is never changed: a later holder, or this one after a lost answer,
//! sends the same counts again, which the receiver passes over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, join_all};
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{ReadUsage, Request, Usage};
use serde::{Deserialize, Serialize};

use super::meter::UsageMeter;
use super::windows::{UsageOptions, WindowClock};
use crate::coordination::{Coordination, CoordinationError, SwapResult};
use crate::metrics::Metrics;
use crate::nodes::{NodeRole, Nodes};
use crate::orders::{OrdersLease, HeldLease};

/// The fixed reports of the newest windows.
const REPORTS_KEY: &str = "ladderstage/usage/reports";

/// Reports that are kept in the store: those that may still have to be sent, with room for a receiver that is away for a while.
const KEPT_REPORTS: usize = 6;

/// Counts are gathered when this share of the time until the report is due has passed: a request of the window may still wait for
/// its answer, and fronts tell their counts 0.2 s later.
const GATHER_SHARE: f64 = 0.25;

/// From this share on a report is fixed without the fronts that do not answer: the rest is for a receiver that is slow.
const FIX_SHARE: f64 = 0.6;

/// Time for a front to tell its counts.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Between looks at what is to be reported.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a report that was not taken.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// A clock that is off the other fronts' by less is left as it is: calls take some milliseconds, clocks differ by some tens.
const CLOCK_SLACK_MS: i64 = 250;

/// One report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Requests by tenant.
    pub counts: BTreeMap<String, u64>,
    /// Name of the holder.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

/// Why a report was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The receiver has seen a higher fencing token.
    #[error("fenced")]
    Fenced,
    /// Nothing is known of it, or it was refused; it may be sent again.
    #[error("{0}")]
    NotAccepted(String),
}

/// Takes reports.
pub trait ReportSink: Send + Sync + 'static {
    /// Sends a report; `Ok` once it was taken.
    fn send<'a>(&'a self, report: &'a UsageReport) -> BoxFuture<'a, Result<(), ReportError>>;
}

/// Reports by window, as the store holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FixedReports {
    reports: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl FixedReports {
    /// Adds a report unless its window has one or a later window has; returns whether it was added.
    pub fn fix(&mut self, window: u64, counts: BTreeMap<String, u64>) -> bool {
        let last = self.reports.last_key_value();
        if last.is_some_and(|(last, _)| *last >= window) {
            return false;
        }
        self.reports.insert(window, counts);
        while self.reports.len() > KEPT_REPORTS {
            self.reports.pop_first();
        }
        true
    }

    /// The report of a window.
    pub fn get(&self, window: u64) -> Option<&BTreeMap<String, u64>> {
        self.reports.get(&window)
    }

    /// The newest window that has a report.
    pub fn newest(&self) -> Option<u64> {
        self.reports.last_key_value().map(|(window, _)| *window)
    }
}

/// What the store holds.
enum FoundReports {
    Fixed(FixedReports),
    /// A record that cannot be read; the next report takes its place.
    Unreadable,
}

impl FoundReports {
    fn into_fixed(self) -> FixedReports {
        match self {
            Self::Fixed(fixed) => fixed,
            Self::Unreadable => FixedReports::default(),
        }
    }
}

/// Reports use while this node holds the lease.
pub struct UsageReporter {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// The fronts.
    pub nodes: Nodes,
    /// Counts of this node.
    pub meter: UsageMeter,
    /// When reports are due.
    pub options: UsageOptions,
    /// Where they go.
    pub sink: Arc<dyn ReportSink>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// What a holder knows.
struct Holding {
    clock: WindowClock,
    /// Revision of the record; 0: there is none.
    revision: u64,
    fixed: FixedReports,
    /// The window that is to be fixed next.
    next: u64,
    /// Fronts that told their counts of that window since it ended.
    told: BTreeSet<String>,
    /// When the others are asked again.
    ask_at: Instant,
    /// Windows that were not taken yet, and when each is sent next.
    unsent: BTreeMap<u64, Instant>,
}

impl Holding {
    fn go_on_with(&mut self, next: u64) {
        self.next = next;
        self.told.clear();
        self.ask_at = Instant::now();
    }
}

impl UsageReporter {
    /// Reports for as long as the future is polled; returns once a later holder is known.
    pub async fn run(&self, lease: &OrdersLease, held: &HeldLease) {
        let mut holding = self.begin().await;
        loop {
            tokio::time::sleep(LOOK_PAUSE).await;
            match lease.may_issue_orders(held).await {
                Ok(true) => {}
                Ok(false) => continue,
                Err(error) => {
                    log::warn!("event=usage_lease_check_failed cause=\"{error}\"");
                    continue;
                }
            }
            self.fix_next(&mut holding).await;
            if self.send_unsent(&mut holding, held).await.is_err() {
                log::warn!("event=usage_fenced fence={}", held.fence);
                return;
            }
        }
    }

    /// Reads what earlier holders have fixed.
    async fn begin(&self) -> Holding {
        let (revision, found) = self.read_fixed().await;
        let clock = self.meter.clock();
        let now = Instant::now();
        let current = clock.window_of(now);
        let oldest = current.saturating_sub(KEPT_REPORTS as u64 - 1);
        let next = match &found {
            // Before the first holder of all became one, requests may have run already.
            FoundReports::Fixed(fixed) => fixed.newest().map_or_else(
                || clock.window_of(self.meter.started_at()),
                |newest| newest + 1,
            ),
            // Any window that is over may have been reported.
            FoundReports::Unreadable => current,
        };
        let next = next.max(oldest);
        let fixed = found.into_fixed();
        // Whether an earlier holder got through with its last reports is not known.
        let is_due = |window: &u64| clock.since_end(*window, now) < Some(self.options.due_after);
        let unsent = fixed.reports.keys().copied().filter(is_due);
        Holding {
            clock,
            revision,
            next,
            told: BTreeSet::new(),
            ask_at: now,
            unsent: unsent.map(|window| (window, now)).collect(),
            fixed,
        }
    }

    async fn read_fixed(&self) -> (u64, FoundReports) {
        loop {
            match self.coordination.get(REPORTS_KEY).await {
                Ok(None) => return (0, FoundReports::Fixed(FixedReports::default())),
                Ok(Some(record)) => match serde_json::from_slice(&record.value) {
                    Ok(fixed) => return (record.revision, FoundReports::Fixed(fixed)),
                    Err(error) => {
                        log::error!("event=usage_reports_unreadable cause=\"{error}\"");
                        return (record.revision, FoundReports::Unreadable);
                    }
                },
                Err(error) => {
                    log::warn!("event=usage_reports_not_read cause=\"{error}\"");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Fixes the next window once its counts can be told.
    async fn fix_next(&self, holding: &mut Holding) {
        let window = holding.next;
        let since_end = holding.clock.since_end(window, Instant::now());
        let Some(since_end) = since_end.filter(|at| *at >= self.options.due_after.mul_f64(GATHER_SHARE))
        else {
            return;
        };
        if Instant::now() < holding.ask_at {
            return;
        }
        holding.ask_at = Instant::now() + RETRY_PAUSE;
        let missing = self.gather(window, holding).await;
        if holding.clock.since_end(window, Instant::now()).is_none() {
            // The clock was ahead of the other fronts'.
            return;
        }
        if !missing.is_empty() && since_end < self.options.due_after.mul_f64(FIX_SHARE) {
            return;
        }
        let total = self.meter.total(window);
        let counts: BTreeMap<String, u64> = total
            .iter()
            .map(|(name, count)| (name.to_string(), *count))
            .collect();
        let requests: u64 = counts.values().sum();
        let mut fixed = holding.fixed.clone();
        if !fixed.fix(window, counts) {
            holding.go_on_with(window + 1);
            return;
        }
        let value = serde_json::to_vec(&fixed).unwrap_or_default();
        let swapped = self
            .coordination
            .swap(REPORTS_KEY, holding.revision, value, None)
            .await;
        match swapped {
            Ok(SwapResult::Won { revision }) => {
                log::info!(
                    "event=usage_fixed window={window} requests={requests} since_end_ms={} missing_fronts={missing:?}",
                    since_end.as_millis()
                );
                holding.revision = revision;
                holding.fixed = fixed;
                holding.go_on_with(window + 1);
                holding.unsent.insert(window, Instant::now());
            }
            Ok(SwapResult::Lost(_)) | Err(CoordinationError::Unknown(_)) => {
                self.catch_up(holding).await
            }
            Err(error) => log::warn!("event=usage_not_fixed window={window} cause=\"{error}\""),
        }
    }

    /// Takes what the store holds now: of this node's own swap without an answer, or of another holder.
    async fn catch_up(&self, holding: &mut Holding) {
        let (revision, found) = self.read_fixed().await;
        let fixed = found.into_fixed();
        log::info!(
            "event=usage_reports_read revision={revision} newest={:?}",
            fixed.newest()
        );
        for window in fixed
            .reports
            .keys()
            .filter(|window| **window >= holding.next)
        {
            holding.unsent.insert(*window, Instant::now());
        }
        if let Some(newest) = fixed.newest().filter(|newest| *newest >= holding.next) {
            holding.go_on_with(newest + 1);
        }
        holding.revision = revision;
        holding.fixed = fixed;
    }

    /// Asks the fronts that have not told their counts of a window, sets the clock by theirs, and returns those that did not answer.
    async fn gather(&self, window: u64, holding: &mut Holding) -> Vec<String> {
        let own = self.nodes.own().node;
        let mut fronts = self.nodes.with_role(NodeRole::Front);
        fronts.retain(|front| front.node != own && !holding.told.contains(&front.node));
        let calls = fronts.iter().map(|front| async {
            let kind = RequestKind::read_usage(ReadUsage { window });
            let call = self.nodes.call(&front.node, Request { kind }, READ_TIMEOUT);
            match call.await.map(|response| response.kind) {
                Ok(ResponseKind::usage(usage)) => Some(usage),
                _ => None,
            }
        });
        let answers: Vec<Option<Usage>> = join_all(calls).await;
        let now = Instant::now();
        let mut offsets = vec![0];
        for (usage, front) in answers.iter().zip(&fronts) {
            let Some(usage) = usage else {
                continue;
            };
            self.meter.take(&usage.usage);
            holding.told.insert(front.node.clone());
            let own_ms = holding.clock.since_epoch(now).as_millis() as i64;
            offsets.push(usage.unix_ms as i64 - own_ms);
        }
        offsets.sort_unstable();
        let correction = offsets[offsets.len() / 2];
        if correction.abs() > CLOCK_SLACK_MS {
            log::warn!(
                "event=usage_clock_corrected by_ms={correction} fronts={}",
                offsets.len()
            );
            holding.clock = holding.clock.corrected(correction);
        }
        let answered = answers.iter().zip(&fronts);
        let missing = answered.filter(|(answer, _)| answer.is_none());
        missing.map(|(_, front)| front.node.clone()).collect()
    }

    /// Sends what was not taken yet, the oldest first.
    async fn send_unsent(&self, holding: &mut Holding, held: &HeldLease) -> Result<(), ReportError> {
        let now = Instant::now();
        let due_after: Vec<u64> = holding
            .unsent
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(window, _)| *window)
            .collect();
        for window in due_after {
            let Some(counts) = holding.fixed.get(window).cloned() else {
                log::error!("event=usage_not_reported window={window} reason=too_old");
                holding.unsent.remove(&window);
                continue;
            };
            if Instant::now() >= held.valid_until() {
                return Ok(());
            }
            let report = UsageReport {
                window,
                counts,
                holder: self.nodes.own().node,
                fence: held.fence,
            };
            self.send(holding, report).await?;
        }
        Ok(())
    }

    async fn send(&self, holding: &mut Holding, report: UsageReport) -> Result<(), ReportError> {
        let window = report.window;
        let sent = self.sink.send(&report).await;
        let since_end = holding
            .clock
            .since_end(window, Instant::now())
            .unwrap_or_default();
        let (label, outcome) = match &sent {
            Ok(()) => ("taken", "taken".to_owned()),
            Err(ReportError::Fenced) => ("fenced", "fenced".to_owned()),
            Err(error) => ("not_taken", format!("not_taken cause=\"{error}\"")),
        };
        self.metrics.usage_reports.with_label_values(&[label]).inc();
        log::info!(
            "event=usage_reported window={window} fence={} requests={} tenants={} since_end_ms={} outcome={outcome}",
            report.fence,
            report.counts.values().sum::<u64>(),
            report.counts.len(),
            since_end.as_millis()
        );
        match sent {
            Ok(()) => {
                holding.unsent.remove(&window);
                Ok(())
            }
            Err(ReportError::NotAccepted(_)) => {
                holding.unsent.insert(window, Instant::now() + RETRY_PAUSE);
                Ok(())
            }
            Err(ReportError::Fenced) => Err(ReportError::Fenced),
        }
    }
}
