//! Plans the desired capacity: replaces instances that a service lost in one zone by instances in
//! others until they return.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::{InstanceKind, Present, Subject, count};
use super::losses::{LossReason, Losses};
use super::outbox::LATE_TIME;
use super::placement::{Offer, Placed, place};
use super::wanted::{CountWanted, WantedCapacity};
use crate::backend::Discovered;
use crate::config::{ScalingSpec, ServiceSpec};

/// Time after which additional instances count as found. A rolling replacement runs one additional
/// instance for less than this.
pub const ADOPTION_TIME: Duration = Duration::from_secs(5);

/// Time for which replacements stay after they are last needed. Returning instances are slow at
/// first and may be lost again.
pub const GIVE_BACK_TIME: Duration = Duration::from_secs(10);

/// Time for which a pool without available capacity, or with reclaimed instances, is skipped.
pub const REFUSAL_TIME: Duration = Duration::from_secs(2);

/// Input of one planning round.
#[derive(Debug, Clone, Copy)]
pub struct FleetNow<'a> {
    /// Services by name.
    pub services: &'a BTreeMap<String, ServiceSpec>,
    /// All discovered instances.
    pub instances: &'a [Discovered],
    /// Zones that are being drained.
    pub drained: &'a BTreeSet<Arc<str>>,
}

/// Increase in the number of lost instances of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LossNews {
    /// Pool that lost instances.
    pub subject: Subject,
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
    pub wanted: Option<WantedCapacity>,
    /// Losses since the last round.
    pub losses: Vec<LossNews>,
}

/// Replacements that are not needed at present.
#[derive(Debug, Clone, Copy)]
struct Spare {
    /// Maximum number of instances lost at any time since `since`.
    most_lost: u32,
    since: Instant,
}

/// Instances that no order of this service accounts for.
#[derive(Debug, Clone, Copy)]
struct Surplus {
    count: u32,
    since: Instant,
}

/// Planner of one lease holder, with the state it keeps between rounds.
#[derive(Debug)]
pub struct CapacityPlanner {
    wanted: WantedCapacity,
    losses: BTreeMap<Subject, Losses>,
    surplus: BTreeMap<Subject, Surplus>,
    /// Maximum number of extra instances that recent orders may bring, and the time until which
    /// these orders may take effect.
    ordered: BTreeMap<Subject, (u32, Instant)>,
    refused_until: BTreeMap<Subject, Instant>,
    /// Preemptible instances that were serving in the last round.
    served: BTreeMap<Subject, u32>,
    spare: BTreeMap<Arc<str>, Spare>,
}

