//! Messages of the etcd JSON gateway: bytes are in base64, 64-bit integers are strings, and zero fields are omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use super::{KeyValueEntry, KeyValueError, SwapOutcome};

/// Largest possible revision, which no record has in practice.
const UNREACHABLE_REVISION: u64 = i64::MAX as u64;

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

impl RangeRequest {
    pub(super) fn single(key: &str) -> Self {
        Self {
            key: STANDARD.encode(key),
            range_end: None,
        }
    }

    pub(super) fn prefix(prefix: &str) -> Self {
        Self {
            key: STANDARD.encode(if prefix.is_empty() { "\0" } else { prefix }),
            range_end: Some(STANDARD.encode(end_of_prefix(prefix))),
        }
    }
}

/// Returns the first key after all keys that start with `prefix`. A zero byte stands for the end of the key space.
fn end_of_prefix(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct RangeResponse {
    #[serde(default)]
    kvs: Vec<Record>,
}

impl RangeResponse {
    pub(super) fn into_entries(self) -> Result<Vec<(String, KeyValueEntry)>, KeyValueError> {
        self.kvs.into_iter().map(Record::into_entry).collect()
    }
}

#[derive(Debug, Deserialize)]
struct Record {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: Integer,
}

impl Record {
    fn into_entry(self) -> Result<(String, KeyValueEntry), KeyValueError> {
        let key = String::from_utf8(decode(&self.key)?)
            .map_err(|error| KeyValueError::Malformed(error.to_string()))?;
        let entry = KeyValueEntry {
            value: decode(&self.value)?,
            mod_revision: self.mod_revision.value()?,
        };
        Ok((key, entry))
    }
}

fn decode(text: &str) -> Result<Vec<u8>, KeyValueError> {
    STANDARD
        .decode(text)
        .map_err(|error| KeyValueError::Malformed(error.to_string()))
}

/// 64-bit integer, which the gateway writes as a string.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Integer {
    Text(String),
    Plain(u64),
}

impl Default for Integer {
    fn default() -> Self {
        Self::Plain(0)
    }
}

impl Integer {
    fn value(&self) -> Result<u64, KeyValueError> {
        match self {
            Self::Plain(number) => Ok(*number),
            Self::Text(text) => text
                .parse()
                .map_err(|_| KeyValueError::Malformed(format!("invalid revision {text:?}"))),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
struct Header {
    #[serde(default)]
    revision: Integer,
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    key: String,
    value: String,
}

impl PutRequest {
    pub(super) fn new(key: &str, value: &[u8]) -> Self {
        Self {
            key: STANDARD.encode(key),
            value: STANDARD.encode(value),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct PutResponse {}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: [Compare; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    success: Option<[SuccessOperation; 1]>,
    failure: [FailureOperation; 1],
}

#[derive(Debug, Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    mod_revision: String,
    result: &'static str,
}

#[derive(Debug, Serialize)]
struct SuccessOperation {
    request_put: PutRequest,
}

#[derive(Debug, Serialize)]
struct FailureOperation {
    request_range: RangeRequest,
}

impl TxnRequest {
    /// Creates a read: a comparison with an unreachable revision always fails and returns the record.
    pub(super) fn read(key: &str) -> Self {
        let mut request = Self::swap(key, UNREACHABLE_REVISION, &[]);
        request.success = None;
        request
    }

    pub(super) fn swap(key: &str, expected_mod_revision: u64, value: &[u8]) -> Self {
        let compare = Compare {
            key: STANDARD.encode(key),
            target: "MOD",
            mod_revision: expected_mod_revision.to_string(),
            result: "EQUAL",
        };
        Self {
            compare: [compare],
            success: Some([SuccessOperation {
                request_put: PutRequest::new(key, value),
            }]),
            failure: [FailureOperation {
                request_range: RangeRequest::single(key),
            }],
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnResponse {
    #[serde(default)]
    header: Header,
    /// Omitted if false.
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OperationResponse>,
}

#[derive(Debug, Deserialize)]
struct OperationResponse {
    response_range: Option<RangeResponse>,
}

impl TxnResponse {
    /// Returns the record found by a [`TxnRequest::read`].
    pub(super) fn into_entry(self) -> Result<Option<KeyValueEntry>, KeyValueError> {
        match self.outcome()? {
            SwapOutcome::Lost(entry) => Ok(entry),
            SwapOutcome::Won { .. } => Err(KeyValueError::Malformed(
                "read was answered as a write".into(),
            )),
        }
    }

    /// Returns the outcome of a swap.
    ///
    /// # Errors
    /// [`KeyValueError::Unknown`] if the answer is malformed, as the swap may have taken effect.
    pub(super) fn into_outcome(self) -> Result<SwapOutcome, KeyValueError> {
        self.outcome()
            .map_err(|error| KeyValueError::Unknown(error.to_string()))
    }

    fn outcome(self) -> Result<SwapOutcome, KeyValueError> {
        if self.succeeded {
            let mod_revision = self.header.revision.value()?;
            if mod_revision == 0 {
                return Err(KeyValueError::Malformed("answer without revision".into()));
            }
            return Ok(SwapOutcome::Won { mod_revision });
        }
        let range = self
            .responses
            .into_iter()
            .find_map(|operation| operation.response_range);
        // A lost swap always includes the range, so an empty object is malformed.
        let Some(range) = range else {
            return Err(KeyValueError::Malformed("answer without record".into()));
        };
        let entry = range.into_entries()?.into_iter().next();
        Ok(SwapOutcome::Lost(entry.map(|(_, entry)| entry)))
    }
}
