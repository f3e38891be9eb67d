//! Client of the key-value service, which uses the JSON gateway of etcd v3.
//!
//! Reads fail over to the next base URL on any failure. Writes fail over only if nothing was sent; otherwise the
//! outcome is reported as unknown.

mod exchange;
mod messages;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use exchange::Exchange;
use messages::{PutRequest, PutResponse, RangeRequest, RangeResponse, TxnRequest, TxnResponse};

/// Error of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyValueError {
    /// The request was not sent, so nothing changed.
    #[error("key-value request not sent: {0}")]
    NotSent(String),
    /// The answer was lost or malformed, so a change may have taken effect.
    #[error("key-value outcome unknown: {0}")]
    Unknown(String),
    /// The service rejected the request because of its rate limit, so nothing changed.
    #[error("key-value service is over its rate limit")]
    RateLimited,
    /// The service rejected the request, or the answer to a read is malformed. Nothing changed.
    #[error("malformed key-value request or answer: {0}")]
    Malformed(String),
}

/// Record of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValueEntry {
    /// Value of the record.
    pub value: Vec<u8>,
    /// Revision of the last change, which grows with each change.
    pub mod_revision: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The revision matched and the new value was written.
    Won {
        /// Revision of the change.
        mod_revision: u64,
    },
    /// The revision did not match. Holds the current record, if there is one.
    Lost(Option<KeyValueEntry>),
}

/// Client of the key-value service. Cheap to clone.
///
/// Reads may be stale, so callers must keep the record with the larger revision.
#[derive(Debug, Clone)]
pub struct KeyValue {
    base_urls: Arc<[String]>,
    preferred: Arc<AtomicUsize>,
    exchange: Exchange,
}

/// Kind of request; only reads may be repeated when the outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

impl KeyValue {
    /// Creates a client of a service with several base URLs. `timeout` applies to each attempt at one URL.
    pub fn new(base_urls: Vec<String>, timeout: Duration) -> Self {
        Self {
            base_urls: base_urls.into(),
            preferred: Arc::default(),
            exchange: Exchange::new(timeout),
        }
    }

    /// Returns the record at `key`, which may be stale.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValueEntry>, KeyValueError> {
        let request = RangeRequest::single(key);
        let response: RangeResponse = self.send("/v3/kv/range", &request, Access::Read).await?;
        let entries = response.into_entries()?;
        Ok(entries.into_iter().next().map(|(_, entry)| entry))
    }

    /// Returns the record at `key` as of some time during this call.
    ///
    /// Uses a transaction that changes nothing, as the service orders transactions with its writes. A plain range may
    /// be answered from a replica that lags behind.
    pub async fn get_linearizable(
        &self,
        key: &str,
    ) -> Result<Option<KeyValueEntry>, KeyValueError> {
        let request = TxnRequest::read(key);
        let response: TxnResponse = self.send("/v3/kv/txn", &request, Access::Read).await?;
        response.into_entry()
    }

    /// Returns all records whose keys start with `prefix`, in order of their keys.
    pub async fn list(&self, prefix: &str) -> Result<Vec<(String, KeyValueEntry)>, KeyValueError> {
        let request = RangeRequest::prefix(prefix);
        let response: RangeResponse = self.send("/v3/kv/range", &request, Access::Read).await?;
        response.into_entries()
    }

    /// Writes `value` if the record at `key` has the revision `expected_mod_revision`, where 0 means absent.
    ///
    /// # Errors
    /// [`KeyValueError::Unknown`] if the swap may have taken effect or may still do so.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        value: Vec<u8>,
    ) -> Result<SwapOutcome, KeyValueError> {
        let request = TxnRequest::swap(key, expected_mod_revision, &value);
        let response: TxnResponse = self.send("/v3/kv/txn", &request, Access::Write).await?;
        response.into_outcome()
    }

    /// Writes `value` unconditionally.
    pub async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), KeyValueError> {
        let request = PutRequest::new(key, &value);
        let _: PutResponse = self.send("/v3/kv/put", &request, Access::Write).await?;
        Ok(())
    }

    async fn send<Q, A>(&self, path: &str, request: &Q, access: Access) -> Result<A, KeyValueError>
    where
        Q: serde::Serialize + Sync,
        A: serde::de::DeserializeOwned,
    {
        let count = self.base_urls.len();
        let start = self.preferred.load(Ordering::Relaxed);
        let mut last_error = KeyValueError::NotSent("no base URL is configured".to_owned());
        for index in (0..count).map(|offset| (start + offset) % count) {
            let url = format!("{}{path}", self.base_urls[index].trim_end_matches('/'));
            match self.exchange.post(&url, request, access).await {
                Ok(answer) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Err(error) if !may_try_next_url(&error, access) => return Err(error),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}

/// Returns whether to try the next base URL. A write whose outcome is unknown must not be sent twice.
fn may_try_next_url(error: &KeyValueError, access: Access) -> bool {
    match error {
        KeyValueError::NotSent(_) => true,
        KeyValueError::Unknown(_) | KeyValueError::Malformed(_) => access == Access::Read,
        KeyValueError::RateLimited => false,
    }
}
