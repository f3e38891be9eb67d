//! Plans the desired capacity: replaces instances that a service lost in one zone by instances in
//! others until they return.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::{InstanceKind, InstancePool, PresentInstances, count_instances};
use super::desired::{DesiredCapacity, DesiredCount};
use super::losses::{LossReason, Losses};
use super::outbox::MAX_EXECUTION_DELAY;
use super::placement::{Placement, ZoneOffer, place};
use crate::backend::DiscoveredInstance;
use crate::config::{ScalingSpec, ServiceSpec};

/// Time after which additional instances count as found. Exceeds the time for which a rolling
/// replacement runs an additional instance.
pub const ADOPTION_DELAY: Duration = Duration::from_secs(5);

/// Time for which replacements stay after they are no longer needed, because returning instances
/// are slow at first and may be lost again.
pub const RELEASE_DELAY: Duration = Duration::from_secs(10);

/// Time for which a pool without available capacity, or with reclaimed instances, is skipped.
pub const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(2);

/// Input of one planning round.
#[derive(Debug, Clone, Copy)]
pub struct FleetState<'a> {
    /// Services by name.
    pub services: &'a BTreeMap<String, ServiceSpec>,
    /// All discovered instances.
    pub instances: &'a [DiscoveredInstance],
    /// Zones that are being drained.
    pub drained: &'a BTreeSet<Arc<str>>,
}

/// Increase in the number of lost instances of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LossUpdate {
    /// Pool that lost instances.
    pub pool: InstancePool,
    /// Instances lost now.
    pub lost: u32,
    /// Instances lost before.
    pub before: u32,
    /// Reason of the loss.
    pub reason: LossReason,
}

/// Result of one planning round.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// New desired capacity; `None` if it is unchanged.
    pub desired_capacity: Option<DesiredCapacity>,
    /// Losses since the last round.
    pub losses: Vec<LossUpdate>,
}

/// Replacements that are not needed at present.
#[derive(Debug, Clone, Copy)]
struct ExcessReplacements {
    /// Maximum number of instances lost at any time since `since`.
    max_lost: u32,
    since: Instant,
}

/// Instances that no order accounts for and that do not count as found yet.
#[derive(Debug, Clone, Copy)]
struct Surplus {
    count: u32,
    since: Instant,
}

/// Planner of one lease holder, with the state it keeps between rounds.
#[derive(Debug)]
pub struct CapacityPlanner {
    desired_capacity: DesiredCapacity,
    losses: BTreeMap<InstancePool, Losses>,
    surplus: BTreeMap<InstancePool, Surplus>,
    /// Maximum number of extra instances that recent orders may start, and the time until which
    /// these orders may take effect.
    max_ordered_until: BTreeMap<InstancePool, (u32, Instant)>,
    unavailable_until: BTreeMap<InstancePool, Instant>,
    /// Preemptible instances that were serving in the last round.
    last_serving: BTreeMap<InstancePool, u32>,
    excess: BTreeMap<Arc<str>, ExcessReplacements>,
}

impl CapacityPlanner {
    /// Creates a planner that continues from the capacity that earlier holders persisted.
    pub fn new(desired_capacity: DesiredCapacity, now: Instant) -> Self {
        // Orders of an earlier holder may still take effect.
        let ordered = desired_capacity
            .pools()
            .filter(|(_, count)| count.is_ordered);
        let ordered = ordered.map(|(pool, _)| (pool, (u32::MAX, now + MAX_EXECUTION_DELAY)));
        Self {
            max_ordered_until: ordered.collect(),
            desired_capacity,
            losses: BTreeMap::new(),
            surplus: BTreeMap::new(),
            unavailable_until: BTreeMap::new(),
            last_serving: BTreeMap::new(),
            excess: BTreeMap::new(),
        }
    }

    /// Returns the desired capacity that was persisted last.
    pub fn desired_capacity(&self) -> &DesiredCapacity {
        &self.desired_capacity
    }

    /// Discards observations because the fleet is unknown. Restarts the grace periods of missing
    /// instances, so that records that expired during an outage of the store can return.
    pub fn discard_observations(&mut self) {
        self.surplus.clear();
        self.last_serving.clear();
        self.losses
            .values_mut()
            .for_each(Losses::discard_observations);
    }

