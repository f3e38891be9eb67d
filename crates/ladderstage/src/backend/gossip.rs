//! What processes tell each other of back ends.

use std::time::Duration;

use ladderstage_wire::messages::BackendReport;

use super::entry::Backend;
use super::listing::Placement;
use super::observation::{ObservationInterval, Report};
use super::table::BackendTable;
use super::view::age_ms;
use crate::bundle::PoolKind;

/// How reports of a peer came here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipOrigin {
    /// The peer sent them unasked. How long they were on their way is unknown (a frozen connection may deliver them
    /// minutes late), so their ages mean nothing: they prove leaving, and may name a newer load of the known process.
    Pushed,
    /// They answer a request of ours; their ages count from when it was sent.
    Pulled(ObservationInterval),
}

impl BackendTable {
    /// Takes in what a peer knows.
    pub fn observe_gossip(&mut self, reports: &[BackendReport], origin: GossipOrigin) {
        for report in reports {
            match origin {
                GossipOrigin::Pushed => self.observe_hearsay(&report.backend, &from_wire(report)),
                GossipOrigin::Pulled(observed) => self.observe_pulled(report, observed),
            }
        }
    }

    fn observe_pulled(&mut self, report: &BackendReport, observed: ObservationInterval) {
        let backend = &report.backend;
        self.received_whole(backend);
        let placement = placement_from_wire(report);
        let sent_at = observed
            .sent_at
            .checked_sub(Duration::from_millis(report.age_ms));
        // Neither a report from before the start of this process nor one of another address is evidence.
        let (Some(sent_at), true) = (sent_at, self.agrees_on_address(backend, placement.as_ref()))
        else {
            self.observe_hearsay(backend, &from_wire(report));
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

    /// Leaving processes learned after `version` of this table, to be told to peers.
    pub fn leaving_since(&self, version: u64) -> Vec<BackendReport> {
        self.entries()
            .flat_map(|(name, backend)| {
                backend
                    .leaving_since(version)
                    .map(|process| leaving_report(name, process))
            })
            .collect()
    }

    /// Reports young enough to be evidence for a peer, and leaving processes; the answer to a peer that asks.
    pub fn reports_for_peers(&self, now: Duration) -> Vec<BackendReport> {
        let oldest = now.saturating_sub(self.policy().freshness);
        let is_fresh = |backend: &Backend| backend.report_at().is_some_and(|at| at >= oldest);
        let fresh = self.entries().filter(|(_, backend)| is_fresh(backend));
        let fresh = fresh.filter_map(|(name, _)| self.whole_report(name, now));
        self.leaving_since(0).into_iter().chain(fresh).collect()
    }

    /// The last report of a back end whose address is known.
    pub(super) fn whole_report(&self, name: &str, now: Duration) -> Option<BackendReport> {
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
        // No sign of life goes with it.
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
