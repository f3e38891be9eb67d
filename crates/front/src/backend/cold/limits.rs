//! Request limits of cold instances, by service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use crate::config::{ColdSpec, ServingConfig};

/// The bound divided by this is issued as permits; the rest covers fronts that do not know yet that
/// the instance is cold.
const PERMIT_DIVISOR: u32 = 2;

/// A front may send the bound divided by this without permits to an instance that it considers
/// warm. Few fronts own jobs that use the same instance.
const WITHOUT_PERMIT_DIVISOR: u32 = 4;

/// Excess over the configured rate that all callers together may cause.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Factor on the rate that an instance can handle.
    pub overage: f64,
    /// Additional requests per second.
    pub slack: f64,
}

/// Request limits of one instance of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Time for which an instance stays cold after its start.
    pub time: Duration,
    /// Permits that all nodes together may use within a second.
    pub permits_per_second: u32,
    /// Requests per second that one node may send without permits to an instance that it considers
    /// warm.
    pub rate_without_permits: u32,
}

impl ColdLimit {
    /// Computes the limit of a service under an allowance.
    pub fn new(spec: &ColdSpec, allowance: ColdAllowance) -> Self {
        let bound = spec.requests_per_second * allowance.overage + allowance.slack;
        // NaN becomes 0.
        let bound = bound.clamp(0.0, f64::from(u32::MAX)).floor() as u32;
        Self {
            time: spec.time,
            permits_per_second: bound / PERMIT_DIVISOR,
            rate_without_permits: (bound / WITHOUT_PERMIT_DIVISOR).max(1),
        }
    }
}

/// Limits by service; empty if none applies. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ColdLimitTable {
    by_service: watch::Sender<Arc<BTreeMap<String, ColdLimit>>>,
}

impl Default for ColdLimitTable {
    fn default() -> Self {
        Self {
            by_service: watch::Sender::new(Arc::default()),
        }
    }
}

impl ColdLimitTable {
    /// Replaces the limits by those of a configuration.
    pub fn set(&self, config: &ServingConfig, allowance: ColdAllowance) {
        let limits = config.services.iter().filter_map(|(name, service)| {
            let spec = service.cold.as_ref()?;
            Some((name.clone(), ColdLimit::new(spec, allowance)))
        });
        self.by_service.send_replace(Arc::new(limits.collect()));
    }

    /// Returns whether no service has a limit.
    pub fn is_empty(&self) -> bool {
        self.by_service.borrow().is_empty()
    }

    /// Returns the limit of a service; `None` if its instances are not limited.
    pub fn get(&self, service: &str) -> Option<ColdLimit> {
        self.by_service.borrow().get(service).copied()
    }
}

/// Cold instances for which this node needs permits (rights to send one request each, issued by the
/// order leader), as work is waiting for them. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PermitRequests {
    services: Arc<Mutex<BTreeMap<String, String>>>,
    changed: Arc<Notify>,
}

impl PermitRequests {
    /// Requests permits for waiting work at an instance of a service.
    pub fn add(&self, instance: &str, service: &str) {
        let mut services = self.lock();
        if !services.contains_key(instance) {
            services.insert(instance.to_owned(), service.to_owned());
            self.changed.notify_one();
        }
    }

    /// Waits for requests and drains them as services by instance.
    pub async fn drain(&self) -> BTreeMap<String, String> {
        loop {
            let permit_requests = self.drain_pending();
            if !permit_requests.is_empty() {
                return permit_requests;
            }
            self.changed.notified().await;
        }
    }

    /// Drains all pending requests as services by instance.
    pub fn drain_pending(&self) -> BTreeMap<String, String> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, String>> {
        self.services
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
