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

const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is closed if the instance sent no shorter one.
const DEFAULT_REST: Duration = Duration::from_secs(4);

/// Reason why no connection could be made; nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The connection was refused or timed out.
    #[error("connect: {0}")]
    Failed(String),
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Resting {
    sender: Sender,
    until: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    resting: Mutex<Vec<Resting>>,
    open: AtomicU32,
    /// Shortest connect time in microseconds; 0 before the first connection.
    round_trip_us: AtomicU32,
}

impl Shared {
    fn note_round_trip(&self, taken: Duration) {
        let taken = u32::try_from(taken.as_micros()).unwrap_or(u32::MAX).max(1);
        let shorter = |known| (known == 0 || taken < known).then_some(taken);
        // Fails if the stored time is already as short.
        let _ = self
            .round_trip_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, shorter);
    }
}

/// Pool of connections to one address.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// A connection in use. [`Lease::give_back`] returns it to the pool after a complete response;
/// dropping it closes the connection.
#[derive(Debug)]
pub struct Lease {
    /// Sends the request.
    pub sender: Sender,
    /// Whether the connection carried requests before.
    pub is_reused: bool,
    shared: Arc<Shared>,
}

impl Connections {
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
    pub async fn acquire(&self) -> Result<Lease, ConnectError> {
        if let Some(sender) = self.take_resting() {
            return Ok(self.lease(sender, true));
        }
        let connecting = tokio::time::timeout(CONNECT_LIMIT, self.connect());
        let sender = connecting
            .await
            .map_err(|_| ConnectError::Failed("connect timed out".to_owned()))??;
        Ok(self.lease(sender, false))
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

    fn lease(&self, sender: Sender, is_reused: bool) -> Lease {
        Lease {
            sender,
            is_reused,
            shared: Arc::clone(&self.shared),
        }
    }

    fn take_resting(&self) -> Option<Sender> {
        let mut resting = lock(&self.shared);
        let now = Instant::now();
        resting.retain(|connection| connection.until > now && !connection.sender.is_closed());
        let index = resting
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(resting.remove(index).sender)
    }

    async fn connect(&self) -> Result<Sender, ConnectError> {
        let failed = |error: &dyn std::fmt::Display| ConnectError::Failed(error.to_string());
        let begun = Instant::now();
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| failed(&e))?;
        self.shared.note_round_trip(begun.elapsed());
        socket::set_up(&stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(&e))?;
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

impl Lease {
    /// Returns the connection to the pool for `rest` or the default idle time.
    pub fn give_back(self, rest: Option<Duration>) {
        if self.sender.is_closed() {
            return;
        }
        let until = Instant::now() + rest.unwrap_or(DEFAULT_REST);
        lock(&self.shared).push(Resting {
            sender: self.sender,
            until,
        });
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, Vec<Resting>> {
    shared
        .resting
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
