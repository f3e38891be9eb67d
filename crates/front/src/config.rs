//! Serving configuration: routes, services, tenants and limits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::HeaderValue;
use ladderstage::region::AllowedRegions;
use tokio::sync::watch;

use crate::config_age::ConfigAge;
use crate::tenant::{KeyDigest, KeyRefusal, Tenant, find_tenant};

/// Kind of a route, which decides how its requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once for each client attempt.
    Unsafe,
    /// The response is a stream of events.
    Streaming,
    /// The route accepts batch jobs.
    Batch,
}

/// Service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Routing rule for the requests of a host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: String,
    /// Value of the requests' `Host` header.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Maximum time from a request's arrival to its response.
    pub timeout: Duration,
    /// Target latency of a response.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that share the requests; not empty.
    pub split: Vec<WeightedService>,
    /// Maximum number of instances that a request may be sent to.
    pub max_attempts: u32,
    /// Time after a batch job's submission from which its items may be abandoned; `None` if items
    /// are never abandoned by age.
    pub max_queue_time: Option<Duration>,
    /// Time after a batch job's submission at which its results are due.
    pub result_deadline: Option<Duration>,
    /// Every generation must come from a single weight version.
    pub single_version: bool,
    /// An interrupted stream may be resumed at another instance.
    pub resumable: bool,
    /// Requests do not need an API key.
    pub is_public: bool,
    /// Regions in which requests may be served and stored.
    pub allowed_regions: AllowedRegions,
}

/// Lowest priority that instances distinguish.
const LOWEST_PRIORITY: u8 = 9;

/// Maximum number of removed keys that are remembered.
const MAX_RETIRED_KEYS: usize = 4_096;

impl Route {
    /// Returns the value of the header that carries the priority of a request to instances. A
    /// tenant's priority overrides the route's.
    pub fn priority_header(&self, tenant: Option<&Tenant>) -> HeaderValue {
        let tenant_priority = tenant.and_then(|tenant| tenant.priority);
        let priority = tenant_priority.unwrap_or(self.priority);
        HeaderValue::from(u16::from(priority.min(LOWEST_PRIORITY)))
    }

    /// Returns the regions in which a tenant's requests may be served and stored: those that both
    /// the route and the tenant allow.
    pub fn allowed_regions_for(&self, tenant: Option<&Tenant>) -> AllowedRegions {
        match tenant {
            Some(tenant) => self.allowed_regions.intersect(&tenant.allowed_regions),
            None => self.allowed_regions.clone(),
        }
    }

    /// Picks the service for a request by weight; `random` is any number.
    pub fn pick_service(&self, random: u64) -> &str {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut point = random % total.max(1);
        for part in &self.split {
            let weight = u64::from(part.weight);
            if point < weight {
                return &part.service;
            }
            point -= weight;
        }
        &self.split[0].service
    }
}

/// Limits of a cold instance, which has just started or reports that it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// Time after its start for which an instance is cold.
    pub time: Duration,
    /// Maximum requests per second to a cold instance from all callers together.
    pub requests_per_second: f64,
}

/// Bounds of the number of a service's instances, and their prices.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of instances in a zone, of both kinds together.
    pub min_per_zone: u32,
    /// Maximum number of instances in a zone, of both kinds together.
    pub max_per_zone: u32,
    /// Time from an order to the first request served by the new instance.
    pub boot_time: Duration,
    /// Price of a preemptible instance relative to a regular one; `None` if there are no
    /// preemptible ones.
    pub preemptible_price: Option<f64>,
    /// Price of an instance per second, by zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// Properties of a service and its instances.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceSpec {
    /// Maximum connections to an instance from all callers together.
    pub max_connections: u32,
    /// Models that the instances serve; empty for applications.
    pub models: Vec<String>,
    /// Tokens per event of a stream; 0 if unknown.
    pub tokens_per_event: u64,
    /// Limits of cold instances; `None` if they have none.
    pub cold: Option<ColdSpec>,
    /// Bounds of the number of instances; `None` if this system does not manage it.
    pub scaling: Option<ScalingSpec>,
}

/// Limits of client requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of a request's head.
    pub max_header_bytes: usize,
    /// Maximum bytes of a request's body.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub header_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServingConfig {
    /// Version number, which increases with every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// Limits of client requests.
    pub limits: Limits,
    /// Tenants that may send requests; if empty, everybody may, without a key.
    pub tenants: Vec<Arc<Tenant>>,
    /// Removed keys with the version that removed them, for the log.
    pub retired_keys: BTreeMap<KeyDigest, u64>,
}

impl ServingConfig {
    /// Returns the tenant that `key` belongs to.
    ///
    /// # Errors
    /// Returns the reason why the key is missing or invalid.
    pub fn tenant_of(&self, key: Option<&KeyDigest>) -> Result<&Arc<Tenant>, KeyRefusal> {
        let key = key.ok_or(KeyRefusal::Missing)?;
        find_tenant(&self.tenants, key).ok_or_else(|| match self.retired_keys.get(key) {
            Some(version) => KeyRefusal::Revoked { version: *version },
            None => KeyRefusal::Unknown,
        })
    }

