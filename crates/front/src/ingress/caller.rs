//! Identification of a request's sender by its API key.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::config::{Route, ServingConfig};
use crate::tenant::{Caller, KeyRefusal, bearer_key};

/// Identifies the sender of a request. `route` is `None` for calls to the job API, which always
/// require a key if tenants are configured.
pub(super) fn identify_caller(
    config: &ServingConfig,
    route: Option<&Route>,
    headers: &HeaderMap,
) -> Result<Caller, KeyRefusal> {
    if config.tenants.is_empty() {
        return Ok(Caller::NoTenants);
    }
    let authorization = headers.get(AUTHORIZATION);
    let key = authorization.and_then(|value| bearer_key(value.as_bytes()));
    match config.tenant_of(key.as_ref()) {
        Ok(tenant) => Ok(Caller::Tenant(Arc::clone(tenant))),
        Err(_) if route.is_some_and(|route| route.is_public) => Ok(Caller::Anonymous),
        Err(refusal) => Err(refusal),
    }
}
