//! Clients' connections: reads requests, hands each to its part, writes answers, and drains.
//!
//! Built on `hyper`: dropping a handler when its client leaves, aborting an answer whose source fails, and control of each
//! connection's close are needed here, and Rocket offers none of them.

mod answers;
mod listeners;

pub use listeners::{serve_metrics, serve_readiness};

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use self::answers::{AnswerBody, counted, empty, json, not_run, to_response, whole};
use crate::config::{ConfigInForce, Route, RouteKind};
use crate::dialect::{JobCall, SharedCodec};
use crate::job::{AcceptError, JobRegistry, ReadError};
use crate::live::{LiveRequest, LiveService};
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::socket;

/// Pause after a failed accept, such as when no descriptor is free.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Longest that a read of results is held.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// A configuration counts as the newest while the store answered within this time.
const CONTACT_TRUST: Duration = Duration::from_millis(2_500);

/// What ingress works with.
pub struct Ingress {
    /// Routes and limits.
    pub config: ConfigInForce,
    /// Live requests.
    pub live: LiveService,
    /// Batch jobs.
    pub jobs: JobRegistry,
    /// Names.
    pub codec: SharedCodec,
    /// Contact with the store.
    pub nodes: Nodes,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Draining and load.
    pub state: Arc<IngressState>,
}

/// What a stop needs to know of the connections.
#[derive(Debug)]
pub struct IngressState {
    is_draining: AtomicBool,
    requests: AtomicU64,
    closing: watch::Sender<bool>,
}

impl Default for IngressState {
    fn default() -> Self {
        Self {
            is_draining: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            closing: watch::Sender::new(false),
        }
    }
}

