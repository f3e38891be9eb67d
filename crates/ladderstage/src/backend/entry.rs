//! State of one back end.

use std::time::Duration;

use super::health::{Health, HealthRejection};
use super::listing::{Listing, Placement};
use super::observation::{ListedBackend, ObservationInterval, Report};
use super::policy::BackendPolicy;
use super::process::{Processes, ReportEffect};
use super::traffic::Traffic;
use crate::ids::ProcessId;

/// Reason why a back end may not be given new work now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// No machine list has named the back end, so its address is unknown.
    #[error("not in the machine list yet")]
    Unlisted,
    /// The machine list has lacked the back end for the grace period.
    #[error("missing from the machine list")]
    Missing,
    /// The current process is leaving.
    #[error("leaving")]
    Leaving,
    /// A machine list or a refusal reported a leaving process, possibly an earlier one.
    #[error("withheld: last said to be leaving")]
    Withheld,
    /// No evidence is within the freshness bound.
    #[error("no fresh evidence")]
    Stale,
    /// Consecutive own requests failed.
    #[error("ejected after failures")]
    Ejected,
    /// The single trial request after an ejection is in flight.
    #[error("on trial after failures")]
    OnTrial,
    /// The back end refused a request recently because it was full.
    #[error("refused just now")]
    Paused,
    /// Own requests have reached the pool's concurrency.
    #[error("at the pool's concurrency")]
    Busy,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Backend {
    pub(super) listing: Listing,
    pub(super) processes: Processes,
    pub(super) health: Health,
    pub(super) traffic: Traffic,
    /// Time at which the newest request was sent whose answer proved the back end alive.
    pub(super) evidence_at: Option<Duration>,
    /// Evidence from before this time is ignored, because it refers to another address.
    evidence_not_before: Duration,
    /// Time until which the back end is withheld after a leaving refusal that may refer to the
    /// current process or the previous one.
    withheld_until: Duration,
}

impl Backend {
    pub(super) fn placement(&self) -> Option<&Placement> {
        self.listing.placement()
    }

    pub(super) fn report(&self) -> Option<&Report> {
        self.processes.current().map(|current| &current.report)
    }

    pub(super) fn report_at(&self) -> Option<Duration> {
        self.processes.current().map(|current| current.report_at)
    }

    pub(super) fn evidence_at(&self) -> Option<Duration> {
        self.evidence_at
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.processes.is_leaving()
    }

