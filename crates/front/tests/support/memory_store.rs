//! A coordination store in memory, on tokio's clock: leases, watches, and faults for each node that uses it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_front::coordination::{
    Change, Coordination, CoordinationError, LeaseId, Listing, Record, SwapResult, WatchAnswer,
};
use tokio::sync::watch;
use tokio::time::Instant;

/// What does not work for one node.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct NodeFaults {
    /// No call is answered.
    pub is_partitioned: bool,
    /// All calls are refused.
    pub is_refused: bool,
    /// Watches and listings under these prefixes are refused.
    pub refused_prefixes: BTreeSet<String>,
    /// Stale reads lack the changes of so many last revisions.
    pub stale_by: u64,
    /// The next swap is carried out after this long, and never answered.
    pub delayed_swap: Option<Duration>,
}

#[derive(Default)]
struct State {
    revision: u64,
    records: BTreeMap<String, (Record, Option<LeaseId>)>,
    history: Vec<(u64, Change)>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    next_lease: LeaseId,
    /// What is before this revision is not in the history any more.
    forgotten: u64,
    calls: BTreeMap<(String, &'static str, String), Vec<Instant>>,
    faults: BTreeMap<String, NodeFaults>,
}

/// The store. Cheap to clone.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

/// The store as one node reaches it.
#[derive(Clone)]
pub struct NodeStore {
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
        let over: Vec<LeaseId> = leases
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        over.into_iter().for_each(|lease| self.end(lease));
    }

    fn end(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let held = self
            .records
            .iter()
            .filter(|(_, (_, held_by))| *held_by == Some(lease));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
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
    /// The store as `node` reaches it.
    pub fn of(&self, node: &str) -> NodeStore {
        NodeStore {
            node: node.to_owned(),
            store: self.clone(),
        }
    }

    /// Writes a record that has no lease.
    pub fn write(&self, key: &str, value: Vec<u8>) {
        self.with(|state| state.put(key, value, None));
    }

    /// Removes a record.
    pub fn remove(&self, key: &str) {
        self.with(|state| state.remove(key));
    }

    /// A record's bytes.
    pub fn read(&self, key: &str) -> Option<Vec<u8>> {
        self.with(|state| {
            state
                .records
                .get(key)
                .map(|(record, _)| record.value.clone())
        })
    }

    /// Changes what does not work for a node.
    pub fn set_faults(&self, node: &str, faults: NodeFaults) {
        self.with(|state| state.faults.insert(node.to_owned(), faults));
    }

    /// Forgets the history so far.
    pub fn forget_history(&self) {
        self.with(|state| state.forgotten = state.revision);
    }

    /// How many calls of a kind a node made about a key or prefix.
    pub fn calls(&self, node: &str, kind: &'static str, key: &str) -> usize {
        self.call_times(node, kind, key).len()
    }

    /// When a node made calls of a kind about a key or prefix.
    pub fn call_times(&self, node: &str, kind: &'static str, key: &str) -> Vec<Instant> {
        let wanted = (node.to_owned(), kind, key.to_owned());
        self.with(|state| state.calls.get(&wanted).cloned().unwrap_or_default())
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
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

    /// Lets leases end on time although nobody calls.
    async fn next_change(&self, changed: &mut watch::Receiver<u64>) {
        const TICK: Duration = Duration::from_millis(5);
        let _ = tokio::time::timeout(TICK, changed.changed()).await;
        self.lock().expire();
    }
}

impl NodeStore {
    fn faults(&self) -> NodeFaults {
        let state = self.store.lock();
        state.faults.get(&self.node).cloned().unwrap_or_default()
    }

    /// Counts a call and says what does not work for it.
    async fn begin(&self, kind: &'static str, key: &str) -> Result<(), CoordinationError> {
        let counted = (self.node.clone(), kind, key.to_owned());
        self.store.with(|state| {
            let calls = state.calls.entry(counted).or_default();
            calls.push(Instant::now());
        });
        self.check(key).await
    }

    /// What does not work for a call, now or while it waits.
    async fn check(&self, key: &str) -> Result<(), CoordinationError> {
        let faults = self.faults();
        if faults.is_partitioned {
            return std::future::pending().await;
        }
        if faults.is_refused || faults.refused_prefixes.contains(key) {
            return Err(CoordinationError::Refused("turned away".to_owned()));
        }
        Ok(())
    }
}

impl Coordination for NodeStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        Box::pin(async move {
            self.begin("get", key).await?;
            let found = self.store.with(|state| state.records.get(key).cloned());
            Ok(found.map(|(record, _)| record))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        Box::pin(async move {
            self.begin("list", prefix).await?;
            Ok(self.store.with(|state| {
                let records = state.records.values().map(|(record, _)| record.clone());
                Listing {
                    records: records
                        .filter(|record| record.key.starts_with(prefix))
                        .collect(),
                    at: state.revision,
                }
            }))
        })
    }

    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        Box::pin(async move {
            self.begin("list_stale", prefix).await?;
            let stale_by = self.faults().stale_by;
            Ok(self.store.with(|state| {
                let at = state.revision - stale_by.min(state.revision);
                let records = state.records.values().map(|(record, _)| record);
                let records = records.filter(|record| record.key.starts_with(prefix));
                Listing {
                    // Records that were changed since are left out: how they were before is not kept.
                    records: records
                        .filter(|record| record.revision <= at)
                        .cloned()
                        .collect(),
                    at,
                }
            }))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>> {
        Box::pin(async move {
            self.begin("watch", prefix).await?;
            let mut changed = self.store.changed.subscribe();
            let is_under = |change: &Change| match change {
                Change::Written(record) => record.key.starts_with(prefix),
                Change::Removed { key } => key.starts_with(prefix),
            };
            loop {
                self.check(prefix).await?;
                let (changes, at) = {
                    let state = self.store.lock();
                    if after < state.forgotten {
                        return Ok(WatchAnswer::HistoryCompacted);
                    }
                    let history = state.history.iter();
                    let news =
                        history.filter(|(revision, change)| *revision > after && is_under(change));
                    let changes: Vec<Change> = news.map(|(_, change)| change.clone()).collect();
                    (changes, state.revision)
                };
                if !changes.is_empty() {
                    return Ok(WatchAnswer::Changes { changes, at });
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
            self.begin("swap", key).await?;
            let mut faults = self.faults();
            if let Some(late) = faults.delayed_swap.take() {
                self.store.set_faults(&self.node, faults);
                let store = self.store.clone();
                let key = key.to_owned();
                tokio::spawn(async move {
                    tokio::time::sleep(late).await;
                    let _ = store.with(|state| state.swap(&key, expected, value, lease));
                });
                return Err(CoordinationError::Unknown("no answer".to_owned()));
            }
            self.store
                .with(|state| state.swap(key, expected, value, lease))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<(), CoordinationError>> {
        Box::pin(async move {
            self.begin("put", key).await?;
            self.store.with(|state| state.put(key, value, lease));
            Ok(())
        })
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, CoordinationError>> {
        Box::pin(async move {
            self.begin("grant", "").await?;
            Ok(self.store.with(|state| {
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                lease
            }))
        })
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        Box::pin(async move {
            self.begin("renew", "").await?;
            self.store.with(|state| {
                let (until, ttl) = state
                    .leases
                    .get_mut(&lease)
                    .ok_or(CoordinationError::LeaseExpired)?;
                *until = Instant::now() + *ttl;
                Ok(())
            })
        })
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        Box::pin(async move {
            self.begin("revoke", "").await?;
            self.store.with(|state| state.end(lease));
            Ok(())
        })
    }
}
