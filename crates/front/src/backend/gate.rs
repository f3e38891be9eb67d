//! What keeps requests from instances that discovery calls ready. Checked when an instance is chosen, and again right before the first
//! byte of a request is sent, as time may pass in between.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use ladderstage::region::{AllowedRegions, Distance, RegionMap};
use ladderstage_clock::Instant;
use tokio::sync::watch;

use super::cold::{ColdLimits, PermitWants};

/// Why an instance gets no request now, although it is there and ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// Its zone is to be drained.
    ZoneDrained,
    /// Zones may be drained here, and nothing is known of that yet.
    DrainsUnknown,
    /// It is cold or may be, and this node has no permit to send it a request.
    Cold,
    /// This node has sent it as many requests within a second as it may without permits; it may have turned cold unnoticed.
    SendRate,
    /// It is not in a region in which the request may be served.
    OtherRegion,
}

impl HoldReason {
    /// Label of metrics and word in logs.
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

/// Zones whose instances are to get nothing until the operator takes that back. Cheap to clone.
#[derive(Debug, Clone)]
pub struct DrainedZones {
    zones: watch::Sender<Arc<BTreeSet<Arc<str>>>>,
    /// Whether drains are followed and the first word of them has not come.
    is_awaited: watch::Sender<bool>,
    /// When the last drain of each zone ended, for zones that were drained since the start.
    ended: watch::Sender<Arc<BTreeMap<Arc<str>, Instant>>>,
}

impl Default for DrainedZones {
    fn default() -> Self {
        Self {
            zones: watch::Sender::new(Arc::default()),
            is_awaited: watch::Sender::new(false),
            ended: watch::Sender::new(Arc::default()),
        }
    }
}

impl DrainedZones {
    /// Notes that drains are followed here: until the first word of them, any zone may be one that is drained.
    pub fn mark_unknown(&self) {
        self.is_awaited.send_replace(true);
    }

    /// Returns once it is known which zones are drained.
    pub async fn known(&self) {
        let mut is_awaited = self.is_awaited.subscribe();
        // The sender lives as long as this set.
        let _ = is_awaited.wait_for(|is_awaited| !is_awaited).await;
    }

    /// Whether it is known which zones are drained.
    pub fn is_known(&self) -> bool {
        !*self.is_awaited.borrow()
    }

    /// Whether the instances of a zone may get requests.
    ///
    /// # Errors
    /// Why they are to get none.
    pub fn may_send_to(&self, zone: &str) -> Result<(), HoldReason> {
        if !self.is_known() {
            return Err(HoldReason::DrainsUnknown);
        }
        if self.contains(zone) {
            return Err(HoldReason::ZoneDrained);
        }
        Ok(())
    }

    /// Takes the zones that are to be drained now; returns whether they differ from those before.
    pub fn set(&self, zones: BTreeSet<Arc<str>>) -> bool {
        // Noted first: whoever sees that a zone is back sees since when.
        self.note_ends(&zones);
        self.is_awaited.send_if_modified(std::mem::take);
        self.zones.send_if_modified(|known| {
            let is_news = **known != zones;
            if is_news {
                *known = Arc::new(zones);
            }
            is_news
        })
    }

    fn note_ends(&self, zones: &BTreeSet<Arc<str>>) {
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

    /// When the last drain of a zone ended; `None`: it was never drained, or still is.
    pub fn ended_at(&self, zone: &str) -> Option<Instant> {
        let ended = self.ended.borrow().get(zone).copied();
        ended.filter(|_| !self.contains(zone))
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
    /// How many requests instances may get while they are cold.
    pub cold: ColdLimits,
    /// Cold instances for which work waits here.
    pub permit_requests: PermitWants,
    /// Where this node and the instances are.
    pub locality: Locality,
}

/// Zone of a node, and the regions by which it tells how far others are. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Locality {
    /// Zone of the node.
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
    /// How far a zone is.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.regions.between_zones(&self.zone, zone)
    }

    /// Whether a zone lies in an allowed region.
    pub fn is_within(&self, zone: &str, allowed: &AllowedRegions) -> bool {
        allowed.is_all() || allowed.permits(self.regions.region_of(zone))
    }
}
