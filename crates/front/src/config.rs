//! The configuration in force: routes, services and limits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::HeaderValue;
use ladderstage::region::AllowedRegions;
use tokio::sync::watch;

use crate::tenant::{KeyDigest, KeyRefusal, Tenant, find_tenant};

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once for each client attempt.
    Unsafe,
    /// The answer is a series of events.
    Streaming,
    /// The route takes batch jobs.
    Batch,
}

/// One part of a route's split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that gets this part.
    pub service: String,
    /// Its share against the other parts.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank, 0 highest.
    pub priority: u8,
    /// The services of the route; not empty.
    pub split: Vec<WeightedService>,
    /// Most instances that one request may be sent to.
    pub max_attempts: u32,
    /// How long after a batch job was handed in an item may be given up; `None`: never by age.
    pub max_queue_time: Option<Duration>,
    /// How long after a batch job was handed in its results are due.
    pub result_deadline: Option<Duration>,
    /// Every text must come from one weight version.
    pub single_version: bool,
    /// A stream may be taken up at another instance.
    pub resumable: bool,
    /// Requests need no key.
    pub is_public: bool,
    /// Where its requests may be served and kept.
    pub allowed_regions: AllowedRegions,
}

/// Lowest rank that instances know.
const LOWEST_RANK: u8 = 9;

/// Keys that were taken away and are still told apart from unknown ones, at most.
const MOST_RETIRED_KEYS: usize = 4_096;

impl Route {
    /// Value of the header that tells instances how urgent a request is: a tenant's rank goes before the route's.
    pub fn priority_header(&self, tenant: Option<&Tenant>) -> HeaderValue {
        let by_tenant = tenant.and_then(|tenant| tenant.priority);
        let priority_header = by_tenant.unwrap_or(self.priority);
        HeaderValue::from(u16::from(priority_header.min(LOWEST_RANK)))
    }

    /// Where a tenant's requests may be served and kept: the bounds of both hold.
    pub fn allowed_regions_for(&self, tenant: Option<&Tenant>) -> AllowedRegions {
        match tenant {
            Some(tenant) => self.allowed_regions.and(&tenant.allowed_regions),
            None => self.allowed_regions.clone(),
        }
    }

    /// Service for a request, by the weights; `random` is any number.
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

/// What an instance bears while it is cold: it has just started, or says so.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long an instance stays cold after its start.
    pub time: Duration,
    /// Requests a second that it bears meanwhile, from all callers together.
    pub requests_per_second: f64,
}

/// How many instances a service may have, and what they cost.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingSpec {
    /// Fewest instances in a zone, of both kinds together.
    pub min_per_zone: u32,
    /// Most instances in a zone, of both kinds together.
    pub max_per_zone: u32,
    /// Time from an order to the first request that a new instance serves.
    pub boot_time: Duration,
    /// Price of an instance that may be taken away, against that of another; `None`: there are none.
    pub preemptible_price: Option<f64>,
    /// Price of a second of an instance, by zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// How the instances of a service are used.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceSpec {
    /// Connections that an instance takes from all callers together.
    pub max_connections: u32,
    /// Models that its instances hold; empty for plain applications.
    pub models: Vec<String>,
    /// Tokens that one event of their streams holds; 0: unknown.
    pub tokens_per_event: u64,
    /// What its instances bear while they are cold; `None`: as much as at any time.
    pub cold: Option<ColdSpec>,
    /// Bounds of how many instances it has; `None`: their number is not ours to change.
    pub scaling: Option<ScalingSpec>,
}

/// Bounds of what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to send a request's head.
    pub header_timeout: Duration,
    /// How long a kept connection may rest.
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

/// One whole version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServingConfig {
    /// Rises with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// Bounds of what clients may send.
    pub limits: Limits,
    /// Who may send requests; empty: everybody, without a key.
    pub tenants: Vec<Arc<Tenant>>,
    /// Keys that earlier versions held, with the version that took each away: for the log only.
    pub retired_keys: BTreeMap<KeyDigest, u64>,
}

