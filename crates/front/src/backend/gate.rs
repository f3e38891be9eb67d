//! What keeps requests from instances that discovery calls ready. It is asked when an instance is chosen, and again right before the
//! first byte of a request leaves, as time may pass in between.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use ladderstage_clock::Instant;
use tokio::sync::watch;

use super::cold::{ColdLimits, PermitWants};

/// Why an instance gets no request now, although it is there and ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// Its zone is to be drained.
    ZoneDrained,
    /// It has just started, or may have, and this node has no share of the requests that it bears.
    Cold,
    /// This node has just sent it as many requests as it may while others may do the same: it may turn cold unseen.
    SendRate,
}

impl HoldReason {
    /// Label of metrics and word in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::ZoneDrained => "zone_drained",
            Self::Cold => "cold",
            Self::SendRate => "send_rate",
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
    /// When the last drain of each zone ended that was drained before.
    ended: watch::Sender<Arc<BTreeMap<Arc<str>, Instant>>>,
}

impl Default for DrainedZones {
    fn default() -> Self {
        Self {
            zones: watch::Sender::new(Arc::default()),
            ended: watch::Sender::new(Arc::default()),
        }
    }
}

impl DrainedZones {
    /// Takes the zones that are to be drained now; returns whether they differ from those before.
    pub fn set(&self, zones: BTreeSet<Arc<str>>) -> bool {
        // Noted first: whoever sees that a zone is back sees since when.
        self.note_ends(&zones);
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
    pub wants: PermitWants,
}
