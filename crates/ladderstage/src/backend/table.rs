//! The table of back ends.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::description::BackendDescription;
use super::entry::{Backend, Unusable};
use super::listing::Placement;
use super::observation::{ListedBackend, ObservationInterval, Report};
use super::policy::BackendPolicy;
use crate::routing::Candidate;

/// Back ends kept at most; further names are ignored.
const MAX_BACKENDS: usize = 20_000;
/// A back end that answers of the machine list lacked for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// A request under way at a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    backend: String,
    number: u64,
}

/// All back ends that this process knows. Times are since its start.
#[derive(Debug, Clone)]
pub struct BackendTable {
    policy: BackendPolicy,
    backends: BTreeMap<String, Backend>,
    last_list_at: Option<Duration>,
    next_dispatch: u64,
    version: u64,
    /// Back ends whose process or address a peer knows otherwise.
    wanted_whole: BTreeSet<String>,
}

impl BackendTable {
    /// An empty table.
    pub fn new(policy: BackendPolicy) -> Self {
        Self {
            policy,
            backends: BTreeMap::new(),
            last_list_at: None,
            next_dispatch: 1,
            version: 1,
            wanted_whole: BTreeSet::new(),
        }
    }

    /// Bounds in use.
    pub fn policy(&self) -> &BackendPolicy {
        &self.policy
    }

    /// Grows whenever a leaving process is learned.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in an answer of the machine list; one asked for before the last one is ignored.
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
            .retain(|_, backend| !backend.is_forgettable(FORGET_AFTER));
        self.wanted_whole
            .retain(|name| self.backends.contains_key(name));
    }

    /// Takes in a report that this process read itself, or whose place in time is as certain.
    pub fn observe_report(&mut self, name: &str, report: &Report, observed: ObservationInterval) {
        self.change(name, |backend, version, _| {
            backend.observe_report(report, observed, version);
        });
    }

    /// Takes a peer's word for where a back end is, while no list of our own has named it.
    pub(super) fn suggest_placement(&mut self, name: &str, placement: Option<Placement>) {
        if let Some(placement) = placement {
            self.change(name, |backend, _, _| backend.suggest_placement(placement));
        }
    }

    /// Takes in a report of unknown age.
    pub(super) fn observe_hearsay(&mut self, name: &str, report: &Report) {
        self.change(name, |backend, version, _| {
            backend.observe_hearsay(report, version);
        });
    }

    /// A request starts; it counts until [`Self::finish_request`].
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

    /// As [`Self::start_request`], if the back end may be given new work now.
    pub fn try_start_request(
        &mut self,
        name: &str,
        concurrency: u32,
        now: Duration,
    ) -> Result<Dispatch, Unusable> {
        self.check(name, concurrency, now)?;
        Ok(self.start_request(name, now))
    }

    /// A request ended, whatever its outcome.
    pub fn finish_request(&mut self, dispatch: &Dispatch) {
        if let Some(backend) = self.backends.get_mut(&dispatch.backend) {
            backend.finish_request(dispatch.number);
        }
    }

    /// A request was answered whole and has not ended yet.
    pub fn record_success(&mut self, name: &str) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.record_success();
        }
    }

    /// A request failed. `jitter` is uniform in [0, 1).
    pub fn record_failure(&mut self, name: &str, now: Duration, jitter: f64) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.record_failure(now, &self.policy, jitter);
        }
    }

    /// The back end refused before running because it is full. `jitter` is uniform in [0, 1).
    pub fn record_refusal(&mut self, name: &str, now: Duration, jitter: f64) {
        if let Some(backend) = self.backends.get_mut(name) {
            backend.record_refusal(now, &self.policy, jitter);
        }
    }

    /// The back end refused before running because it is leaving.
    pub fn record_leaving(&mut self, name: &str, now: Duration) {
        self.change(name, |backend, version, policy| {
            backend.record_leaving(now, version, policy);
        });
    }

    /// Whether a back end may be given new work now.
    pub fn check(&self, name: &str, concurrency: u32, now: Duration) -> Result<(), Unusable> {
        let backend = self.backends.get(name).ok_or(Unusable::Unlisted)?;
        backend.check(now, concurrency, &self.policy)
    }

    /// Those of the named back ends that may be given new work now.
    pub fn candidates(&self, names: &[String], concurrency: u32, now: Duration) -> Vec<Candidate> {
        names
            .iter()
            .filter(|name| self.check(name, concurrency, now).is_ok())
            .filter_map(|name| self.backends.get(name)?.candidate(name, now))
            .collect()
    }

    /// Where a back end is, if a list ever named it.
    pub fn placement(&self, name: &str) -> Option<&Placement> {
        self.backends.get(name)?.placement()
    }

    /// The last report of a back end, if evidence of it is still fresh.
    pub fn fresh_report(&self, name: &str, now: Duration) -> Option<&Report> {
        let backend = self.backends.get(name)?;
        let at = backend.evidence_at()?;
        (now.saturating_sub(at) <= self.policy.freshness)
            .then(|| backend.report())
            .flatten()
    }

    /// Whether the present process of a back end is known to be leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.backends.get(name).is_some_and(Backend::is_leaving)
    }

    /// All back ends, sorted by name; their pools are for the caller to fill in.
    pub fn describe(&self, now: Duration) -> Vec<BackendDescription> {
        self.backends
            .iter()
            .map(|(name, backend)| backend.describe(name, now, &self.policy))
            .collect()
    }

    pub(super) fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.get(name)
    }

    pub(super) fn is_wanted_whole(&self, name: &str) -> bool {
        self.wanted_whole.contains(name)
    }

    /// Notes that the next question is to ask for the whole report of a known back end.
    pub(super) fn want_whole(&mut self, name: &str) {
        if self.backends.contains_key(name) {
            self.wanted_whole.insert(name.to_owned());
        }
    }

    pub(super) fn received_whole(&mut self, name: &str) {
        self.wanted_whole.remove(name);
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = (&str, &Backend)> {
        self.backends
            .iter()
            .map(|(name, backend)| (name.as_str(), backend))
    }

    /// Applies an observation under the next version, which counts if leaving was learned by it.
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
