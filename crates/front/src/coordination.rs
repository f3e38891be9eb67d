//! What the programs need of a linearizable store with compare-and-swap, watches and leases.

mod following;
mod observed;

use std::time::Duration;

use futures_util::future::BoxFuture;

pub use following::{Follower, Update, follow, follow_with};
pub use observed::{ObservedStore, StoreCallMetrics};

/// Number of a lease.
pub type LeaseId = u64;

/// One record of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// The store's revision of its last change.
    pub revision: u64,
}

/// Why a call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CoordinationError {
    /// The store was not reached, or did not answer a read; nothing was changed.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// The store answered that it did nothing.
    #[error("store refused: {0}")]
    Refused(String),
    /// A write got no answer; it may have been carried out, or may be so later if its condition still holds.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The lease does not exist any more.
    #[error("the lease is over")]
    LeaseExpired,
}

/// What became of a conditional write that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The condition held and the record is now the new value.
    Won {
        /// Revision of this change.
        revision: u64,
    },
    /// The condition did not hold; the record as it is.
    Lost(Option<Record>),
}

/// Records as of one look.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// The records, each as of some revision at or after `at`.
    pub records: Vec<Record>,
    /// Revision from which a watch goes on.
    pub at: u64,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The record was written.
    Written(Record),
    /// The record is gone.
    Removed {
        /// Its key.
        key: String,
    },
}

/// What a watch answered.
#[derive(Debug, Clone)]
pub enum WatchAnswer {
    /// Changes in order, perhaps none, and the revision from which the next watch goes on.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Where to go on.
        at: u64,
    },
    /// The store has forgotten that part of its history: list again.
    HistoryCompacted,
}

/// Access to the store. Keys are the caller's; implementations translate calls only.
pub trait Coordination: Send + Sync + 'static {
    /// The record at `key`.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>>;

    /// The record at `key` as it is, or was some seconds ago: a stale read, for a tenth of the price of the other where the store
    /// offers it.
    fn get_stale<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        self.get(key)
    }

    /// All records under `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, CoordinationError>>;

    /// As [`Coordination::list`], as of a revision that may be some seconds old: a stale read. A watch from there tells what came
    /// since.
    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        self.list(prefix)
    }

    /// Waits for changes under `prefix` after revision `after`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>>;

    /// Writes `value` if the record at `key` was last changed at `expected` (0: is absent).
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<SwapResult, CoordinationError>>;

    /// Writes `value` whatever the record was.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<(), CoordinationError>>;

    /// A new lease that ends `ttl` after the call arrived unless it is renewed.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, CoordinationError>>;

    /// Renews a lease for its whole time.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>>;

    /// Ends a lease, and with it its records.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>>;

    /// Gives up the watches under way, as their answers may never come; whoever waits for them begins anew.
    fn cancel_watches(&self) {}

    /// Returns once another call of this process has been carried out, at the latest after `longest`.
    fn wait_for_success(&self, longest: Duration) -> BoxFuture<'_, ()> {
        Box::pin(tokio::time::sleep(longest))
    }
}
