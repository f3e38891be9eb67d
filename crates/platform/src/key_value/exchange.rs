//! HTTP requests to one base URL.

use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Access, KeyValueError};

/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// HTTP clients for reads and writes.
#[derive(Debug, Clone)]
pub(super) struct Exchange {
    reads: Client,
    /// Opens a connection for each request, so that a connect error proves that nothing was sent.
    writes: Client,
}

impl Exchange {
    pub(super) fn new(timeout: Duration) -> Self {
        Self {
            reads: client(timeout, 1),
            writes: client(timeout, 0),
        }
    }

    pub(super) async fn post<Q, A>(
        &self,
        url: &str,
        request: &Q,
        access: Access,
    ) -> Result<A, KeyValueError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let client = match access {
            Access::Read => &self.reads,
            Access::Write => &self.writes,
        };
        let response = client.post(url).json(request).send().await;
        let response = response.map_err(send_error)?;
        check_status(response.status())?;
        let body = read_body(response).await?;
        serde_json::from_slice(&body).map_err(|error| decode_error(access, &error.to_string()))
    }
}

fn client(timeout: Duration, idle_connections: usize) -> Client {
    Client::builder()
        .timeout(timeout)
        .connect_timeout(timeout / 2)
        .pool_max_idle_per_host(idle_connections)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .build()
        .expect("building a client without TLS cannot fail")
}

fn send_error(error: reqwest::Error) -> KeyValueError {
    if error.is_connect() || error.is_builder() {
        return KeyValueError::NotSent(error.to_string());
    }
    KeyValueError::Unknown(error.to_string())
}

/// Maps an HTTP status to an error. After a server error the change may have taken effect, unlike a client error.
fn check_status(status: StatusCode) -> Result<(), KeyValueError> {
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Err(KeyValueError::RateLimited);
    }
    if status.is_client_error() {
        return Err(KeyValueError::Malformed(format!("status {status}")));
    }
    if !status.is_success() {
        return Err(KeyValueError::Unknown(format!("status {status}")));
    }
    Ok(())
}

async fn read_body(mut response: Response) -> Result<Vec<u8>, KeyValueError> {
    let mut body = Vec::new();
    loop {
        let chunk = response.chunk().await;
        let chunk = chunk.map_err(|error| KeyValueError::Unknown(error.to_string()))?;
        let Some(chunk) = chunk else {
            return Ok(body);
        };
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(KeyValueError::Unknown(
                "answer exceeds the length limit".to_owned(),
            ));
        }
        body.extend_from_slice(&chunk);
    }
}

fn decode_error(access: Access, detail: &str) -> KeyValueError {
    match access {
        Access::Read => KeyValueError::Malformed(detail.to_owned()),
        Access::Write => KeyValueError::Unknown(format!("unreadable answer: {detail}")),
    }
}
