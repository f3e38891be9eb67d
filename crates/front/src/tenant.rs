//! Tenants: who may send requests, by which keys, and how urgent their requests are.
//!
//! Keys are never kept: what is known of one is its SHA-256 digest, and a digest is never printed.

use std::fmt;
use std::sync::Arc;

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName, HeaderValue};
use ladderstage::region::AllowedRegions;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// The digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of a key as a client sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// One tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, which instances are told.
    pub name: Arc<str>,
    /// Digests of its keys; any of them names the tenant.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, 0 highest, in place of their routes'; `None`: the routes decide.
    pub priority: Option<u8>,
    /// Where its requests may be served and kept, within the bounds of their routes.
    pub allowed_regions: AllowedRegions,
}

/// Why a request is not taken for one of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyRefusal {
    /// It carries no key.
    #[error("no_key")]
    Missing,
    /// No version of the configuration that this process has seen held the key.
    #[error("unknown_key")]
    Unknown,
    /// A version took the key away.
    #[error("key_taken_away_in_version_{version}")]
    Revoked {
        /// That version.
        version: u64,
    },
}

impl KeyRefusal {
    /// Label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "no_key",
            Self::Unknown => "unknown_key",
            Self::Revoked { .. } => "key_taken_away",
        }
    }
}

/// Whose request it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no tenants.
    Unchecked,
    /// Nobody's: its route needs no key.
    Anonymous,
    /// A tenant's.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// The tenant, if there is one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Makes the headers of a request say whose it is, whatever its client wrote there. Instances never see a key.
    pub fn set_headers(&self, headers: &mut HeaderMap, tenant_header: &HeaderName) {
        headers.remove(tenant_header);
        match self {
            Self::Unchecked => {}
            Self::Anonymous => {
                headers.remove(AUTHORIZATION);
            }
            Self::Tenant(tenant) => set_tenant(headers, tenant_header, &tenant.name),
        }
    }
}

/// Names a tenant in the headers of a request, and takes any key out of them.
pub fn set_tenant(headers: &mut HeaderMap, tenant_header: &HeaderName, tenant: &str) {
    headers.remove(AUTHORIZATION);
    headers.remove(tenant_header);
    // Names that are no header values are refused with the configuration.
    if let Ok(value) = HeaderValue::from_str(tenant) {
        headers.insert(tenant_header.clone(), value);
    }
}

/// The tenant that holds a key. All keys are compared, each in full, so that the time taken tells nothing of them: some two
/// hundred keys take a few microseconds.
pub fn find_tenant<'a>(tenants: &'a [Arc<Tenant>], key: &KeyDigest) -> Option<&'a Arc<Tenant>> {
    let mut found = None;
    for tenant in tenants {
        for known in &tenant.keys {
            if bool::from(known.0.ct_eq(&key.0)) {
                found = Some(tenant);
            }
        }
    }
    found
}

/// The key in the value of an `Authorization` header: what follows the scheme `Bearer`.
pub fn bearer_key(authorization: &[u8]) -> Option<KeyDigest> {
    const SCHEME: &[u8] = b"bearer ";
    let (scheme, key) = authorization.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then(|| KeyDigest::of(key))
}
