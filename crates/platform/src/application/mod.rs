//! Client for application back ends. Reports truncated answers as errors.

mod headers;

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use reqwest::header::{HeaderMap, TRANSFER_ENCODING};
use reqwest::{Method, StatusCode, Url};

pub use crate::dispatch::DispatchError;
pub use headers::strip_hop_by_hop;

use crate::dispatch::{Clients, REQUEST_ID_HEADER, describe, detail, refusal};

/// Maximum length in bytes of an answer without a declared length.
pub const MAX_UNSIZED_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Client for application back ends. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ApplicationClient {
    clients: Clients,
}

/// Request to forward.
#[derive(Debug, Clone)]
pub struct ApplicationRequest {
    /// HTTP method.
    pub method: Method,
    /// Path, starting with a slash, percent-encoded as the caller sent it.
    pub path: String,
    /// Query without the question mark.
    pub query: Option<String>,
    /// Headers of the caller; hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Request id sent to the back end.
    pub request_id: String,
}

/// Answer of a back end.
#[derive(Debug)]
pub struct ApplicationResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers without hop-by-hop headers and without the content length.
    pub headers: HeaderMap,
    /// Body.
    pub body: ApplicationBody,
}

/// Body of an answer.
#[derive(Debug)]
pub enum ApplicationBody {
    /// Body with a declared length, still being received.
    Sized(SizedBody),
    /// Complete body.
    Whole(Bytes),
}

/// Body with a declared length that is still being received. Dropping it closes the connection.
#[derive(Debug)]
pub struct SizedBody {
    response: reqwest::Response,
    length: u64,
}

/// Error of a body that ended before its declared length.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("answer was truncated: {0}")]
pub struct BodyCut(pub String);

impl SizedBody {
    /// Returns the declared length in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the next bytes, or `None` at the end of the body. The caller sets the timeout.
    ///
    /// # Errors
    /// [`BodyCut`] if the body ends before its declared length.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyCut> {
        let chunk = self.response.chunk().await;
        chunk.map_err(|error| BodyCut(describe(&error)))
    }
}

impl ApplicationClient {
    /// Creates a client.
    pub fn new() -> Self {
        Self {
            clients: Clients::new(),
        }
    }

    /// Forwards a request. Returns after the headers of an answer with a declared length, or at the end of any other
    /// answer. The caller sets the timeout.
    ///
    /// # Errors
    /// [`DispatchError`], which tells whether the request may have run.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: &ApplicationRequest,
        fresh_connection: bool,
    ) -> Result<ApplicationResponse, DispatchError> {
        let url = url(address, request)?;
        let mut headers = strip_hop_by_hop(&request.headers);
        headers.remove(REQUEST_ID_HEADER);
        let response = self
            .clients
            .get(fresh_connection)
            .request(request.method.clone(), url)
            .headers(headers)
            .header(REQUEST_ID_HEADER, &request.request_id)
            .body(request.body.clone())
            .send()
            .await
            .map_err(|error| DispatchError::from_transport(&error))?;
        parse_response(&request.method, response).await
    }
}

impl Default for ApplicationClient {
    fn default() -> Self {
        Self::new()
    }
}

fn url(address: SocketAddr, request: &ApplicationRequest) -> Result<Url, DispatchError> {
    let malformed = |detail: String| DispatchError::NotSent(format!("malformed path: {detail}"));
    if !request.path.starts_with('/') {
        return Err(malformed("no leading slash".to_owned()));
    }
    let mut url = Url::parse(&format!("http://{address}{}", request.path))
        .map_err(|error| malformed(error.to_string()))?;
    url.set_query(request.query.as_deref());
    Ok(url)
}

async fn parse_response(
    method: &Method,
    response: reqwest::Response,
) -> Result<ApplicationResponse, DispatchError> {
    let status = response.status();
    let failed = status.is_client_error() || status.is_server_error();
    if let Some(refusal) = refusal(response.headers()).filter(|_| failed) {
        return Err(DispatchError::NotRun {
            retry_after: refusal.retry_after,
            leaving: refusal.leaving,
            detail: detail(response).await,
        });
    }
    let headers = strip_hop_by_hop(response.headers());
    let body = parse_body(method, response).await?;
    Ok(ApplicationResponse {
        status,
        headers,
        body,
    })
}

async fn parse_body(
    method: &Method,
    response: reqwest::Response,
) -> Result<ApplicationBody, DispatchError> {
    if has_no_body(method, response.status()) {
        return Ok(ApplicationBody::Whole(Bytes::new()));
    }
    if let Some(length) = response.content_length() {
        return Ok(ApplicationBody::Sized(SizedBody { response, length }));
    }
    // Truncation cannot be detected if the end of the connection ends the body.
    if !is_chunked(response.headers()) {
        return Err(DispatchError::Unknown(
            "answer has neither a length nor chunks".to_owned(),
        ));
    }
    read_chunked(response).await.map(ApplicationBody::Whole)
}

/// Returns whether the body is sent in chunks, the last of which marks its end. A body of any other transfer encoding
/// ends with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}

fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

async fn read_chunked(mut response: reqwest::Response) -> Result<Bytes, DispatchError> {
    let mut body = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) if body.len() + bytes.len() > MAX_UNSIZED_BODY_BYTES => {
                let detail = format!(
                    "answer without a declared length is longer than {MAX_UNSIZED_BODY_BYTES} bytes"
                );
                return Err(DispatchError::Unknown(detail));
            }
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => return Ok(body.freeze()),
            Err(error) => return Err(DispatchError::Unknown(describe(&error))),
        }
    }
}
