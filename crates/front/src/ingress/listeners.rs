//! Listeners for readiness checks and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ladderstage_clock::Instant;
use tokio::net::TcpListener;
use tokio::sync::Mutex;

use super::accept::{Accepted, accept, http_server};
use super::answers::complete;
use super::body::discard;
use super::connections::{ConnectionTable, WaitTimes};
use crate::metrics::Metrics;
use crate::resources::{CHECK_HEAD_TIMEOUT, CHECK_IDLE_TIMEOUT, MAX_CHECK_CONNECTIONS};

/// Minimum time between two renderings of the metrics.
const RENDER_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Serves the readiness check: 200 while `is_ready`, else 503.
pub async fn serve_readiness(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    is_ready: impl Fn() -> bool + Send + Sync + 'static,
) {
    let table = check_table("readiness", &metrics);
    serve_text(listener, table, move || {
        let status = match is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready((status, Bytes::new()))
    })
    .await;
}

/// Serves all metrics as text.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>) {
    let table = check_table("metrics", &metrics);
    let rendered = Arc::new(RenderedMetrics::default());
    serve_text(listener, table, move || {
        let (metrics, rendered) = (Arc::clone(&metrics), Arc::clone(&rendered));
        async move { (StatusCode::OK, rendered.get(&metrics).await) }
    })
    .await;
}

/// Text of the metrics, rendered at most once per [`RENDER_INTERVAL`].
#[derive(Default)]
struct RenderedMetrics {
    latest: Mutex<Option<(Instant, Bytes)>>,
}

impl RenderedMetrics {
    /// Returns a text that is no older than this call, which may have to wait for its rendering.
    async fn get(&self, metrics: &Metrics) -> Bytes {
        let called = Instant::now();
        let mut latest = self.latest.lock().await;
        if let Some((at, text)) = &*latest {
            if *at >= called {
                return text.clone();
            }
            tokio::time::sleep(RENDER_INTERVAL.saturating_sub(at.elapsed())).await;
        }
        let at = Instant::now();
        let text = Bytes::from(metrics.render());
        *latest = Some((at, text.clone()));
        text
    }
}

fn check_table(listener: &'static str, metrics: &Metrics) -> ConnectionTable {
    ConnectionTable::new(MAX_CHECK_CONNECTIONS, metrics.connections(listener))
}

/// Responds to every request with the status and text that `answer` returns.
async fn serve_text<F>(
    listener: TcpListener,
    table: ConnectionTable,
    answer: impl Fn() -> F + Send + Sync + 'static,
) where
    F: Future<Output = (StatusCode, Bytes)> + Send + 'static,
{
    let answer = Arc::new(answer);
    let times = WaitTimes {
        idle: CHECK_IDLE_TIMEOUT,
        head: CHECK_HEAD_TIMEOUT,
    };
    let accepting = async {
        loop {
            let accepted = accept(&listener, &table).await;
            tokio::spawn(serve_connection(accepted, Arc::clone(&answer)));
        }
    };
    tokio::select! {
        () = accepting => {}
        () = table.sweep(|| times) => {}
    }
}

async fn serve_connection<F>(
    accepted: Accepted,
    answer: Arc<impl Fn() -> F + Send + Sync + 'static>,
) where
    F: Future<Output = (StatusCode, Bytes)> + Send + 'static,
{
    let Accepted { stream, slot, peer } = accepted;
    let progress = slot.progress();
    let service = service_fn(move |request: Request<Incoming>| {
        let (progress, answer) = (progress.clone(), Arc::clone(&answer));
        async move {
            progress.on_head();
            progress.take_turn().await;
            discard(request.into_body());
            let (status, text) = answer().await;
            // The response is complete, so the connection waits for its client to read it.
            drop(progress.on_request());
            Ok::<_, Infallible>(complete(status, text))
        }
    });
    let connection = http_server(MAX_HEAD_BYTES).serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = slot.evicted() => {}
        result = connection => if let Err(error) = result {
            log::debug!("event=check_connection_ended peer={peer} cause=\"{error}\"");
        },
    }
}
