//! Client connections: reads requests, dispatches them, writes responses and drains.
//!
//! Built on `hyper`, as Rocket neither drops a handler when its client disconnects nor aborts a
//! response whose source fails, and gives no control over closing connections.

mod answers;
mod caller;
mod listeners;
mod state;

pub use listeners::{serve_metrics, serve_readiness};
pub use state::IngressState;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ladderstage_clock::Instant;
use ladderstage_wire::messages::JobSpec;
use tokio::net::{TcpListener, TcpStream};

use self::answers::{
    AnswerBody, complete, count_until_read, empty, json, not_run, to_response, unauthorized,
};
use self::caller::identify_caller;
use self::state::RequestGuard;
use crate::config::{CurrentConfig, Route, RouteKind, ServingConfig};
use crate::dialect::{JobCall, SharedCodec};
use crate::job::{AcceptError, JobError, JobRegistry, job_key};
use crate::live::{LiveRequest, LiveService};
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::socket;
use crate::tenant::{Caller, KeyRefusal};

/// Pause after a failed accept, for example without a free file descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Maximum time that a read of results waits for new ones.
const MAX_READ_WAIT: Duration = Duration::from_secs(1);

/// Maximum time for reading the body of a refused request. On a link of 60 Mbit/s, each megabyte
/// takes a tenth of it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Maximum time for which a request without a route or key waits until the store has confirmed that
/// the configuration is the newest.
const CONFIG_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// State shared by all client connections.
pub struct Ingress {
    /// Routes and limits.
    pub config: CurrentConfig,
    /// Live requests.
    pub live: LiveService,
    /// Batch jobs.
    pub jobs: JobRegistry,
    /// Header names and encodings.
    pub codec: SharedCodec,
    /// Contact with the store.
    pub nodes: Nodes,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Drain state and number of requests.
    pub state: Arc<IngressState>,
}

/// Response to a request, and what the log says about it.
struct Outcome {
    /// Name of the route, `jobs` for job calls, or `-`.
    route: String,
    /// Name of the tenant.
    tenant: Option<Arc<str>>,
    /// Version of the configuration that was used; 0 if there was none.
    version: u64,
    response: Response<AnswerBody>,
}

