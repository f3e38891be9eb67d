//! JSON messages of the key-value service, as in the gateway of etcd v3.
//!
//! Keys and values are base64, 64-bit integers are strings, and answers omit fields with default
//! values.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes serialized as base64.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct Base64(pub(super) Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// An integer serialized as a string; deserialized from a string or a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct Number(pub(super) i64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum TextOrNumber {
            Text(String),
            Number(i64),
        }
        match TextOrNumber::deserialize(deserializer)? {
            TextOrNumber::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
            TextOrNumber::Number(number) => Ok(Self(number)),
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub(super) struct RangeRequest {
    pub(super) key: Base64,
    #[serde(default)]
    pub(super) range_end: Option<Base64>,
}

#[derive(Debug, Clone, Deserialize)]
pub(super) struct PutRequest {
    pub(super) key: Base64,
    #[serde(default)]
    pub(super) value: Base64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Comparison {
    Equal,
    Greater,
    Less,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Target {
    Mod,
}

#[derive(Debug, Clone, Deserialize)]
pub(super) struct Compare {
    pub(super) key: Base64,
    #[serde(rename = "target")]
    pub(super) _target: Target,
    #[serde(default)]
    pub(super) mod_revision: Number,
    pub(super) result: Comparison,
}

#[derive(Debug, Clone, Deserialize)]
pub(super) enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Clone, Deserialize)]
pub(super) struct TransactionRequest {
    #[serde(default)]
    pub(super) compare: Vec<Compare>,
    #[serde(default)]
    pub(super) success: Vec<Operation>,
    #[serde(default)]
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct Header {
    pub(super) revision: Number,
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct KeyValue {
    pub(super) key: Base64,
    pub(super) value: Base64,
    pub(super) mod_revision: Number,
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct RangeAnswer {
    pub(super) header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct PutAnswer {
    pub(super) header: Header,
}

#[derive(Debug, Clone, Serialize)]
pub(super) enum OperationAnswer {
    #[serde(rename = "response_put")]
    Put(PutAnswer),
    #[serde(rename = "response_range")]
    Range(RangeAnswer),
    #[serde(rename = "response_delete_range")]
    DeleteRange(PutAnswer),
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct TransactionAnswer {
    pub(super) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) succeeded: bool,
    pub(super) responses: Vec<OperationAnswer>,
}
