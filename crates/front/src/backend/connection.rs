//! Connection pool of one instance, with one request at a time per connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ladderstage_clock::Instant;
use tokio::net::TcpStream;

use crate::socket;

/// Maximum size of a connection's buffers, in bytes. Also the maximum size of a response's head.
const MAX_BUFFER_BYTES: usize = 24 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is closed if the instance sent no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Reason why no connection could be made; nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The connection or its HTTP handshake failed or timed out.
    #[error("connect: {0}")]
    Failed(String),
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    idle: Mutex<Vec<IdleConnection>>,
    open: AtomicU32,
    /// Shortest connect time in microseconds; 0 before the first connection.
    round_trip_us: AtomicU32,
}

impl Shared {
    fn record_round_trip(&self, elapsed_time: Duration) {
        let elapsed_time = u32::try_from(elapsed_time.as_micros())
            .unwrap_or(u32::MAX)
            .max(1);
        let shorter = |known| (known == 0 || elapsed_time < known).then_some(elapsed_time);
        // Fails if the stored time is already as short.
        let _ = self
            .round_trip_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, shorter);
    }
}

/// Pool of connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// A connection in use. [`PooledConnection::return_to_pool`] returns it to the pool after a
/// complete response; dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    /// Sends the request.
    pub sender: Sender,
    /// Whether the connection carried requests before.
    pub is_reused: bool,
    shared: Arc<Shared>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            shared: Arc::default(),
        }
    }

    /// Returns an idle connection or opens a new one.
    ///
    /// # Errors
    /// Fails if no connection can be made in time.
    pub async fn acquire(&self) -> Result<PooledConnection, ConnectError> {
        if let Some(sender) = self.pop_idle() {
            return Ok(self.new_pooled_connection(sender, true));
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect());
        let sender = connecting
            .await
            .map_err(|_| ConnectError::Failed("timed out".to_owned()))??;
        Ok(self.new_pooled_connection(sender, false))
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        lock(&self.shared).clear();
    }

    /// Returns the shortest connect time in milliseconds; `None` before the first connection.
    pub fn round_trip_ms(&self) -> Option<f64> {
        let micros = self.shared.round_trip_us.load(Ordering::Relaxed);
        (micros > 0).then(|| f64::from(micros) / 1e3)
    }

    fn new_pooled_connection(&self, sender: Sender, is_reused: bool) -> PooledConnection {
        PooledConnection {
            sender,
            is_reused,
            shared: Arc::clone(&self.shared),
        }
    }

    fn pop_idle(&self) -> Option<Sender> {
        let mut idle = lock(&self.shared);
        let now = Instant::now();
        idle.retain(|connection| connection.expires_at > now && !connection.sender.is_closed());
        let index = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(index).sender)
    }

    async fn connect(&self) -> Result<Sender, ConnectError> {
        let failed = |error: &dyn std::fmt::Display| ConnectError::Failed(error.to_string());
        let started = Instant::now();
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| failed(&e))?;
        self.shared.record_round_trip(started.elapsed());
        socket::configure(&stream);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|e| failed(&e))?;
        self.shared.open.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=instance_connection_ended cause=\"{error}\"");
            }
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
        Ok(sender)
    }
}

impl PooledConnection {
    /// Returns the connection to the pool for `idle_timeout` or the default one.
    pub fn return_to_pool(self, idle_timeout: Option<Duration>) {
        if self.sender.is_closed() {
            return;
        }
        let expires_at = Instant::now() + idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        lock(&self.shared).push(IdleConnection {
            sender: self.sender,
            expires_at,
        });
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, Vec<IdleConnection>> {
    shared
        .idle
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