impl IngressState {
    /// Says from now on with each answer that its connection ends.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether a stop has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Closes each connection once no request is on it.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Requests that are being answered.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Counts a request until its answer was written or given up.
pub(super) struct RequestGuard(Arc<IngressState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until idle ones are to be closed: a request that came later could not be answered before the end.
pub async fn serve(listener: TcpListener, ingress: Arc<Ingress>) {
    let mut closing = ingress.state.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => {
                log::info!("event=listener_closed");
                return;
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                tokio::spawn(connection(stream, peer, Arc::clone(&ingress)));
            }
            Err(error) => {
                log::warn!("event=accept_failed cause=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, peer: SocketAddr, ingress: Arc<Ingress>) {
    socket::set_up(&stream);
    let limits = ingress
        .config
        .current()
        .map(|config| config.limits)
        .unwrap_or_default();
    let handler = Arc::clone(&ingress);
    let service = service_fn(move |request| {
        let ingress = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(ingress.answer(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(8 * 1024) + 8 * 1024);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut closing = ingress.state.closing.subscribe();
    let closed = async {
        let _ = closing.wait_for(|closing| *closing).await;
    };
    tokio::pin!(closed);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closed => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=client_connection_ended peer={peer} cause=\"{error}\"");
    }
}

impl Ingress {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        self.state.requests.fetch_add(1, Ordering::Relaxed);
        let guard = RequestGuard(Arc::clone(&self.state));
        let received = Instant::now();
        let attempt_id = request
            .headers()
            .get(&self.codec.headers().attempt_id)
            .cloned();
        let (route, mut response) = self.respond(request, received).await;
        if let Some(id) = attempt_id {
            let name = self.codec.headers().attempt_id.clone();
            response.headers_mut().entry(name).or_insert(id);
        }
        if self.state.is_draining() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.log(&route, &response, received);
        response.map(|body| counted(body, guard))
    }

    fn log(&self, route: &str, response: &Response<AnswerBody>, received: Instant) {
        let id = response.headers().get(&self.codec.headers().attempt_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let version = self.config.current().map_or(0, |config| config.version);
        let status = response.status().as_u16();
        // Failures are warnings, which are not left out when many lines are written.
        let level = if status < 400 {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        log::log!(
            level,
            "event=request_answered request={id} route={route} config={version} status={status} elapsed_ms={}",
            received.elapsed().as_millis()
        );
        let status = status.to_string();
        self.metrics
            .requests
            .with_label_values(&[route, &status])
            .inc();
        self.metrics
            .request_seconds
            .observe(received.elapsed().as_secs_f64());
    }

    /// The name of the route and the answer.
    async fn respond(
        &self,
        request: Request<Incoming>,
        received: Instant,
    ) -> (String, Response<AnswerBody>) {
        let nowhere = |response| ("-".to_owned(), response);
        let Some(config) = self.config.current() else {
            return nowhere(not_run());
        };
        let path = request.uri().path().to_owned();
        let Some(host) = host(&request) else {
            return nowhere(empty(StatusCode::BAD_REQUEST));
        };
        let route = config.route(&host, &path);
        let call = self
            .codec
            .job_call(request.method(), &path, request.uri().query());
        if let (None, Some(call)) = (route, call) {
            let wait = self.wait(request.headers());
            return ("jobs".to_owned(), self.job_call(call, wait).await);
        }
        let Some(route) = route else {
            return nowhere(self.no_route());
        };
        let response = self.route_request(route, &host, request, received).await;
        (route.name.clone(), response)
    }

    async fn route_request(
        &self,
        route: &Route,
        host: &str,
        request: Request<Incoming>,
        received: Instant,
    ) -> Response<AnswerBody> {
        let limit = self
            .config
            .current()
            .unwrap_or_default()
            .limits
            .max_body_bytes;
        let (parts, body) = request.into_parts();
        let names = self.codec.headers();
        let Some(attempt_id) = parts.headers.get(&names.attempt_id).cloned() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let body = match Limited::new(body, limit).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                return empty(StatusCode::PAYLOAD_TOO_LARGE);
            }
            Err(_) => return empty(StatusCode::BAD_REQUEST),
        };
        if route.kind == RouteKind::Batch && parts.method == Method::POST {
            return self
                .hand_in(&attempt_id, host, parts.uri.path(), &body)
                .await;
        }
        let deadline = read_number(&parts.headers, &names.deadline_ms)
            .map(|left| received + Duration::from_millis(left));
        let request = LiveRequest {
            attempt_id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            received,
            deadline,
        };
        let answer = self.live.serve(route, &request).await;
        to_response(answer)
    }

    async fn hand_in(
        &self,
        attempt_id: &HeaderValue,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Response<AnswerBody> {
        let id = attempt_id.to_str().unwrap_or_default();
        let spec = match self.codec.read_job(id, host, path, body) {
            Ok(spec) => spec,
            Err(cause) => {
                log::warn!("event=job_unreadable job={id} cause=\"{cause}\"");
                return empty(StatusCode::BAD_REQUEST);
            }
        };
        match self.jobs.accept(spec).await {
            Ok(()) => empty(StatusCode::ACCEPTED),
            Err(AcceptError::NotKept(cause)) => {
                log::warn!("event=job_refused job={id} cause=\"{cause}\"");
                not_run()
            }
            Err(AcceptError::InDoubt(cause)) => {
                log::warn!("event=job_in_doubt job={id} cause=\"{cause}\"");
                empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    async fn job_call(&self, call: JobCall, wait: Duration) -> Response<AnswerBody> {
        let (job, result) = match &call {
            JobCall::Read { job, after } => {
                let read = self.jobs.read(job, *after, wait).await;
                let answer = read.map(|results| {
                    log::info!(
                        "event=job_read job={job} after={after} results={} of={}",
                        results.results.len(),
                        results.total
                    );
                    json(self.codec.write_results(&results, *after))
                });
                (job, answer)
            }
            JobCall::Body { job, item } => {
                let body = self.jobs.body(job, item).await;
                (
                    job,
                    body.map(|body| whole(StatusCode::OK, Bytes::from(body))),
                )
            }
            JobCall::End { job } => (
                job,
                self.jobs.end(job).await.map(|()| empty(StatusCode::OK)),
            ),
        };
        result.unwrap_or_else(|error| {
            log::info!("event=job_call_failed job={job} cause=\"{error}\"");
            match error {
                ReadError::NotFound => empty(StatusCode::NOT_FOUND),
                ReadError::Unavailable(_) => not_run(),
            }
        })
    }

    /// 404 is said only while the configuration in force is known to be the newest.
    fn no_route(&self) -> Response<AnswerBody> {
        let contact = self.nodes.last_contact();
        if contact.is_some_and(|at| at.elapsed() < CONTACT_TRUST) {
            empty(StatusCode::NOT_FOUND)
        } else {
            not_run()
        }
    }

    fn wait(&self, headers: &HeaderMap) -> Duration {
        let asked = read_number(headers, &self.codec.headers().wait_ms).unwrap_or(0);
        Duration::from_millis(asked).min(LONGEST_WAIT)
    }
}

/// Host of a request, without its port.
fn host(request: &Request<Incoming>) -> Option<String> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_owned())
}

fn read_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
