//! Watches that do not outlive the store's silence.
//!
//! A store that went silent may never answer the calls it had at that moment, not even once it is back: on such a
//! connection a watch would wait for its whole time while changes pass by. [`ObservedStore`] looks at all calls of the process
//! and gives its watches up when another call got no answer, and once more when the store answers again.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_clock::Instant;
use prometheus::{IntCounterVec, Opts};
use tokio::sync::watch;

use super::{Coordination, CoordinationError, LeaseId, Listing, Record, SwapResult, WatchAnswer};

/// Longest wait of a new watch for the store to answer another call again.
const SILENCE_WAIT: Duration = Duration::from_secs(1);

/// What the calls so far have shown of the store.
#[derive(Debug, Default)]
struct Contact {
    /// The last call got no answer.
    is_silent: bool,
    /// Calls without an answer since the last answer.
    failures: u64,
    /// When the latest of the answered calls was sent.
    answered: Option<Instant>,
}

/// Counts calls to the store by kind and outcome. Cheap to clone.
#[derive(Debug, Clone)]
pub struct StoreCallMetrics {
    counter: IntCounterVec,
}

impl Default for StoreCallMetrics {
    fn default() -> Self {
        let options = Opts::new(
            "ladderstage_store_calls_total",
            "Calls to the coordination store by kind and outcome",
        );
        let counter = IntCounterVec::new(options, &["call", "outcome"]);
        Self {
            counter: counter.expect("valid name"),
        }
    }
}

impl StoreCallMetrics {
    /// The counter, to be registered.
    pub fn counter(&self) -> &IntCounterVec {
        &self.counter
    }

    fn note<T>(&self, call: &str, result: &Result<T, CoordinationError>) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(CoordinationError::Unavailable(_)) => "unavailable",
            Err(CoordinationError::Refused(_)) => "refused",
            Err(CoordinationError::Unknown(_)) => "unknown",
            Err(CoordinationError::LeaseExpired) => "lease_over",
        };
        self.counter.with_label_values(&[call, outcome]).inc();
    }
}

/// A store whose watches end with an error when other calls show that they may have been forgotten.
#[derive(Debug)]
pub struct ObservedStore<C> {
    store: C,
    calls: StoreCallMetrics,
    contact: Mutex<Contact>,
    /// Changes whenever the watches under way may have been forgotten.
    doubt: watch::Sender<u64>,
    /// Counts calls that were carried out.
    carried_out: watch::Sender<u64>,
}

impl<C: Coordination> ObservedStore<C> {
    /// Observes the calls to `store`, and counts them in `calls`.
    pub fn new(store: C, calls: StoreCallMetrics) -> Self {
        Self {
            store,
            calls,
            contact: Mutex::default(),
            doubt: watch::Sender::new(0),
            carried_out: watch::Sender::new(0),
        }
    }

    /// Waits for a call other than a watch and takes in what became of it.
    async fn call<T>(
        &self,
        kind: &'static str,
        call: BoxFuture<'_, Result<T, CoordinationError>>,
    ) -> Result<T, CoordinationError> {
        let sent = Instant::now();
        let result = call.await;
        self.calls.note(kind, &result);
        if result.is_ok() {
            self.carried_out.send_modify(|count| *count += 1);
        }
        match &result {
            Err(error @ (CoordinationError::Unavailable(_) | CoordinationError::Unknown(_))) => {
                self.note_silence(error, sent);
            }
            // A refusal and a lease that is over are answers.
            Ok(_) | Err(CoordinationError::Refused(_) | CoordinationError::LeaseExpired) => {
                self.note_answer(sent);
            }
        }
        result
    }

    /// A call without an answer shows nothing if a later one was answered.
    fn note_silence(&self, error: &CoordinationError, sent: Instant) {
        let mut contact = self.lock();
        if contact.answered.is_some_and(|answered| sent < answered) {
            return;
        }
        contact.failures += 1;
        if !std::mem::replace(&mut contact.is_silent, true) {
            log::warn!("event=dependency_lost dependency=store cause=\"{error}\"");
        }
        drop(contact);
        self.doubt.send_modify(|count| *count += 1);
    }

    fn note_answer(&self, sent: Instant) {
        let mut contact = self.lock();
        contact.answered = contact.answered.max(Some(sent));
        if !std::mem::take(&mut contact.is_silent) {
            return;
        }
        let failures = std::mem::take(&mut contact.failures);
        drop(contact);
        log::info!("event=dependency_regained dependency=store failed_calls={failures}");
        self.doubt.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Contact> {
        self.contact
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl<C: Coordination> Coordination for ObservedStore<C> {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        Box::pin(self.call("get", self.store.get(key)))
    }

    fn get_stale<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        Box::pin(self.call("get_stale", self.store.get_stale(key)))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        Box::pin(self.call("list", self.store.list(prefix)))
    }

    fn list_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        Box::pin(self.call("list_stale", self.store.list_stale(prefix)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>> {
        Box::pin(async move {
            let mut doubt = self.doubt.subscribe();
            if self.lock().is_silent {
                let _ = tokio::time::timeout(SILENCE_WAIT, doubt.changed()).await;
            }
            tokio::select! {
                answer = self.store.watch(prefix, after) => {
                    self.calls.note("watch", &answer);
                    answer
                }
                _ = doubt.changed() => {
                    let cause = "another call got no answer, the store is back, or this machine was suspended";
                    Err(CoordinationError::Unavailable(cause.to_owned()))
                }
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
        Box::pin(self.call("swap", self.store.swap(key, expected, value, lease)))
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<(), CoordinationError>> {
        Box::pin(self.call("put", self.store.put(key, value, lease)))
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, CoordinationError>> {
        Box::pin(self.call("grant", self.store.grant(ttl)))
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        Box::pin(self.call("renew", self.store.renew(lease)))
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        Box::pin(self.call("revoke", self.store.revoke(lease)))
    }

    fn cancel_watches(&self) {
        self.doubt.send_modify(|count| *count += 1);
    }

    fn wait_for_success(&self, longest: Duration) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let mut carried_out = self.carried_out.subscribe();
            let _ = tokio::time::timeout(longest, carried_out.changed()).await;
        })
    }
}
