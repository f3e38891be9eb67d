//! How many requests an instance may get while it is cold, by service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use crate::config::{ColdSpec, ServingConfig};

/// One of so many parts of the bound is dealt as permits; the rest covers fronts that do not know yet that the instance is cold.
const PERMIT_SHARE: u32 = 2;

/// Without permits a front sends one of so many parts of the bound to an instance that it takes for warm. Jobs start dozens of items at once, and few
/// fronts own jobs whose model an instance holds.
const UNAWARE_SHARE: u32 = 4;

/// By how much all callers together may exceed what cold instances bear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Factor on the requests a second that an instance bears.
    pub overage: f64,
    /// Requests a second on top.
    pub slack: f64,
}

/// What may be sent to one instance of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// How long an instance stays cold after its start.
    pub time: Duration,
    /// Permits that may be used within a second, of all nodes together.
    pub dealt: u32,
    /// Requests that one node sends within a second without permits while it takes the instance for warm.
    pub unaware: u32,
}

impl ColdLimit {
    /// The limit of a service under an allowance.
    pub fn new(spec: &ColdSpec, allowance: ColdAllowance) -> Self {
        let bound = spec.requests_per_second * allowance.overage + allowance.slack;
        // A bound that is no number allows nothing but the least.
        let bound = bound.clamp(0.0, f64::from(u32::MAX)).floor() as u32;
        Self {
            time: spec.time,
            dealt: bound / PERMIT_SHARE,
            unaware: (bound / UNAWARE_SHARE).max(1),
        }
    }
}

/// Limits by service; empty: none is in force. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ColdLimits {
    by_service: watch::Sender<Arc<BTreeMap<String, ColdLimit>>>,
}

impl Default for ColdLimits {
    fn default() -> Self {
        Self {
            by_service: watch::Sender::new(Arc::default()),
        }
    }
}

impl ColdLimits {
    /// Takes the limits of a configuration.
    pub fn set(&self, config: &ServingConfig, allowance: ColdAllowance) {
        let limited = config.services.iter().filter_map(|(name, service)| {
            let spec = service.cold.as_ref()?;
            Some((name.clone(), ColdLimit::new(spec, allowance)))
        });
        self.by_service.send_replace(Arc::new(limited.collect()));
    }

    /// Whether no service has a limit.
    pub fn is_empty(&self) -> bool {
        self.by_service.borrow().is_empty()
    }

    /// The limit of a service; `None`: its instances may get any number of requests at any time.
    pub fn get(&self, service: &str) -> Option<ColdLimit> {
        self.by_service.borrow().get(service).copied()
    }
}

/// Cold instances that this node needs permits for, as work waits that they could take. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PermitWants {
    services: Arc<Mutex<BTreeMap<String, String>>>,
    changed: Arc<Notify>,
}

impl PermitWants {
    /// Notes that work waits for a permit at an instance of a service.
    pub fn note(&self, instance: &str, service: &str) {
        let mut services = self.lock();
        if !services.contains_key(instance) {
            services.insert(instance.to_owned(), service.to_owned());
            self.changed.notify_one();
        }
    }

    /// Waits for wants, and returns all that were noted, services by instance.
    pub async fn take(&self) -> BTreeMap<String, String> {
        loop {
            let permit_requests = self.drain_pending();
            if !permit_requests.is_empty() {
                return permit_requests;
            }
            self.changed.notified().await;
        }
    }

    /// All that were noted so far, services by instance.
    pub fn drain_pending(&self) -> BTreeMap<String, String> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, String>> {
        self.services
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