/// Accepts connections until idle ones are to be closed, as later requests could not be served
/// before the process exits.
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
    socket::configure(&stream);
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
        let mut outcome = self.respond(request, received).await;
        let response = &mut outcome.response;
        if let Some(id) = attempt_id {
            let name = self.codec.headers().attempt_id.clone();
            response.headers_mut().entry(name).or_insert(id);
        }
        if self.state.is_draining() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.log(&outcome, received);
        outcome.response.map(|body| count_until_read(body, guard))
    }

    fn log(&self, outcome: &Outcome, received: Instant) {
        let Outcome {
            route,
            tenant,
            version,
            response,
        } = outcome;
        let tenant = tenant.as_deref().unwrap_or("-");
        let id = response.headers().get(&self.codec.headers().attempt_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let status = response.status().as_u16();
        // Failures are warnings, as info lines may be dropped under load.
        let level = if status < 400 {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        log::log!(
            level,
            "event=request_answered request={id} route={route} tenant={tenant} config={version} status={status} elapsed_ms={}",
            received.elapsed().as_millis()
        );
        let status = status.to_string();
        self.metrics
            .requests
            .with_label_values(&[route.as_str(), &status])
            .inc();
        self.metrics
            .request_seconds
            .observe(received.elapsed().as_secs_f64());
    }

    async fn respond(&self, request: Request<Incoming>, received: Instant) -> Outcome {
        let mut outcome = Outcome {
            route: "-".to_owned(),
            tenant: None,
            version: 0,
            response: not_run(),
        };
        let Some(config) = self.config.current() else {
            return outcome;
        };
        let path = request.uri().path().to_owned();
        let Some(host) = host(&request) else {
            outcome.version = config.version;
            outcome.response = empty(StatusCode::BAD_REQUEST);
            return outcome;
        };
        let call = self
            .codec
            .job_call(request.method(), &path, request.uri().query());
        let is_known = |config: &ServingConfig| {
            let route = config.route(&host, &path);
            let is_found = route.is_some() || call.is_some();
            is_found && identify_caller(config, route, request.headers()).is_ok()
        };
        let config = self.confirm_unless(is_known, config).await;
        outcome.version = config.version;
        let route = config.route(&host, &path);
        outcome.route = match (route, &call) {
            (Some(route), _) => route.name.clone(),
            (None, Some(_)) => "jobs".to_owned(),
            (None, None) => {
                outcome.response = self.no_route();
                discard(request.into_body(), config.limits.max_body_bytes).await;
                return outcome;
            }
        };
        let caller = match identify_caller(&config, route, request.headers()) {
            Ok(caller) => caller,
            Err(refusal) => {
                outcome.response = self.reject_key(&config, &request, refusal);
                discard(request.into_body(), config.limits.max_body_bytes).await;
                return outcome;
            }
        };
        outcome.tenant = caller.tenant().map(|tenant| Arc::clone(&tenant.name));
        outcome.response = match (route, call) {
            (Some(route), _) => {
                let serving = self.serve_route(route, caller, &host, request, received);
                serving.await
            }
            (None, Some(call)) => {
                let read_wait = self.read_wait(request.headers());
                self.job_call(call, &caller, read_wait).await
            }
            (None, None) => self.no_route(),
        };
        outcome
    }

    /// Responds with 401 only while the configuration in force is known to be the newest, as a
    /// newer one may contain the key.
    fn reject_key(
        &self,
        config: &ServingConfig,
        request: &Request<Incoming>,
        refusal: KeyRefusal,
    ) -> Response<AnswerBody> {
        let id = request.headers().get(&self.codec.headers().attempt_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let is_newest = self.has_newest_config();
        let age = self
            .nodes
            .last_store_contact()
            .map(|at| at.elapsed().as_millis());
        log::warn!(
            "event=key_rejected request={id} config={} reason={refusal} config_is_newest={is_newest} contact_ms={age:?}",
            config.version
        );
        let refused = &self.metrics.refused_keys;
        refused.with_label_values(&[refusal.label()]).inc();
        if is_newest { unauthorized() } else { not_run() }
    }

    async fn serve_route(
        &self,
        route: &Route,
        caller: Caller,
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
                .submit_job(&attempt_id, &caller, host, parts.uri.path(), &body)
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
            caller,
            received,
            deadline,
        };
        let answer = self.live.serve(route, &request).await;
        to_response(answer)
    }

    async fn submit_job(
        &self,
        attempt_id: &HeaderValue,
        caller: &Caller,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Response<AnswerBody> {
        let tenant = caller.tenant().map(|tenant| tenant.name.as_ref());
        let id = &job_key(tenant, attempt_id.to_str().unwrap_or_default());
        let spec = match self.codec.read_job(id, host, path, body) {
            Ok(spec) => JobSpec {
                tenant: tenant.unwrap_or_default().to_owned(),
                ..spec
            },
            Err(cause) => {
                log::warn!("event=job_unreadable job={id} cause=\"{cause}\"");
                return empty(StatusCode::BAD_REQUEST);
            }
        };
        match self.jobs.accept(spec).await {
            Ok(()) => empty(StatusCode::ACCEPTED),
            Err(AcceptError::NotStored(cause)) => {
                log::warn!("event=job_refused job={id} cause=\"{cause}\"");
                not_run()
            }
            Err(AcceptError::OutcomeUnknown(cause)) => {
                log::warn!("event=job_outcome_unknown job={id} cause=\"{cause}\"");
                empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Serves a job call. A job is visible to its own tenant only.
    async fn job_call(
        &self,
        call: JobCall,
        caller: &Caller,
        read_wait: Duration,
    ) -> Response<AnswerBody> {
        let tenant = caller.tenant().map(|tenant| tenant.name.as_ref());
        let call = call.map_job(|id| job_key(tenant, &id));
        let (job, result) = match &call {
            JobCall::Read { job, after } => {
                let read = self.jobs.read(job, *after, read_wait).await;
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
                    body.map(|body| complete(StatusCode::OK, Bytes::from(body))),
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
                JobError::NotFound => empty(StatusCode::NOT_FOUND),
                JobError::Unavailable(_) => not_run(),
            }
        })
    }

    /// Returns the configuration in force if it `is_known` to have what a request needs. If not,
    /// asks the store for a newer one, unless the configuration is the newest.
    async fn confirm_unless(
        &self,
        is_known: impl Fn(&ServingConfig) -> bool,
        config: Arc<ServingConfig>,
    ) -> Arc<ServingConfig> {
        if is_known(&config) || self.has_newest_config() {
            return config;
        }
        self.config.age().check(CONFIG_CHECK_TIMEOUT).await;
        self.config.current().unwrap_or(config)
    }

    /// Responds with 404 only while the configuration in force is known to be the newest.
    fn no_route(&self) -> Response<AnswerBody> {
        if self.has_newest_config() {
            empty(StatusCode::NOT_FOUND)
        } else {
            not_run()
        }
    }

    /// Returns whether the configuration in force is known to be the newest.
    fn has_newest_config(&self) -> bool {
        let contact = self.nodes.last_store_contact();
        self.config.age().is_newest(contact)
    }

    fn read_wait(&self, headers: &HeaderMap) -> Duration {
        let requested = read_number(headers, &self.codec.headers().wait_ms).unwrap_or(0);
        Duration::from_millis(requested).min(MAX_READ_WAIT)
    }
}

/// Reads the body of a refused request, as closing a connection with unread data resets it, which
/// may lose the response.
async fn discard(mut body: Incoming, max_bytes: usize) {
    let reading = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > max_bytes {
                return;
            }
        }
    };
    // The body of a slow client is not read to its end.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

/// Returns the host of a request without its port.
fn host(request: &Request<Incoming>) -> Option<String> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_owned())
}

fn read_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
