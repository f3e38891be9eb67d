//! Connections of one listener: their number is limited, and each one has bounded time to send its
//! next request.
//!
//! When the limit is reached, a new connection takes the place of the one that has waited longest for
//! its client. Clients that send their requests at once are served this way beside any number of
//! idle or slow connections.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;
use prometheus::{IntCounterVec, IntGauge};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Interval of the checks for connections that have waited too long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Displaced connections whose sockets may be open at the same time.
const MAX_DISPLACED: usize = 4;

/// Pause after a large head was parsed, so that a crowd of them does not take all processor time. Parsing
/// thousands of fields takes up to half of it on a slow machine.
const LARGE_HEAD_PAUSE: Duration = Duration::from_millis(10);

/// Time for which a client has to read nothing of its response before its memory is given to others.
const MIN_BLOCKED_TIME: Duration = Duration::from_millis(100);

/// Minimum time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The rest of a request's body.
    Body,
    /// A response; the client has sent its request.
    Response,
}

/// Maximum times for which a connection may wait for its client.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitTimes {
    /// For the first byte of a request.
    pub idle: Duration,
    /// For the rest of a request's head.
    pub head: Duration,
}

/// Metrics of one listener's connections.
#[derive(Debug, Clone)]
pub struct ConnectionMetrics {
    /// Name of the listener.
    pub listener: &'static str,
    /// Open connections.
    pub open: IntGauge,
    /// Connections that were closed or refused, by listener and reason.
    pub closed: IntCounterVec,
}

/// All connections of a listener. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct ConnectionTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    metrics: ConnectionMetrics,
    /// Permit to read a large head, which is expensive to parse if its fields are short.
    large_heads: Arc<Semaphore>,
    state: Mutex<TableState>,
}

#[derive(Debug, Default)]
struct TableState {
    next_id: u64,
    open: usize,
    /// Connections that wait for their clients, by the start of the wait.
    waiting: BTreeMap<WaitKey, Arc<Connection>>,
    /// Connections whose clients do not read a large response, by the start of the wait.
    blocked: BTreeMap<WaitKey, Arc<Connection>>,
    /// Connections displaced since the last pause of the listener.
    displaced: usize,
    logged_at: Option<Instant>,
    /// Connections closed since the last log line.
    unlogged: u64,
}

type WaitKey = (Instant, u64);

#[derive(Debug)]
struct Connection {
    id: u64,
    /// Changed only with the table locked.
    wait: Mutex<(Phase, Instant)>,
    /// Whether bytes have arrived since the last head.
    has_read: AtomicBool,
    /// Held while a part of a large head is parsed.
    large_head: Mutex<Option<OwnedSemaphorePermit>>,
    /// Whether the last response occupies memory until the client has read it, also after all of it was
    /// passed to the HTTP server.
    has_large_response: AtomicBool,
    /// Since when the client has read nothing of a large response. Changed only with the table locked.
    blocked_since: Mutex<Option<Instant>>,
    evicted: Notify,
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(limit: usize, metrics: ConnectionMetrics) -> Self {
        let shared = Shared {
            limit,
            metrics,
            large_heads: Arc::new(Semaphore::new(1)),
            state: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Adds a new connection. At the limit, closes the one that has waited longest for its client.
    /// Returns `None` if no connection waits.
    pub fn admit(&self) -> Option<ConnectionSlot> {
        let mut state = self.shared.lock();
        if state.open >= self.shared.limit {
            let Some((_, evicted)) = state.waiting.pop_first() else {
                self.shared.record_closed(&mut state, "refused");
                return None;
            };
            // Counted as closed already, as its task ends without waiting for anything.
            state.open -= 1;
            state.displaced += 1;
            self.shared.record_closed(&mut state, "displaced");
            evicted.evict();
        }
        state.open += 1;
        state.next_id += 1;
        let connection = Arc::new(Connection {
            id: state.next_id,
            wait: Mutex::new((Phase::Idle, Instant::now())),
            has_read: AtomicBool::new(false),
            large_head: Mutex::default(),
            has_large_response: AtomicBool::new(false),
            blocked_since: Mutex::default(),
            evicted: Notify::new(),
        });
        state.insert_waiting(&connection);
        self.shared.metrics.open.set(state.open as i64);
        drop(state);
        Some(ConnectionSlot {
            shared: Arc::clone(&self.shared),
            connection,
        })
    }

    /// Returns whether displaced connections should close before the listener accepts more. Clients wait
    /// to be accepted behind all others, so that the listener does not pause after each connection.
    pub fn is_displacement_due(&self) -> bool {
        let mut state = self.shared.lock();
        let is_due = state.displaced >= MAX_DISPLACED;
        if is_due {
            state.displaced = 0;
        }
        is_due
    }

    /// Closes connections that have waited too long, until the future is dropped.
    pub async fn sweep(&self, times: impl Fn() -> WaitTimes) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.close_expired(times());
        }
    }

