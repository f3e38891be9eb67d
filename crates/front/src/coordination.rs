//! Interface to a linearizable store with compare-and-swap, watches and leases.

mod following;
mod observed;

use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_clock::Instant;

pub use following::{Follower, Update, follow, follow_with};
pub use observed::{ObservedStore, StoreCallMetrics};

/// Identifier of a lease.
pub type LeaseId = u64;

/// A record of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Store revision at which the record was last written.
    pub revision: u64,
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CoordinationError {
    /// The store was not reached or did not answer a read; nothing was changed.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// The store rejected the call; nothing was changed.
    #[error("store refused: {0}")]
    Refused(String),
    /// A write was not answered: it may have been applied, or may still be applied later if its
    /// condition holds then.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The lease has expired or was revoked.
    #[error("lease expired")]
    LeaseExpired,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The condition held, and the record has the new value.
    Won {
        /// Store revision of the write.
        revision: u64,
    },
    /// The condition did not hold. Holds the current record, if there is one.
    Lost(Option<Record>),
}

/// Records returned by one listing.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Records, each as of some revision at or after `at`.
    pub records: Vec<Record>,
    /// Revision after which a watch has to start.
    pub at: u64,
}

/// Change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The record was written.
    Written(Record),
    /// The record was deleted or its lease expired.
    Removed {
        /// Key of the record.
        key: String,
    },
}

/// Result of a watch.
#[derive(Debug, Clone)]
pub enum WatchAnswer {
    /// Changes in order, possibly none.
    Changes {
        /// Changes.
        changes: Vec<Change>,
        /// Revision after which the next watch has to start.
        at: u64,
    },
    /// The store no longer has the requested revisions; the caller has to list again.
    HistoryCompacted,
}

/// Client of the store. Callers choose the keys; implementations only translate the calls.
pub trait Coordination: Send + Sync + 'static {
    /// Reads the record at `key`.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>>;

    /// Reads the record at `key` with a stale read, which may lag by some seconds and costs a tenth
    /// of [`Coordination::get`] where the store offers it.
    fn get_stale<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        self.get(key)
    }

    /// Lists all records under `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, CoordinationError>>;

    /// Lists all records under `prefix` with a stale read, which may lag by some seconds. A watch
    /// from the returned revision reports the later changes.
    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        self.list(prefix)
    }

    /// Like [`Coordination::list_stale`], for a prefix that holds a record of each node and that all
    /// nodes may list at the same time. Takes longer, so that the store can serve all of them.
    fn list_stale_crowded<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        self.list_stale(prefix)
    }

    /// Returns the changes under `prefix` after revision `after`, possibly none, without waiting for
    /// one.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>>;

    /// Waits for changes under `prefix` after revision `after`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>>;

    /// Writes `value` if the record at `key` was last written at revision `expected`; 0 requires
    /// that it does not exist.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<SwapResult, CoordinationError>>;

    /// Writes `value` unconditionally.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<(), CoordinationError>>;

    /// Creates a lease that expires `ttl` after the store received the call unless it is renewed.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, CoordinationError>>;

    /// Extends a lease by its full time to live.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>>;

    /// Revokes a lease, which deletes its records.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>>;

    /// Ends the watches in progress with an error, as their answers may be lost; callers start new
    /// ones.
    fn cancel_watches(&self) {}

    /// Reports that the answers of the watches in progress may be lost although no other call of
    /// this process was left without an answer. They are repeated once the store answers a call
    /// sent at `since` or later.
    fn doubt_watches(&self, since: Instant) {
        let _ = since;
    }

    /// Returns once another call of this process succeeded, or after `max_wait` at the latest.
    fn wait_for_success(&self, max_wait: Duration) -> BoxFuture<'_, ()> {
        Box::pin(tokio::time::sleep(max_wait))
    }
}
