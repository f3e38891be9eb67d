//! Sends usage reports while this node is the order leader (holds the orders lease): collects the
//! counts of a finished window, commits the report to the store, and sends it.
//!
//! Only committed reports are sent, and committed reports never change. A later holder, or this one
//! after a lost answer, sends the same counts again, which the receiver ignores.

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
use crate::orders::{HeldLease, OrdersLease};

/// Key of the committed reports of the newest windows.
const REPORTS_KEY: &str = "ladderstage/usage/reports";

/// Number of reports kept in the store, so that they can be sent again after an outage of the
/// receiver.
const MAX_STORED_REPORTS: usize = 6;

/// Fraction of the time until the deadline after which counts are collected. Requests of the window
/// may still be starting before that, and fronts share their counts with a delay.
const COLLECT_FRACTION: f64 = 0.25;

/// Fraction of the time until the deadline after which a report is committed without the fronts
/// that do not answer. The rest is left for a slow receiver.
const COMMIT_FRACTION: f64 = 0.6;

/// Timeout of reading a front's counts.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between checks for windows to report.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after a report that was not accepted.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Maximum clock difference to the other fronts that is not corrected, in milliseconds.
const MAX_CLOCK_SKEW_MS: i64 = 250;

/// Usage report of a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Number of requests by tenant.
    pub counts: BTreeMap<String, u64>,
    /// Node name of the lease holder.
    pub holder: String,
    /// Fencing token of the lease holder.
    pub fence: u64,
}

/// Failure to deliver a report.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The receiver has seen a higher fencing token.
    #[error("fenced")]
    Fenced,
    /// The report was rejected or its outcome is unknown; it may be sent again.
    #[error("{0}")]
    NotAccepted(String),
}

/// Receiver of usage reports.
pub trait ReportSink: Send + Sync + 'static {
    /// Sends a report; returns `Ok` once it was accepted.
    fn send<'a>(&'a self, report: &'a UsageReport) -> BoxFuture<'a, Result<(), ReportError>>;
}

/// Committed reports by window, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommittedReports {
    reports: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl CommittedReports {
    /// Adds a report unless its window or a later one has a report; returns whether it was added.
    pub fn commit(&mut self, window: u64, counts: BTreeMap<String, u64>) -> bool {
        let last = self.reports.last_key_value();
        if last.is_some_and(|(last, _)| *last >= window) {
            return false;
        }
        self.reports.insert(window, counts);
        while self.reports.len() > MAX_STORED_REPORTS {
            self.reports.pop_first();
        }
        true
    }

    /// Returns the report of a window.
    pub fn get(&self, window: u64) -> Option<&BTreeMap<String, u64>> {
        self.reports.get(&window)
    }

    /// Returns the newest window that has a report.
    pub fn newest(&self) -> Option<u64> {
        self.reports.last_key_value().map(|(window, _)| *window)
    }
}

/// Reports found in the store.
enum StoredReports {
    Committed(CommittedReports),
    /// The record could not be decoded; the next report replaces it.
    Unreadable,
}

impl StoredReports {
    fn into_committed(self) -> CommittedReports {
        match self {
            Self::Committed(committed) => committed,
            Self::Unreadable => CommittedReports::default(),
        }
    }
}

