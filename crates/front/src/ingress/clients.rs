//! Serves the connections of clients until they end, and closes those that wait too long for their
//! clients or occupy memory that others need.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::Ingress;
use super::accept::{Accepted, accept, http_server};
use super::connections::{ConnectionProgress, ConnectionTable, ResponseGuard, WaitTimes};

/// Minimum time between two connections that are closed for lack of memory.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts connections until idle ones are to be closed, as later requests could not be served
/// before the process exits.
pub async fn serve(listener: TcpListener, ingress: Arc<Ingress>, max_connections: usize) {
    let table = ConnectionTable::new(max_connections, ingress.metrics.connections("clients"));
    let mut closing = ingress.state.closing.subscribe();
    let accepting = async {
        loop {
            let accepted = accept(&listener, &table).await;
            tokio::spawn(connection(accepted, Arc::clone(&ingress)));
        }
    };
    tokio::select! {
        () = accepting => {}
        () = ingress.limit_connections(&table) => {}
        _ = closing.wait_for(|closing| *closing) => log::info!("event=listener_closed"),
    }
    drop(listener);
    // Connections that are open still wait for their clients.
    ingress.limit_connections(&table).await;
}

async fn connection(accepted: Accepted, ingress: Arc<Ingress>) {
    let Accepted { stream, slot, peer } = accepted;
    let limits = ingress
        .config
        .current()
        .map(|config| config.limits)
        .unwrap_or_default();
    let handler = Arc::clone(&ingress);
    let progress = slot.progress();
    let service = service_fn(move |request| {
        let ingress = Arc::clone(&handler);
        let progress = RequestProgress::start(&progress);
        // On the heap, as an idle connection would reserve its space otherwise.
        Box::pin(async move {
            progress.connection.take_turn().await;
            Ok::<_, Infallible>(ingress.answer(request, progress).await)
        })
    });
    let server = http_server(limits.max_header_bytes);
    let connection = server.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut closing = ingress.state.closing.subscribe();
    let closed = async {
        let _ = closing.wait_for(|closing| *closing).await;
    };
    tokio::pin!(closed);
    let result = tokio::select! {
        biased;
        () = slot.evicted() => return,
        result = connection.as_mut() => result,
        () = closed => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = slot.evicted() => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("event=client_connection_ended peer={peer} cause=\"{error}\"");
    }
}

/// Progress of one request, by which its connection counts as waiting for the client or not.
pub(super) struct RequestProgress {
    pub connection: ConnectionProgress,
    pub response: Option<ResponseGuard>,
}

impl RequestProgress {
    /// Starts with the head of a request.
    fn start(connection: &ConnectionProgress) -> Self {
        connection.on_head();
        Self {
            connection: connection.clone(),
            response: None,
        }
    }

    /// Records that nothing more is awaited from the client.
    pub fn complete(&mut self) {
        if self.response.is_none() {
            self.response = Some(self.connection.on_request());
        }
    }
}

impl Ingress {
    /// Closes connections that have waited too long for their clients, and those that occupy memory that
    /// others need, until the future is dropped.
    async fn limit_connections(&self, table: &ConnectionTable) {
        let closing_blocked = async {
            loop {
                self.memory.exhausted().await;
                table.close_blocked();
                // Lets the connection give back its memory.
                tokio::time::sleep(MEMORY_CHECK_INTERVAL).await;
            }
        };
        tokio::join!(table.sweep(|| self.wait_times()), closing_blocked);
    }

    /// Returns the times for which connections may wait for their clients.
    fn wait_times(&self) -> WaitTimes {
        let config = self.config.current();
        let limits = config.map(|config| config.limits).unwrap_or_default();
        WaitTimes {
            idle: limits.idle_timeout.max(limits.header_timeout),
            head: limits.header_timeout,
        }
    }
}
