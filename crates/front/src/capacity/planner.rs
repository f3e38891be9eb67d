//! What is wanted, from what is there: whatever a service lost in one zone is placed in others until it is back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::{InstanceKind, Present, InstancePool, count};
use super::losses::{LossReason, Losses};
use super::outbox::LATE_TIME;
use super::placement::{Offer, Placed, place};
use super::wanted::{CountWanted, WantedCapacity};
use crate::backend::DiscoveredInstance;
use crate::config::{ScalingSpec, ServiceSpec};

/// Instances beyond those that were found count as the service's own once they have been there for so long: while instances are replaced
/// one by one, there is one more for a short time.
pub const ADOPTION_TIME: Duration = Duration::from_secs(5);

/// Replacements are given back once they have not been needed for so long: instances that return are slow at first, and may be lost again
/// soon.
pub const GIVE_BACK_TIME: Duration = Duration::from_secs(10);

/// How long a zone without capacity, or whose instances are being taken away, is left out.
pub const REFUSAL_TIME: Duration = Duration::from_secs(2);

/// What the plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct FleetNow<'a> {
    /// Services by name.
    pub services: &'a BTreeMap<String, ServiceSpec>,
    /// All instances that discovery knows.
    pub instances: &'a [DiscoveredInstance],
    /// Zones that are to be drained.
    pub drained: &'a BTreeSet<Arc<str>>,
}

/// More instances count as lost than before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LossNews {
    /// Which.
    pub pool: InstancePool,
    /// How many are lost now.
    pub lost: u32,
    /// How many were before.
    pub before: u32,
    /// Why.
    pub reason: LossReason,
}

/// Result of one check of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// What is wanted from now on; `None`: the same as before.
    pub wanted: Option<WantedCapacity>,
    /// What was lost since the last check.
    pub losses: Vec<LossNews>,
}

/// Replacements that were not needed lately.
#[derive(Debug, Clone, Copy)]
struct Spare {
    /// Most that were lost at one time since then.
    most_lost: u32,
    since: Instant,
}

/// Instances that are there and that no order of ours explains.
#[derive(Debug, Clone, Copy)]
struct Surplus {
    count: u32,
    since: Instant,
}

/// Plans for one holder; keeps what has to be known from one check of the fleet to the next.
#[derive(Debug)]
pub struct CapacityPlanner {
    wanted: WantedCapacity,
    losses: BTreeMap<InstancePool, Losses>,
    surplus: BTreeMap<InstancePool, Surplus>,
    /// Most instances beyond the found ones that recent orders may bring, and until when these may be carried out.
    ordered: BTreeMap<InstancePool, (u32, Instant)>,
    refused_until: BTreeMap<InstancePool, Instant>,
    /// Preemptible instances that served at the last check.
    served: BTreeMap<InstancePool, u32>,
    spare: BTreeMap<Arc<str>, Spare>,
}

impl CapacityPlanner {
    /// A planner that goes on with what earlier holders wanted.
    pub fn new(wanted: WantedCapacity, now: Instant) -> Self {
        // Orders of an earlier holder may still be carried out.
        let ordered = wanted.subjects().filter(|(_, count)| count.is_ordered);
        let ordered = ordered.map(|(pool, _)| (pool, (u32::MAX, now + LATE_TIME)));
        Self {
            ordered: ordered.collect(),
            wanted,
            losses: BTreeMap::new(),
            surplus: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            served: BTreeMap::new(),
            spare: BTreeMap::new(),
        }
    }

    /// What was fixed last.
    pub fn wanted(&self) -> &WantedCapacity {
        &self.wanted
    }

    /// Notes that it is not known which instances are there. What was counted of missing time starts again, so that records that lapsed
    /// while the store was away can return first.
    pub fn note_unknown(&mut self) {
        self.surplus.clear();
        self.served.clear();
        self.losses.values_mut().for_each(Losses::note_unknown);
    }

    /// Notes that none can be had of a subject now.
    pub fn note_refused(&mut self, pool: &InstancePool, now: Instant) {
        self.refused_until
            .insert(pool.clone(), now + REFUSAL_TIME);
    }

    /// Takes what was fixed.
    pub fn accept(&mut self, wanted: WantedCapacity, now: Instant) {
        for (pool, count) in wanted.subjects() {
            let before = self.wanted.get(&pool);
            if count.extra == before.extra {
                continue;
            }
            let most = before.extra.max(count.extra);
            let (known, until) = self.ordered.get(&pool).copied().unwrap_or((0, now));
            let most = if now < until { most.max(known) } else { most };
            self.ordered.insert(pool, (most, now + LATE_TIME));
        }
        self.wanted = wanted;
    }

