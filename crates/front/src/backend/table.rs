//! All instances that discovery knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage::region::{AllowedRegions, RegionMap};
use ladderstage_clock::Instant;
use tokio::sync::watch;

use super::choice::{Candidate, Demand, choose, median};
use super::counters::DiscoveryCounters;
use super::gate::{HoldReason, Locality, SendGates};
use super::instance::{DiscoveredInstance, Instance};

/// The instances by id. Cheap to clone.
#[derive(Debug, Clone)]
pub struct BackendTable {
    zone: Arc<str>,
    instances: Arc<Mutex<BTreeMap<String, Arc<Instance>>>>,
    changed: watch::Sender<u64>,
    /// Changes when an instance comes or goes, or anything but its weights changes.
    membership: watch::Sender<u64>,
    /// Whether any instance was ever told of.
    is_fed: watch::Sender<bool>,
    /// Whether a request came before that.
    is_wanted: watch::Sender<bool>,
    counters: DiscoveryCounters,
    gates: SendGates,
}

impl BackendTable {
    /// A table for a chooser in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.into(),
            instances: Arc::default(),
            changed: watch::Sender::new(0),
            membership: watch::Sender::new(0),
            is_fed: watch::Sender::new(false),
            is_wanted: watch::Sender::new(false),
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

    /// The same for a deployment with these regions; to be set before instances are added, as each keeps a copy.
    pub fn with_regions(mut self, regions: RegionMap) -> Self {
        self.gates.locality.regions = regions;
        self
    }

    /// What keeps requests from instances that discovery calls ready.
    pub fn gates(&self) -> &SendGates {
        &self.gates
    }

    /// Takes the zones that are to be drained now.
    pub fn set_drained_zones(&self, zones: BTreeSet<Arc<str>>) {
        let drained = &self.gates.drained;
        let before = drained.current();
        let is_news = !drained.is_known() || *before != zones;
        drained.set(zones);
        if !is_news {
            return;
        }
        let now = drained.current();
        self.log_drains(&before, &now);
        self.counters.drained_zones.set(now.len() as i64);
        // Work that waits may find room in a zone whose drain ended.
        self.notify();
    }

    fn log_drains(&self, before: &BTreeSet<Arc<str>>, now: &BTreeSet<Arc<str>>) {
        for zone in now.difference(before) {
            let instances = self.count_in(zone);
            log::info!("event=zone_drain_began zone={zone} instances={instances}");
        }
        for zone in before.difference(now) {
            let instances = self.count_in(zone);
            log::info!("event=zone_drain_ended zone={zone} instances={instances}");
        }
    }

    fn count_in(&self, zone: &str) -> usize {
        let instances = self.lock();
        let zones = instances
            .values()
            .map(|instance| instance.discovered().zone);
        zones.filter(|other| other == zone).count()
    }

    /// Why drains leave no instance of a service that may get a request; `None`: one may, or there is no instance.
    pub fn drain_reason(&self, service: &str) -> Option<HoldReason> {
        let instances = self.instances_of(service);
        let is_open =
            |instance: &Arc<Instance>| instance.is_ready() && instance.check_drain().is_ok();
        if instances.iter().any(is_open) {
            return None;
        }
        let reasons = instances.iter().map(|instance| instance.check_drain().err());
        reasons.flatten().next()
    }

    /// What was counted of discovery.
    pub fn counters(&self) -> &DiscoveryCounters {
        &self.counters
    }

    /// Forgets an instance whose record names none any more; `reason` is a label of metrics.
    pub fn remove_unreadable(&self, id: &str, reason: &str) {
        let unreadable = &self.counters.unreadable_records;
        unreadable.with_label_values(&[reason]).inc();
        self.remove(id);
    }