    /// Marks a pool as having no available capacity for now.
    pub fn mark_unavailable(&mut self, pool: &InstancePool, now: Instant) {
        self.unavailable_until
            .insert(pool.clone(), now + UNAVAILABLE_PAUSE);
    }

    /// Applies a persisted capacity.
    pub fn apply(&mut self, desired_capacity: DesiredCapacity, now: Instant) {
        for (pool, count) in desired_capacity.pools() {
            let before = self.desired_capacity.get(&pool);
            if count.extra == before.extra {
                continue;
            }
            let max = before.extra.max(count.extra);
            let (known, until) = self
                .max_ordered_until
                .get(&pool)
                .copied()
                .unwrap_or((0, now));
            let max = if now < until { max.max(known) } else { max };
            self.max_ordered_until
                .insert(pool, (max, now + MAX_EXECUTION_DELAY));
        }
        self.desired_capacity = desired_capacity;
    }

    /// Plans the desired capacity for the current fleet.
    pub fn plan(&mut self, fleet: FleetState, now: Instant) -> Plan {
        let counts = count_instances(fleet.instances);
        let mut next = self.desired_capacity.clone();
        let mut losses = Vec::new();
        for (service, spec) in fleet.services {
            if let Some(scaling) = &spec.scaling {
                let service = Service {
                    name: service.as_str().into(),
                    scaling,
                    counts: &counts,
                    drained: fleet.drained,
                };
                self.update_found_counts(&service, &mut next, now);
                self.update_losses(&service, &next, now, &mut losses);
                self.replace(&service, &mut next, now);
            }
        }
        Plan {
            desired_capacity: (next != self.desired_capacity).then_some(next),
            losses,
        }
    }

    /// Returns the pools that lack preemptible instances. Only an order in the same zone replaces
    /// these.
    pub fn pools_to_reorder(
        &self,
        drained: &BTreeSet<Arc<str>>,
        now: Instant,
    ) -> Vec<InstancePool> {
        let is_lacking = |pool: &InstancePool, serving: u32| {
            serving < self.desired_capacity.get(pool).total()
                && !drained.contains(&pool.zone)
                && !self.is_unavailable(pool, now)
        };
        let lacking = self.last_serving.iter();
        lacking
            .filter(|(pool, serving)| is_lacking(pool, **serving))
            .map(|(pool, _)| pool.clone())
            .collect()
    }

    fn is_unavailable(&self, pool: &InstancePool, now: Instant) -> bool {
        let until = self.unavailable_until.get(pool);
        until.is_some_and(|until| now < *until)
    }

    /// Counts instances that no order accounts for as found once they have stayed long enough.
    fn update_found_counts(&mut self, service: &Service, next: &mut DesiredCapacity, now: Instant) {
        let is_new = !self.desired_capacity.has_service(&service.name);
        for pool in service.pools(next) {
            let desired_count = next.get(&pool);
            let max_ordered = self.max_ordered(&pool, desired_count.extra, now);
            let unordered = service.present(&pool).serving;
            let unordered = unordered.saturating_sub(max_ordered);
            if unordered <= desired_count.found {
                self.surplus.remove(&pool);
                continue;
            }
            let surplus = self.surplus.entry(pool.clone()).or_insert(Surplus {
                count: unordered,
                since: now,
            });
            surplus.count = surplus.count.min(unordered);
            if is_new || now.saturating_duration_since(surplus.since) >= ADOPTION_DELAY {
                let found = surplus.count;
                next.set(
                    &pool,
                    DesiredCount {
                        found,
                        ..desired_count
                    },
                );
                self.surplus.remove(&pool);
            }
        }
    }

    /// Returns the maximum number of extra instances that orders may have started.
    fn max_ordered(&self, pool: &InstancePool, extra: u32, now: Instant) -> u32 {
        let ordered = self.max_ordered_until.get(pool);
        let ordered = ordered.filter(|(_, until)| now < *until);
        ordered.map_or(0, |(max, _)| *max).max(extra)
    }