impl CapacityPlanner {
    /// Creates a planner that continues from the capacity that earlier holders persisted.
    pub fn new(wanted: WantedCapacity, now: Instant) -> Self {
        // Orders of an earlier holder may still take effect.
        let ordered = wanted.subjects().filter(|(_, count)| count.is_ordered);
        let ordered = ordered.map(|(subject, _)| (subject, (u32::MAX, now + LATE_TIME)));
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

    /// Returns the desired capacity that was persisted last.
    pub fn wanted(&self) -> &WantedCapacity {
        &self.wanted
    }

    /// Discards observations because the fleet is unknown. Restarts the grace periods of missing
    /// instances, so that records that expired during an outage of the store can return.
    pub fn note_unknown(&mut self) {
        self.surplus.clear();
        self.served.clear();
        self.losses.values_mut().for_each(Losses::note_unknown);
    }

    /// Marks a pool as having no available capacity for now.
    pub fn note_refused(&mut self, subject: &Subject, now: Instant) {
        self.refused_until
            .insert(subject.clone(), now + REFUSAL_TIME);
    }

    /// Applies a persisted capacity.
    pub fn accept(&mut self, wanted: WantedCapacity, now: Instant) {
        for (subject, count) in wanted.subjects() {
            let before = self.wanted.get(&subject);
            if count.extra == before.extra {
                continue;
            }
            let most = before.extra.max(count.extra);
            let (known, until) = self.ordered.get(&subject).copied().unwrap_or((0, now));
            let most = if now < until { most.max(known) } else { most };
            self.ordered.insert(subject, (most, now + LATE_TIME));
        }
        self.wanted = wanted;
    }

    /// Plans the desired capacity for the current fleet.
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

    /// Returns the pools that lack preemptible instances. Only an order in the same zone replaces
    /// these.
    pub fn to_order_again(&self, drained: &BTreeSet<Arc<str>>, now: Instant) -> Vec<Subject> {
        let is_short = |subject: &Subject, serving: u32| {
            serving < self.wanted.get(subject).desired()
                && !drained.contains(&subject.zone)
                && !self.is_refused(subject, now)
        };
        let short = self.served.iter();
        short
            .filter(|(subject, serving)| is_short(subject, **serving))
            .map(|(subject, _)| subject.clone())
            .collect()
    }

    fn is_refused(&self, subject: &Subject, now: Instant) -> bool {
        let until = self.refused_until.get(subject);
        until.is_some_and(|until| now < *until)
    }

    /// Counts instances that no order accounts for as found once they have stayed long enough.
    fn adopt(&mut self, service: &Service, next: &mut WantedCapacity, now: Instant) {
        let is_new = !self.wanted.has_service(&service.name);
        for subject in service.subjects(next) {
            let wanted = next.get(&subject);
            let most_ordered = self.most_ordered(&subject, wanted.extra, now);
            let own = service.present(&subject).serving;
            let own = own.saturating_sub(most_ordered);
            if own <= wanted.found {
                self.surplus.remove(&subject);
                continue;
            }
            let surplus = self.surplus.entry(subject.clone()).or_insert(Surplus {
                count: own,
                since: now,
            });
            surplus.count = surplus.count.min(own);
            if is_new || now.saturating_duration_since(surplus.since) >= ADOPTION_TIME {
                let found = surplus.count;
                next.set(&subject, CountWanted { found, ..wanted });
                self.surplus.remove(&subject);
            }
        }
    }

    /// Returns the maximum number of extra instances that orders may have brought.
    fn most_ordered(&self, subject: &Subject, extra: u32, now: Instant) -> u32 {
        let ordered = self.ordered.get(subject);
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
        for subject in service.subjects(wanted) {
            let present = service.present(&subject);
            if subject.kind == InstanceKind::Preemptible {
                let desired = wanted.get(&subject).desired();
                news.extend(self.look_for_taken_away(&subject, present, desired, now));
            }
            let found = wanted.get(&subject).found;
            let is_drained = service.drained.contains(&subject.zone);
            let losses = self.losses.entry(subject.clone()).or_default();
            let before = losses.lost();
            if let Some(reason) = losses.look(found, present, is_drained, now) {
                news.push(LossNews {
                    subject,
                    lost: losses.lost(),
                    before,
                    reason,
                });
            }
        }
    }

    /// Detects reclaimed preemptible instances: some announced it, or none is left. All missing
    /// ones then count as lost, including ordered ones that have not started. If some are left
    /// without an announcement, the missing ones crashed.
    fn look_for_taken_away(
        &mut self,
        subject: &Subject,
        present: Present,
        desired: u32,
        now: Instant,
    ) -> Option<LossNews> {
        let serving = present.serving;
        let before = self.served.insert(subject.clone(), serving).unwrap_or(0);
        let is_none_left = serving == 0 && before > 0 && desired > 0;
        if !is_none_left && !present.is_taken_back {
            return None;
        }
        let is_news = !self.is_refused(subject, now) && serving < desired;
        self.note_refused(subject, now);
        is_news.then(|| LossNews {
            subject: subject.clone(),
            lost: desired - serving,
            before: 0,
            reason: LossReason::TakenAway,
        })
    }

    /// Places as many replacements as there are lost instances.
    fn replace(&mut self, service: &Service, next: &mut WantedCapacity, now: Instant) {
        let subjects = service.subjects(next);
        let lost: u32 = subjects.iter().map(|subject| self.lost(subject)).sum();
        let placed = placed(&subjects, next);
        let offers = self.offers(service, next, now);
        let target = self.target(service, lost, placed.values().sum(), now);
        set_placed(&subjects, next, &place(&offers, &placed, target));
    }

    fn lost(&self, subject: &Subject) -> u32 {
        self.losses.get(subject).map_or(0, Losses::lost)
    }

    /// Returns the number of extra instances the service should have.
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
            .map(|subject| Arc::clone(&subject.zone))
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
        let of_kind = |kind| service.subject(&zone, kind);
        let kept = of_kind(InstanceKind::Kept);
        let preemptible = of_kind(InstanceKind::Preemptible);
        let found = |subject: &Subject| wanted.get(subject).found;
        let mut kinds = Vec::new();
        if service.prefers_preemptible() {
            let most = self.most(service, &preemptible, wanted, now);
            kinds.push((InstanceKind::Preemptible, most));
        }
        kinds.push((InstanceKind::Kept, self.most(service, &kept, wanted, now)));
        let all_found = found(&kept) + found(&preemptible);
        Offer {
            serving: all_found.saturating_sub(self.lost(&kept) + self.lost(&preemptible)),
            room: service.scaling.most.saturating_sub(all_found),
            price: service.price(&zone),
            kinds,
            zone,
        }
    }

