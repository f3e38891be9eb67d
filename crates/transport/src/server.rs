//! The server, which accepts connections and handles requests of peers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_wire::messages::{Request, Response};
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

use crate::Traffic;
use crate::limits::MAX_SERVER_CONNECTIONS;
use crate::newcomers::{NewcomerLimits, Newcomers};
use crate::session::Session;

/// Pause after a failed accept, for example if the process is out of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Executes the requests that a [`Server`] receives. It refuses a request with a `Response` of kind `Refused`.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. Requests of one connection are handled concurrently.
    ///
    /// The handler runs to completion even if the connection closes. If it panics, the response is
    /// `INTERNAL`, which the client reports as [`CallError::Unknown`](crate::CallError::Unknown).
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send + '_>>;

    /// As [`Handler::handle`], with what the response occupies until it is written or dropped.
    fn handle_held(
        &self,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = HeldResponse> + Send + '_>> {
        Box::pin(async move { self.handle(request).await.into() })
    }
}

/// Response with what it occupies, such as a share of a memory budget, until it is written or dropped.
#[derive(Debug)]
pub struct HeldResponse {
    /// The response.
    pub response: Response,
    hold: ResponseHold,
}

impl HeldResponse {
    /// Attaches `resource` to a response.
    pub fn new(response: Response, resource: impl Send + Sync + 'static) -> Self {
        Self {
            response,
            hold: ResponseHold(Some(Box::new(resource))),
        }
    }

    pub(crate) fn into_parts(self) -> (Response, ResponseHold) {
        (self.response, self.hold)
    }
}

impl From<Response> for HeldResponse {
    fn from(response: Response) -> Self {
        Self {
            response,
            hold: ResponseHold::default(),
        }
    }
}

/// What a response occupies; given back on drop.
#[derive(Default)]
pub(crate) struct ResponseHold(Option<Box<dyn Send + Sync>>);

impl std::fmt::Debug for ResponseHold {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ResponseHold({})", self.0.is_some())
    }
}

/// Server that accepts calls from peers. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    traffic: Arc<Traffic>,
    task: AbortHandle,
}

impl Server {
    /// As [`Server::start_with`], with the default limits.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        Self::start_with(address, handler, NewcomerLimits::default()).await
    }

    /// Starts to listen on `address`, where port 0 selects any free port, and passes requests to
    /// `handler`. `limits` bound the connections that have not sent a complete request yet.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start_with(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: NewcomerLimits,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let traffic = Arc::new(Traffic::default());
        let newcomers = Newcomers::new(limits);
        let accepting = accept(listener, handler, Arc::clone(&traffic), newcomers);
        let task = tokio::spawn(accepting).abort_handle();
        Ok(Self {
            address,
            traffic,
            task,
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters of bytes and frames exchanged with callers.
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until the task is aborted, which also aborts the connections' tasks.
async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    traffic: Arc<Traffic>,
    newcomers: Newcomers,
) {
    let mut sessions = JoinSet::new();
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=peer_accept_failed reason={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        while sessions.try_join_next().is_some() {}
        if sessions.len() >= MAX_SERVER_CONNECTIONS {
            log::warn!("event=peer_connection_refused peer={peer} limit={MAX_SERVER_CONNECTIONS}");
            continue;
        }
        let session = Session::new(peer, Arc::clone(&handler), Arc::clone(&traffic));
        sessions.spawn(session.run(stream, newcomers.add()));
    }
}