    /// Closes the connection whose client has read nothing of a large response for the longest time, if
    /// there is one that has for [`MIN_BLOCKED_TIME`].
    pub fn close_blocked(&self) {
        let mut state = self.shared.lock();
        let oldest = state.blocked.first_key_value();
        let is_due = oldest.is_some_and(|((since, _), _)| since.elapsed() >= MIN_BLOCKED_TIME);
        if is_due && let Some((_, connection)) = state.blocked.pop_first() {
            *lock(&connection.blocked_since) = None;
            self.shared.record_closed(&mut state, "not_reading");
            connection.evict();
        }
    }

    fn close_expired(&self, times: WaitTimes) {
        let shortest = times.idle.min(times.head);
        let mut state = self.shared.lock();
        let old = state.waiting.iter();
        let old = old.take_while(|((since, _), _)| since.elapsed() > shortest);
        let expired: Vec<WaitKey> = old
            .filter(|((since, _), connection)| {
                let allowed = match connection.phase() {
                    Phase::Idle => times.idle,
                    Phase::Head => times.head,
                    // Ends with the request's deadline.
                    Phase::Body | Phase::Response => Duration::MAX,
                };
                since.elapsed() > allowed
            })
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            if let Some(connection) = state.waiting.remove(&key) {
                state.open -= 1;
                let reason = match connection.phase() {
                    Phase::Idle => "idle",
                    _ => "slow_head",
                };
                self.shared.record_closed(&mut state, reason);
                connection.evict();
            }
        }
        self.shared.metrics.open.set(state.open as i64);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, TableState> {
        lock(&self.state)
    }

    /// Counts a closed connection, and logs at most one line a second. Idle connections are closed in
    /// calm, too.
    fn record_closed(&self, state: &mut TableState, reason: &str) {
        let listener = self.metrics.listener;
        let closed = &self.metrics.closed;
        closed.with_label_values(&[listener, reason]).inc();
        if reason == "idle" {
            return;
        }
        state.unlogged += 1;
        let is_due = state
            .logged_at
            .is_none_or(|logged_at| logged_at.elapsed() >= LOG_INTERVAL);
        if is_due {
            log::warn!(
                "event=connections_closed listener={listener} reason={reason} connections={} open={} limit={}",
                state.unlogged,
                state.open,
                self.limit
            );
            state.logged_at = Some(Instant::now());
            state.unlogged = 0;
        }
    }
}

impl TableState {
    fn insert_waiting(&mut self, connection: &Arc<Connection>) {
        let since = connection.lock_wait().1;
        self.waiting
            .insert((since, connection.id), Arc::clone(connection));
    }

    fn remove_blocked(&mut self, connection: &Connection) {
        if let Some(since) = lock(&connection.blocked_since).take() {
            self.blocked.remove(&(since, connection.id));
        }
    }

    /// Removes a connection from those that wait. Returns false if it was not among them.
    fn remove_waiting(&mut self, connection: &Connection) -> bool {
        let since = connection.lock_wait().1;
        self.waiting.remove(&(since, connection.id)).is_some()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Connection {
    fn lock_wait(&self) -> MutexGuard<'_, (Phase, Instant)> {
        lock(&self.wait)
    }

    fn phase(&self) -> Phase {
        self.lock_wait().0
    }

    fn evict(&self) {
        self.evicted.notify_one();
    }
}

/// Place of one connection in its table, given up on drop.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    shared: Arc<Shared>,
    connection: Arc<Connection>,
}