    fn update_losses(
        &mut self,
        service: &Service,
        desired_capacity: &DesiredCapacity,
        now: Instant,
        updates: &mut Vec<LossUpdate>,
    ) {
        for pool in service.pools(desired_capacity) {
            let present = service.present(&pool);
            if pool.kind == InstanceKind::Preemptible {
                let desired = desired_capacity.get(&pool).total();
                updates.extend(self.detect_reclaimed(&pool, present, desired, now));
            }
            let found = desired_capacity.get(&pool).found;
            let is_drained = service.drained.contains(&pool.zone);
            let losses = self.losses.entry(pool.clone()).or_default();
            let before = losses.lost();
            if let Some(reason) = losses.update(found, present, is_drained, now) {
                updates.push(LossUpdate {
                    pool,
                    lost: losses.lost(),
                    before,
                    reason,
                });
            }
        }
    }

    /// Detects that preemptible instances are being reclaimed: one of them has announced it, or
    /// none is left. All missing instances then count as lost, including ordered ones that have not
    /// started. If some are left and none has announced it, the missing ones crashed.
    fn detect_reclaimed(
        &mut self,
        pool: &InstancePool,
        present: PresentInstances,
        desired: u32,
        now: Instant,
    ) -> Option<LossUpdate> {
        let serving = present.serving;
        let before = self.last_serving.insert(pool.clone(), serving).unwrap_or(0);
        let is_none_left = serving == 0 && before > 0 && desired > 0;
        if !is_none_left && !present.is_being_reclaimed {
            return None;
        }
        let is_new_loss = !self.is_unavailable(pool, now) && serving < desired;
        self.mark_unavailable(pool, now);
        is_new_loss.then(|| LossUpdate {
            pool: pool.clone(),
            lost: desired - serving,
            before: 0,
            reason: LossReason::Reclaimed,
        })
    }

    /// Places one replacement per lost instance; keeps replacements that are no longer needed for
    /// [`RELEASE_DELAY`].
    fn replace(&mut self, service: &Service, next: &mut DesiredCapacity, now: Instant) {
        let pools = service.pools(next);
        let lost: u32 = pools.iter().map(|pool| self.lost(pool)).sum();
        let placement = placement(&pools, next);
        let offers = self.offers(service, next, now);
        let target = self.target(service, lost, placement.values().sum(), now);
        set_placement(&pools, next, &place(&offers, &placement, target));
    }

    fn lost(&self, pool: &InstancePool) -> u32 {
        self.losses.get(pool).map_or(0, Losses::lost)
    }

    /// Returns the number of extra instances the service should have.
    fn target(&mut self, service: &Service, lost: u32, placed_count: u32, now: Instant) -> u32 {
        if lost >= placed_count {
            self.excess.remove(&service.name);
            return lost;
        }
        let name = Arc::clone(&service.name);
        let excess = self.excess.entry(name).or_insert(ExcessReplacements {
            max_lost: lost,
            since: now,
        });
        excess.max_lost = excess.max_lost.max(lost);
        if now.saturating_duration_since(excess.since) < RELEASE_DELAY {
            return placed_count;
        }
        let needed = excess.max_lost;
        self.excess.remove(&service.name);
        needed
    }

    fn offers(
        &self,
        service: &Service,
        desired_capacity: &DesiredCapacity,
        now: Instant,
    ) -> Vec<ZoneOffer> {
        let pools = service.pools(desired_capacity);
        let zones: BTreeSet<Arc<str>> = pools.iter().map(|pool| Arc::clone(&pool.zone)).collect();
        let available = zones
            .into_iter()
            .filter(|zone| !service.drained.contains(zone));
        available
            .map(|zone| self.offer(service, desired_capacity, zone, now))
            .collect()
    }

