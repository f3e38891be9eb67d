//! Listeners for readiness checks and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::ACCEPT_RETRY;
use super::answers::complete;
use crate::metrics::Metrics;

/// Serves the readiness check: 200 while `is_ready`, else 503.
pub async fn serve_readiness(
    listener: TcpListener,
    is_ready: impl Fn() -> bool + Send + Sync + 'static,
) {
    let is_ready = Arc::new(is_ready);
    serve_text(listener, move |_| {
        if is_ready() {
            (StatusCode::OK, String::new())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::new())
        }
    })
    .await;
}

/// Serves all metrics as text.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>) {
    serve_text(listener, move |_| (StatusCode::OK, metrics.render())).await;
}

/// Responds to every request with the status and text that `answer` returns for its path.
async fn serve_text(
    listener: TcpListener,
    answer: impl Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = answer(request.uri().path());
                async move { Ok::<_, Infallible>(complete(status, Bytes::from(text))) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}
