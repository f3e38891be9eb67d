//! What makes two requests the same: host, method, path, whose they are, and the body.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a digest that are kept: two different contents share one in 2^64 only.
const DIGEST_BYTES: usize = 8;

/// The parts of a request that its repeats share, whatever their ids, headers and the node that they come to.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Host that it names, without a port.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Name of the tenant; empty: nobody's.
    pub tenant: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

/// Digest of a [`RequestContent`]. Keys are no part of it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// The digest of a content.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Sha256::new();
        let names = [content.host, content.method, content.path, content.tenant];
        for name in names {
            // Lengths keep parts apart: "a" + "bc" is another content than "ab" + "c".
            hasher.update((name.len() as u64).to_be_bytes());
            hasher.update(name.as_bytes());
        }
        hasher.update(content.body);
        let digest = hasher.finalize();
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(u64::from_be_bytes(kept))
    }

    /// As a number, for messages between nodes.
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// From [`ContentDigest::to_bits`].
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
