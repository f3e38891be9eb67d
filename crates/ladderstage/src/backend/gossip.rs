//! Exchange of back-end reports between processes.

use std::time::Duration;

use ladderstage_wire::messages::BackendReport;

use super::entry::Backend;
use super::listing::Placement;
use super::observation::{ObservationInterval, Report};
use super::table::BackendTable;
use super::view::age_ms;
use crate::bundle::PoolKind;

/// Way in which reports of a peer were received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipOrigin {
    /// Sent by the peer unrequested. Their transit time is unknown (a stalled connection may
    /// deliver them minutes late), so their ages are meaningless: they prove that a process is
    /// leaving, and may update the load of the known process.
    Pushed,
    /// Received in answer to an own request; their ages count from when it was sent.
    Pulled(ObservationInterval),
}

impl BackendTable {
    /// Applies the reports of a peer.
    pub fn observe_gossip(&mut self, reports: &[BackendReport], origin: GossipOrigin) {
        for report in reports {
            match origin {
                GossipOrigin::Pushed => self.observe_undated(&report.backend, &from_wire(report)),
                GossipOrigin::Pulled(observed) => self.observe_pulled(report, observed),
            }
        }
    }

    fn observe_pulled(&mut self, report: &BackendReport, observed: ObservationInterval) {
        let backend = &report.backend;
        self.clear_full_report_request(backend);
        let placement = placement_from_wire(report);
        let sent_at = observed
            .sent_at
            .checked_sub(Duration::from_millis(report.age_ms));
        // A report from before the start of this process, or of another address, is not evidence.
        let (Some(sent_at), true) = (sent_at, self.agrees_on_address(backend, placement.as_ref()))
        else {
            self.observe_undated(backend, &from_wire(report));
            return;
        };
        self.suggest_placement(backend, placement);
        let observed = ObservationInterval {
            sent_at,
            ..observed
        };
        self.observe_report(backend, &from_wire(report), observed);
    }

    fn agrees_on_address(&self, backend: &str, theirs: Option<&Placement>) -> bool {
        match (self.placement(backend), theirs) {
            (Some(ours), Some(theirs)) => ours.address == theirs.address,
            _ => true,
        }
    }

    /// Returns the leaving processes learned after `version` of this table, for sending to peers.
    pub fn leaving_since(&self, version: u64) -> Vec<BackendReport> {
        self.entries()
            .flat_map(|(name, backend)| {
                backend
                    .leaving_since(version)
                    .map(|process| leaving_report(name, process))
            })
            .collect()
    }

    /// Returns the reports that are fresh enough to be evidence for a peer, and all leaving
    /// processes; the answer to a peer's request.
    pub fn reports_for_peers(&self, now: Duration) -> Vec<BackendReport> {
        let oldest = now.saturating_sub(self.policy().freshness);
        let is_fresh = |backend: &Backend| backend.report_at().is_some_and(|at| at >= oldest);
        let fresh = self.entries().filter(|(_, backend)| is_fresh(backend));
        let fresh = fresh.filter_map(|(name, _)| self.full_report(name, now));
        self.leaving_since(0).into_iter().chain(fresh).collect()
    }

    /// Returns the last report of a back end with a known address.
    pub(super) fn full_report(&self, name: &str, now: Duration) -> Option<BackendReport> {
        let backend = self.backend(name)?;
        let (report, placement) = (backend.report()?, backend.placement()?);
        let age_ms = age_ms(now, backend.report_at()?);
        Some(to_wire(name, report, placement, age_ms))
    }
}

fn leaving_report(backend: &str, process: u64) -> BackendReport {
    BackendReport {
        backend: backend.to_owned(),
        process,
        leaving: true,
        // The report carries no evidence that the back end is alive.
        age_ms: u64::MAX,
        ..BackendReport::default()
    }
}

fn to_wire(backend: &str, report: &Report, placement: &Placement, age_ms: u64) -> BackendReport {
    BackendReport {
        backend: backend.to_owned(),
        process: report.process,
        weight_version: report.weight_version,
        running: report.running,
        waiting: report.waiting,
        capacity: report.capacity,
        leaving: report.leaving,
        age_ms,
        sequence: report.sequence,
        address: placement.address.to_string(),
        zone: placement.zone.clone(),
        application: placement.kind == PoolKind::Application,
    }
}

fn from_wire(report: &BackendReport) -> Report {
    Report {
        process: report.process,
        weight_version: report.weight_version,
        running: report.running,
        waiting: report.waiting,
        capacity: report.capacity,
        leaving: report.leaving,
        sequence: report.sequence,
    }
}

fn placement_from_wire(report: &BackendReport) -> Option<Placement> {
    Some(Placement {
        address: report.address.parse().ok()?,
        zone: report.zone.clone(),
        kind: if report.application {
            PoolKind::Application
        } else {
            PoolKind::Model
        },
    })
}
