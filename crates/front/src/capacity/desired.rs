//! Desired capacity in its stored form.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::counts::{InstanceKind, InstancePool};

/// Desired instances of one pool; an order requests `found + extra` instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DesiredCount {
    /// Instances that no order accounts for; the lower bound of every order.
    pub found: u32,
    /// Instances ordered beyond the found ones.
    #[serde(default)]
    pub extra: u32,
    /// Whether an order was ever sent; if so, a new lease holder sends it again.
    #[serde(default)]
    pub is_ordered: bool,
}

impl DesiredCount {
    /// Returns the total number of instances that an order requests.
    pub fn total(self) -> u32 {
        self.found + self.extra
    }
}

/// Desired instances in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ZoneCounts {
    /// On-demand instances.
    #[serde(default)]
    pub kept: DesiredCount,
    /// Preemptible instances.
    #[serde(default)]
    pub preemptible: DesiredCount,
}

impl ZoneCounts {
    fn of(&self, kind: InstanceKind) -> &DesiredCount {
        match kind {
            InstanceKind::OnDemand => &self.kept,
            InstanceKind::Preemptible => &self.preemptible,
        }
    }

    fn of_mut(&mut self, kind: InstanceKind) -> &mut DesiredCount {
        match kind {
            InstanceKind::OnDemand => &mut self.kept,
            InstanceKind::Preemptible => &mut self.preemptible,
        }
    }
}

/// Desired capacity of all scaled services, by service and zone.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DesiredCapacity {
    services: BTreeMap<String, BTreeMap<String, ZoneCounts>>,
}

impl DesiredCapacity {
    /// Returns the desired instances of a pool.
    pub fn get(&self, pool: &InstancePool) -> DesiredCount {
        let zones = self.services.get(pool.service.as_ref());
        let zone = zones.and_then(|zones| zones.get(pool.zone.as_ref()));
        zone.map_or_else(DesiredCount::default, |zone| *zone.of(pool.kind))
    }

    /// Sets the desired instances of a pool. A zero count does not create a zone.
    pub fn set(&mut self, pool: &InstancePool, count: DesiredCount) {
        if count == DesiredCount::default() && !self.has_zone(pool) {
            return;
        }
        let zones = self.services.entry(pool.service.to_string());
        let zone = zones.or_default().entry(pool.zone.to_string());
        *zone.or_default().of_mut(pool.kind) = count;
    }

    /// Returns true if the service has any entry.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns all pools, sorted by service, zone and kind.
    pub fn pools(&self) -> impl Iterator<Item = (InstancePool, DesiredCount)> + '_ {
        const KINDS: [InstanceKind; 2] = [InstanceKind::OnDemand, InstanceKind::Preemptible];
        self.services.iter().flat_map(|(service, zones)| {
            zones.iter().flat_map(move |(zone, counts)| {
                KINDS.into_iter().map(move |kind| {
                    let pool = InstancePool {
                        service: service.as_str().into(),
                        zone: zone.as_str().into(),
                        kind,
                    };
                    (pool, *counts.of(kind))
                })
            })
        })
    }

    fn has_zone(&self, pool: &InstancePool) -> bool {
        let zones = self.services.get(pool.service.as_ref());
        zones.is_some_and(|zones| zones.contains_key(pool.zone.as_ref()))
    }
}
