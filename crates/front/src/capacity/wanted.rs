//! How many instances are wanted, as the store holds it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::counts::{InstanceKind, InstancePool};

/// What is wanted of one subject. An order names the sum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CountWanted {
    /// Instances that were there without an order of ours; no order goes below it.
    pub found: u32,
    /// Instances beyond those.
    #[serde(default)]
    pub extra: u32,
    /// Whether anything was ever ordered; a later holder then sends the order again.
    #[serde(default)]
    pub is_ordered: bool,
}

impl CountWanted {
    /// The count that an order names.
    pub fn desired(self) -> u32 {
        self.found + self.extra
    }
}

/// What is wanted in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ZoneWanted {
    /// Kept instances.
    #[serde(default)]
    pub kept: CountWanted,
    /// Preemptible instances.
    #[serde(default)]
    pub preemptible: CountWanted,
}

impl ZoneWanted {
    fn of(&self, kind: InstanceKind) -> &CountWanted {
        match kind {
            InstanceKind::Kept => &self.kept,
            InstanceKind::Preemptible => &self.preemptible,
        }
    }

    fn of_mut(&mut self, kind: InstanceKind) -> &mut CountWanted {
        match kind {
            InstanceKind::Kept => &mut self.kept,
            InstanceKind::Preemptible => &mut self.preemptible,
        }
    }
}

/// What is wanted of all services that are scaled, by service and zone.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WantedCapacity {
    services: BTreeMap<String, BTreeMap<String, ZoneWanted>>,
}

impl WantedCapacity {
    /// What is wanted of a subject.
    pub fn get(&self, pool: &InstancePool) -> CountWanted {
        let zones = self.services.get(pool.service.as_ref());
        let zone = zones.and_then(|zones| zones.get(pool.zone.as_ref()));
        zone.map_or_else(CountWanted::default, |zone| *zone.of(pool.kind))
    }

    /// Changes what is wanted of a subject.
    pub fn set(&mut self, pool: &InstancePool, count: CountWanted) {
        if count == CountWanted::default() && !self.has_zone(pool) {
            return;
        }
        let zones = self.services.entry(pool.service.to_string());
        let zone = zones.or_default().entry(pool.zone.to_string());
        *zone.or_default().of_mut(pool.kind) = count;
    }

    /// Whether anything is known of a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// All subjects, sorted.
    pub fn subjects(&self) -> impl Iterator<Item = (InstancePool, CountWanted)> + '_ {
        const KINDS: [InstanceKind; 2] = [InstanceKind::Kept, InstanceKind::Preemptible];
        self.services.iter().flat_map(|(service, zones)| {
            zones.iter().flat_map(move |(zone, wanted)| {
                KINDS.into_iter().map(move |kind| {
                    let pool = InstancePool {
                        service: service.as_str().into(),
                        zone: zone.as_str().into(),
                        kind,
                    };
                    (pool, *wanted.of(kind))
                })
            })
        })
    }

    fn has_zone(&self, pool: &InstancePool) -> bool {
        let zones = self.services.get(pool.service.as_ref());
        zones.is_some_and(|zones| zones.contains_key(pool.zone.as_ref()))
    }
}
