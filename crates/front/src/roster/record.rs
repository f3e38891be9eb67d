//! Contents of the roster's record.

use std::collections::BTreeSet;
use std::sync::Arc;

use ladderstage_wire::compression::{CompressionError, compress, decompress};
use serde::{Deserialize, Serialize};

use crate::backend::{BackendTable, DiscoveredInstance};
use crate::nodes::FormatLevel;

/// First byte of a compressed record; no JSON document begins with it.
const PACKED_MARK: u8 = 1;

/// Error of decoding a roster.
#[derive(Debug, thiserror::Error)]
pub enum RosterReadError {
    /// The JSON is invalid.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The compressed content is invalid.
    #[error(transparent)]
    Compression(#[from] CompressionError),
}

/// Drained zones as of a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDrains {
    /// Store revision as of which the writer knew the zones.
    pub known_at: u64,
    /// Names of the zones.
    pub zones: BTreeSet<String>,
}

impl RosterDrains {
    /// Returns the zones in the form used within a node.
    pub fn to_zone_set(&self) -> BTreeSet<Arc<str>> {
        self.zones.iter().map(|zone| zone.as_str().into()).collect()
    }
}

/// Instances that live requests may go to, as of a revision of the store and without their weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Store revision as of which the writer knew the instances.
    pub known_at: u64,
    /// Services that are included.
    pub services: BTreeSet<String>,
    /// All instances of these services, sorted by id. Those in drained zones are marked as not
    /// ready, for readers of older builds, which ignore `drains`.
    pub instances: Vec<DiscoveredInstance>,
    /// Drained zones; `None` if unknown to the writer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drains: Option<RosterDrains>,
}

impl Roster {
    /// Creates the roster of some services from a table known as of a revision.
    pub fn from_table(
        table: &BackendTable,
        services: BTreeSet<String>,
        known_at: u64,
        drains: Option<RosterDrains>,
    ) -> Self {
        let mut instances = table.discovered_of(&services);
        instances.iter_mut().for_each(|instance| {
            instance.versions.clear();
            let zones = drains.as_ref().map(|drains| &drains.zones);
            let is_drained = |zones: &BTreeSet<String>| zones.contains(&instance.zone);
            instance.is_ready &= !zones.is_some_and(is_drained);
            // The remaining time decreases with each record of the instance, which would cause a
            // write each time.
            instance.leaves_ms = None;
        });
        Self {
            known_at,
            services,
            instances,
            drains,
        }
    }

    /// Encodes the record for readers of a level. It is sent to every front after each change, and
    /// compressed to about a tenth.
    ///
    /// # Errors
    /// Returns an error when the JSON encoding fails.
    pub fn write(&self, level: FormatLevel) -> Result<Vec<u8>, serde_json::Error> {
        let json = serde_json::to_vec(self)?;
        Ok(if level >= FormatLevel::PACKED_ROSTER {
            let mut packed = vec![PACKED_MARK];
            packed.extend(compress(&json));
            packed
        } else {
            json
        })
    }

    /// Decodes a record of any level.
    ///
    /// # Errors
    /// Returns an error when the bytes are not a valid roster.
    pub fn read(bytes: &[u8]) -> Result<Self, RosterReadError> {
        match bytes.strip_prefix(&[PACKED_MARK]) {
            Some(packed) => Ok(serde_json::from_slice(&decompress(packed)?)?),
            None => Ok(serde_json::from_slice(bytes)?),
        }
    }

    /// Returns whether another roster has the same services, instances and drained zones.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        // The remaining cold time decreases: only whether the instance is cold matters.
        let is_equivalent = |one: &DiscoveredInstance, other: &DiscoveredInstance| {
            let as_cold = DiscoveredInstance {
                cold_ms: other.cold_ms,
                ..one.clone()
            };
            as_cold == *other && (one.cold_ms == 0) == (other.cold_ms == 0)
        };
        let mut pairs = self.instances.iter().zip(&other.instances);
        self.services == other.services
            && self.instances.len() == other.instances.len()
            && pairs.all(|(one, other)| is_equivalent(one, other))
            && self.drained_zones() == other.drained_zones()
    }

    fn drained_zones(&self) -> Option<&BTreeSet<String>> {
        self.drains.as_ref().map(|drains| &drains.zones)
    }

    /// Replaces the instances of the roster's services in a table. Known weights and instances of
    /// other services are kept, as they are the best information if work starts while the store
    /// does not answer.
    pub fn apply(&self, table: &BackendTable) {
        let ids: Vec<String> = self.instances.iter().map(|one| one.id.clone()).collect();
        table.retain(&ids, |instance| self.services.contains(&instance.service));
        self.instances
            .iter()
            .for_each(|instance| table.upsert(instance.clone()));
    }
}
