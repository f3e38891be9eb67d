//! Connections to one instance: one request at a time on each, kept while the instance keeps them.

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

/// Longest attempt to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// How long a connection rests before it is closed, unless the instance told less.
const DEFAULT_REST: Duration = Duration::from_secs(4);

/// Why there is no connection; nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The instance did not accept in time, or refused.
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
    /// Shortest time in which a connection was made, in microseconds; 0: none was made yet.
    round_trip_us: AtomicU32,
}

impl Shared {
    fn note_round_trip(&self, taken: Duration) {
        let taken = u32::try_from(taken.as_micros()).unwrap_or(u32::MAX).max(1);
        let shorter = |known| (known == 0 || taken < known).then_some(taken);
        // It fails if the known one is as short.
        let _ = self
            .round_trip_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, shorter);
    }
}

/// Connections to one address.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// A connection in use. Give it back with [`Lease::return_to_pool`] once a whole answer was read; dropped, it is closed.
#[derive(Debug)]
pub struct Lease {
    /// Sends the one request.
    pub sender: Sender,
    /// Whether requests were sent on it before.
    pub is_reused: bool,
    shared: Arc<Shared>,
}

impl Connections {
    /// No connections yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            shared: Arc::default(),
        }
    }

    /// A connection that no request is on: a resting one, or a new one.
    ///
    /// # Errors
    /// If no connection can be made in time.
    pub async fn acquire(&self) -> Result<Lease, ConnectError> {
        if let Some(sender) = self.take_resting() {
            return Ok(self.lease(sender, true));
        }
        let connecting = tokio::time::timeout(CONNECT_LIMIT, self.connect());
        let sender = connecting
            .await
            .map_err(|_| ConnectError::Failed("timed out".to_owned()))??;
        Ok(self.lease(sender, false))
    }

    /// Closes connections that no request is on.
    pub fn close_idle(&self) {
        lock(&self.shared).clear();
    }

    /// Round trip in milliseconds: the shortest time in which a connection was made. `None` before the first one.
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
    /// Keeps the connection for another request, for `rest` or the default.
    pub fn return_to_pool(self, rest: Option<Duration>) {
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
