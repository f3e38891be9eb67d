//! In-memory [`Coordination`] store on tokio's clock, with leases, watches and per-node faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_front::coordination::{
    Change, Coordination, CoordinationError, LeaseId, Listing, Record, SwapResult, WatchAnswer,
};
use tokio::sync::watch;
use tokio::time::Instant;

/// Faults injected into the calls of a node.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct NodeFaults {
    /// No call is answered.
    pub is_partitioned: bool,
    /// All calls are rejected.
    pub is_refused: bool,
    /// Calls for exactly these keys or prefixes are rejected.
    pub rejected_keys: BTreeSet<String>,
    /// Number of latest revisions that are missing from stale listings.
    pub stale_by: u64,
    /// Answers to lease renewals are delayed by this time.
    pub renewal_answer_delay: Duration,
    /// Watches that wait while this is set are never answered.
    pub loses_watches: bool,
    /// The next swap fails at once with an unknown outcome and is applied after this delay.
    pub delayed_swap: Option<Duration>,
    /// The same for the next put.
    pub delayed_put: Option<Duration>,
}

#[derive(Default)]
struct State {
    revision: u64,
    records: BTreeMap<String, (Record, Option<LeaseId>)>,
    history: Vec<(u64, Change)>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    last_lease: LeaseId,
    /// Revision before which watches are answered with `HistoryCompacted`.
    compacted_revision: u64,
    calls: BTreeMap<(String, &'static str, String), Vec<Instant>>,
    /// Number of records that each node received in listings and watches.
    records_sent: BTreeMap<String, usize>,
    faults: BTreeMap<String, NodeFaults>,
}

/// In-memory store. Cheap to clone.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

/// Client of the store for one node.
#[derive(Clone)]
pub struct NodeClient {
    node: String,
    store: MemoryStore,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> u64 {
        self.revision += 1;
        let record = Record {
            key: key.to_owned(),
            value,
            revision: self.revision,
        };
        let change = Change::Written(record.clone());
        self.records.insert(key.to_owned(), (record, lease));
        self.history.push((self.revision, change));
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.records.remove(key).is_some() {
            self.revision += 1;
            let key = key.to_owned();
            self.history.push((self.revision, Change::Removed { key }));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter();
        let expired: Vec<LeaseId> = leases
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        expired.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let held = self
            .records
            .iter()
            .filter(|(_, (_, held_by))| *held_by == Some(lease));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn changes_since(&self, prefix: &str, after: u64) -> WatchAnswer {
        if after < self.compacted_revision {
            return WatchAnswer::HistoryCompacted;
        }
        let is_under = |change: &Change| match change {
            Change::Written(record) => record.key.starts_with(prefix),
            Change::Removed { key } => key.starts_with(prefix),
        };
        let history = self.history.iter();
        let matching = history.filter(|(revision, change)| *revision > after && is_under(change));
        WatchAnswer::Changes {
            changes: matching.map(|(_, change)| change.clone()).collect(),
            at: self.revision,
        }
    }

    fn swap(
        &mut self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, CoordinationError> {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(CoordinationError::LeaseExpired);
        }
        let known = self.records.get(key).map(|(record, _)| record.clone());
        if known.as_ref().map_or(0, |record| record.revision) != expected {
            return Ok(SwapResult::Lost(known));
        }
        let revision = self.put(key, value, lease);
        Ok(SwapResult::Won { revision })
    }
}

impl MemoryStore {
    /// Returns the client of a node.
    pub fn of(&self, node: &str) -> NodeClient {
        NodeClient {
            node: node.to_owned(),
            store: self.clone(),
        }
    }

    /// Writes a record without a lease.
    pub fn write(&self, key: &str, value: Vec<u8>) {
        self.with_state(|state| state.put(key, value, None));
    }

    /// Removes a record.
    pub fn remove(&self, key: &str) {
        self.with_state(|state| state.remove(key));
    }

    /// Returns the value of a record.
    pub fn read(&self, key: &str) -> Option<Vec<u8>> {
        self.with_state(|state| {
            state
                .records
                .get(key)
                .map(|(record, _)| record.value.clone())
        })
    }

    /// Sets the faults of a node.
    pub fn set_faults(&self, node: &str, faults: NodeFaults) {
        self.with_state(|state| state.faults.insert(node.to_owned(), faults));
    }

    /// Makes watches from revisions before the current one return `HistoryCompacted`.
    pub fn compact_history(&self) {
        self.with_state(|state| state.compacted_revision = state.revision);
    }

    /// Returns the number of calls of a kind that a node made for a key or prefix.
    pub fn calls(&self, node: &str, kind: &'static str, key: &str) -> usize {
        self.call_times(node, kind, key).len()
    }

    /// Returns the times of the calls of a kind that a node made for a key or prefix.
    pub fn call_times(&self, node: &str, kind: &'static str, key: &str) -> Vec<Instant> {
        let call = (node.to_owned(), kind, key.to_owned());
        self.with_state(|state| state.calls.get(&call).cloned().unwrap_or_default())
    }

    /// Returns the number of records that a node received in listings and watches.
    pub fn records_sent(&self, node: &str) -> usize {
        self.with_state(|state| state.records_sent.get(node).copied().unwrap_or(0))
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        state.expire();
        let result = act(&mut state);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Waits for a change, and expires leases in the meantime.
    async fn next_change(&self, changed: &mut watch::Receiver<u64>) {
        const TICK: Duration = Duration::from_millis(5);
        let _ = tokio::time::timeout(TICK, changed.changed()).await;
        self.lock().expire();
    }
}

impl NodeClient {
    fn faults(&self) -> NodeFaults {
        let state = self.store.lock();
        state.faults.get(&self.node).cloned().unwrap_or_default()
    }

    fn count_records(&self, count: usize) {
        let mut state = self.store.lock();
        *state.records_sent.entry(self.node.clone()).or_insert(0) += count;
    }

    fn count_listing(&self, listing: Listing) -> Listing {
        self.count_records(listing.records.len());
        listing
    }

    fn count_changes(&self, answer: WatchAnswer) -> WatchAnswer {
        if let WatchAnswer::Changes { changes, .. } = &answer {
            self.count_records(changes.len());
        }
        answer
    }

    /// Records the time of a call and applies the faults of its node.
    async fn start_call(&self, kind: &'static str, key: &str) -> Result<(), CoordinationError> {
        let call = (self.node.clone(), kind, key.to_owned());
        self.store.with_state(|state| {
            let calls = state.calls.entry(call).or_default();
            calls.push(Instant::now());
        });
        self.apply_faults(key).await
    }

    /// Applies the node's current faults to a call. A waiting watch applies them repeatedly.
    async fn apply_faults(&self, key: &str) -> Result<(), CoordinationError> {
        let faults = self.faults();
        if faults.is_partitioned {
            return std::future::pending().await;
        }
        if faults.is_refused || faults.rejected_keys.contains(key) {
            return Err(CoordinationError::Refused("rejected by a fault".to_owned()));
        }
        Ok(())
    }

    /// Applies a write after a delay. Returns the error of its lost answer.
    fn apply_later(
        &self,
        delay: Duration,
        write: impl FnOnce(&mut State) + Send + 'static,
    ) -> CoordinationError {
        let store = self.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            store.with_state(write);
        });
        CoordinationError::Unknown("no answer".to_owned())
    }
}

impl Coordination for NodeClient {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        Box::pin(async move {
            self.start_call("get", key).await?;
            let found = self
                .store
                .with_state(|state| state.records.get(key).cloned());
            Ok(found.map(|(record, _)| record))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        Box::pin(async move {
            self.start_call("list", prefix).await?;
            let listing = self.store.with_state(|state| {
                let records = state.records.values().map(|(record, _)| record.clone());
                Listing {
                    records: records
                        .filter(|record| record.key.starts_with(prefix))
                        .collect(),
                    at: state.revision,
                }
            });
            Ok(self.count_listing(listing))
        })
    }

    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        Box::pin(async move {
            self.start_call("list_stale", prefix).await?;
            let stale_by = self.faults().stale_by;
            let listing = self.store.with_state(|state| {
                let at = state.revision - stale_by.min(state.revision);
                let records = state.records.values().map(|(record, _)| record);
                let records = records.filter(|record| record.key.starts_with(prefix));
                Listing {
                    // Records changed since are missing, as their earlier values are not kept.
                    records: records
                        .filter(|record| record.revision <= at)
                        .cloned()
                        .collect(),
                    at,
                }
            });
            Ok(self.count_listing(listing))
        })
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>> {
        Box::pin(async move {
            self.start_call("changes", prefix).await?;
            let answer = self
                .store
                .with_state(|state| state.changes_since(prefix, after));
            Ok(self.count_changes(answer))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>> {
        Box::pin(async move {
            self.start_call("watch", prefix).await?;
            let mut changed = self.store.changed.subscribe();
            loop {
                self.apply_faults(prefix).await?;
                if self.faults().loses_watches {
                    return std::future::pending().await;
                }
                let answer = self.store.lock().changes_since(prefix, after);
                let is_silent =
                    matches!(&answer, WatchAnswer::Changes { changes, .. } if changes.is_empty());
                if !is_silent {
                    return Ok(self.count_changes(answer));
                }
                self.store.next_change(&mut changed).await;
            }
        })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<SwapResult, CoordinationError>> {
        Box::pin(async move {
            self.start_call("swap", key).await?;
            let mut faults = self.faults();
            if let Some(delay) = faults.delayed_swap.take() {
                self.store.set_faults(&self.node, faults);
                let key = key.to_owned();
                return Err(self.apply_later(delay, move |state| {
                    let _ = state.swap(&key, expected, value, lease);
                }));
            }
            self.store
                .with_state(|state| state.swap(key, expected, value, lease))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<(), CoordinationError>> {
        Box::pin(async move {
            self.start_call("put", key).await?;
            let mut faults = self.faults();
            if let Some(delay) = faults.delayed_put.take() {
                self.store.set_faults(&self.node, faults);
                let key = key.to_owned();
                return Err(self.apply_later(delay, move |state| {
                    state.put(&key, value, lease);
                }));
            }
            self.store.with_state(|state| state.put(key, value, lease));
            Ok(())
        })
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, CoordinationError>> {
        Box::pin(async move {
            self.start_call("grant", "").await?;
            Ok(self.store.with_state(|state| {
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                lease
            }))
        })
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        Box::pin(async move {
            self.start_call("renew", "").await?;
            let renewed = self.store.with_state(|state| {
                let (until, ttl) = state
                    .leases
                    .get_mut(&lease)
                    .ok_or(CoordinationError::LeaseExpired)?;
                *until = Instant::now() + *ttl;
                Ok(())
            });
            tokio::time::sleep(self.faults().renewal_answer_delay).await;
            renewed
        })
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        Box::pin(async move {
            self.start_call("revoke", "").await?;
            self.store.with_state(|state| state.end_lease(lease));
            Ok(())
        })
    }
}
