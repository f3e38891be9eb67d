//! Table of all discovered instances.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::HeaderValue;
use ladderstage::region::{AllowedRegions, RegionMap};
use ladderstage_clock::Instant;
use tokio::sync::watch;

use super::choice::{Candidate, WorkKind, choose, median};
use super::counters::DiscoveryCounters;
use super::gate::{HoldReason, Locality, SendGates};
use super::index::{ChoiceIndex, RequiredWeights};
use super::instance::{DiscoveredInstance, Instance};

/// Maximum number of fitting instances that one choice compares. The best of a random part of a
/// large fleet is as good as the best of all, and chosen by fewer nodes at the same time.
const MAX_CONSIDERED: usize = 256;

/// Time for which the median unit time of a service with more instances is kept.
const UNIT_TIME_INTERVAL: Duration = Duration::from_millis(100);

/// Median unit time of a service in milliseconds, and when it was computed.
type UnitTimeMedian = (Option<f64>, Instant);

/// Instances by id. Cheap to clone.
#[derive(Debug, Clone)]
pub struct BackendTable {
    zone: Arc<str>,
    instances: Arc<Mutex<BTreeMap<String, Arc<Instance>>>>,
    index: Arc<Mutex<ChoiceIndex>>,
    /// Median unit times of the services with many instances, and when they were computed.
    unit_times: Arc<Mutex<BTreeMap<String, UnitTimeMedian>>>,
    changed: watch::Sender<u64>,
    /// Changes when an instance is added, removed or changed in anything but its weights.
    membership: watch::Sender<u64>,
    /// True once any instance was added.
    is_populated: watch::Sender<bool>,
    /// True once a request came before the first instance.
    is_requested: watch::Sender<bool>,
    counters: DiscoveryCounters,
    gates: SendGates,
}

