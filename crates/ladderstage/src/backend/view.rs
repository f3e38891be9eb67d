//! Views of a back end for routing and for operators.

use std::time::Duration;

use super::description::BackendDescription;
use super::entry::Backend;
use super::policy::BackendPolicy;
use crate::routing::Candidate;

impl Backend {
    pub(super) fn candidate(&self, name: &str, now: Duration) -> Option<Candidate> {
        let placement = self.listing.placement()?;
        let report = self.report().cloned().unwrap_or_default();
        let report_at = self.report_at();
        let in_flight = self.traffic.in_flight();
        Some(Candidate {
            name: name.to_owned(),
            address: placement.address,
            zone: placement.zone.clone(),
            process: report.process,
            weight_version: report.weight_version,
            running: report.running,
            waiting: report.waiting,
            capacity: report.capacity,
            own_in_flight: in_flight,
            dispatched_since_report: report_at
                .map_or(in_flight, |at| self.traffic.started_since(at)),
            report_age: report_at.map_or(Duration::MAX, |at| now.saturating_sub(at)),
        })
    }

    pub(super) fn describe(
        &self,
        name: &str,
        now: Duration,
        policy: &BackendPolicy,
    ) -> BackendDescription {
        let report = self.report().cloned().unwrap_or_default();
        let placement = self.listing.placement();
        BackendDescription {
            name: name.to_owned(),
            pool: None,
            address: placement.map(|placement| placement.address.to_string()),
            zone: placement
                .map(|placement| placement.zone.clone())
                .unwrap_or_default(),
            process: report.process,
            weight_version: report.weight_version,
            running: report.running,
            waiting: report.waiting,
            capacity: report.capacity,
            own_in_flight: self.traffic.in_flight(),
            leaving: self.processes.is_leaving(),
            evidence_age_ms: self.evidence_at.map(|at| age_ms(now, at)),
            report_age_ms: self.report_at().map(|at| age_ms(now, at)),
            failures: self.health.failures(),
            unusable: self
                .check(now, u32::MAX, policy)
                .err()
                .map(|unusable| unusable.to_string()),
        }
    }
}

/// Returns the age in whole milliseconds, rounded up so that it is never understated.
pub(super) fn age_ms(now: Duration, at: Duration) -> u64 {
    let nanos = now.saturating_sub(at).as_nanos();
    u64::try_from(nanos.div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
