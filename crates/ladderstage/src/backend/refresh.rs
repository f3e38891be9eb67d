//! Compact exchange of newer load reports between processes that know the same back ends.
//!
//! Two processes with the same bundle identify its back ends by position. The request contains the
//! ages of the requester's reports; the answer contains only reports that are newer by at least
//! [`MIN_AGE_GAIN`]. These omit process and address and are accepted only if a fingerprint of both
//! matches the requester's state, because they must not be mistaken for reports of another process
//! or of a back end that has moved. On a mismatch, the requester asks for the full report next
//! time.

use std::time::Duration;

use ladderstage_wire::messages::{BackendGossip, BackendRefresh};

use super::entry::Backend;
use super::observation::{ObservationInterval, Report};
use super::table::BackendTable;
use super::view::age_ms;
use crate::routing::rendezvous_score;

/// Unit of the ages in a request, in milliseconds.
const AGE_UNIT_MS: u64 = 16;
/// Age value in a request that asks for the full report.
const REQUEST_FULL_REPORT: u8 = u8::MAX;
/// Minimum age difference for a report to be sent, which limits how often each back end is
/// reported.
pub const MIN_AGE_GAIN: Duration = Duration::from_millis(500);

impl BackendTable {
    /// Returns the ages of the last reports of these back ends, one byte each, for a request to a
    /// peer.
    pub fn known_ages<'a>(
        &self,
        names: impl IntoIterator<Item = &'a str>,
        now: Duration,
    ) -> Vec<u8> {
        let names = names.into_iter();
        names.map(|name| self.known_age(name, now)).collect()
    }

    fn known_age(&self, name: &str, now: Duration) -> u8 {
        let backend = self.backend(name);
        let known = backend.filter(|backend| fingerprint(backend).is_some());
        let Some(at) = known.and_then(Backend::report_at) else {
            return REQUEST_FULL_REPORT;
        };
        if self.needs_full_report(name) {
            return REQUEST_FULL_REPORT;
        }
        let units = age_ms(now, at) / AGE_UNIT_MS;
        u8::try_from(units).unwrap_or(REQUEST_FULL_REPORT)
    }

    /// Answers a peer's request about these back ends; `None` if the number of ages differs.
    pub fn refresh_for_peer<'a>(
        &self,
        names: impl ExactSizeIterator<Item = &'a str>,
        ages: &[u8],
        now: Duration,
    ) -> Option<BackendGossip> {
        if names.len() != ages.len() {
            return None;
        }
        let oldest = now.saturating_sub(self.policy().freshness);
        let mut refresh = BackendRefresh::default();
        let mut reports = self.leaving_since(0);
        for (position, (name, age)) in names.zip(ages).enumerate() {
            let Some(backend) = self.backend(name) else {
                continue;
            };
            let Some(at) = backend.report_at().filter(|at| *at >= oldest) else {
                continue;
            };
            if *age == REQUEST_FULL_REPORT {
                reports.extend(self.full_report(name, now));
                continue;
            }
            let asker_age = Duration::from_millis(u64::from(*age) * AGE_UNIT_MS);
            if now.saturating_sub(at) + MIN_AGE_GAIN <= asker_age {
                push_item(&mut refresh, position, backend, age_ms(now, at));
            }
        }
        Some(BackendGossip {
            reports,
            refreshes: vec![refresh],
            known: None,
        })
    }

    /// Applies the answer to a request about these back ends. Ages count from when the request was
    /// sent.
    pub fn observe_refresh(
        &mut self,
        names: &[&str],
        refresh: &BackendRefresh,
        observed: ObservationInterval,
    ) {
        for index in 0..refresh.positions.len() {
            let Some(item) = RefreshItem::read(refresh, index) else {
                return;
            };
            let name = usize::try_from(item.position).ok();
            if let Some(name) = name.and_then(|position| names.get(position)) {
                self.observe_item(name, &item, observed);
            }
        }
    }

    fn observe_item(&mut self, name: &str, item: &RefreshItem, observed: ObservationInterval) {
        let Some(backend) = self.backend(name) else {
            return;
        };
        let known = fingerprint(backend).zip(backend.report());
        let Some((_, last)) = known.filter(|(known, _)| *known == item.process) else {
            self.request_full_report(name);
            return;
        };
        let report = Report {
            process: last.process,
            ..item.report.clone()
        };
        // A report from before the start of this process is not evidence.
        let age = Duration::from_millis(u64::from(item.age_ms));
        if let Some(sent_at) = observed.sent_at.checked_sub(age) {
            let observed = ObservationInterval {
                sent_at,
                ..observed
            };
            self.observe_report(name, &report, observed);
        }
    }
}

/// Part of a refresh for one back end; `report.process` is not set.
struct RefreshItem {
    position: u32,
    process: u32,
    age_ms: u32,
    report: Report,
}

impl RefreshItem {
    /// Reads the item at `index`; `None` if one of the lists is too short.
    fn read(refresh: &BackendRefresh, index: usize) -> Option<Self> {
        Some(Self {
            position: *refresh.positions.get(index)?,
            process: *refresh.processes.get(index)?,
            age_ms: *refresh.ages_ms.get(index)?,
            report: Report {
                process: 0,
                weight_version: *refresh.weight_versions.get(index)?,
                running: *refresh.running.get(index)?,
                waiting: *refresh.waiting.get(index)?,
                capacity: *refresh.capacities.get(index)?,
                leaving: false,
                sequence: *refresh.sequences.get(index)?,
            },
        })
    }
}

fn push_item(refresh: &mut BackendRefresh, position: usize, backend: &Backend, age_ms: u64) {
    let (Some(report), Some(process)) = (backend.report(), fingerprint(backend)) else {
        return;
    };
    refresh
        .positions
        .push(u32::try_from(position).unwrap_or(u32::MAX));
    refresh.processes.push(process);
    refresh
        .ages_ms
        .push(u32::try_from(age_ms).unwrap_or(u32::MAX));
    refresh.running.push(report.running);
    refresh.waiting.push(report.waiting);
    refresh.capacities.push(report.capacity);
    refresh.weight_versions.push(report.weight_version);
    refresh.sequences.push(report.sequence);
}

/// Returns a fingerprint of the current process and the address of a back end; `None` while either
/// is unknown. Half of a 64-bit hash of a random id, so a false match has a probability of 2^-32.
fn fingerprint(backend: &Backend) -> Option<u32> {
    let process = backend.report()?.process;
    let address = backend.placement()?.address.to_string();
    let hash = rendezvous_score(&process.to_le_bytes(), &address);
    u32::try_from(hash >> u32::BITS).ok()
}
