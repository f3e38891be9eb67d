//! Identity of a request's content: host, method, path, tenant and body.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of bytes of the SHA-256 hash that form the digest. Two contents share a digest with a
/// probability of 2^-64.
const DIGEST_BYTES: usize = 8;

/// The parts of a request that identify its content. Request ids, headers and the receiving node
/// are not included.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Host without port.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Name of the tenant, empty if there is none.
    pub tenant: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Digest of a [`RequestContent`]; equal for repetitions of a request. API keys are not included.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// Computes the digest of a content.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Sha256::new();
        let parts = [content.host, content.method, content.path, content.tenant];
        for part in parts {
            // Length prefixes delimit the parts: "a" + "bc" differs from "ab" + "c".
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(content.body);
        let digest = hasher.finalize();
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(u64::from_be_bytes(kept))
    }

    /// Returns the digest as a number for messages between nodes.
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// Inverse of [`ContentDigest::to_bits`].
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ContentDigest({self})")
    }
}
