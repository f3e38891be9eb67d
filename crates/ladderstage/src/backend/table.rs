//! Table of all known back ends.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::description::BackendDescription;
use super::entry::{Backend, Unusable};
use super::listing::Placement;
use super::observation::{ListedBackend, ObservationInterval, Report};
use super::policy::BackendPolicy;
use crate::routing::Candidate;

/// Maximum number of back ends; further names are ignored.
const MAX_BACKENDS: usize = 20_000;
/// Time for which a back end must be missing from the machine list to be dropped.
const REMOVE_AFTER: Duration = Duration::from_secs(3_600);

/// A request in flight at a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    backend: String,
    number: u64,
}

/// All back ends known to this process. Times are durations since its start.
#[derive(Debug, Clone)]
pub struct BackendTable {
    policy: BackendPolicy,
    backends: BTreeMap<String, Backend>,
    last_list_at: Option<Duration>,
    next_dispatch: u64,
    version: u64,
    /// Back ends whose full report must be requested because a peer reported a different process or
    /// address.
    full_report_requests: BTreeSet<String>,
}

impl BackendTable {
    /// Creates an empty table.
    pub fn new(policy: BackendPolicy) -> Self {
        Self {
            policy,
            backends: BTreeMap::new(),
            last_list_at: None,
            next_dispatch: 1,
            version: 1,
            full_report_requests: BTreeSet::new(),
        }
    }

    /// Returns the limits in use.
    pub fn policy(&self) -> &BackendPolicy {
        &self.policy
    }

    /// Returns the version, which increases whenever a leaving process is learned.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies an answer of the machine list; an answer requested before the last one is ignored.
    pub fn observe_list(&mut self, machines: &[ListedBackend], observed: ObservationInterval) {
        if self
            .last_list_at
            .is_some_and(|last| observed.sent_at < last)
        {
            return;
        }
        self.last_list_at = Some(observed.sent_at);
        for listed in machines {
            self.change(&listed.name, |backend, version, policy| {
                backend.observe_listed(listed, observed, version, policy);
            });
        }
        self.observe_absences(machines, observed.sent_at);
    }

    fn observe_absences(&mut self, machines: &[ListedBackend], sent_at: Duration) {
        let listed: BTreeSet<&str> = machines.iter().map(|listed| listed.name.as_str()).collect();
        for (name, backend) in &mut self.backends {
            if !listed.contains(name.as_str()) {
                backend.observe_missing(sent_at);
            }
        }
        self.backends
            .retain(|_, backend| !backend.is_removable(REMOVE_AFTER));
        self.full_report_requests
            .retain(|name| self.backends.contains_key(name));
    }

    /// Applies a report that this process read itself, or with an equally certain observation
    /// interval.
    pub fn observe_report(&mut self, name: &str, report: &Report, observed: ObservationInterval) {
        self.change(name, |backend, version, _| {
            backend.observe_report(report, observed, version);
        });
    }

    /// Sets the location of a back end from a peer, unless a list has named it here.
    pub(super) fn suggest_placement(&mut self, name: &str, placement: Option<Placement>) {
        if let Some(placement) = placement {
            self.change(name, |backend, _, _| backend.suggest_placement(placement));
        }
    }

    /// Applies a report of unknown age.
    pub(super) fn observe_undated(&mut self, name: &str, report: &Report) {
        self.change(name, |backend, version, _| {
            backend.observe_undated(report, version);
        });
    }

    /// Records the start of a request, which counts as in flight until [`Self::finish_request`].
    pub fn start_request(&mut self, name: &str, now: Duration) -> Dispatch {
        let number = self.next_dispatch;
        self.next_dispatch += 1;
        if let Some(backend) = self.backends.get_mut(name) {
            backend.start_request(number, now);
        }
        Dispatch {
            backend: name.to_owned(),
            number,
        }
    }

    /// Like [`Self::start_request`], if the back end may be given new work now.
    ///
    /// # Errors
    /// [`Unusable`] if it may not.
    pub fn try_start_request(
        &mut self,
        name: &str,
        concurrency: u32,
        now: Duration,
    ) -> Result<Dispatch, Unusable> {
        self.check(name, concurrency, now)?;
        Ok(self.start_request(name, now))
    }

