//! Between Rocket's requests, the live path's calls, and recorded answers.

use bytes::{Bytes, BytesMut};
use reqwest::StatusCode;
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use rocket::Request;
use rocket::http::Method;
use sha2::{Digest, Sha256};

use crate::live::{AnswerBody, ApplicationAnswer, ApplicationCall, LiveError, RecordedAnswer};

/// Path under which applications are reached; the pool's name follows.
const PREFIX: &str = "/v1/apps/";

/// Headers with this prefix are for ladderstage alone.
const OWN_PREFIX: &str = "ladderstage-";

/// Longest answer to a request with a key that is read whole, in bytes.
const MAX_KEYED_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Start of a form with which Rocket takes another method than the caller's.
const METHOD_OVERRIDE: &[u8] = b"_method=";

/// The pool that a request is for, and what to forward.
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

/// Digest of all that tells a request from others.
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

/// A whole answer.
pub(super) fn whole(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> RecordedAnswer {
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

/// Reads an answer whole so that it can be recorded.
pub(super) async fn recorded(answer: ApplicationAnswer) -> Result<RecordedAnswer, LiveError> {
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
            let mut gathered = BytesMut::with_capacity(length);
            while let Some(bytes) = streamed.next().await? {
                gathered.extend_from_slice(&bytes);
            }
            gathered.freeze()
        }
    };
    Ok(whole(answer.status, answer.headers, body))
}

fn split_path(path: &str) -> (String, String) {
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    match rest.split_once('/') {
        Some((pool, path)) => (pool.to_owned(), format!("/{path}")),
        None => (rest.to_owned(), "/".to_owned()),
    }
}

/// Rocket takes the method that a POSTed form names in `_method`. Such a form may have been a POST, so it is
/// forwarded, and above all not repeated, as one.
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
            && !name.as_str().starts_with(OWN_PREFIX)
        {
            headers.append(name, value);
        }
    }
    headers
}