/// Sends usage reports while this node holds the orders lease.
pub struct UsageReporter {
    /// Coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Fronts.
    pub nodes: Nodes,
    /// Counts of this node.
    pub meter: UsageMeter,
    /// Window length and deadline.
    pub options: UsageOptions,
    /// Receiver of the reports.
    pub sink: Arc<dyn ReportSink>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// State of the reporter during one term of the lease.
struct HolderState {
    clock: WindowClock,
    /// Revision of the stored record; 0 if there is none.
    revision: u64,
    committed: CommittedReports,
    /// Next window to commit.
    next_window: u64,
    /// Fronts whose counts of that window were read after it ended.
    answered_fronts: BTreeSet<String>,
    /// Time of the next query to the other fronts.
    next_query_at: Instant,
    /// Committed windows that were not accepted yet, with the time of the next attempt.
    unsent: BTreeMap<u64, Instant>,
}

impl HolderState {
    fn advance_to(&mut self, next_window: u64) {
        self.next_window = next_window;
        self.answered_fronts.clear();
        self.next_query_at = Instant::now();
    }
}

impl UsageReporter {
    /// Sends reports until the future is dropped; returns once a later holder is known.
    pub async fn run(&self, lease: &OrdersLease, held: &HeldLease) {
        let mut state = self.load_state().await;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            match lease.may_issue_orders(held).await {
                Ok(true) => {}
                Ok(false) => continue,
                Err(error) => {
                    log::warn!("event=usage_lease_check_failed cause=\"{error}\"");
                    continue;
                }
            }
            self.commit_next(&mut state).await;
            if self.send_unsent(&mut state, held).await.is_err() {
                log::warn!("event=usage_fenced fence={}", held.fence);
                return;
            }
        }
    }

    /// Reads the reports that earlier holders committed.
    async fn load_state(&self) -> HolderState {
        let (revision, found) = self.read_reports().await;
        let clock = self.meter.clock();
        let now = Instant::now();
        let current = clock.window_of(now);
        let oldest = current.saturating_sub(MAX_STORED_REPORTS as u64 - 1);
        let next_window = match &found {
            // Without reports there was no earlier holder, and requests may have started since the
            // process started.
            StoredReports::Committed(committed) => committed.newest().map_or_else(
                || clock.window_of(self.meter.started_at()),
                |newest| newest + 1,
            ),
            // Any finished window may have been reported.
            StoredReports::Unreadable => current,
        };
        let next_window = next_window.max(oldest);
        let committed = found.into_committed();
        // The last reports of an earlier holder may not have been accepted.
        let is_due = |window: &u64| clock.since_end(*window, now) < Some(self.options.due_after);
        let unsent = committed.reports.keys().copied().filter(is_due);
        HolderState {
            clock,
            revision,
            next_window,
            answered_fronts: BTreeSet::new(),
            next_query_at: now,
            unsent: unsent.map(|window| (window, now)).collect(),
            committed,
        }
    }