    /// Records the end of a request, whatever its outcome.
    pub fn finish_request(&mut self, dispatch: &Dispatch) {
        if let Some(backend) = self.backends.get_mut(&dispatch.backend) {
            backend.finish_request(dispatch.number);
        }
    }

    /// Records that a request was answered completely. Call before [`Self::finish_request`].
    pub fn record_success(&mut self, name: &str) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.record_success();
        }
    }

    /// Records that a request failed. `jitter` is uniform in [0, 1).
    pub fn record_failure(&mut self, name: &str, now: Duration, jitter: f64) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.record_failure(now, &self.policy, jitter);
        }
    }

    /// Records that the back end refused a request before running it because it is full. `jitter`
    /// is uniform in [0, 1).
    pub fn record_refusal(&mut self, name: &str, now: Duration, jitter: f64) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.record_refusal(now, &self.policy, jitter);
        }
    }

    /// Records that the back end refused a request before running it because it is leaving.
    pub fn record_leaving(&mut self, name: &str, now: Duration) {
        self.change(name, |backend, version, policy| {
            backend.record_leaving(now, version, policy);
        });
    }

    /// Checks whether a back end may be given new work now.
    ///
    /// # Errors
    /// [`Unusable`] if it may not.
    pub fn check(&self, name: &str, concurrency: u32, now: Duration) -> Result<(), Unusable> {
        let backend = self.backends.get(name).ok_or(Unusable::Unlisted)?;
        backend.check(now, concurrency, &self.policy)
    }

    /// Returns the named back ends that may be given new work now.
    pub fn candidates(&self, names: &[String], concurrency: u32, now: Duration) -> Vec<Candidate> {
        names
            .iter()
            .filter(|name| self.check(name, concurrency, now).is_ok())
            .filter_map(|name| self.backends.get(name)?.candidate(name, now))
            .collect()
    }

    /// Returns the location of a back end, if known.
    pub fn placement(&self, name: &str) -> Option<&Placement> {
        self.backends.get(name)?.placement()
    }

    /// Returns the last report of a back end if there is fresh evidence of it.
    pub fn fresh_report(&self, name: &str, now: Duration) -> Option<&Report> {
        let backend = self.backends.get(name)?;
        let at = backend.evidence_at()?;
        (now.saturating_sub(at) <= self.policy.freshness)
            .then(|| backend.report())
            .flatten()
    }

    /// Returns whether the current process of a back end is known to be leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.backends.get(name).is_some_and(Backend::is_leaving)
    }

    /// Returns descriptions of all back ends, sorted by name; the caller sets their pools.
    pub fn describe(&self, now: Duration) -> Vec<BackendDescription> {
        self.backends
            .iter()
            .map(|(name, backend)| backend.describe(name, now, &self.policy))
            .collect()
    }

    pub(super) fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.get(name)
    }

    pub(super) fn needs_full_report(&self, name: &str) -> bool {
        self.full_report_requests.contains(name)
    }

    /// Marks a known back end so that the next request to a peer asks for its full report.
    pub(super) fn request_full_report(&mut self, name: &str) {
        if self.backends.contains_key(name) {
            self.full_report_requests.insert(name.to_owned());
        }
    }

    pub(super) fn clear_full_report_request(&mut self, name: &str) {
        self.full_report_requests.remove(name);
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = (&str, &Backend)> {
        self.backends
            .iter()
            .map(|(name, backend)| (name.as_str(), backend))
    }

    /// Applies an observation with the next table version. The version is increased only if the
    /// observation revealed a leaving process.
    fn change(&mut self, name: &str, apply: impl FnOnce(&mut Backend, u64, &BackendPolicy)) {
        if !self.backends.contains_key(name) && self.backends.len() >= MAX_BACKENDS {
            return;
        }
        let backend = self.backends.entry(name.to_owned()).or_default();
        let next = self.version + 1;
        apply(backend, next, &self.policy);
        if backend.leaving_since(self.version).next().is_some() {
            self.version = next;
        }
    }
}
