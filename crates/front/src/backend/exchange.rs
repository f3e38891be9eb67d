//! One request to one instance, and whether it may have run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use ladderstage::region::AllowedRegions;
use ladderstage_clock::Instant;

use super::cold::SendTicket;
use super::connection::Lease;
use super::gate::HoldReason;
use super::instance::{Instance, Load};
use crate::dialect::HeaderNames;

/// Times a request moves to another connection because a resting one had just closed before it was sent.
const CONNECTIONS_TRIED: u32 = 4;

/// Largest body of a refusal that is read so that its connection can be kept.
const REFUSAL_BODY_LIMIT: usize = 16 * 1024;

/// What is sent.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, complete.
    pub headers: HeaderMap,
    /// Regions whose instances may get it.
    pub allowed: AllowedRegions,
}

/// Why no answer of the instance can be passed on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte was sent, as the instance may get nothing now; this does not count as its failure.
    #[error("held back: {0}")]
    HeldBack(HoldReason),
    /// The instance says that it did not run the request.
    #[error("not run: {0}")]
    NotRun(StatusCode),
    /// The address belongs to another instance, or the instance has other weights; not run.
    #[error("misdirected")]
    Misdirected {
        /// The instance at the address is another one.
        is_other_instance: bool,
    },
    /// There is no answer, a broken one, or one to another request; the request may have run.
    #[error("broken: {0}")]
    Broken(String),
}

impl ExchangeError {
    /// Whether the request has certainly not run there.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }
}

/// Head of an answer to our request, with its body still to come.
#[derive(Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Incoming,
    lease: Lease,
}

impl Reply {
    /// Reads the whole body of at most `limit` bytes and keeps the connection.
    ///
    /// # Errors
    /// `Broken` if the body does not end as it should.
    pub async fn read_body(
        self,
        limit: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), ExchangeError> {
        let rest = keep_alive(&self.headers);
        let collected = Limited::new(self.body, limit).collect().await;
        let body = collected
            .map_err(|error| ExchangeError::Broken(format!("body: {error}")))?
            .to_bytes();
        self.lease.return_to_pool(rest);
        Ok((self.status, self.headers, body))
    }

    /// Splits off the connection, to be given back once the body was read to its end.
    pub fn into_parts(self) -> (HeaderMap, Incoming, Lease) {
        (self.headers, self.body, self.lease)
    }
}

/// Whether an answer must carry the id of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerIdPolicy {
    /// An answer without the id belongs to another request.
    Required,
    /// Calls to the instance itself are answered without an id; one with another id belongs to another request.
    Optional,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// See [`ExchangeError`]; refusals of the instance are errors, other statuses are replies.
pub async fn send(
    instance: &Arc<Instance>,
    names: &HeaderNames,
    head: &RequestHead,
    body: &Bytes,
    attempt_id: &HeaderValue,
    answer_id: AnswerIdPolicy,
) -> Result<Reply, ExchangeError> {
    let (response, lease) = send_on_some_connection(instance, head, body, answer_id).await?;
    let (parts, body) = response.into_parts();
    let found = parts.headers.get(&names.attempt_id);
    let may_lack = answer_id == AnswerIdPolicy::Optional && found.is_none();
    if found != Some(attempt_id) && !may_lack {
        return Err(ExchangeError::Broken(
            "answer to another request".to_owned(),
        ));
    }
    let now = Instant::now();
    instance.note_answer(now);
    if let Some(load) = read_load(&parts.headers, names) {
        instance.note_load(load, now);
    }
    let reply = Reply {
        status: parts.status,
        headers: parts.headers,
        body,
        lease,
    };
    refusal(instance, names, reply).await
}

/// Turns an instance's own refusal into an error.
async fn refusal(
    instance: &Instance,
    names: &HeaderNames,
    reply: Reply,
) -> Result<Reply, ExchangeError> {
    let status = reply.status;
    if status == StatusCode::MISDIRECTED_REQUEST {
        let at_address = reply.headers.get(&names.instance_id);
        let is_other_instance =
            at_address.is_some_and(|id| id.as_bytes() != instance.id().as_bytes());
        let _ = reply.read_body(REFUSAL_BODY_LIMIT).await;
        return Err(ExchangeError::Misdirected { is_other_instance });
    }
    if reply.headers.contains_key(&names.not_executed) {
        let _ = reply.read_body(REFUSAL_BODY_LIMIT).await;
        return Err(ExchangeError::NotRun(status));
    }
    Ok(reply)
}

/// Asks all gates right before the first byte. Calls to the instance itself, as for reports and orders, are not work: no limit holds for them.
fn take_ticket(
    instance: &Instance,
    head: &RequestHead,
    answer_id: AnswerIdPolicy,
) -> Result<Option<SendTicket>, HoldReason> {
    instance.check_region(&head.allowed)?;
    match answer_id {
        AnswerIdPolicy::Required => instance.take_send(Instant::now()),
        AnswerIdPolicy::Optional => Ok(None),
    }
}

async fn send_on_some_connection(
    instance: &Arc<Instance>,
    head: &RequestHead,
    body: &Bytes,
    answer_id: AnswerIdPolicy,
) -> Result<(http::Response<Incoming>, Lease), ExchangeError> {
    for _ in 0..CONNECTIONS_TRIED {
        let acquired = instance.connections().acquire().await;
        let mut lease = acquired.map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        let ticket = match take_ticket(instance, head, answer_id) {
            Ok(ticket) => ticket,
            Err(reason) => {
                // Unused: the next request may have it.
                lease.return_to_pool(None);
                return Err(ExchangeError::HeldBack(reason));
            }
        };
        let request = build(head, body.clone());
        match lease.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, lease)),
            Err(mut failed) => {
                if failed.take_message().is_none() {
                    return Err(ExchangeError::Broken(failed.error().to_string()));
                }
                instance.give_back_send(ticket);
            }
        }
    }
    Err(ExchangeError::NotSent(
        "connections close at once".to_owned(),
    ))
}

fn build(head: &RequestHead, body: Bytes) -> Request<Full<Bytes>> {
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

/// How long the instance keeps a resting connection, less a margin.
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

/// Whether a header concerns one connection only.
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

/// Copies headers, but those that concern one connection only and those that `Connection` names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| name != HOST.as_str())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !named.iter().any(|other| other == name.as_str()) {
            kept.append(name, value.clone());
        }
    }
    kept
}