    pub(super) fn leaving_since(&self, version: u64) -> impl Iterator<Item = ProcessId> + '_ {
        self.processes.leaving_since(version)
    }

    /// Returns whether the entry can be dropped: long missing from the list and without own
    /// requests.
    pub(super) fn is_removable(&self, remove_after: Duration) -> bool {
        self.listing.missing_for() >= remove_after && self.traffic.in_flight() == 0
    }

    pub(super) fn check(
        &self,
        now: Duration,
        concurrency: u32,
        policy: &BackendPolicy,
    ) -> Result<(), Unusable> {
        self.check_presence(now, policy)?;
        self.health
            .check(now)
            .map_err(|rejection| match rejection {
                HealthRejection::Ejected => Unusable::Ejected,
                HealthRejection::OnTrial => Unusable::OnTrial,
                HealthRejection::Paused => Unusable::Paused,
            })?;
        if self.traffic.in_flight() >= concurrency {
            return Err(Unusable::Busy);
        }
        Ok(())
    }

    fn check_presence(&self, now: Duration, policy: &BackendPolicy) -> Result<(), Unusable> {
        if self.listing.placement().is_none() {
            return Err(Unusable::Unlisted);
        }
        if self.processes.is_leaving() {
            return Err(Unusable::Leaving);
        }
        if self.listing.is_withheld() || now < self.withheld_until {
            return Err(Unusable::Withheld);
        }
        if self.listing.is_missing(policy) {
            return Err(Unusable::Missing);
        }
        if !self.is_fresh(now, policy) {
            return Err(Unusable::Stale);
        }
        Ok(())
    }

    fn is_fresh(&self, now: Duration, policy: &BackendPolicy) -> bool {
        self.evidence_at
            .is_some_and(|at| now.saturating_sub(at) <= policy.freshness)
    }

    pub(super) fn observe_listed(
        &mut self,
        listed: &ListedBackend,
        observed: ObservationInterval,
        version: u64,
        policy: &BackendPolicy,
    ) -> bool {
        if self.listing.observe(listed, observed.sent_at) {
            self.evidence_at = None;
            self.evidence_not_before = observed.received_at;
        }
        if !listed.leaving {
            let replaced_at = self.processes.replaced_at();
            self.listing
                .observe_live(observed.sent_at, replaced_at, policy);
            return false;
        }
        self.listing.observe_leaving(observed.sent_at);
        self.list_refers_to_current(observed.sent_at, policy)
            && self.processes.mark_current_leaving(version)
    }

    /// Returns whether a list of that time must refer to the current process, which was already
    /// known `max_list_lag` before.
    fn list_refers_to_current(&self, sent_at: Duration, policy: &BackendPolicy) -> bool {
        self.processes
            .current()
            .is_some_and(|current| current.first.received_at + policy.max_list_lag <= sent_at)
    }

    pub(super) fn suggest_placement(&mut self, placement: Placement) {
        self.listing.suggest_placement(placement);
    }

    pub(super) fn observe_missing(&mut self, sent_at: Duration) {
        self.listing.observe_missing(sent_at);
    }

    /// Applies a report with a known observation interval.
    pub(super) fn observe_report(
        &mut self,
        report: &Report,
        observed: ObservationInterval,
        version: u64,
    ) {
        match self.processes.observe(report, observed, version) {
            ReportEffect::Ignored => return,
            ReportEffect::Confirmed => {}
            ReportEffect::NewProcess => self.reset_for_new_process(),
        }
        self.record_evidence(observed.sent_at);
    }

    /// Applies a report of unknown age, which may update the load of the current process and mark
    /// its own process as leaving, but is no evidence that the back end is alive.
    pub(super) fn observe_undated(&mut self, report: &Report, version: u64) {
        self.processes.observe_load(report);
        if report.leaving {
            self.processes.mark_leaving(report.process, version);
        }
    }

    /// Discards observations of an earlier process, which do not apply to a new one.
    fn reset_for_new_process(&mut self) {
        self.evidence_at = None;
        self.health = Health::default();
    }

    fn record_evidence(&mut self, sent_at: Duration) {
        if sent_at >= self.evidence_not_before {
            self.evidence_at = self.evidence_at.max(Some(sent_at));
        }
    }

    pub(super) fn start_request(&mut self, dispatch: u64, now: Duration) {
        self.traffic.start_request(dispatch, now);
        self.health.start_request(dispatch);
    }

    pub(super) fn finish_request(&mut self, dispatch: u64) {
        self.traffic.finish_request(dispatch);
        self.health.finish_request(dispatch);
    }

    /// Records that a request was answered completely. The caller does not say which one, so the
    /// evidence is as old as the oldest request in flight.
    pub(super) fn record_success(&mut self) {
        self.health.succeed();
        if let Some(sent_at) = self.traffic.oldest() {
            self.record_evidence(sent_at);
        }
    }

    pub(super) fn record_failure(&mut self, now: Duration, policy: &BackendPolicy, jitter: f64) {
        self.health.fail(now, policy, jitter);
    }

    pub(super) fn record_refusal(&mut self, now: Duration, policy: &BackendPolicy, jitter: f64) {
        self.health.refuse(now, policy, jitter);
    }

    /// Records that the back end refused a request because it is leaving. If the current process
    /// replaced another one and a request in flight started before it was first seen, the refusal
    /// may refer to the previous process, and the back end is only withheld for a while; otherwise
    /// the current process is marked as leaving. Returns whether that is new.
    pub(super) fn record_leaving(
        &mut self,
        now: Duration,
        version: u64,
        policy: &BackendPolicy,
    ) -> bool {
        let seen_at = self
            .processes
            .current()
            .map(|current| current.first.received_at);
        let oldest = self.traffic.oldest().unwrap_or(now);
        if seen_at.is_some_and(|seen_at| oldest < seen_at) && self.processes.replaced_at().is_some()
        {
            self.withheld_until = now + policy.freshness;
            return false;
        }
        self.processes.mark_current_leaving(version)
    }
}