    fn offer(
        &self,
        service: &Service,
        desired_capacity: &DesiredCapacity,
        zone: Arc<str>,
        now: Instant,
    ) -> ZoneOffer {
        let pool_of = |kind| service.pool(&zone, kind);
        let on_demand = pool_of(InstanceKind::OnDemand);
        let preemptible = pool_of(InstanceKind::Preemptible);
        let found = |pool: &InstancePool| desired_capacity.get(pool).found;
        let mut kinds = Vec::new();
        if service.prefers_preemptible() {
            let max = self.max_extra(service, &preemptible, desired_capacity, now);
            kinds.push((InstanceKind::Preemptible, max));
        }
        kinds.push((
            InstanceKind::OnDemand,
            self.max_extra(service, &on_demand, desired_capacity, now),
        ));
        let total_found = found(&on_demand) + found(&preemptible);
        ZoneOffer {
            serving: total_found.saturating_sub(self.lost(&on_demand) + self.lost(&preemptible)),
            free_capacity: service.scaling.max_per_zone.saturating_sub(total_found),
            price: service.price(&zone),
            kinds,
            zone,
        }
    }

    /// Returns the maximum number of extra instances that may be ordered in a pool.
    fn max_extra(
        &self,
        service: &Service,
        pool: &InstancePool,
        desired_capacity: &DesiredCapacity,
        now: Instant,
    ) -> u32 {
        let count = desired_capacity.get(pool);
        let present = service.present(pool);
        let arrived = present.serving.saturating_sub(count.found);
        if self.is_unavailable(pool, now) {
            return count.extra.min(arrived);
        }
        // An order contains the total of its pool. While found instances are missing, that total
        // could be below the number running.
        let is_complete = present.serving >= count.found;
        // An order must not remove instances that somebody else has just added.
        let has_foreign_instances = arrived > self.max_ordered(pool, count.extra, now);
        if has_foreign_instances {
            return count.extra;
        }
        if is_complete || pool.kind == InstanceKind::Preemptible {
            u32::MAX
        } else {
            count.extra
        }
    }
}

/// Returns the desired extra instances of the given pools.
fn placement(pools: &[InstancePool], desired_capacity: &DesiredCapacity) -> Placement {
    let counts = pools.iter().map(|pool| {
        let extra = desired_capacity.get(pool).extra;
        ((Arc::clone(&pool.zone), pool.kind), extra)
    });
    counts.filter(|(_, extra)| *extra > 0).collect()
}

/// Sets the desired extra instances of the given pools.
fn set_placement(
    pools: &[InstancePool],
    desired_capacity: &mut DesiredCapacity,
    placement: &Placement,
) {
    for pool in pools {
        let before = desired_capacity.get(pool);
        let place = (Arc::clone(&pool.zone), pool.kind);
        let extra = placement.get(&place).copied().unwrap_or(0);
        let count = DesiredCount {
            extra,
            is_ordered: before.is_ordered || extra > 0,
            ..before
        };
        desired_capacity.set(pool, count);
    }
}

/// View of one service during a planning round.
struct Service<'a> {
    name: Arc<str>,
    scaling: &'a ScalingSpec,
    counts: &'a BTreeMap<InstancePool, PresentInstances>,
    drained: &'a BTreeSet<Arc<str>>,
}

impl Service<'_> {
    fn pool(&self, zone: &Arc<str>, kind: InstanceKind) -> InstancePool {
        InstancePool {
            service: Arc::clone(&self.name),
            zone: Arc::clone(zone),
            kind,
        }
    }

    fn present(&self, pool: &InstancePool) -> PresentInstances {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Returns both kinds of pool in every zone that has, or had, instances of the service.
    fn pools(&self, desired_capacity: &DesiredCapacity) -> Vec<InstancePool> {
        let present = self.counts.keys().cloned();
        let known = desired_capacity.pools().map(|(pool, _)| pool);
        let zones: BTreeSet<Arc<str>> = present
            .chain(known)
            .filter(|pool| pool.service == self.name)
            .map(|pool| pool.zone)
            .collect();
        zones
            .iter()
            .flat_map(|zone| {
                [InstanceKind::OnDemand, InstanceKind::Preemptible]
                    .map(|kind| self.pool(zone, kind))
            })
            .collect()
    }

    /// Returns true if preemptible instances are available and cost less.
    fn prefers_preemptible(&self) -> bool {
        let price = self.scaling.preemptible_price;
        price.is_some_and(|price| price < 1.0)
    }

    /// Returns the price of a zone; 1.0 if none is configured.
    fn price(&self, zone: &str) -> f64 {
        self.scaling.zone_prices.get(zone).copied().unwrap_or(1.0)
    }
}
