//! Sends one request to one instance and distinguishes errors after which the request may have run
//! from those after which it has not.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use ladderstage::region::AllowedRegions;
use ladderstage_clock::Instant;

use super::cold::SendTicket;
use super::connection::PooledConnection;
use super::gate::HoldReason;
use super::instance::{Instance, Load};
use crate::body_buffer::BodyBuffer;
use crate::dialect::HeaderNames;
use crate::memory::Reservation;

/// Maximum number of connections tried when idle ones turn out to be closed.
const MAX_CONNECTION_ATTEMPTS: u32 = 4;

/// Maximum size of a refusal's body that is read to reuse the connection, in bytes.
const MAX_REFUSAL_BODY_BYTES: usize = 16 * 1024;

/// Maximum time in which the body of a refusal is read. The refusal is known without it.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Head of a request to an instance.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers except hop-by-hop ones.
    pub headers: HeaderMap,
    /// Regions whose instances may receive the request.
    pub allowed: AllowedRegions,
}

/// Failure of an exchange that has no response to pass on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing was sent, as the instance must not receive requests now; not a failure of the
    /// instance.
    #[error("held back: {0}")]
    HeldBack(HoldReason),
    /// The instance reported that it did not run the request.
    #[error("not run: {0}")]
    NotRun(StatusCode),
    /// The instance at the address has another id or other weights; the request was not run.
    #[error("misdirected")]
    Misdirected {
        /// The instance at the address has another id.
        is_other_instance: bool,
    },
    /// The response is missing, incomplete or for another request; the request may have run.
    #[error("broken: {0}")]
    Broken(String),
}

impl ExchangeError {
    /// Returns whether the request has certainly not run.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }
}

/// Head of a response whose body is still to be read.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers of the instance.
    pub headers: HeaderMap,
    /// Unread body.
    pub body: Incoming,
    pooled: PooledConnection,
}

impl Reply {
    /// Reads the complete body of at most `limit` bytes and returns the connection to the pool.
    ///
    /// # Errors
    /// `Broken` if the body is longer or ends early.
    pub async fn read_body(
        self,
        limit: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), ExchangeError> {
        let idle_timeout = keep_alive(&self.headers);
        let collected = Limited::new(self.body, limit).collect().await;
        let body = collected
            .map_err(|error| ExchangeError::Broken(format!("body: {error}")))?
            .to_bytes();
        self.pooled.return_to_pool(idle_timeout);
        Ok((self.status, self.headers, body))
    }

    /// As [`Reply::read_body`], in memory of `memory`, which is reserved until the returned body is
    /// dropped. Reading waits while the budget is exhausted, as the request has run.
    ///
    /// # Errors
    /// `Broken` if the body is longer or ends early.
    pub async fn read_reserved_body(
        self,
        limit: usize,
        mut memory: Reservation,
    ) -> Result<(StatusCode, HeaderMap, Bytes), ExchangeError> {
        let Self {
            status,
            headers,
            mut body,
            pooled,
        } = self;
        let idle_timeout = keep_alive(&headers);
        let broken =
            |error: &dyn std::fmt::Display| ExchangeError::Broken(format!("body: {error}"));
        let mut buffer = BodyBuffer::new(&body, limit, &mut memory).map_err(|e| broken(&e))?;
        buffer.reserve_declared().await;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| broken(&e))?;
            if let Some(data) = frame.data_ref() {
                let growth = buffer.growth_for(data.len()).map_err(|e| broken(&e))?;
                buffer.push_when_available(data, growth).await;
            }
        }
        let body = buffer.into_bytes();
        pooled.return_to_pool(idle_timeout);
        Ok((status, headers, memory.attach_to(body)))
    }

    /// Reads the body of a refusal, so that its connection can be reused; closes the connection if
    /// the body is long or does not end in time.
    async fn discard_refusal_body(self) {
        let reading = self.read_body(MAX_REFUSAL_BODY_BYTES);
        let outcome = match tokio::time::timeout(REFUSAL_BODY_TIMEOUT, reading).await {
            Ok(Ok(_)) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "not complete in time".to_owned(),
        };
        log::debug!("event=refusal_body_not_read cause=\"{outcome}\"");
    }

    /// Separates the connection, which the caller returns to the pool after reading the complete
    /// body.
    pub fn into_parts(self) -> (HeaderMap, Incoming, PooledConnection) {
        (self.headers, self.body, self.pooled)
    }
}

/// Requirement that a response echoes the id of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerIdPolicy {
    /// A response without the id belongs to another request.
    Required,
    /// The instance's own endpoints respond without an id; a different id belongs to another
    /// request.
    Optional,
}