    /// Returns the maximum number of extra instances that may be ordered in a pool.
    fn most(
        &self,
        service: &Service,
        subject: &Subject,
        wanted: &WantedCapacity,
        now: Instant,
    ) -> u32 {
        let count = wanted.get(subject);
        let present = service.present(subject);
        let arrived = present.serving.saturating_sub(count.found);
        if self.is_refused(subject, now) {
            return count.extra.min(arrived);
        }
        // An order names the total of its pool. While found instances are missing, that total could
        // be below the number running.
        let is_whole = present.serving >= count.found;
        // An order must not remove instances that somebody else has just added.
        let has_others = arrived > self.most_ordered(subject, count.extra, now);
        if has_others {
            return count.extra;
        }
        if is_whole || subject.kind == InstanceKind::Preemptible {
            u32::MAX
        } else {
            count.extra
        }
    }
}

/// Returns the desired extra instances of the given pools.
fn placed(subjects: &[Subject], wanted: &WantedCapacity) -> Placed {
    let counts = subjects.iter().map(|subject| {
        let extra = wanted.get(subject).extra;
        ((Arc::clone(&subject.zone), subject.kind), extra)
    });
    counts.filter(|(_, extra)| *extra > 0).collect()
}

/// Sets the desired extra instances of the given pools.
fn set_placed(subjects: &[Subject], wanted: &mut WantedCapacity, placed: &Placed) {
    for subject in subjects {
        let before = wanted.get(subject);
        let place = (Arc::clone(&subject.zone), subject.kind);
        let extra = placed.get(&place).copied().unwrap_or(0);
        let count = CountWanted {
            extra,
            is_ordered: before.is_ordered || extra > 0,
            ..before
        };
        wanted.set(subject, count);
    }
}

/// View of one service during a planning round.
struct Service<'a> {
    name: Arc<str>,
    scaling: &'a ScalingSpec,
    counts: &'a BTreeMap<Subject, Present>,
    drained: &'a BTreeSet<Arc<str>>,
}

impl Service<'_> {
    fn subject(&self, zone: &Arc<str>, kind: InstanceKind) -> Subject {
        Subject {
            service: Arc::clone(&self.name),
            zone: Arc::clone(zone),
            kind,
        }
    }

    fn present(&self, subject: &Subject) -> Present {
        self.counts.get(subject).copied().unwrap_or_default()
    }

    /// Returns both kinds of pool in every zone that has, or had, instances of the service.
    fn subjects(&self, wanted: &WantedCapacity) -> Vec<Subject> {
        let there = self.counts.keys().cloned();
        let known = wanted.subjects().map(|(subject, _)| subject);
        let zones: BTreeSet<Arc<str>> = there
            .chain(known)
            .filter(|subject| subject.service == self.name)
            .map(|subject| subject.zone)
            .collect();
        zones
            .iter()
            .flat_map(|zone| {
                [InstanceKind::Kept, InstanceKind::Preemptible].map(|kind| self.subject(zone, kind))
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