    async fn read_reports(&self) -> (u64, StoredReports) {
        loop {
            match self.coordination.get(REPORTS_KEY).await {
                Ok(None) => return (0, StoredReports::Committed(CommittedReports::default())),
                Ok(Some(record)) => match serde_json::from_slice(&record.value) {
                    Ok(committed) => return (record.revision, StoredReports::Committed(committed)),
                    Err(error) => {
                        log::error!("event=usage_reports_unreadable cause=\"{error}\"");
                        return (record.revision, StoredReports::Unreadable);
                    }
                },
                Err(error) => {
                    log::warn!("event=usage_reports_not_read cause=\"{error}\"");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Commits the next window once its counts are complete or its deadline is close.
    async fn commit_next(&self, state: &mut HolderState) {
        let window = state.next_window;
        let since_end = state.clock.since_end(window, Instant::now());
        let Some(since_end) =
            since_end.filter(|at| *at >= self.options.due_after.mul_f64(COLLECT_FRACTION))
        else {
            return;
        };
        if Instant::now() < state.next_query_at {
            return;
        }
        state.next_query_at = Instant::now() + RETRY_DELAY;
        let missing = self.collect_counts(window, state).await;
        if state.clock.since_end(window, Instant::now()).is_none() {
            // The corrected clock shows that the window has not ended.
            return;
        }
        if !missing.is_empty() && since_end < self.options.due_after.mul_f64(COMMIT_FRACTION) {
            return;
        }
        let total = self.meter.total(window);
        let counts: BTreeMap<String, u64> = total
            .iter()
            .map(|(name, count)| (name.to_string(), *count))
            .collect();
        let requests: u64 = counts.values().sum();
        let mut committed = state.committed.clone();
        if !committed.commit(window, counts) {
            state.advance_to(window + 1);
            return;
        }
        let value = serde_json::to_vec(&committed).unwrap_or_default();
        let swapped = self
            .coordination
            .swap(REPORTS_KEY, state.revision, value, None)
            .await;
        match swapped {
            Ok(SwapResult::Won { revision }) => {
                log::info!(
                    "event=usage_fixed window={window} requests={requests} since_end_ms={} missing_fronts={missing:?}",
                    since_end.as_millis()
                );
                state.revision = revision;
                state.committed = committed;
                state.advance_to(window + 1);
                state.unsent.insert(window, Instant::now());
            }
            Ok(SwapResult::Lost(_)) | Err(CoordinationError::Unknown(_)) => {
                self.reload(state).await
            }
            Err(error) => log::warn!("event=usage_not_fixed window={window} cause=\"{error}\""),
        }
    }

    /// Adopts the stored reports, which may include this node's own unanswered write or those of
    /// another holder.
    async fn reload(&self, state: &mut HolderState) {
        let (revision, found) = self.read_reports().await;
        let committed = found.into_committed();
        log::info!(
            "event=usage_reports_read revision={revision} newest={:?}",
            committed.newest()
        );
        for window in committed
            .reports
            .keys()
            .filter(|window| **window >= state.next_window)
        {
            state.unsent.insert(*window, Instant::now());
        }
        if let Some(newest) = committed
            .newest()
            .filter(|newest| *newest >= state.next_window)
        {
            state.advance_to(newest + 1);
        }
        state.revision = revision;
        state.committed = committed;
    }

    /// Reads the counts of a window from the fronts that have not answered yet, corrects the clock
    /// by the median of theirs, and returns the fronts that did not answer.
    async fn collect_counts(&self, window: u64, state: &mut HolderState) -> Vec<String> {
        let own = self.nodes.own().node;
        let mut fronts = self.nodes.with_role(NodeRole::Front);
        fronts.retain(|front| front.node != own && !state.answered_fronts.contains(&front.node));
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
            self.meter.merge(&usage.usage);
            state.answered_fronts.insert(front.node.clone());
            let own_ms = state.clock.since_epoch(now).as_millis() as i64;
            offsets.push(usage.unix_ms as i64 - own_ms);
        }
        offsets.sort_unstable();
        let correction = offsets[offsets.len() / 2];
        if correction.abs() > MAX_CLOCK_SKEW_MS {
            log::warn!(
                "event=usage_clock_corrected by_ms={correction} fronts={}",
                offsets.len()
            );
            state.clock = state.clock.corrected(correction);
        }
        let answered = answers.iter().zip(&fronts);
        let missing = answered.filter(|(answer, _)| answer.is_none());
        missing.map(|(_, front)| front.node.clone()).collect()
    }

    /// Sends the reports that were not accepted yet, oldest first.
    async fn send_unsent(
        &self,
        state: &mut HolderState,
        held: &HeldLease,
    ) -> Result<(), ReportError> {
        let now = Instant::now();
        let to_send: Vec<u64> = state
            .unsent
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(window, _)| *window)
            .collect();
        for window in to_send {
            let Some(counts) = state.committed.get(window).cloned() else {
                log::error!("event=usage_not_reported window={window} reason=too_old");
                state.unsent.remove(&window);
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
            self.send(state, report).await?;
        }
        Ok(())
    }

    async fn send(&self, state: &mut HolderState, report: UsageReport) -> Result<(), ReportError> {
        let window = report.window;
        let sent = self.sink.send(&report).await;
        let since_end = state
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
                state.unsent.remove(&window);
                Ok(())
            }
            Err(ReportError::NotAccepted(_)) => {
                state.unsent.insert(window, Instant::now() + RETRY_DELAY);
                Ok(())
            }
            Err(ReportError::Fenced) => Err(ReportError::Fenced),
        }
    }
}