    /// Checks the fleet, and plans what is wanted from now on.
    pub fn plan(&mut self, fleet: FleetNow, now: Instant) -> Plan {
        let counts = count(fleet.instances);
        let mut next = self.wanted.clone();
        let mut losses = Vec::new();
        for (service, spec) in fleet.services {
            if let Some(scaling) = &spec.scaling {
                let service = Service {
                    name: service.as_str().into(),
                    scaling,
                    counts: &counts,
                    drained: fleet.drained,
                };
                self.adopt(&service, &mut next, now);
                self.look_at_losses(&service, &next, now, &mut losses);
                self.replace(&service, &mut next, now);
            }
        }
        Plan {
            wanted: (next != self.wanted).then_some(next),
            losses,
        }
    }

    /// Subjects that lack preemptible instances, which can only be had again by an order in their own zone.
    pub fn to_order_again(&self, drained: &BTreeSet<Arc<str>>, now: Instant) -> Vec<InstancePool> {
        let is_short = |pool: &InstancePool, serving: u32| {
            serving < self.wanted.get(pool).desired()
                && !drained.contains(&pool.zone)
                && !self.is_refused(pool, now)
        };
        let short = self.served.iter();
        short
            .filter(|(pool, serving)| is_short(pool, **serving))
            .map(|(pool, _)| pool.clone())
            .collect()
    }

    fn is_refused(&self, pool: &InstancePool, now: Instant) -> bool {
        let until = self.refused_until.get(pool);
        until.is_some_and(|until| now < *until)
    }

    /// Counts instances that are there without an order of ours as the service's own.
    fn adopt(&mut self, service: &Service, next: &mut WantedCapacity, now: Instant) {
        let is_new = !self.wanted.has_service(&service.name);
        for pool in service.subjects(next) {
            let wanted = next.get(&pool);
            let most_ordered = self.most_ordered(&pool, wanted.extra, now);
            let own = service.present(&pool).serving;
            let own = own.saturating_sub(most_ordered);
            if own <= wanted.found {
                self.surplus.remove(&pool);
                continue;
            }
            let surplus = self.surplus.entry(pool.clone()).or_insert(Surplus {
                count: own,
                since: now,
            });
            surplus.count = surplus.count.min(own);
            if is_new || now.saturating_duration_since(surplus.since) >= ADOPTION_TIME {
                let found = surplus.count;
                next.set(&pool, CountWanted { found, ..wanted });
                self.surplus.remove(&pool);
            }
        }
    }

    /// Most instances beyond the found ones that orders of ours may have brought.
    fn most_ordered(&self, pool: &InstancePool, extra: u32, now: Instant) -> u32 {
        let ordered = self.ordered.get(pool);
        let ordered = ordered.filter(|(_, until)| now < *until);
        ordered.map_or(0, |(most, _)| *most).max(extra)
    }

    fn look_at_losses(
        &mut self,
        service: &Service,
        wanted: &WantedCapacity,
        now: Instant,
        news: &mut Vec<LossNews>,
    ) {
        for pool in service.subjects(wanted) {
            let present = service.present(&pool);
            if pool.kind == InstanceKind::Preemptible {
                let desired = wanted.get(&pool).desired();
                news.extend(self.look_for_taken_away(&pool, present, desired, now));
            }
            let found = wanted.get(&pool).found;
            let is_drained = service.drained.contains(&pool.zone);
            let losses = self.losses.entry(pool.clone()).or_default();
            let before = losses.lost();
            if let Some(reason) = losses.look(found, present, is_drained, now) {
                news.push(LossNews {
                    pool,
                    lost: losses.lost(),
                    before,
                    reason,
                });
            }
        }
    }

    /// Preemptible instances of a zone count as taken away if some gave notice or if none is left, also those that were ordered and have
    /// not started yet. Where some are left and none gave notice, the others crashed.
    fn look_for_taken_away(
        &mut self,
        pool: &InstancePool,
        present: Present,
        desired: u32,
        now: Instant,
    ) -> Option<LossNews> {
        let serving = present.serving;
        let before = self.served.insert(pool.clone(), serving).unwrap_or(0);
        let is_none_left = serving == 0 && before > 0 && desired > 0;
        if !is_none_left && !present.is_taken_back {
            return None;
        }
        let is_news = !self.is_refused(pool, now) && serving < desired;
        self.note_refused(pool, now);
        is_news.then(|| LossNews {
            pool: pool.clone(),
            lost: desired - serving,
            before: 0,
            reason: LossReason::TakenAway,
        })
    }

    /// Places as many instances as were lost.
    fn replace(&mut self, service: &Service, next: &mut WantedCapacity, now: Instant) {
        let subjects = service.subjects(next);
        let lost: u32 = subjects.iter().map(|pool| self.lost(pool)).sum();
        let placed = placed(&subjects, next);
        let offers = self.offers(service, next, now);
        let target = self.target(service, lost, placed.values().sum(), now);
        set_placed(&subjects, next, &place(&offers, &placed, target));
    }

    fn lost(&self, pool: &InstancePool) -> u32 {
        self.losses.get(pool).map_or(0, Losses::lost)
    }

