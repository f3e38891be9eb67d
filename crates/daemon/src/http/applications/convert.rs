//! Conversions between Rocket requests, application calls and recorded answers.

use bytes::{Bytes, BytesMut};
use reqwest::StatusCode;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use rocket::Request;
use rocket::http::Method;
use sha2::{Digest, Sha256};

use crate::live::{AnswerBody, ApplicationAnswer, ApplicationCall, LiveError, RecordedAnswer};

/// Path prefix of application requests, before the name of the pool.
const PREFIX: &str = "/v1/apps/";

/// Prefix of headers that are not forwarded to back ends.
const RESERVED_PREFIX: &str = "ladderstage-";

/// Maximum length in bytes of an answer to a request with an idempotency key.
const MAX_KEYED_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Prefix of a form body that makes Rocket override the HTTP method.
const METHOD_OVERRIDE: &[u8] = b"_method=";

/// Returns the pool of a request and the call to forward.
pub(super) fn application_call(request: &Request<'_>, body: Bytes) -> (String, ApplicationCall) {
    let (pool, path) = split_path(request.uri().path().as_str());
    let call = ApplicationCall {
        method: method(request, &body),
        path,
        query: request.uri().query().map(|query| query.as_str().to_owned()),
        headers: headers(request),
        body,
    };
    (pool, call)
}

/// Returns the digest that identifies a request: method, path, query and body.
pub(super) fn digest(call: &ApplicationCall) -> Vec<u8> {
    let query = call.query.as_deref().unwrap_or_default();
    let mut hash = Sha256::new();
    for part in [call.method.as_str(), &call.path, query] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hash.finalize().to_vec()
}

/// Converts a complete answer into a recorded one.
pub(super) fn into_recorded(
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
) -> RecordedAnswer {
    let content_type = headers.remove(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok().map(str::to_owned));
    RecordedAnswer {
        status: status.as_u16(),
        content_type: content_type.unwrap_or_default(),
        headers,
        body,
        weight_versions: Vec::new(),
    }
}

/// Reads an answer completely so that it can be recorded.
///
/// # Errors
/// [`LiveError`] if the answer is too long or truncated.
pub(super) async fn buffer_answer(answer: ApplicationAnswer) -> Result<RecordedAnswer, LiveError> {
    let body = match answer.body {
        AnswerBody::Whole(body) => body,
        AnswerBody::Streamed(mut streamed) => {
            let too_long = LiveError::AnswerTooLong {
                limit: MAX_KEYED_BODY_BYTES,
            };
            let length = usize::try_from(streamed.length()).unwrap_or(usize::MAX);
            if length > MAX_KEYED_BODY_BYTES {
                return Err(too_long);
            }
            let mut buffer = BytesMut::with_capacity(length);
            while let Some(bytes) = streamed.next().await? {
                buffer.extend_from_slice(&bytes);
            }
            buffer.freeze()
        }
    };
    Ok(into_recorded(answer.status, answer.headers, body))
}

fn split_path(path: &str) -> (String, String) {
    let after_prefix = path.strip_prefix(PREFIX).unwrap_or_default();
    match after_prefix.split_once('/') {
        Some((pool, path)) => (pool.to_owned(), format!("/{path}")),
        None => (after_prefix.to_owned(), "/".to_owned()),
    }
}

/// Returns the caller's HTTP method. Rocket replaces `POST` by the `_method` field of a form, so such a form is
/// treated as a `POST`, which is not retried.
fn method(request: &Request<'_>, body: &[u8]) -> reqwest::Method {
    let is_form = request.content_type().is_some_and(|kind| kind.is_form());
    if is_form && body.starts_with(METHOD_OVERRIDE) {
        return reqwest::Method::POST;
    }
    match request.method() {
        Method::Get => reqwest::Method::GET,
        Method::Head => reqwest::Method::HEAD,
        Method::Put => reqwest::Method::PUT,
        Method::Patch => reqwest::Method::PATCH,
        Method::Delete => reqwest::Method::DELETE,
        Method::Options => reqwest::Method::OPTIONS,
        Method::Trace => reqwest::Method::TRACE,
        Method::Post | Method::Connect => reqwest::Method::POST,
    }
}

fn headers(request: &Request<'_>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in request.headers().iter() {
        let name = HeaderName::from_bytes(header.name().as_str().as_bytes());
        let value = HeaderValue::from_str(header.value());
        if let (Ok(name), Ok(value)) = (name, value)
            && !name.as_str().starts_with(RESERVED_PREFIX)
        {
            headers.append(name, value);
        }
    }
    headers
}
