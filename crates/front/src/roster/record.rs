//! What the roster's record holds.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::backend::{BackendTable, DiscoveredInstance};

/// The zones that are to be drained as of a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDrains {
    /// Revision of the store as of which the writer knew them.
    pub known_at: u64,
    /// The zones.
    pub zones: BTreeSet<String>,
}

impl RosterDrains {
    /// The zones as they are shared within a node.
    pub fn shared_zones(&self) -> BTreeSet<Arc<str>> {
        self.zones.iter().map(|zone| zone.as_str().into()).collect()
    }
}

/// The instances that live requests may go to as of a revision of the store, without their weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Revision of the store as of which the writer knew them.
    pub known_at: u64,
    /// Services whose instances it names.
    pub services: BTreeSet<String>,
    /// All instances of these services, sorted by id. Those of drained zones are not ready, for readers of older builds, which do not know
    /// `drains`.
    pub instances: Vec<DiscoveredInstance>,
    /// The zones that are to be drained; `None`: the writer does not know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drains: Option<RosterDrains>,
}

impl Roster {
    /// The instances of some services in a table that is known as of a revision.
    pub fn of(
        table: &BackendTable,
        services: BTreeSet<String>,
        known_at: u64,
        drains: Option<RosterDrains>,
    ) -> Self {
        let mut instances = table.discovered();
        instances.retain(|instance| services.contains(&instance.service));
        instances.iter_mut().for_each(|instance| {
            instance.versions.clear();
            let zones = drains.as_ref().map(|drains| &drains.zones);
            let is_drained = |zones: &BTreeSet<String>| zones.contains(&instance.zone);
            instance.is_ready &= !zones.is_some_and(is_drained);
            // It counts down: the roster would be written again with each record of the instance.
            instance.leaves_ms = None;
        });
        Self {
            known_at,
            services,
            instances,
            drains,
        }
    }

    /// Bytes of the record.
    ///
    /// # Errors
    /// When it cannot be written as JSON.
    pub fn write(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }

    /// Reads the bytes of a record.
    ///
    /// # Errors
    /// When they are no roster.
    pub fn read(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Whether another roster names the same services, instances and drained zones.
    pub fn is_same(&self, other: &Self) -> bool {
        // The time for which an instance stays cold counts down: only whether it is cold matters.
        let is_same = |one: &DiscoveredInstance, other: &DiscoveredInstance| {
            let as_cold = DiscoveredInstance {
                cold_ms: other.cold_ms,
                ..one.clone()
            };
            as_cold == *other && (one.cold_ms == 0) == (other.cold_ms == 0)
        };
        let mut pairs = self.instances.iter().zip(&other.instances);
        self.services == other.services
            && self.instances.len() == other.instances.len()
            && pairs.all(|(one, other)| is_same(one, other))
            && self.drained_zones() == other.drained_zones()
    }

    fn drained_zones(&self) -> Option<&BTreeSet<String>> {
        self.drains.as_ref().map(|drains| &drains.zones)
    }

    /// Makes a table hold exactly these instances of the roster's services. What it knows of weights and of other services stays:
    /// it is the best there is when work begins while the store does not answer.
    pub fn apply(&self, table: &BackendTable) {
        let ids: Vec<String> = self.instances.iter().map(|one| one.id.clone()).collect();
        table.retain(&ids, |instance| self.services.contains(&instance.service));
        self.instances
            .iter()
            .for_each(|instance| table.upsert(instance.clone()));
    }
}