    /// How many instances are to be there beyond the found ones.
    fn target(&mut self, service: &Service, lost: u32, placed: u32, now: Instant) -> u32 {
        if lost >= placed {
            self.spare.remove(&service.name);
            return lost;
        }
        let name = Arc::clone(&service.name);
        let spare = self.spare.entry(name).or_insert(Spare {
            most_lost: lost,
            since: now,
        });
        spare.most_lost = spare.most_lost.max(lost);
        if now.saturating_duration_since(spare.since) < GIVE_BACK_TIME {
            return placed;
        }
        let needed = spare.most_lost;
        self.spare.remove(&service.name);
        needed
    }

    fn offers(&self, service: &Service, wanted: &WantedCapacity, now: Instant) -> Vec<Offer> {
        let subjects = service.subjects(wanted);
        let zones: BTreeSet<Arc<str>> = subjects
            .iter()
            .map(|pool| Arc::clone(&pool.zone))
            .collect();
        let open = zones
            .into_iter()
            .filter(|zone| !service.drained.contains(zone));
        open.map(|zone| self.offer(service, wanted, zone, now))
            .collect()
    }

    fn offer(
        &self,
        service: &Service,
        wanted: &WantedCapacity,
        zone: Arc<str>,
        now: Instant,
    ) -> Offer {
        let of_kind = |kind| service.pool(&zone, kind);
        let kept = of_kind(InstanceKind::Kept);
        let preemptible = of_kind(InstanceKind::Preemptible);
        let found = |pool: &InstancePool| wanted.get(pool).found;
        let mut kinds = Vec::new();
        if service.prefers_preemptible() {
            let most = self.most(service, &preemptible, wanted, now);
            kinds.push((InstanceKind::Preemptible, most));
        }
        kinds.push((InstanceKind::Kept, self.most(service, &kept, wanted, now)));
        let all_found = found(&kept) + found(&preemptible);
        Offer {
            serving: all_found.saturating_sub(self.lost(&kept) + self.lost(&preemptible)),
            room: service.scaling.max_per_zone.saturating_sub(all_found),
            price: service.price(&zone),
            kinds,
            zone,
        }
    }

    /// Most instances of a subject that can be had beyond the found ones.
    fn most(
        &self,
        service: &Service,
        pool: &InstancePool,
        wanted: &WantedCapacity,
        now: Instant,
    ) -> u32 {
        let count = wanted.get(pool);
        let present = service.present(pool);
        let arrived = present.serving.saturating_sub(count.found);
        if self.is_refused(pool, now) {
            return count.extra.min(arrived);
        }
        // An order names all of its kind: where some of those are missing it could name fewer than are there.
        let is_whole = present.serving >= count.found;
        // Nor may it take away those that somebody else has just added.
        let has_others = arrived > self.most_ordered(pool, count.extra, now);
        if has_others {
            return count.extra;
        }
        if is_whole || pool.kind == InstanceKind::Preemptible {
            u32::MAX
        } else {
            count.extra
        }
    }
}

/// What is wanted of some subjects beyond the found instances.
fn placed(subjects: &[InstancePool], wanted: &WantedCapacity) -> Placed {
    let counts = subjects.iter().map(|pool| {
        let extra = wanted.get(pool).extra;
        ((Arc::clone(&pool.zone), pool.kind), extra)
    });
    counts.filter(|(_, extra)| *extra > 0).collect()
}

/// Makes `placed` what is wanted of some subjects beyond the found instances.
fn set_placed(subjects: &[InstancePool], wanted: &mut WantedCapacity, placed: &Placed) {
    for pool in subjects {
        let before = wanted.get(pool);
        let place = (Arc::clone(&pool.zone), pool.kind);
        let extra = placed.get(&place).copied().unwrap_or(0);
        let count = CountWanted {
            extra,
            is_ordered: before.is_ordered || extra > 0,
            ..before
        };
        wanted.set(pool, count);
    }
}

/// One service at one check of the fleet.
struct Service<'a> {
    name: Arc<str>,
    scaling: &'a ScalingSpec,
    counts: &'a BTreeMap<InstancePool, Present>,
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

    fn present(&self, pool: &InstancePool) -> Present {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Both kinds in all zones that the service has, or had, instances in.
    fn subjects(&self, wanted: &WantedCapacity) -> Vec<InstancePool> {
        let there = self.counts.keys().cloned();
        let known = wanted.subjects().map(|(pool, _)| pool);
        let zones: BTreeSet<Arc<str>> = there
            .chain(known)
            .filter(|pool| pool.service == self.name)
            .map(|pool| pool.zone)
            .collect();
        zones
            .iter()
            .flat_map(|zone| {
                [InstanceKind::Kept, InstanceKind::Preemptible].map(|kind| self.pool(zone, kind))
            })
            .collect()
    }

    /// Whether there are preemptible instances and they cost less.
    fn prefers_preemptible(&self) -> bool {
        let price = self.scaling.preemptible_price;
        price.is_some_and(|price| price < 1.0)
    }

    /// Price of a zone; without prices all zones cost the same.
    fn price(&self, zone: &str) -> f64 {
        self.scaling.zone_prices.get(zone).copied().unwrap_or(1.0)
    }
}