/// Sends a request and waits for the head of its response.
///
/// # Errors
/// Returns an [`ExchangeError`] if the exchange fails or the instance refuses the request; a response
/// with any other status is a reply.
pub async fn send(
    instance: &Arc<Instance>,
    names: &HeaderNames,
    head: &RequestHead,
    body: &Bytes,
    attempt_id: &HeaderValue,
    answer_id: AnswerIdPolicy,
) -> Result<Reply, ExchangeError> {
    let (response, pooled) =
        send_on_pooled_connection(instance, head, body, attempt_id, answer_id).await?;
    let (parts, body) = response.into_parts();
    let echoed_id = parts.headers.get(&names.attempt_id);
    let may_be_missing = answer_id == AnswerIdPolicy::Optional && echoed_id.is_none();
    if echoed_id != Some(attempt_id) && !may_be_missing {
        return Err(ExchangeError::Broken(
            "response to another request".to_owned(),
        ));
    }
    if !is_final(parts.status) {
        return Err(ExchangeError::Broken(format!(
            "status {} of no final response",
            parts.status.as_u16()
        )));
    }
    let now = Instant::now();
    instance.record_response(now);
    if let Some(load) = read_load(&parts.headers, names) {
        instance.record_load(load, now);
    }
    let reply = Reply {
        status: parts.status,
        headers: parts.headers,
        body,
        pooled,
    };
    check_refusal(instance, names, reply).await
}

/// Returns whether a status is one of a final response. The HTTP client accepts any three digits that
/// do not begin with a zero, and a switch of protocols, for which no request asks.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns an error if the instance itself refused the request.
async fn check_refusal(
    instance: &Instance,
    names: &HeaderNames,
    reply: Reply,
) -> Result<Reply, ExchangeError> {
    let status = reply.status;
    if status == StatusCode::MISDIRECTED_REQUEST {
        let at_address = reply.headers.get(&names.instance_id);
        let is_other_instance =
            at_address.is_some_and(|id| id.as_bytes() != instance.id().as_bytes());
        reply.discard_refusal_body().await;
        return Err(ExchangeError::Misdirected { is_other_instance });
    }
    if reply.headers.contains_key(&names.not_executed) {
        reply.discard_refusal_body().await;
        return Err(ExchangeError::NotRun(status));
    }
    Ok(reply)
}

/// Checks all limits right before the first byte is sent. Calls to the instance's own endpoints,
/// such as reports and orders, are not limited.
fn acquire_ticket(
    instance: &Instance,
    head: &RequestHead,
    answer_id: AnswerIdPolicy,
) -> Result<Option<SendTicket>, HoldReason> {
    instance.check_region(&head.allowed)?;
    match answer_id {
        AnswerIdPolicy::Required => instance.acquire_send(Instant::now()),
        AnswerIdPolicy::Optional => Ok(None),
    }
}

async fn send_on_pooled_connection(
    instance: &Arc<Instance>,
    head: &RequestHead,
    body: &Bytes,
    attempt_id: &HeaderValue,
    answer_id: AnswerIdPolicy,
) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let acquired = instance.connections().acquire().await;
        let mut pooled = acquired.map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        let ticket = match acquire_ticket(instance, head, answer_id) {
            Ok(ticket) => ticket,
            Err(reason) => {
                // The connection is unused, so the next request may have it.
                pooled.return_to_pool(None);
                return Err(ExchangeError::HeldBack(reason));
            }
        };
        let request = build_request(head, body.clone());
        match pooled.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, pooled)),
            Err(mut failed) => {
                if failed.take_message().is_none() {
                    return Err(ExchangeError::Broken(failed.error().to_string()));
                }
                log::info!(
                    "event=request_returned_unsent request={} instance={} reused={} cause=\"{}\"",
                    attempt_id.to_str().unwrap_or("?"),
                    instance.id(),
                    pooled.is_reused,
                    failed.error()
                );
                instance.release_send(ticket);
            }
        }
    }
    Err(ExchangeError::NotSent(
        "idle connections closed before the request was sent".to_owned(),
    ))
}

fn build_request(head: &RequestHead, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = head.headers.clone();
    request
}

fn read_load(headers: &HeaderMap, names: &HeaderNames) -> Option<Load> {
    let text = headers.get(&names.instance_load)?.to_str().ok()?;
    let mut numbers = text
        .split(',')
        .map(|number| number.trim().parse::<u32>().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

/// Returns the instance's keep-alive timeout less a margin of 0.5 s.
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|number| number.parse::<u64>().ok())?;
    Some(Duration::from_millis(
        seconds.saturating_mul(1000).saturating_sub(500),
    ))
}

/// Returns whether a response marks the end of its body. Otherwise its connection ends it, so that a body
/// that was cut looks complete.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    let Some(encodings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
        return headers.contains_key(CONTENT_LENGTH);
    };
    let last = encodings
        .to_str()
        .ok()
        .and_then(|text| text.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns whether a header is not passed on: a hop-by-hop header, or the content length, which is
/// set from the body.
pub fn is_hop_by_hop(name: &http::HeaderName) -> bool {
    const NAMES: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.contains(&name.as_str())
}

/// Copies all headers except hop-by-hop ones and those that `Connection` names. `Host` is always
/// copied.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| name != HOST.as_str())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name)
            && !connection_options
                .iter()
                .any(|other| other == name.as_str())
        {
            kept.append(name, value.clone());
        }
    }
    kept
}
