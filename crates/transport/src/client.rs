//! The client, which sends requests to peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ladderstage_wire::messages::{Request, Response};

use crate::connection::{Attempt, Connection};
use crate::limits::{CLIENT_CONNECTION_SOFT_LIMIT, CLIENT_IDLE_TIMEOUT, MAX_CLIENT_CONNECTIONS};
use crate::{CallError, Traffic};

/// Maximum number of connections that a call tries, each of which closed before the request was
/// sent.
const MAX_CONNECTIONS_TRIED: usize = 3;

/// Client with at most one connection to each peer, opened on demand. Cheap to clone; clones share
/// the connections.
#[derive(Debug, Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    connections: Mutex<HashMap<SocketAddr, Entry>>,
    traffic: Arc<Traffic>,
    /// Number of connections above which idle ones are closed.
    soft_limit: usize,
}

impl Default for Client {
    fn default() -> Self {
        Self::with_connection_limit(CLIENT_CONNECTION_SOFT_LIMIT)
    }
}

#[derive(Debug)]
struct Entry {
    connection: Arc<Connection>,
    last_used: Instant,
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a client that closes idle connections, least recently used first, when more than
    /// `soft_limit` are open. Busy connections are never closed; at most
    /// `max(MAX_CLIENT_CONNECTIONS, soft_limit)` are open.
    pub fn with_connection_limit(soft_limit: usize) -> Self {
        let shared = Shared {
            connections: Mutex::default(),
            traffic: Arc::default(),
            soft_limit,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the counters of bytes and frames exchanged by this client and its clones.
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.shared.traffic)
    }

    /// Returns the number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        let mut connections = self.lock();
        connections.retain(|_, entry| !entry.connection.needs_replacement());
        connections.len()
    }

    /// Sends `request` to the peer at `address` and waits for its response. `timeout` includes the
    /// time to connect.
    ///
    /// Must be called within a tokio runtime. Dropping the future abandons the call; a request that
    /// was already sent may still be executed.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let mut request = Box::new(request);
        for _ in 0..MAX_CONNECTIONS_TRIED {
            let connection = self.connection_to(address)?;
            match connection.call(*request, timeout).await {
                Attempt::Ended(result) => return result,
                Attempt::Closed(unsent) => request = unsent,
            }
        }
        Err(CallError::NotSent(
            "connections closed before the request was written".to_owned(),
        ))
    }

    fn connection_to(&self, address: SocketAddr) -> Result<Arc<Connection>, CallError> {
        let now = Instant::now();
        let mut connections = self.lock();
        if let Some(entry) = connections.get_mut(&address)
            && entry.is_usable(now)
        {
            entry.last_used = now;
            return Ok(Arc::clone(&entry.connection));
        }
        connections.remove(&address);
        evict_idle(&mut connections, self.shared.soft_limit)?;
        let traffic = Arc::clone(&self.shared.traffic);
        let connection = Arc::new(Connection::open(address, traffic));
        let entry = Entry {
            connection: Arc::clone(&connection),
            last_used: now,
        };
        connections.insert(address, entry);
        Ok(connection)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Entry>> {
        // A poisoned lock is harmless: no code that holds it can panic during a change.
        self.shared
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn is_usable(&self, now: Instant) -> bool {
        let idle_for = now.saturating_duration_since(self.last_used);
        let idle_too_long = self.connection.is_idle() && idle_for > CLIENT_IDLE_TIMEOUT;
        !idle_too_long && !self.connection.needs_replacement()
    }

    /// Returns whether the connection has no call in flight and no caller about to make one.
    fn is_idle(&self) -> bool {
        Arc::strong_count(&self.connection) == 1 && self.connection.is_idle()
    }
}

/// Closes idle connections, least recently used first, until one more may be opened.
///
/// # Errors
///
/// Returns `NotSent` if all connections are busy and the limit is reached.
fn evict_idle(
    connections: &mut HashMap<SocketAddr, Entry>,
    soft_limit: usize,
) -> Result<(), CallError> {
    if connections.len() < soft_limit {
        return Ok(());
    }
    connections.retain(|_, entry| !entry.connection.needs_replacement());
    while connections.len() >= soft_limit {
        let Some(address) = least_recently_used(connections) else {
            break;
        };
        connections.remove(&address);
    }
    match connections.len() < MAX_CLIENT_CONNECTIONS.max(soft_limit) {
        true => Ok(()),
        false => Err(CallError::NotSent("too many busy connections".to_owned())),
    }
}

fn least_recently_used(connections: &HashMap<SocketAddr, Entry>) -> Option<SocketAddr> {
    connections
        .iter()
        .filter(|(_, entry)| entry.is_idle())
        .min_by_key(|(_, entry)| entry.last_used)
        .map(|(address, _)| *address)
}
