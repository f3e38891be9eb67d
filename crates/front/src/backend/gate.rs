//! What keeps requests from instances that discovery calls ready. It is asked when an instance is chosen, and again right before the
//! first byte of a request leaves, as time may pass in between.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use ladderstage::region::{AllowedRegions, Distance, RegionMap};
use tokio::sync::watch;

/// Why an instance gets no request now, although it is there and ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// Its zone is to be drained.
    ZoneDrained,
    /// It has just started, or may have, and this node has no share of the requests that it bears.
    Cold,
    /// It is not in a region in which the request may be served.
    OtherRegion,
}

impl HoldReason {
    /// Label of metrics and word in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::ZoneDrained => "zone_drained",
            Self::Cold => "cold",
            Self::OtherRegion => "other_region",
        }
    }
}

impl fmt::Display for HoldReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// Zones whose instances are to get nothing until the operator takes that back. Cheap to clone.
#[derive(Debug, Clone)]
pub struct DrainedZones {
    zones: watch::Sender<Arc<BTreeSet<Arc<str>>>>,
}

impl Default for DrainedZones {
    fn default() -> Self {
        Self {
            zones: watch::Sender::new(Arc::default()),
        }
    }
}

impl DrainedZones {
    /// Takes the zones that are to be drained now; returns whether they differ from those before.
    pub fn set(&self, zones: BTreeSet<Arc<str>>) -> bool {
        self.zones.send_if_modified(|known| {
            let is_news = **known != zones;
            if is_news {
                *known = Arc::new(zones);
            }
            is_news
        })
    }

    /// Whether a zone is to be drained.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.borrow().contains(zone)
    }

    /// The zones that are to be drained.
    pub fn current(&self) -> Arc<BTreeSet<Arc<str>>> {
        self.zones.borrow().clone()
    }

    /// Changes whenever other zones are to be drained.
    pub fn watch(&self) -> watch::Receiver<Arc<BTreeSet<Arc<str>>>> {
        self.zones.subscribe()
    }
}

/// All that may keep requests from instances, shared by the table of instances and each of them. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct SendGates {
    /// Zones that are to be drained.
    pub drained: DrainedZones,
    /// Where this node and the instances are.
    pub surroundings: Surroundings,
}

/// Where a node is, and what it knows of where others are. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Surroundings {
    /// Zone of the node.
    pub zone: Arc<str>,
    /// Regions of all zones.
    pub regions: RegionMap,
}

impl Default for Surroundings {
    fn default() -> Self {
        Self {
            zone: "".into(),
            regions: RegionMap::default(),
        }
    }
}

impl Surroundings {
    /// How far a zone is.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.regions.between_zones(&self.zone, zone)
    }

    /// Whether a zone lies in an allowed region.
    pub fn is_within(&self, zone: &str, allowed: &AllowedRegions) -> bool {
        allowed.is_all() || allowed.permits(self.regions.region_of(zone))
    }
}
