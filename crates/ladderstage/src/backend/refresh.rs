//! Newer loads of back ends that both sides know, told in a few bytes each.
//!
//! Two processes with one bundle name its back ends by their positions. The asker says how old its reports are; the
//! answer holds only those that are fresher by [`LEAST_GAIN`]. A report without its process and address counts only
//! if the fingerprint of both fits what the asker knows: it must not pass for one of another process, or of a
//! back end that has moved. Where it does not fit, the asker wants the report whole the next time.

use std::time::Duration;

use ladderstage_wire::messages::{BackendGossip, BackendRefresh};

use super::entry::Backend;
use super::observation::{ObservationInterval, Report};
use super::table::BackendTable;
use super::view::age_ms;
use crate::routing::rendezvous_score;

/// Unit of the ages in a question.
const AGE_UNIT_MS: u64 = 16;
/// Stands in a question for a back end whose report is wanted whole.
const WANTED_WHOLE: u8 = u8::MAX;
/// A report is sent only if it is fresher by this much: each back end is then told at most this often.
pub const LEAST_GAIN: Duration = Duration::from_millis(500);

impl BackendTable {
    /// Ages of the last reports of these back ends, a byte each, for a question to a peer.
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
            return WANTED_WHOLE;
        };
        if self.is_wanted_whole(name) {
            return WANTED_WHOLE;
        }
        let units = age_ms(now, at) / AGE_UNIT_MS;
        u8::try_from(units).unwrap_or(WANTED_WHOLE)
    }

    /// Answers a question about these back ends; `None` if it does not have one age for each of them.
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
            if *age == WANTED_WHOLE {
                reports.extend(self.whole_report(name, now));
                continue;
            }
            let theirs = Duration::from_millis(u64::from(*age) * AGE_UNIT_MS);
            if now.saturating_sub(at) + LEAST_GAIN <= theirs {
                push(&mut refresh, position, backend, age_ms(now, at));
            }
        }
        Some(BackendGossip {
            reports,
            refreshes: vec![refresh],
            known: None,
        })
    }

    /// Takes in the answer to a question about these back ends. Ages count from when it was sent.
    pub fn observe_refresh(
        &mut self,
        names: &[&str],
        refresh: &BackendRefresh,
        observed: ObservationInterval,
    ) {
        for index in 0..refresh.positions.len() {
            let Some(item) = Item::read(refresh, index) else {
                return;
            };
            let name = usize::try_from(item.position).ok();
            if let Some(name) = name.and_then(|position| names.get(position)) {
                self.observe_item(name, &item, observed);
            }
        }
    }

    fn observe_item(&mut self, name: &str, item: &Item, observed: ObservationInterval) {
        let Some(backend) = self.backend(name) else {
            return;
        };
        let known = fingerprint(backend).zip(backend.report());
        let Some((_, last)) = known.filter(|(known, _)| *known == item.process) else {
            self.want_whole(name);
            return;
        };
        let report = Report {
            process: last.process,
            ..item.report.clone()
        };
        // A report from before the start of this process is no evidence.
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

/// One back end's part of a refresh; the process of its report is left out.
struct Item {
    position: u32,
    process: u32,
    age_ms: u32,
    report: Report,
}

impl Item {
    /// `None` if one of the lists is too short.
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

fn push(refresh: &mut BackendRefresh, position: usize, backend: &Backend, age_ms: u64) {
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

/// Names the present process and the address of a back end; `None` while either is unknown. Half of a 64-bit hash of
/// a random id: a wrong match is a matter of one in four thousand million.
fn fingerprint(backend: &Backend) -> Option<u32> {
    let process = backend.report()?.process;
    let address = backend.placement()?.address.to_string();
    let hash = rendezvous_score(&process.to_le_bytes(), &address);
    u32::try_from(hash >> u32::BITS).ok()
}