impl ConnectionSlot {
    /// Returns a handle that records what the connection waits for.
    pub fn progress(&self) -> ConnectionProgress {
        ConnectionProgress {
            shared: Arc::clone(&self.shared),
            connection: Arc::clone(&self.connection),
        }
    }

    /// Completes when the connection has to be closed.
    pub async fn evicted(&self) {
        self.connection.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.remove_blocked(&self.connection);
        let is_serving = self.connection.phase() == Phase::Response;
        // An evicted connection is not counted any more.
        if state.remove_waiting(&self.connection) || is_serving {
            state.open -= 1;
        }
        self.shared.metrics.open.set(state.open as i64);
    }
}

/// Records what a connection waits for. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct ConnectionProgress {
    shared: Arc<Shared>,
    connection: Arc<Connection>,
}

impl ConnectionProgress {
    /// Returns whether the next bytes belong to the head of a request.
    pub fn is_reading_head(&self) -> bool {
        matches!(self.connection.phase(), Phase::Idle | Phase::Head)
    }

    /// Returns the permits to read large heads.
    pub fn large_heads(&self) -> Arc<Semaphore> {
        Arc::clone(&self.shared.large_heads)
    }

    /// Keeps a permit until [`ConnectionProgress::end_large_head`] or the end of the head.
    pub fn start_large_head(&self, permit: OwnedSemaphorePermit) {
        *self.lock_large_head() = Some(permit);
    }

    /// Returns the permit for a large head after a pause, if there is one.
    pub fn end_large_head(&self) {
        if let Some(permit) = self.lock_large_head().take() {
            tokio::spawn(async move {
                tokio::time::sleep(LARGE_HEAD_PAUSE).await;
                drop(permit);
            });
        }
    }

    fn lock_large_head(&self) -> MutexGuard<'_, Option<OwnedSemaphorePermit>> {
        lock(&self.connection.large_head)
    }

    /// Records that bytes of the client have arrived.
    pub fn on_bytes_read(&self) {
        self.connection.has_read.store(true, Ordering::Relaxed);
        if self.connection.phase() == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    /// Records that the head of a request is complete and its body is awaited.
    pub fn on_head(&self) {
        self.end_large_head();
        let has_large = &self.connection.has_large_response;
        has_large.store(false, Ordering::Relaxed);
        self.enter(Phase::Body);
    }

    /// Lets other connections proceed if the request arrived together with the one before, so that a
    /// client that sends many requests ahead gets no larger share of the processor.
    pub async fn take_turn(&self) {
        if !self.connection.has_read.swap(false, Ordering::Relaxed) {
            tokio::task::yield_now().await;
        }
    }

    /// Records that a request is complete, so that the connection is not closed before its response.
    pub fn on_request(&self) -> ResponseGuard {
        self.enter(Phase::Response);
        ResponseGuard {
            progress: self.clone(),
        }
    }

    /// Records that the response occupies memory until the client has read it.
    pub fn on_large_response(&self) {
        let has_large = &self.connection.has_large_response;
        has_large.store(true, Ordering::Relaxed);
    }

    /// Records that the client has not read what was sent, so that no more can be.
    pub fn on_blocked(&self) {
        if !self.connection.has_large_response.load(Ordering::Relaxed) {
            return;
        }
        let mut state = self.shared.lock();
        let mut since = lock(&self.connection.blocked_since);
        if since.is_none() {
            let now = Instant::now();
            *since = Some(now);
            let connection = Arc::clone(&self.connection);
            state.blocked.insert((now, connection.id), connection);
        }
    }

    /// Records that the client has read a part of what was sent.
    pub fn on_unblocked(&self) {
        self.shared.lock().remove_blocked(&self.connection);
    }

    /// Changes the phase, unless the connection is to be closed.
    fn enter(&self, phase: Phase) {
        let mut state = self.shared.lock();
        let was_waiting = state.remove_waiting(&self.connection);
        let mut wait = self.connection.lock_wait();
        if !was_waiting && wait.0 != Phase::Response {
            return;
        }
        *wait = (phase, Instant::now());
        drop(wait);
        if phase != Phase::Response {
            state.insert_waiting(&self.connection);
        }
    }
}

/// Marks a connection as waiting for a response until it is dropped.
#[derive(Debug)]
pub(super) struct ResponseGuard {
    progress: ConnectionProgress,
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.progress.enter(Phase::Idle);
    }
}