impl BackendTable {
    /// Creates a table for a node in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.into(),
            instances: Arc::default(),
            index: Arc::default(),
            unit_times: Arc::default(),
            changed: watch::Sender::new(0),
            membership: watch::Sender::new(0),
            is_populated: watch::Sender::new(false),
            is_requested: watch::Sender::new(false),
            counters: DiscoveryCounters::default(),
            gates: SendGates {
                locality: Locality {
                    zone: zone.into(),
                    ..Locality::default()
                },
                ..SendGates::default()
            },
        }
    }

    /// Sets the regions of the zones. Must precede the first instance, as each keeps a copy.
    pub fn with_regions(mut self, regions: RegionMap) -> Self {
        self.gates.locality.regions = regions;
        self
    }

    /// Returns the conditions for sending requests to ready instances.
    pub fn gates(&self) -> &SendGates {
        &self.gates
    }

    /// Replaces the set of drained zones.
    pub fn set_drained_zones(&self, zones: BTreeSet<Arc<str>>) {
        let drained = &self.gates.drained;
        let before = drained.current();
        let is_changed = !drained.is_known() || *before != zones;
        drained.set(zones);
        if !is_changed {
            return;
        }
        let now = drained.current();
        self.log_drains(&before, &now);
        self.counters.drained_zones.set(now.len() as i64);
        // A zone whose drain ended may have free slots for waiting work.
        self.notify();
    }

    fn log_drains(&self, before: &BTreeSet<Arc<str>>, now: &BTreeSet<Arc<str>>) {
        for zone in now.difference(before) {
            let instances = self.count_in_zone(zone);
            log::info!("event=zone_drain_began zone={zone} instances={instances}");
        }
        for zone in before.difference(now) {
            let instances = self.count_in_zone(zone);
            log::info!("event=zone_drain_ended zone={zone} instances={instances}");
        }
    }

    fn count_in_zone(&self, zone: &str) -> usize {
        let instances = self.lock();
        let zones = instances
            .values()
            .map(|instance| instance.discovered().zone);
        zones.filter(|other| other == zone).count()
    }

    /// Returns why drains leave a service without a usable instance; `None` if a ready instance may
    /// get requests or drains affect no instance.
    pub fn drain_reason(&self, service: &str) -> Option<HoldReason> {
        let instances = self.instances_of(service);
        let is_open =
            |instance: &Arc<Instance>| instance.is_ready() && instance.check_drain().is_ok();
        if instances.iter().any(is_open) {
            return None;
        }
        let reasons = instances
            .iter()
            .map(|instance| instance.check_drain().err());
        reasons.flatten().next()
    }

    /// Returns the counters of discovery.
    pub fn counters(&self) -> &DiscoveryCounters {
        &self.counters
    }

    /// Removes an instance whose record cannot be read and counts it under the metric label
    /// `reason`.
    pub fn remove_unreadable(&self, id: &str, reason: &str) {
        let unreadable = &self.counters.unreadable_records;
        unreadable.with_label_values(&[reason]).inc();
        self.remove(id);
    }

    /// Applies a discovery record. A later incarnation replaces the earlier one with all its state;
    /// a late record about an earlier incarnation is ignored, and so is an id that no header can carry:
    /// requests name the instance that may run them.
    pub fn upsert(&self, mut discovered: DiscoveredInstance) {
        if HeaderValue::from_str(&discovered.id).is_err() {
            log::error!(
                "event=instance_id_invalid instance={}",
                discovered.id.escape_debug()
            );
            return;
        }
        let mut instances = self.lock();
        let known = instances.get(&discovered.id);
        if let Some(known) = known {
            let start = known.started_unix_ms();
            if discovered.started_unix_ms == 0 {
                discovered.started_unix_ms = start;
            }
            if discovered.started_unix_ms < start {
                log::info!(
                    "event=instance_report_late instance={} started={} known={start}",
                    discovered.id,
                    discovered.started_unix_ms
                );
                return;
            }
        }
        let regions = &self.gates.locality.regions;
        let is_unchanged =
            known.is_some_and(|known| known.discovered().equals_ignoring_weights(&discovered));
        match known {
            Some(known)
                if known.address() == discovered.address
                    && known.started_unix_ms() == discovered.started_unix_ms =>
            {
                if known.is_ready() != discovered.is_ready {
                    log::info!(
                        "event=instance_changed instance={} service={} ready={}",
                        discovered.id,
                        discovered.service,
                        discovered.is_ready
                    );
                }
                if !known.belongs_to(&discovered.service) {
                    lock(&self.index).clear();
                }
                known.update(discovered);
            }
            _ => {
                log::info!(
                    "event=instance_added instance={} service={} address={} zone={} region={} started={} before={} ready={} cold_ms={}",
                    discovered.id,
                    discovered.service,
                    discovered.address,
                    discovered.zone,
                    regions.region_of(&discovered.zone).unwrap_or("-"),
                    discovered.started_unix_ms,
                    known.map_or(0, |known| known.started_unix_ms()),
                    discovered.is_ready,
                    discovered.cold_ms
                );
                let id = discovered.id.clone();
                let instance = Arc::new(Instance::new(discovered, self.gates.clone()));
                lock(&self.index).clear();
                if let Some(earlier) = instances.insert(id, instance) {
                    earlier.mark_ended();
                    self.counters.restarts.inc();
                }
            }
        }
        drop(instances);
        self.is_populated
            .send_if_modified(|is_populated| !std::mem::replace(is_populated, true));
        if !is_unchanged {
            self.membership.send_modify(|count| *count += 1);
        }
        self.notify();
    }

    /// Records the start that an instance reported itself. A later start than the known one
    /// means a new incarnation, to which only the discovery record without weights is carried over.
    pub fn record_incarnation(&self, instance: &Instance, started_unix_ms: u64) {
        if started_unix_ms > instance.started_unix_ms() {
            self.upsert(DiscoveredInstance {
                started_unix_ms,
                versions: BTreeMap::new(),
                ..instance.discovered()
            });
            // The next discovery record shows whether it is cold.
            if let Some(started_again) = self.get(instance.id()) {
                started_again.mark_possibly_cold(Instant::now());
            }
        }
    }

    /// Requests instances if none was ever added, and waits at most `max_wait` for the first one
    /// and for the drained zones.
    pub async fn wait_for_first_instance(&self, max_wait: Duration) {
        let drained = &self.gates.drained;
        if *self.is_populated.borrow() && drained.is_known() {
            return;
        }
        self.is_requested.send_replace(true);
        let mut is_populated = self.is_populated.subscribe();
        let first_update = async {
            // The sender lives as long as `self`.
            let _ = is_populated.wait_for(|is_populated| *is_populated).await;
            drained.wait_until_known().await;
        };
        // After a timeout, the choice of an instance fails.
        let _ = tokio::time::timeout(max_wait, first_update).await;
    }

    /// Waits until a request came before the first instance was known.
    pub async fn wait_for_first_request(&self) {
        let mut is_requested = self.is_requested.subscribe();
        // The sender lives as long as `self`.
        let _ = is_requested.wait_for(|is_requested| *is_requested).await;
    }

    /// Removes an instance; its requests in flight continue.
    pub fn remove(&self, id: &str) {
        let removed = self.lock().remove(id);
        if let Some(instance) = removed {
            lock(&self.index).clear();
            instance.connections().close_idle();
            log::info!("event=instance_removed instance={id}");
            self.membership.send_modify(|count| *count += 1);
        }
        self.notify();
    }

    /// Removes all instances that `is_in_scope` accepts and whose ids are not in `kept`.
    pub fn retain(&self, kept: &[String], is_in_scope: impl Fn(&DiscoveredInstance) -> bool) {
        let kept: HashSet<&str> = kept.iter().map(String::as_str).collect();
        let gone: Vec<String> = {
            let instances = self.lock();
            let instances = instances.values();
            instances
                .filter(|instance| !kept.contains(instance.id()))
                .filter(|instance| is_in_scope(&instance.discovered()))
                .map(|instance| instance.id().to_owned())
                .collect()
        };
        gone.iter().for_each(|id| self.remove(id));
    }

    /// Returns an instance by its id.
    pub fn get(&self, id: &str) -> Option<Arc<Instance>> {
        self.lock().get(id).cloned()
    }

    /// Notifies waiting work that there may be free slots.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that changes with every change of the table.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns a receiver that changes when an instance is added, removed or changed in anything
    /// but its weights.
    pub fn watch_membership(&self) -> watch::Receiver<u64> {
        self.membership.subscribe()
    }

    /// Returns the last discovery records of all instances, sorted by id.
    pub fn discovered(&self) -> Vec<DiscoveredInstance> {
        let instances = self.lock();
        instances
            .values()
            .map(|instance| instance.discovered())
            .collect()
    }

    /// Returns the last discovery records of the instances of some services, sorted by id.
    pub fn discovered_of(&self, services: &BTreeSet<String>) -> Vec<DiscoveredInstance> {
        let instances = self.lock();
        instances
            .values()
            .filter(|instance| services.contains(&instance.service()))
            .map(|instance| instance.discovered())
            .collect()
    }

    /// Returns the instances of a service, sorted by id.
    pub fn instances_of(&self, service: &str) -> Vec<Arc<Instance>> {
        self.list(service, RequiredWeights::ANY).to_vec()
    }

    /// Returns the instances of a service with the required weights, sorted by id.
    fn list(&self, service: &str, weights: RequiredWeights) -> Arc<Vec<Arc<Instance>>> {
        let instances = self.lock();
        let changes = &self.gates.weight_changes;
        lock(&self.index).list(service, weights, changes, instances.values())
    }

    /// Returns the number of instances looked at so far to find those that fit a choice.
    pub fn looked_at(&self) -> u64 {
        lock(&self.index).looked_at()
    }

    /// Returns the median of the recent unit times of a service's instances, in milliseconds.
    pub fn typical_unit_time(&self, service: &str) -> Option<f64> {
        let now = Instant::now();
        let instances = self.list(service, RequiredWeights::ANY);
        if instances.len() <= MAX_CONSIDERED {
            return self.median_unit_time(&instances, now);
        }
        let known = lock(&self.unit_times).get(service).copied();
        if let Some((median, at)) = known
            && now.saturating_duration_since(at) < UNIT_TIME_INTERVAL
        {
            return median;
        }
        let median = self.median_unit_time(&instances, now);
        lock(&self.unit_times).insert(service.to_owned(), (median, now));
        median
    }

    fn median_unit_time(&self, instances: &[Arc<Instance>], now: Instant) -> Option<f64> {
        let unit_times = instances
            .iter()
            .filter_map(|one| one.candidate(&self.zone, now).unit_time_ms);
        median(unit_times.collect())
    }

    /// Chooses among the usable instances of `service` with the required weights that `fits`
    /// accepts, and reserves capacity for the request.
    pub fn choose(
        &self,
        service: &str,
        weights: RequiredWeights,
        demand: WorkKind,
        fits: impl Fn(&Instance) -> bool,
    ) -> Option<Arc<Instance>> {
        let now = Instant::now();
        let (chosen, cold) = self.select(service, weights, demand, now, fits);
        match &chosen {
            Some(instance) => instance.reserve_send(now),
            None => {
                // Permits for these cold instances would let the work start.
                let idle = cold.iter().filter(|instance| instance.has_free_slot());
                idle.for_each(|instance| self.gates.permit_requests.add(instance.id(), service));
            }
        }
        chosen
    }

    /// Returns the instance that [`BackendTable::choose_in_regions`] would choose, without reserving
    /// it.
    pub fn best_in_regions(
        &self,
        service: &str,
        weights: RequiredWeights,
        demand: WorkKind,
        allowed: &AllowedRegions,
        fits: impl Fn(&Instance) -> bool,
    ) -> Option<Arc<Instance>> {
        let fits = |instance: &Instance| instance.is_within(allowed) && fits(instance);
        let (best, _) = self.select(service, weights, demand, Instant::now(), fits);
        best
    }

    /// Selects the best instance; also returns the cold ones that lack only a permit.
    fn select(
        &self,
        service: &str,
        weights: RequiredWeights,
        demand: WorkKind,
        now: Instant,
        fits: impl Fn(&Instance) -> bool,
    ) -> (Option<Arc<Instance>>, Vec<Arc<Instance>>) {
        let list = self.list(service, weights);
        let fits = |instance: &Instance| {
            instance.is_usable(weights.model, now) && weights.fit(instance) && fits(instance)
        };
        let mut usable = considered(&list, fits);
        let cold = self.remove_held(&mut usable, now);
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|instance| instance.candidate(&self.zone, now))
            .collect();
        let index = choose(&candidates, demand, rand::random());
        (index.map(|index| Arc::clone(&usable[index])), cold)
    }

    /// Removes the instances that may get no request now; returns those that lack only a permit.
    fn remove_held(&self, usable: &mut Vec<Arc<Instance>>, now: Instant) -> Vec<Arc<Instance>> {
        let mut cold = Vec::new();
        usable.retain(|instance| {
            let Err(reason) = instance.check_send(now) else {
                return true;
            };
            let labels = [reason.label(), &instance.zone()];
            self.counters
                .skipped_instances
                .with_label_values(&labels)
                .inc();
            if reason == HoldReason::Cold {
                cold.push(Arc::clone(instance));
            }
            false
        });
        cold
    }

    /// Returns whether a cold instance of the service may soon get permits.
    pub fn may_get_permits(&self, service: &str) -> bool {
        let held_counts = self.held_counts(service);
        held_counts.contains_key(&HoldReason::Cold)
    }

    /// Returns the number of ready instances of a service that are held back now, by reason.
    pub fn held_counts(&self, service: &str) -> BTreeMap<HoldReason, usize> {
        let now = Instant::now();
        let mut counts = BTreeMap::new();
        let ready = self.instances_of(service).into_iter();
        for instance in ready.filter(|instance| instance.is_ready()) {
            if let Err(reason) = instance.check_send(now) {
                *counts.entry(reason).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Like [`BackendTable::choose`], among instances in allowed regions.
    pub fn choose_in_regions(
        &self,
        service: &str,
        weights: RequiredWeights,
        demand: WorkKind,
        allowed: &AllowedRegions,
        fits: impl Fn(&Instance) -> bool,
    ) -> Option<Arc<Instance>> {
        self.choose(service, weights, demand, |instance| {
            instance.is_within(allowed) && fits(instance)
        })
    }

    /// Returns whether a service has an instance in an allowed region, ready or not.
    pub fn has_instance_in(&self, service: &str, allowed: &AllowedRegions) -> bool {
        let instances = self.instances_of(service);
        instances.iter().any(|instance| instance.is_within(allowed))
    }

    /// Returns a random ready instance of a service in an allowed region, paused ones included.
    pub fn choose_for_retry(
        &self,
        service: &str,
        allowed: &AllowedRegions,
    ) -> Option<Arc<Instance>> {
        let now = Instant::now();
        let instances = self.instances_of(service);
        let ready: Vec<_> = instances
            .into_iter()
            .filter(|instance| instance.is_ready() && instance.is_within(allowed))
            .filter(|instance| instance.check_send(now).is_ok())
            .collect();
        let index = rand::random_range(0..ready.len().max(1));
        let chosen = ready.get(index).cloned();
        chosen.inspect(|instance| instance.reserve_send(now))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Instance>>> {
        lock(&self.instances)
    }
}

/// Returns the instances of a list that fit; of many, [`MAX_CONSIDERED`] from a random place on.
fn considered(list: &[Arc<Instance>], fits: impl Fn(&Instance) -> bool) -> Vec<Arc<Instance>> {
    let start = if list.len() > MAX_CONSIDERED {
        rand::random_range(0..list.len())
    } else {
        0
    };
    let (before, after) = list.split_at(start);
    let fitting = after.iter().chain(before).filter(|one| fits(one));
    fitting.take(MAX_CONSIDERED).cloned().collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
