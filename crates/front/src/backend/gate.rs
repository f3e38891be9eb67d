//! Conditions under which a ready instance gets no requests. They are checked when an instance is
//! chosen and again right before the first byte is sent, as they may change in between.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use ladderstage::region::{AllowedRegions, Distance, RegionMap};
use ladderstage_clock::Instant;
use tokio::sync::watch;

use super::cold::{ColdLimitTable, PermitRequests};
use super::index::WeightChanges;

/// Reason why a ready instance gets no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// Its zone is drained.
    ZoneDrained,
    /// The drained zones are not known yet.
    DrainsUnknown,
    /// It is cold or may be cold, and this node has no permit.
    Cold,
    /// This node has reached its rate without permits, which bounds the load if the instance has
    /// become cold unnoticed.
    SendRate,
    /// It is outside the regions in which the request may be served.
    OtherRegion,
}

impl HoldReason {
    /// Returns the label in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::ZoneDrained => "zone_drained",
            Self::DrainsUnknown => "drains_unknown",
            Self::Cold => "cold",
            Self::SendRate => "send_rate",
            Self::OtherRegion => "other_region",
        }
    }
}

impl fmt::Display for HoldReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// Zones whose instances get no requests until the operator ends the drain. Cheap to clone.
#[derive(Debug, Clone)]
pub struct DrainedZones {
    zones: watch::Sender<Arc<BTreeSet<Arc<str>>>>,
    /// True until the first update arrives.
    is_unknown: watch::Sender<bool>,
    /// End of each zone's last drain since this process started.
    ended: watch::Sender<Arc<BTreeMap<Arc<str>, Instant>>>,
}

impl Default for DrainedZones {
    fn default() -> Self {
        Self {
            zones: watch::Sender::new(Arc::default()),
            is_unknown: watch::Sender::new(false),
            ended: watch::Sender::new(Arc::default()),
        }
    }
}

impl DrainedZones {
    /// Treats every zone as possibly drained until the first update arrives.
    pub fn mark_unknown(&self) {
        self.is_unknown.send_replace(true);
    }

    /// Waits until the drained zones are known.
    pub async fn wait_until_known(&self) {
        let mut is_unknown = self.is_unknown.subscribe();
        // The sender lives as long as `self`.
        let _ = is_unknown.wait_for(|is_unknown| !is_unknown).await;
    }

    /// Returns whether the drained zones are known.
    pub fn is_known(&self) -> bool {
        !*self.is_unknown.borrow()
    }

    /// Checks whether the instances of a zone may get requests.
    ///
    /// # Errors
    /// Returns the reason if they may not.
    pub fn may_send_to(&self, zone: &str) -> Result<(), HoldReason> {
        if !self.is_known() {
            return Err(HoldReason::DrainsUnknown);
        }
        if self.contains(zone) {
            return Err(HoldReason::ZoneDrained);
        }
        Ok(())
    }

    /// Replaces the drained zones; returns whether they changed.
    pub fn set(&self, zones: BTreeSet<Arc<str>>) -> bool {
        // Drain ends are recorded first, so that every zone that is no longer drained has one.
        self.record_drain_ends(&zones);
        self.is_unknown.send_if_modified(std::mem::take);
        self.zones.send_if_modified(|known| {
            let is_changed = **known != zones;
            if is_changed {
                *known = Arc::new(zones);
            }
            is_changed
        })
    }

    fn record_drain_ends(&self, zones: &BTreeSet<Arc<str>>) {
        let before = self.current();
        if before.is_subset(zones) {
            return;
        }
        let now = Instant::now();
        self.ended.send_modify(|ended| {
            let ends = before.difference(zones);
            Arc::make_mut(ended).extend(ends.map(|zone| (Arc::clone(zone), now)));
        });
    }

    /// Returns when the last drain of a zone ended; `None` if it was never drained or still is.
    pub fn ended_at(&self, zone: &str) -> Option<Instant> {
        let ended = self.ended.borrow().get(zone).copied();
        ended.filter(|_| !self.contains(zone))
    }

    /// Returns whether a zone is drained.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.borrow().contains(zone)
    }

    /// Returns the drained zones.
    pub fn current(&self) -> Arc<BTreeSet<Arc<str>>> {
        self.zones.borrow().clone()
    }

    /// Returns a receiver that changes with the set of drained zones.
    pub fn watch(&self) -> watch::Receiver<Arc<BTreeSet<Arc<str>>>> {
        self.zones.subscribe()
    }
}

/// Conditions for sending that the instance table and its instances share. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct SendGates {
    /// Drained zones.
    pub drained: DrainedZones,
    /// Request limits of cold instances.
    pub cold: ColdLimitTable,
    /// Cold instances for which this node needs permits.
    pub permit_requests: PermitRequests,
    /// Zones and regions of this node and the instances.
    pub locality: Locality,
    /// Changes of the instances' weights.
    pub weight_changes: WeightChanges,
}

/// Zone of this node and the regions of all zones. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Locality {
    /// Zone of this node.
    pub zone: Arc<str>,
    /// Regions of all zones.
    pub regions: RegionMap,
}

impl Default for Locality {
    fn default() -> Self {
        Self {
            zone: "".into(),
            regions: RegionMap::default(),
        }
    }
}

impl Locality {
    /// Returns the distance to a zone.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.regions.between_zones(&self.zone, zone)
    }

    /// Returns whether a zone is in an allowed region.
    pub fn is_within(&self, zone: &str, allowed: &AllowedRegions) -> bool {
        allowed.allows_all() || allowed.permits(self.regions.region_of(zone))
    }
}