impl ServingConfig {
    /// The tenant of a request that carries `key`.
    ///
    /// # Errors
    /// Why it is nobody's.
    pub fn tenant_of(&self, key: Option<&KeyDigest>) -> Result<&Arc<Tenant>, KeyRefusal> {
        let key = key.ok_or(KeyRefusal::Missing)?;
        find_tenant(&self.tenants, key).ok_or_else(|| match self.retired_keys.get(key) {
            Some(version) => KeyRefusal::Revoked { version: *version },
            None => KeyRefusal::Unknown,
        })
    }

    /// A tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants
            .iter()
            .find(|tenant| tenant.name.as_ref() == name)
    }

    /// Where a tenant's requests for a host and path may be served and kept; `None`: no route takes them. A tenant that was removed may
    /// have had bounds, so that the rest of its work is served nowhere.
    pub fn allowed_regions(&self, host: &str, path: &str, tenant: &str) -> Option<AllowedRegions> {
        let route = self.route(host, path)?;
        let known = self.tenant(tenant);
        if known.is_none() && !tenant.is_empty() {
            return Some(AllowedRegions::only([]));
        }
        Some(route.allowed_regions_for(known.map(AsRef::as_ref)))
    }

    /// Whether any route or tenant names regions.
    fn binds_regions(&self) -> bool {
        let routes = self.routes.iter().map(|route| &route.allowed_regions);
        let tenants = self.tenants.iter().map(|tenant| &tenant.allowed_regions);
        routes.chain(tenants).any(|allowed| !allowed.is_all())
    }

    /// Remembers which keys of the version before this one takes away.
    fn retire_keys_of(&mut self, previous: &Self) {
        self.retired_keys = previous.retired_keys.clone();
        let tenants = self.tenants.iter();
        let keys: BTreeSet<&KeyDigest> = tenants.flat_map(|tenant| &tenant.keys).collect();
        self.retired_keys.retain(|key, _| !keys.contains(key));
        let earlier = previous.tenants.iter().flat_map(|tenant| &tenant.keys);
        for key in earlier.filter(|key| !keys.contains(key)) {
            if self.retired_keys.len() < MOST_RETIRED_KEYS {
                self.retired_keys.entry(*key).or_insert(self.version);
            }
        }
    }

    /// Services that live requests may go to: all but those that only routes of batch jobs use. A service without a route counts,
    /// as a route may be given to it at any moment.
    pub fn live_services(&self) -> BTreeSet<String> {
        let used_by = |is_batch: bool| -> BTreeSet<&str> {
            let routes = self.routes.iter();
            let wanted = routes.filter(|route| (route.kind == RouteKind::Batch) == is_batch);
            wanted
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

    /// The route of a request: of those of its host, the one with the longest matching prefix.
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
    /// Whether any route or tenant names regions. Checked for each request, so that without any no route is looked up.
    binds_regions: Arc<AtomicBool>,
}

impl Default for CurrentConfig {
    fn default() -> Self {
        Self {
            current: watch::Sender::new(None),
            binds_regions: Arc::default(),
        }
    }
}

impl CurrentConfig {
    /// Takes a version unless one as new is in force; returns whether it was taken. A process never goes back.
    pub fn apply_if_newer(&self, mut config: ServingConfig) -> bool {
        self.current.send_if_modified(|current| {
            let known = current.as_ref().map(|known| known.version);
            if known.is_some_and(|known| known >= config.version) {
                return false;
            }
            if let Some(previous) = current {
                config.retire_keys_of(previous);
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
            // Once bound always looked up: work of a tenant whose bound went with it is still here.
            let binds_regions = config.binds_regions();
            self.binds_regions
                .fetch_or(binds_regions, Ordering::Release);
            *current = Some(Arc::new(std::mem::take(&mut config)));
            true
        })
    }

    /// The version in force; `None` before the first one.
    pub fn current(&self) -> Option<Arc<ServingConfig>> {
        self.current.borrow().clone()
    }

    /// Where a tenant's requests for a host and path may be served and kept now; `None`: no route takes them.
    pub fn allowed_regions(&self, host: &str, path: &str, tenant: &str) -> Option<AllowedRegions> {
        if !self.binds_regions.load(Ordering::Acquire) {
            return Some(AllowedRegions::default());
        }
        self.current()?.allowed_regions(host, path, tenant)
    }

    /// Changes whenever another version is in force.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<ServingConfig>>> {
        self.current.subscribe()
    }
}