    /// Returns the tenant with a name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants
            .iter()
            .find(|tenant| tenant.name.as_ref() == name)
    }

    /// Returns the regions in which a tenant's requests for a host and path may be served and
    /// stored; `None` if no route matches. Requests of a removed tenant, which may have had
    /// restrictions, are allowed nowhere.
    pub fn allowed_regions(&self, host: &str, path: &str, tenant: &str) -> Option<AllowedRegions> {
        let route = self.route(host, path)?;
        let known = self.tenant(tenant);
        if known.is_none() && !tenant.is_empty() {
            return Some(AllowedRegions::only([]));
        }
        Some(route.allowed_regions_for(known.map(AsRef::as_ref)))
    }

    /// Returns whether any route or tenant restricts the regions.
    fn restricts_regions(&self) -> bool {
        let routes = self.routes.iter().map(|route| &route.allowed_regions);
        let tenants = self.tenants.iter().map(|tenant| &tenant.allowed_regions);
        routes.chain(tenants).any(|allowed| !allowed.allows_all())
    }

    /// Records the keys of the previous version that this one removes.
    fn record_retired_keys(&mut self, previous: &Self) {
        self.retired_keys = previous.retired_keys.clone();
        let tenants = self.tenants.iter();
        let keys: BTreeSet<&KeyDigest> = tenants.flat_map(|tenant| &tenant.keys).collect();
        self.retired_keys.retain(|key, _| !keys.contains(key));
        let earlier = previous.tenants.iter().flat_map(|tenant| &tenant.keys);
        for key in earlier.filter(|key| !keys.contains(key)) {
            if self.retired_keys.len() < MAX_RETIRED_KEYS {
                self.retired_keys.entry(*key).or_insert(self.version);
            }
        }
    }

    /// Returns the services that live requests may go to: all except those used only by routes of
    /// batch jobs. A service without a route is included, as a route may be added at any time.
    pub fn live_services(&self) -> BTreeSet<String> {
        let used_by = |is_batch: bool| -> BTreeSet<&str> {
            let routes = self.routes.iter();
            let of_kind = routes.filter(|route| (route.kind == RouteKind::Batch) == is_batch);
            of_kind
                .flat_map(|route| &route.split)
                .map(|part| part.service.as_str())
                .collect()
        };
        let (live, batch) = (used_by(false), used_by(true));
        let names = self.services.keys().map(String::as_str);
        names
            .chain(live.iter().copied())
            .filter(|name| live.contains(name) || !batch.contains(name))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the route of a request: the one of its host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}

/// The newest configuration known to this process. Cheap to clone.
#[derive(Debug, Clone)]
pub struct CurrentConfig {
    current: watch::Sender<Option<Arc<ServingConfig>>>,
    age: ConfigAge,
    /// Whether any configuration so far restricted the regions. Lets requests skip the lookup of a
    /// route otherwise.
    restricts_regions: Arc<AtomicBool>,
}

impl Default for CurrentConfig {
    fn default() -> Self {
        Self {
            current: watch::Sender::new(None),
            age: ConfigAge::default(),
            restricts_regions: Arc::default(),
        }
    }
}

impl CurrentConfig {
    /// Installs a configuration unless one with the same or a later version is installed; returns
    /// whether it was installed.
    pub fn apply_if_newer(&self, mut config: ServingConfig) -> bool {
        self.current.send_if_modified(|current| {
            let known = current.as_ref().map(|known| known.version);
            if known.is_some_and(|known| known >= config.version) {
                return false;
            }
            if let Some(previous) = current {
                config.record_retired_keys(previous);
            }
            let keys: usize = config.tenants.iter().map(|tenant| tenant.keys.len()).sum();
            log::info!(
                "event=config_in_force version={} previous={} routes={} tenants={} keys={keys} retired_keys={}",
                config.version,
                known.unwrap_or(0),
                config.routes.len(),
                config.tenants.len(),
                config.retired_keys.len()
            );
            // Never reset, as requests of a tenant whose restriction was removed with it may still
            // be in progress.
            let restricts_regions = config.restricts_regions();
            self.restricts_regions
                .fetch_or(restricts_regions, Ordering::Release);
            *current = Some(Arc::new(std::mem::take(&mut config)));
            if known.is_none() {
                self.age.record_first();
            }
            true
        })
    }

    /// Returns the time as of which the installed configuration is known to be the newest.
    pub fn age(&self) -> &ConfigAge {
        &self.age
    }

    /// Returns the installed configuration; `None` before the first one.
    pub fn current(&self) -> Option<Arc<ServingConfig>> {
        self.current.borrow().clone()
    }

    /// Returns the regions in which a tenant's requests for a host and path may currently be served
    /// and stored; `None` if no route matches.
    pub fn allowed_regions(&self, host: &str, path: &str, tenant: &str) -> Option<AllowedRegions> {
        if !self.restricts_regions.load(Ordering::Acquire) {
            return Some(AllowedRegions::default());
        }
        self.current()?.allowed_regions(host, path, tenant)
    }

    /// Returns a receiver that changes whenever a configuration is installed.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<ServingConfig>>> {
        self.current.subscribe()
    }
}
