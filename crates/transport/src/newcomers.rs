//! Connections that have not sent a complete request yet.
//!
//! Peers send their first request as soon as they are connected. Whatever else connects to the port is
//! limited in number, memory and time, and makes room for new connections, so that it keeps no peer out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// Minimum time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the connections that have not sent a complete request yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewcomerLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum bytes received from all of them together. A single first request may exceed it.
    pub bytes: usize,
}

impl Default for NewcomerLimits {
    fn default() -> Self {
        Self {
            connections: 256,
            bytes: 32 * 1024 * 1024,
        }
    }
}

/// Connections of one server that have not sent a complete request yet. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Newcomers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limits: NewcomerLimits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    /// Connections by age.
    connections: BTreeMap<u64, Connection>,
    /// Bytes received from all of them.
    bytes: usize,
    logged_at: Option<Instant>,
    /// Connections closed since the last log line.
    unlogged: u64,
}

#[derive(Debug)]
struct Connection {
    bytes: usize,
    displaced: Arc<Notify>,
}

/// Place of one connection, given up on drop.
#[derive(Debug)]
pub(crate) struct Newcomer {
    shared: Arc<Shared>,
    id: u64,
    displaced: Arc<Notify>,
}

impl Newcomers {
    pub fn new(limits: NewcomerLimits) -> Self {
        let shared = Shared {
            limits,
            state: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Adds a connection. At the limit, the oldest one is closed.
    pub fn add(&self) -> Newcomer {
        let mut state = self.shared.lock();
        while state.connections.len() >= self.shared.limits.connections.max(1) {
            state.displace_oldest(&self.shared.limits);
        }
        let id = state.next_id;
        state.next_id += 1;
        let displaced = Arc::new(Notify::new());
        let connection = Connection {
            bytes: 0,
            displaced: Arc::clone(&displaced),
        };
        state.connections.insert(id, connection);
        Newcomer {
            shared: Arc::clone(&self.shared),
            id,
            displaced,
        }
    }
}

impl Newcomer {
    /// Records bytes that are to be received. Older connections are closed if all have too many.
    pub fn receive(&self, count: usize) {
        let mut state = self.shared.lock();
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return;
        };
        connection.bytes += count;
        state.bytes += count;
        while state.bytes > self.shared.limits.bytes && state.connections.len() > 1 {
            state.displace_oldest(&self.shared.limits);
        }
    }

    /// Completes when the connection has to be closed.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        self.shared.lock().remove(self.id);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn remove(&mut self, id: u64) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.bytes -= connection.bytes;
        Some(connection)
    }

    /// Closes the oldest connection, and logs at most one line a second.
    fn displace_oldest(&mut self, limits: &NewcomerLimits) {
        let oldest = self.connections.keys().next().copied();
        let Some(oldest) = oldest.and_then(|id| self.remove(id)) else {
            return;
        };
        oldest.displaced.notify_one();
        self.unlogged += 1;
        let is_due = self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if is_due {
            log::warn!(
                "event=peer_connections_closed reason=no_request connections={} max_connections={} max_bytes={}",
                self.unlogged,
                limits.connections,
                limits.bytes
            );
            self.logged_at = Some(Instant::now());
            self.unlogged = 0;
        }
    }
}
