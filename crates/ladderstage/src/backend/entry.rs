//! All that is known of one back end.

use std::time::Duration;

use super::health::{Health, Withheld};
use super::listing::{Listing, Placement};
use super::observation::{ListedBackend, ObservationInterval, Report};
use super::policy::BackendPolicy;
use super::process::{Processes, ReportEffect};
use super::traffic::Traffic;
use crate::ids::ProcessId;

/// Why a back end gets no new work now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// No list ever named it, so its address is unknown.
    #[error("not in the machine list yet")]
    Unlisted,
    /// Answers of the list have lacked it for the grace time.
    #[error("missing from the machine list")]
    Missing,
    /// Its present process is leaving.
    #[error("leaving")]
    Leaving,
    /// The list or a refusal says leaving, though perhaps of an earlier process.
    #[error("withheld: last said to be leaving")]
    Withheld,
    /// There is no evidence younger than the bound.
    #[error("no fresh evidence")]
    Stale,
    /// Own requests failed in a row.
    #[error("ejected after failures")]
    Ejected,
    /// The one trial request after an ejection is under way.
    #[error("on trial after failures")]
    OnTrial,
    /// It just refused because it was full.
    #[error("refused just now")]
    Paused,
    /// As much own work is there as the pool allows.
    #[error("at the pool's concurrency")]
    Busy,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Backend {
    pub(super) listing: Listing,
    pub(super) processes: Processes,
    pub(super) health: Health,
    pub(super) traffic: Traffic,
    /// Newest request that proved it alive.
    pub(super) evidence_at: Option<Duration>,
    /// Evidence from before this is about another address.
    evidence_floor: Duration,
    /// A refusal may have spoken of this process or of the one before.
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

    /// Whether nothing is lost by forgetting it.
    pub(super) fn is_forgettable(&self, forget_after: Duration) -> bool {
        self.listing.missing_for() >= forget_after && self.traffic.in_flight() == 0
    }

    pub(super) fn check(
        &self,
        now: Duration,
        concurrency: u32,
        policy: &BackendPolicy,
    ) -> Result<(), Unusable> {
        self.check_presence(now, policy)?;
        self.health.check(now).map_err(|withheld| match withheld {
            Withheld::Ejected => Unusable::Ejected,
            Withheld::OnTrial => Unusable::OnTrial,
            Withheld::Paused => Unusable::Paused,
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
            self.evidence_floor = observed.received_at;
        }
        if !listed.leaving {
            let replaced_at = self.processes.replaced_at();
            self.listing
                .observe_live(observed.sent_at, replaced_at, policy);
            return false;
        }
        self.listing.observe_leaving(observed.sent_at);
        self.list_speaks_of_current(observed.sent_at, policy) && self.processes.bar_current(version)
    }

    /// Whether a list of that time cannot speak of an earlier process: the present one was known `list_lag` before.
    fn list_speaks_of_current(&self, sent_at: Duration, policy: &BackendPolicy) -> bool {
        self.processes
            .current()
            .is_some_and(|current| current.first.received_at + policy.list_lag <= sent_at)
    }

    pub(super) fn suggest_placement(&mut self, placement: Placement) {
        self.listing.suggest_placement(placement);
    }

    pub(super) fn observe_missing(&mut self, sent_at: Duration) {
        self.listing.observe_missing(sent_at);
    }

    /// Takes in a report whose place in time is known.
    pub(super) fn observe_report(
        &mut self,
        report: &Report,
        observed: ObservationInterval,
        version: u64,
    ) {
        match self.processes.observe(report, observed, version) {
            ReportEffect::Ignored => return,
            ReportEffect::Confirmed => {}
            ReportEffect::Replaced => self.start_anew(),
        }
        self.note_evidence(observed.sent_at);
    }

    /// Takes in a report that may have been long on its way: it proves nothing but leaving.
    pub(super) fn observe_hearsay(&mut self, report: &Report, version: u64) {
        self.processes.observe_load(report);
        if report.leaving {
            self.processes.bar_leaving(report.process, version);
        }
    }

    /// Nothing that was learned of an earlier process holds for a new one.
    fn start_anew(&mut self) {
        self.evidence_at = None;
        self.health = Health::default();
    }

    fn note_evidence(&mut self, sent_at: Duration) {
        if sent_at >= self.evidence_floor {
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

    /// A request was answered whole. Which one is not said, so the evidence is as old as the oldest under way.
    pub(super) fn record_success(&mut self) {
        self.health.succeed();
        if let Some(sent_at) = self.traffic.oldest() {
            self.note_evidence(sent_at);
        }
    }

    pub(super) fn record_failure(&mut self, now: Duration, policy: &BackendPolicy, jitter: f64) {
        self.health.fail(now, policy, jitter);
    }

    pub(super) fn record_refusal(&mut self, now: Duration, policy: &BackendPolicy, jitter: f64) {
        self.health.refuse(now, policy, jitter);
    }

    /// The back end itself refused a request because it is leaving. If all requests under way started after the
    /// present process was seen, it speaks of that one; else perhaps of the one before.
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
        self.processes.bar_current(version)
    }
}
