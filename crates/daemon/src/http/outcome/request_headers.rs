//! Request headers that set the options of a live request.

use std::time::Duration;

use rocket::Request;
use rocket::http::HeaderMap;
use rocket::request::{FromRequest, Outcome};

use super::RequestError;
use crate::live::{RequestId, RequestOptions};

/// Header with the request id, which is repeated in the answer.
pub const REQUEST_ID: &str = "Ladderstage-Request-Id";
/// Header that identifies a request across retries.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Header that, if `true`, prevents that the request runs twice.
pub const AT_MOST_ONCE: &str = "Ladderstage-At-Most-Once";
/// Header with the caller's time limit in milliseconds.
pub const DEADLINE: &str = "Ladderstage-Deadline-Ms";
/// Header with the class of the request.
pub const CLASS: &str = "Ladderstage-Class";

const CONTENT_LENGTH: &str = "Content-Length";

/// Class of requests without the header.
const DEFAULT_CLASS: &str = "live";

const MAX_REQUEST_ID_BYTES: usize = 64;
const MAX_KEY_BYTES: usize = 128;
const MAX_CLASS_BYTES: usize = 64;
/// Maximum value of [`DEADLINE`], one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Parsed request headers. As a request guard it never fails, so that the route can report invalid headers.
#[derive(Debug)]
pub struct CallerHeaders {
    /// Request id for the answer, also set if a header is invalid.
    pub id: RequestId,
    /// Content length in bytes, if the caller declares it.
    pub body_length: Option<u64>,
    /// Options of the request.
    pub options: Result<RequestOptions, RequestError>,
}

impl CallerHeaders {
    /// Returns whether the request has an idempotency key.
    pub fn has_key(&self) -> bool {
        let options = self.options.as_ref();
        options.is_ok_and(|options| options.idempotency_key.is_some())
    }

    /// Parses the headers of a request.
    pub fn read(headers: &HeaderMap<'_>) -> Self {
        let random = rand::random();
        let body_length = headers
            .get_one(CONTENT_LENGTH)
            .and_then(|value| value.parse().ok());
        match request_id(headers) {
            Ok(given) => {
                let id = RequestId::new(given, random);
                let options = options(headers, id.clone());
                Self {
                    id,
                    body_length,
                    options,
                }
            }
            Err(error) => Self {
                id: RequestId::new(None, random),
                body_length,
                options: Err(error),
            },
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self::read(request.headers()))
    }
}

fn request_id(headers: &HeaderMap<'_>) -> Result<Option<String>, RequestError> {
    single_value(headers, REQUEST_ID)?
        .map(|value| parse_name(REQUEST_ID, value, MAX_REQUEST_ID_BYTES))
        .transpose()
}

fn options(headers: &HeaderMap<'_>, id: RequestId) -> Result<RequestOptions, RequestError> {
    let class = match single_value(headers, CLASS)? {
        Some(value) => parse_name(CLASS, value, MAX_CLASS_BYTES)?,
        None => DEFAULT_CLASS.to_owned(),
    };
    let key = single_value(headers, IDEMPOTENCY_KEY)?;
    let idempotency_key = key.map(parse_key).transpose()?;
    let at_most_once_header = single_value(headers, AT_MOST_ONCE)?
        .map(parse_flag)
        .transpose()?;
    Ok(RequestOptions {
        id,
        class,
        deadline: single_value(headers, DEADLINE)?
            .map(parse_deadline)
            .transpose()?,
        at_most_once: at_most_once_header.unwrap_or(false) || idempotency_key.is_some(),
        idempotency_key,
    })
}

/// Returns the value of a header.
///
/// # Errors
/// [`RequestError::Header`] if the header is repeated.
fn single_value<'h>(
    headers: &'h HeaderMap<'_>,
    header: &'static str,
) -> Result<Option<&'h str>, RequestError> {
    let mut values = headers.get(header);
    let value = values.next();
    if values.next().is_some() {
        return Err(header_error(header, "given more than once".to_owned()));
    }
    Ok(value)
}

/// Parses a name of letters, digits, `-`, `_`, `.` and `:`.
fn parse_name(header: &'static str, value: &str, max_bytes: usize) -> Result<String, RequestError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    check_value(header, value, max_bytes, is_allowed)
}

/// Parses an idempotency key of visible ASCII characters.
fn parse_key(value: &str) -> Result<String, RequestError> {
    let is_allowed = |byte: u8| byte.is_ascii_graphic();
    check_value(IDEMPOTENCY_KEY, value, MAX_KEY_BYTES, is_allowed)
}

fn check_value(
    header: &'static str,
    value: &str,
    max_bytes: usize,
    is_allowed: impl Fn(u8) -> bool,
) -> Result<String, RequestError> {
    if value.is_empty() || value.len() > max_bytes {
        return Err(header_error(
            header,
            format!("must have 1 to {max_bytes} bytes"),
        ));
    }
    match value.bytes().position(|byte| !is_allowed(byte)) {
        Some(index) => Err(header_error(
            header,
            format!("byte {} is not allowed", index + 1),
        )),
        None => Ok(value.to_owned()),
    }
}

fn parse_flag(value: &str) -> Result<bool, RequestError> {
    let parsed = value.parse();
    parsed.map_err(|_| header_error(AT_MOST_ONCE, "must be true or false".to_owned()))
}

fn parse_deadline(value: &str) -> Result<Duration, RequestError> {
    let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
    value
        .parse()
        .ok()
        .filter(|milliseconds| is_number && (1..=MAX_DEADLINE_MS).contains(milliseconds))
        .map(Duration::from_millis)
        .ok_or_else(|| {
            let detail = format!("must be a number from 1 to {MAX_DEADLINE_MS}");
            header_error(DEADLINE, detail)
        })
}

fn header_error(header: &'static str, detail: String) -> RequestError {
    RequestError::Header { header, detail }
}
