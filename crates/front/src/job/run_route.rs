//! Route of a job's runs under the configuration in force, which may change while they wait.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::HeaderValue;
use ladderstage_wire::messages::JobSpec;

use crate::config::{CurrentConfig, Route, ServingConfig};

/// Route of a job under one version of the configuration.
#[derive(Debug)]
pub(super) struct RunRoute {
    route: Route,
    /// Priority of the items at instances.
    pub priority_header: HeaderValue,
    /// Number of tokens per event by service; services for which it is unknown are missing.
    tokens_per_event: BTreeMap<String, u64>,
}

impl RunRoute {
    fn find(config: &ServingConfig, spec: &JobSpec) -> Option<Self> {
        let route = config.route(&spec.host, &spec.path)?;
        let tenant = config.tenant(&spec.tenant);
        let services = route.split.iter().map(|part| &part.service);
        let tokens_per_event = services.filter_map(|name| {
            let service = config.services.get(name)?;
            (service.tokens_per_event > 0).then(|| (name.clone(), service.tokens_per_event))
        });
        Some(Self {
            priority_header: route.priority_header(tenant.map(AsRef::as_ref)),
            tokens_per_event: tokens_per_event.collect(),
            route: route.clone(),
        })
    }

    /// Picks the service of a run by weight.
    pub fn pick_service(&self) -> &str {
        self.route.pick_service(rand::random())
    }

    /// Returns the service of the next run of an item whose last one was at `service`: the same one
    /// while the route gives it a share of its requests.
    pub fn service_after<'a>(&'a self, service: &'a str) -> &'a str {
        let mut split = self.route.split.iter();
        if split.any(|part| part.service == service && part.weight > 0) {
            return service;
        }
        self.pick_service()
    }

    /// Returns the number of failed attempts after which an item is terminated.
    pub fn max_attempts(&self) -> u32 {
        self.route.max_attempts
    }

    /// Returns whether every text must come from a single weight version.
    pub fn is_single_version(&self) -> bool {
        self.route.single_version
    }

    /// Returns the time after a job's submission at which its unfinished items are terminated.
    pub fn max_queue_time(&self) -> Option<Duration> {
        self.route.max_queue_time
    }

    /// Returns the number of tokens per event of a service's streams, or 0 if it is unknown.
    pub fn tokens_per_event(&self, service: &str) -> u64 {
        self.tokens_per_event.get(service).copied().unwrap_or(0)
    }
}

/// Latest lookup of the route.
#[derive(Debug, Clone)]
struct FoundRoute {
    config: Arc<ServingConfig>,
    route: Arc<RunRoute>,
    /// True if the configuration has no route for the job any more; `route` is the last one then.
    is_removed: bool,
}

/// Looks up the route of a job in the configuration in force, once for each of its versions. Cheap to
/// clone.
#[derive(Debug, Clone)]
pub(super) struct JobRoute {
    config: CurrentConfig,
    spec: Arc<JobSpec>,
    found: Arc<Mutex<FoundRoute>>,
}

impl JobRoute {
    /// Looks the route up; returns `None` while no route matches the job.
    pub fn new(config: &CurrentConfig, spec: &Arc<JobSpec>) -> Option<Self> {
        let current = config.current()?;
        let found = FoundRoute {
            route: Arc::new(RunRoute::find(&current, spec)?),
            config: current,
            is_removed: false,
        };
        Some(Self {
            config: config.clone(),
            spec: Arc::clone(spec),
            found: Arc::new(Mutex::new(found)),
        })
    }

    /// Returns the route by which requests may be sent now; `None` while no route matches the job.
    pub fn current(&self) -> Option<Arc<RunRoute>> {
        let found = self.look_up();
        (!found.is_removed).then_some(found.route)
    }

    /// Returns the last known route, whose limits hold for runs that have started.
    pub fn last_known(&self) -> Arc<RunRoute> {
        self.look_up().route
    }

    fn look_up(&self) -> FoundRoute {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(current) = self.config.current() else {
            return found.clone();
        };
        if !Arc::ptr_eq(&current, &found.config) {
            let route = RunRoute::find(&current, &self.spec);
            found.is_removed = route.is_none();
            if let Some(route) = route {
                found.route = Arc::new(route);
            }
            found.config = current;
        }
        found.clone()
    }
}
