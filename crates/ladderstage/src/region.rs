//! Regions: which one each zone lies in, how far two places are from each other, and where work may be served.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex};

/// How far a place is from another one, the nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// It is the same machine.
    SameMachine,
    /// Both are in one zone.
    SameZone,
    /// Both are in one region, or there are no regions.
    SameRegion,
    /// They are in different regions, or the region of one is not known.
    OtherRegion,
}

impl Distance {
    /// Between two places.
    pub fn between(from: &Place<'_>, to: &Place<'_>) -> Self {
        if !from.node.is_empty() && from.node == to.node {
            Self::SameMachine
        } else if from.zone == to.zone {
            Self::SameZone
        } else if from.region == to.region {
            Self::SameRegion
        } else {
            Self::OtherRegion
        }
    }

    /// Label of metrics and word in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::SameMachine => "machine",
            Self::SameZone => "zone",
            Self::SameRegion => "region",
            Self::OtherRegion => "elsewhere",
        }
    }
}

impl fmt::Display for Distance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// Where something runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<'a> {
    /// Name of its node; empty: it is no node.
    pub node: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its region; empty: none.
    pub region: &'a str,
}

/// The regions of the zones, as the deployment's settings tell them. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct RegionMap {
    shared: Arc<Regions>,
}

#[derive(Debug, Default)]
struct Regions {
    by_zone: BTreeMap<Arc<str>, Arc<str>>,
    has_several: bool,
    /// Zones without a region that were logged.
    logged: Mutex<BTreeSet<String>>,
}

impl RegionMap {
    /// The regions by zone.
    pub fn new(by_zone: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        let regions: BTreeSet<&Arc<str>> = by_zone.values().collect();
        let has_several = regions.len() > 1;
        Self {
            shared: Arc::new(Regions {
                by_zone,
                has_several,
                logged: Mutex::default(),
            }),
        }
    }

    /// Whether there are two regions or more: only then is anything farther away than another zone.
    pub fn has_several(&self) -> bool {
        self.shared.has_several
    }

    /// Whether any zone lies in a region of this name.
    pub fn has_region(&self, name: &str) -> bool {
        let mut regions = self.shared.by_zone.values();
        regions.any(|region| region.as_ref() == name)
    }

    /// Region of a zone; `None` if the settings do not name it, which is logged once.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let region = self.shared.by_zone.get(zone);
        if region.is_none() && !self.shared.by_zone.is_empty() {
            self.log_once(zone);
        }
        region.map(AsRef::as_ref)
    }

    /// How far one zone is from another.
    pub fn between_zones(&self, from: &str, to: &str) -> Distance {
        let place = |zone| Place {
            node: "",
            zone,
            region: self.region_for_distance(zone),
        };
        Distance::between(&place(from), &place(to))
    }

    /// Region of a zone for computing distances: empty for all zones unless there are two regions or more, so that a zone that the
    /// settings do not name is then no farther away than any other.
    pub fn region_for_distance(&self, zone: &str) -> &str {
        if !self.has_several() {
            return "";
        }
        self.region_of(zone).unwrap_or_default()
    }

    fn log_once(&self, zone: &str) {
        let mut logged = self
            .shared
            .logged
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if logged.insert(zone.to_owned()) {
            log::warn!("event=zone_without_region zone={zone}");
        }
    }
}

/// Regions in which a request may be served and its body kept. Cheap to clone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    /// `None`: all.
    names: Option<Arc<BTreeSet<Arc<str>>>>,
}

impl AllowedRegions {
    /// These regions and no other.
    pub fn only(names: impl IntoIterator<Item = Arc<str>>) -> Self {
        Self {
            names: Some(Arc::new(names.into_iter().collect())),
        }
    }

    /// Whether regions do not matter.
    pub fn allows_all(&self) -> bool {
        self.names.is_none()
    }

    /// Whether nothing is allowed anywhere.
    pub fn allows_none(&self) -> bool {
        self.names.as_ref().is_some_and(|names| names.is_empty())
    }

    /// Regions that both allow.
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.names, &other.names) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(others)) => Self::only(own.intersection(others).cloned()),
        }
    }

    /// Whether a region is allowed; one that is not known is so only where all are.
    pub fn permits(&self, region: Option<&str>) -> bool {
        match &self.names {
            None => true,
            Some(names) => region.is_some_and(|region| names.contains(region)),
        }
    }

    /// The names; none where all are allowed.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names
            .iter()
            .flat_map(|names| names.iter().map(AsRef::as_ref))
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.allows_all() {
            return formatter.write_str("all");
        }
        let names: Vec<&str> = self.names().collect();
        formatter.write_str(&names.join(","))
    }
}