    /// Takes what discovery tells of one instance. Nothing that is believed of one start outlives it, and a word about an earlier start
    /// than the known one, which may come late, changes nothing.
    pub fn upsert(&self, mut discovered: DiscoveredInstance) {
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
        let is_same =
            known.is_some_and(|known| known.discovered().is_same_without_weights(&discovered));
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
                if let Some(earlier) = instances.insert(id, instance) {
                    earlier.note_ended();
                    self.counters.restarts.inc();
                }
            }
        }
        drop(instances);
        self.is_fed
            .send_if_modified(|is_fed| !std::mem::replace(is_fed, true));
        if !is_same {
            self.membership.send_modify(|count| *count += 1);
        }
        self.notify();
    }

    /// An instance says itself when it started. If that is later than what discovery told, it has been started again, and nothing
    /// that was believed of it holds but where it is.
    pub fn record_incarnation(&self, instance: &Instance, started_unix_ms: u64) {
        if started_unix_ms > instance.started_unix_ms() {
            self.upsert(DiscoveredInstance {
                started_unix_ms,
                versions: BTreeMap::new(),
                ..instance.discovered()
            });
            // Whether it is cold its record tells later.
            if let Some(started_again) = self.get(instance.id()) {
                started_again.suspect_cold(Instant::now());
            }
        }
    }

    /// Asks for instances if none was ever told of, and waits for the first one and for word of drained zones, `longest` at most.
    pub async fn wait_for_first_instance(&self, longest: Duration) {
        let drained = &self.gates.drained;
        if *self.is_fed.borrow() && drained.is_known() {
            return;
        }
        self.is_wanted.send_replace(true);
        let mut is_fed = self.is_fed.subscribe();
        let first = async {
            // The sender lives as long as this table.
            let _ = is_fed.wait_for(|is_fed| *is_fed).await;
            drained.known().await;
        };
        // Whether it came in time shows when an instance is chosen.
        let _ = tokio::time::timeout(longest, first).await;
    }

    /// Returns once somebody asked for instances before the first one was told of.
    pub async fn wait_for_first_request(&self) {
        let mut is_wanted = self.is_wanted.subscribe();
        // The sender lives as long as this table.
        let _ = is_wanted.wait_for(|is_wanted| *is_wanted).await;
    }

    /// Forgets an instance that is gone; requests under way there go on.
    pub fn remove(&self, id: &str) {
        if let Some(instance) = self.lock().remove(id) {
            instance.connections().close_idle();
            log::info!("event=instance_removed instance={id}");
            self.membership.send_modify(|count| *count += 1);
        }
        self.notify();
    }

    /// Forgets all instances among those that `is_meant` accepts whose ids are not among `kept`.
    pub fn retain(&self, kept: &[String], is_meant: impl Fn(&DiscoveredInstance) -> bool) {
        let gone: Vec<String> = {
            let instances = self.lock();
            let instances = instances.values();
            instances
                .filter(|instance| !kept.iter().any(|id| id == instance.id()))
                .filter(|instance| is_meant(&instance.discovered()))
                .map(|instance| instance.id().to_owned())
                .collect()
        };
        gone.iter().for_each(|id| self.remove(id));
    }

    /// An instance by its id.
    pub fn get(&self, id: &str) -> Option<Arc<Instance>> {
        self.lock().get(id).cloned()
    }

    /// Tells those who wait for room that there may be some.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Changes with every change of the table.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Changes when an instance comes or goes, or anything but its weights changes.
    pub fn watch_membership(&self) -> watch::Receiver<u64> {
        self.membership.subscribe()
    }

    /// What discovery told last of all instances, sorted by id.
    pub fn discovered(&self) -> Vec<DiscoveredInstance> {
        let instances = self.lock();
        instances
            .values()
            .map(|instance| instance.discovered())
            .collect()
    }

    /// Instances of a service, sorted by id.
    pub fn instances_of(&self, service: &str) -> Vec<Arc<Instance>> {
        let instances = self.lock();
        let found = instances.values();
        found
            .filter(|instance| instance.is_of(service))
            .cloned()
            .collect()
    }

    /// Median of the recent paces of a service's instances, in milliseconds per unit of work.
    pub fn typical_unit_time(&self, service: &str) -> Option<f64> {
        let now = Instant::now();
        let instances = self.instances_of(service);
        let paces = instances
            .iter()
            .filter_map(|one| one.candidate(&self.zone, now).unit_time_ms);
        median(paces.collect())
    }

    /// The instance for one more request among those of `service` that are usable and that `fits` accepts.
    pub fn choose(
        &self,
        service: &str,
        model: &str,
        demand: Demand,
        fits: impl Fn(&Instance) -> bool,
    ) -> Option<Arc<Instance>> {
        let now = Instant::now();
        let (chosen, cold) = self.look(service, model, demand, now, fits);
        match &chosen {
            Some(instance) => instance.reserve_send(now),
            None => {
                // Work waits that these could take.
                let idle = cold.iter().filter(|instance| instance.has_free_slot());
                idle.for_each(|instance| self.gates.permit_requests.note(instance.id(), service));
            }
        }
        chosen
    }

    /// The instance that [`BackendTable::choose_within`] would choose, for work that goes on where it is unless another place pays.
    pub fn best_within(
        &self,
        service: &str,
        model: &str,
        demand: Demand,
        allowed: &AllowedRegions,
        fits: impl Fn(&Instance) -> bool,
    ) -> Option<Arc<Instance>> {
        let fits = |instance: &Instance| instance.is_within(allowed) && fits(instance);
        let (best, _) = self.look(service, model, demand, Instant::now(), fits);
        best
    }

    /// The instance for one more request, and the cold ones that a permit would open.
    fn look(
        &self,
        service: &str,
        model: &str,
        demand: Demand,
        now: Instant,
        fits: impl Fn(&Instance) -> bool,
    ) -> (Option<Arc<Instance>>, Vec<Arc<Instance>>) {
        let mut usable = self.instances_of(service);
        usable.retain(|instance| instance.is_usable(model, now) && fits(instance));
        let cold = self.pass_over_held(&mut usable, now);
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|instance| instance.candidate(&self.zone, now))
            .collect();
        let index = choose(&candidates, demand, rand::random());
        (index.map(|index| Arc::clone(&usable[index])), cold)
    }

    /// Removes instances that may get nothing now; returns those of them for which only a permit is missing.
    fn pass_over_held(&self, usable: &mut Vec<Arc<Instance>>, now: Instant) -> Vec<Arc<Instance>> {
        let mut cold = Vec::new();
        usable.retain(|instance| {
            let Err(reason) = instance.may_send(now) else {
                return true;
            };
            let labels = [reason.label(), &instance.zone()];
            self.counters.skipped_instances.with_label_values(&labels).inc();
            if reason == HoldReason::Cold {
                cold.push(Arc::clone(instance));
            }
            false
        });
        cold
    }

    /// Whether work that waits here for instances of a service may soon get permits for cold ones.
    pub fn awaits_permits(&self, service: &str) -> bool {
        let held_back = self.held_back(service);
        held_back.contains_key(&HoldReason::Cold)
    }

    /// How many ready instances of a service are held back now, by reason.
    pub fn held_back(&self, service: &str) -> BTreeMap<HoldReason, usize> {
        let now = Instant::now();
        let mut counts = BTreeMap::new();
        let ready = self.instances_of(service).into_iter();
        for instance in ready.filter(|instance| instance.is_ready()) {
            if let Err(reason) = instance.may_send(now) {
                *counts.entry(reason).or_insert(0) += 1;
            }
        }
        counts
    }

    /// As [`BackendTable::choose`], among those in allowed regions.
    pub fn choose_within(
        &self,
        service: &str,
        model: &str,
        demand: Demand,
        allowed: &AllowedRegions,
        fits: impl Fn(&Instance) -> bool,
    ) -> Option<Arc<Instance>> {
        self.choose(service, model, demand, |instance| {
            instance.is_within(allowed) && fits(instance)
        })
    }

    /// Whether a service has an instance in an allowed region, ready or not.
    pub fn has_any_within(&self, service: &str, allowed: &AllowedRegions) -> bool {
        let instances = self.instances_of(service);
        instances.iter().any(|instance| instance.is_within(allowed))
    }

    /// A ready instance of a service in an allowed region, also one that gets a pause after a failure.
    pub fn choose_for_retry(&self, service: &str, allowed: &AllowedRegions) -> Option<Arc<Instance>> {
        let now = Instant::now();
        let instances = self.instances_of(service);
        let ready: Vec<_> = instances
            .into_iter()
            .filter(|instance| instance.is_ready() && instance.is_within(allowed))
            .filter(|instance| instance.may_send(now).is_ok())
            .collect();
        let index = rand::random_range(0..ready.len().max(1));
        let chosen = ready.get(index).cloned();
        chosen.inspect(|instance| instance.reserve_send(now))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Instance>>> {
        self.instances
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
