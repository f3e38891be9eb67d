//! Mapping from zones to regions, distances between places, and the regions in which work may be
//! served.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex};

/// Distance between two places, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same machine.
    SameMachine,
    /// Different machines in one zone.
    SameZone,
    /// Different zones in one region, or no regions are configured.
    SameRegion,
    /// Different regions, or one of the regions is unknown.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two places.
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

    /// Returns the label used in metrics and log lines.
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

/// Location of a node or back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<'a> {
    /// Node name; empty if the place is not a node.
    pub node: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Region; empty means none.
    pub region: &'a str,
}

/// Region of each zone, from the deployment's settings. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct RegionMap {
    shared: Arc<Regions>,
}

#[derive(Debug, Default)]
struct Regions {
    by_zone: BTreeMap<Arc<str>, Arc<str>>,
    has_several: bool,
    /// Zones without a region that have been logged.
    logged: Mutex<BTreeSet<String>>,
}

impl RegionMap {
    /// Creates a map from zone to region.
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

    /// Returns whether there are at least two regions, so that a distance beyond another zone
    /// exists.
    pub fn has_several(&self) -> bool {
        self.shared.has_several
    }

    /// Returns whether any zone belongs to the region `name`.
    pub fn has_region(&self, name: &str) -> bool {
        let mut regions = self.shared.by_zone.values();
        regions.any(|region| region.as_ref() == name)
    }

    /// Returns the region of a zone; `None` if the settings do not name the zone, which is logged
    /// once.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let region = self.shared.by_zone.get(zone);
        if region.is_none() && !self.shared.by_zone.is_empty() {
            self.log_once(zone);
        }
        region.map(AsRef::as_ref)
    }

    /// Returns the distance between two zones.
    pub fn between_zones(&self, from: &str, to: &str) -> Distance {
        let place = |zone| Place {
            node: "",
            zone,
            region: self.region_for_distance(zone),
        };
        Distance::between(&place(from), &place(to))
    }

    /// Returns the region of a zone for computing distances. Empty for all zones unless there are
    /// at least two regions, so that a zone missing from the settings is then no farther away than
    /// any other zone.
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

/// Regions in which a request may be served and its body stored. Cheap to clone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    /// `None` allows all regions.
    names: Option<Arc<BTreeSet<Arc<str>>>>,
}

impl AllowedRegions {
    /// Allows only the regions `names`.
    pub fn only(names: impl IntoIterator<Item = Arc<str>>) -> Self {
        Self {
            names: Some(Arc::new(names.into_iter().collect())),
        }
    }

    /// Returns whether every region is allowed, including unknown ones.
    pub fn allows_all(&self) -> bool {
        self.names.is_none()
    }

    /// Returns whether no region is allowed.
    pub fn allows_none(&self) -> bool {
        self.names.as_ref().is_some_and(|names| names.is_empty())
    }

    /// Returns the regions that both `self` and `other` allow.
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.names, &other.names) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(others)) => Self::only(own.intersection(others).cloned()),
        }
    }

    /// Returns whether `region` is allowed. An unknown region (`None`) is allowed only if all
    /// regions are.
    pub fn permits(&self, region: Option<&str>) -> bool {
        match &self.names {
            None => true,
            Some(names) => region.is_some_and(|region| names.contains(region)),
        }
    }

    /// Returns the names of the allowed regions; empty if all are allowed.
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
