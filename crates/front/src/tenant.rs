//! Tenants: their API keys, and the priority and regions of their requests.
//!
//! Keys are stored only as SHA-256 digests, which are never printed.

use std::fmt;
use std::sync::Arc;

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName, HeaderValue};
use ladderstage::region::AllowedRegions;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key as sent by a client.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A tenant of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant, which is sent to instances with each request.
    pub name: Arc<str>,
    /// Digests of its keys, any of which identifies the tenant.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, 0 highest, which overrides that of their routes.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served and stored, further restricted by their routes.
    pub allowed_regions: AllowedRegions,
}

/// Reason why a request's key identifies no tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyRefusal {
    /// The request carries no key.
    #[error("no_key")]
    Missing,
    /// No configuration version seen by this process contains the key.
    #[error("unknown_key")]
    Unknown,
    /// A configuration version revoked the key.
    #[error("key_taken_away_in_version_{version}")]
    Revoked {
        /// Version that revoked it.
        version: u64,
    },
}

impl KeyRefusal {
    /// Returns the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "no_key",
            Self::Unknown => "unknown_key",
            Self::Revoked { .. } => "key_taken_away",
        }
    }
}

/// Sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no tenants.
    NoTenants,
    /// No tenant, on a route that needs no key.
    Anonymous,
    /// The tenant that owns the API key.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// Returns the tenant, if there is one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::NoTenants | Self::Anonymous => None,
        }
    }

    /// Sets the tenant header to the caller, whatever the client sent, and removes the API key.
    pub fn set_headers(&self, headers: &mut HeaderMap, tenant_header: &HeaderName) {
        headers.remove(tenant_header);
        match self {
            Self::NoTenants => {}
            Self::Anonymous => {
                headers.remove(AUTHORIZATION);
            }
            Self::Tenant(tenant) => set_tenant(headers, tenant_header, &tenant.name),
        }
    }
}

/// Sets the tenant header of a request and removes any API key.
pub fn set_tenant(headers: &mut HeaderMap, tenant_header: &HeaderName, tenant: &str) {
    headers.remove(AUTHORIZATION);
    headers.remove(tenant_header);
    // Names that are not valid header values are refused with the configuration.
    if let Ok(value) = HeaderValue::from_str(tenant) {
        headers.insert(tenant_header.clone(), value);
    }
}

/// Returns the tenant that owns a key. All keys are compared in full, so that the time taken
/// reveals nothing about them.
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

/// Returns the digest of the key after the scheme `Bearer` in an `Authorization` header.
pub fn bearer_key(authorization: &[u8]) -> Option<KeyDigest> {
    const SCHEME: &[u8] = b"bearer ";
    let (scheme, key) = authorization.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then(|| KeyDigest::of(key))
}
