//! Ends watches when the store stops answering.
//!
//! A store that was unresponsive may never answer the calls that were pending at that time, even
//! after it has recovered, so that a watch would miss changes until its timeout. [`ObservedStore`]
//! monitors all calls of the process and ends its watches when another call gets no answer, and
//! again when the store answers for the first time after that. A process that made no call
//! meanwhile, because it stood still, reports its watches as doubtful; they are repeated.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_clock::Instant;
use prometheus::{IntCounterVec, Opts};
use tokio::sync::watch;

use super::{Coordination, CoordinationError, LeaseId, Listing, Record, SwapResult, WatchAnswer};

/// Maximum wait of a new watch for an unresponsive store to answer another call.
const MAX_RECOVERY_WAIT: Duration = Duration::from_secs(1);

/// Minimum interval between repetitions of doubtful watches, so that a process that often stands
/// still adds few calls.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum random delay of the repetition of a doubtful watch, as hundreds of processes may have
/// stood still together.
const MAX_REPEAT_DELAY: Duration = Duration::from_millis(500);

/// Health of the store as shown by the calls so far.
#[derive(Debug, Default)]
struct StoreHealth {
    /// Whether the last call got no answer.
    is_unresponsive: bool,
    /// Number of calls without an answer since the last answer.
    failures: u64,
    /// Send time of the latest call that was answered.
    last_answered: Option<Instant>,
    /// Time since which the watches in progress are doubtful.
    watches_doubted_at: Option<Instant>,
    /// Time of the last repetition of doubtful watches.
    watches_repeated_at: Option<Instant>,
}

impl StoreHealth {
    /// Returns whether doubtful watches are to be repeated after the answer to a call sent at
    /// `sent`. The answer shows that the store does not lose the repetitions as well.
    fn repeats_watches(&mut self, sent: Instant) -> bool {
        let is_due = self.watches_doubted_at.is_some_and(|at| sent >= at)
            && self
                .watches_repeated_at
                .is_none_or(|at| at.elapsed() >= MIN_REPEAT_INTERVAL);
        if is_due {
            self.watches_doubted_at = None;
            self.watches_repeated_at = Some(Instant::now());
        }
        is_due
    }
}

/// Counter of calls to the store by kind and outcome. Cheap to clone.
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
    /// Returns the counter for registration.
    pub fn counter(&self) -> &IntCounterVec {
        &self.counter
    }

    fn record<T>(&self, call: &str, result: &Result<T, CoordinationError>) {
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

/// Waits until a watch in progress has to be repeated.
async fn wait_to_repeat(watch_repetitions: &mut watch::Receiver<u64>) {
    // The store owns the sender, so this does not fail.
    let _ = watch_repetitions.changed().await;
    tokio::time::sleep(MAX_REPEAT_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
}

/// Store wrapper that counts calls and ends watches whose answers may be lost.
#[derive(Debug)]
pub struct ObservedStore<C> {
    store: C,
    calls: StoreCallMetrics,
    health: Mutex<StoreHealth>,
    /// Changes whenever the watches in progress have to end.
    watch_cancellations: watch::Sender<u64>,
    /// Changes whenever the watches in progress have to be repeated.
    watch_repetitions: watch::Sender<u64>,
    /// Number of calls that succeeded.
    successes: watch::Sender<u64>,
}

impl<C: Coordination> ObservedStore<C> {
    /// Wraps `store` and counts its calls in `calls`.
    pub fn new(store: C, calls: StoreCallMetrics) -> Self {
        Self {
            store,
            calls,
            health: Mutex::default(),
            watch_cancellations: watch::Sender::new(0),
            watch_repetitions: watch::Sender::new(0),
            successes: watch::Sender::new(0),
        }
    }

    /// Awaits a call other than a watch and records its outcome.
    async fn call<T>(
        &self,
        kind: &'static str,
        call: BoxFuture<'_, Result<T, CoordinationError>>,
    ) -> Result<T, CoordinationError> {
        let sent = Instant::now();
        let result = call.await;
        self.calls.record(kind, &result);
        if result.is_ok() {
            self.successes.send_modify(|count| *count += 1);
        }
        match &result {
            Err(error @ (CoordinationError::Unavailable(_) | CoordinationError::Unknown(_))) => {
                self.record_failure(error, sent);
            }
            // A rejection and an expired lease are answers too.
            Ok(_) | Err(CoordinationError::Refused(_) | CoordinationError::LeaseExpired) => {
                self.record_answer(sent);
            }
        }
        result
    }

    /// Records a call without an answer, unless a call sent later was already answered.
    fn record_failure(&self, error: &CoordinationError, sent: Instant) {
        let mut health = self.lock();
        if health
            .last_answered
            .is_some_and(|last_answered| sent < last_answered)
        {
            return;
        }
        health.failures += 1;
        if !std::mem::replace(&mut health.is_unresponsive, true) {
            log::warn!("event=dependency_lost dependency=store cause=\"{error}\"");
        }
        drop(health);
        self.watch_cancellations.send_modify(|count| *count += 1);
    }

    fn record_answer(&self, sent: Instant) {
        let mut health = self.lock();
        health.last_answered = health.last_answered.max(Some(sent));
        let repeats_watches = health.repeats_watches(sent);
        if !std::mem::take(&mut health.is_unresponsive) {
            drop(health);
            if repeats_watches {
                log::info!("event=watches_repeated");
                self.watch_repetitions.send_modify(|count| *count += 1);
            }
            return;
        }
        let failures = std::mem::take(&mut health.failures);
        drop(health);
        log::info!("event=dependency_regained dependency=store failed_calls={failures}");
        self.watch_cancellations.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, StoreHealth> {
        self.health
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

    fn list_stale_crowded<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        Box::pin(self.call("list_stale", self.store.list_stale_crowded(prefix)))
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>> {
        Box::pin(self.call("changes", self.store.changes(prefix, after)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>> {
        Box::pin(async move {
            let mut watch_cancellations = self.watch_cancellations.subscribe();
            let mut watch_repetitions = self.watch_repetitions.subscribe();
            if self.lock().is_unresponsive {
                let _ =
                    tokio::time::timeout(MAX_RECOVERY_WAIT, watch_cancellations.changed()).await;
            }
            loop {
                tokio::select! {
                    answer = self.store.watch(prefix, after) => {
                        self.calls.record("watch", &answer);
                        return answer;
                    }
                    _ = watch_cancellations.changed() => {
                        let cause = "watch ended because another call got no answer, the store recovered, or this machine was suspended";
                        return Err(CoordinationError::Unavailable(cause.to_owned()));
                    }
                    () = wait_to_repeat(&mut watch_repetitions) => {}
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
        self.watch_cancellations.send_modify(|count| *count += 1);
    }

    fn doubt_watches(&self, since: Instant) {
        self.lock().watches_doubted_at = Some(since);
    }

    fn wait_for_success(&self, max_wait: Duration) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let mut successes = self.successes.subscribe();
            let _ = tokio::time::timeout(max_wait, successes.changed()).await;
        })
    }
}
