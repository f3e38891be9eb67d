//! Distances between places, and regions in which work may be served.

use std::collections::BTreeMap;
use std::sync::Arc;

use ladderstage::region::{AllowedRegions, Distance, Place, RegionMap};
use proptest::prelude::*;

fn map(zones: &[(&str, &str)]) -> RegionMap {
    let zones = zones.iter();
    RegionMap::new(
        zones
            .map(|(zone, region)| ((*zone).into(), (*region).into()))
            .collect(),
    )
}

fn allowed(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| (*name).into()))
}

#[test]
fn distances_are_ordered_from_near_to_far() {
    let place = |node, zone, region| Place { node, zone, region };
    let here = place("n", "z", "r");
    let others = [
        place("n", "z", "r"),
        place("m", "z", "r"),
        place("m", "y", "r"),
        place("m", "x", "q"),
    ];
    let distances = others.map(|other| Distance::between(&here, &other));
    assert_eq!(
        distances,
        [
            Distance::SameMachine,
            Distance::SameZone,
            Distance::SameRegion,
            Distance::OtherRegion
        ]
    );
    assert!(distances.is_sorted());
}

#[test]
fn a_zone_that_the_settings_do_not_name_is_in_no_region() {
    let several = map(&[("a", "east"), ("b", "west")]);
    assert_eq!(several.region_of("c"), None);
    assert_eq!(several.between_zones("a", "c"), Distance::OtherRegion);
    assert!(!allowed(&["east"]).permits(several.region_of("c")));
    assert!(AllowedRegions::default().permits(several.region_of("c")));
}

#[test]
fn bounds_of_route_and_tenant_both_hold() {
    let (east, both) = (allowed(&["east"]), allowed(&["east", "west"]));
    assert_eq!(both.intersect(&east), east);
    assert_eq!(AllowedRegions::default().intersect(&east), east);
    assert_eq!(east.intersect(&AllowedRegions::default()), east);
    assert!(east.intersect(&allowed(&["west"])).allows_none());
    assert!(!AllowedRegions::default().allows_none());
}

proptest! {
    /// With one region, or none, no distance exceeds that between two zones.
    #[test]
    fn one_region_is_like_none(
        zones in prop::collection::btree_set("[a-e]", 0..5),
        from in "[a-g]",
        to in "[a-g]",
    ) {
        let region: Arc<str> = "only".into();
        let named: BTreeMap<Arc<str>, Arc<str>> = zones
            .iter()
            .map(|zone| (zone.as_str().into(), Arc::clone(&region)))
            .collect();
        let distance = RegionMap::new(named).between_zones(&from, &to);
        prop_assert_eq!(distance, RegionMap::default().between_zones(&from, &to));
        prop_assert!(distance < Distance::OtherRegion);
    }

    #[test]
    fn the_intersection_permits_what_both_permit(
        one in prop::option::of(prop::collection::vec("[a-d]", 0..4)),
        other in prop::option::of(prop::collection::vec("[a-d]", 0..4)),
        region in prop::option::of("[a-e]"),
    ) {
        let bounds = |names: &Option<Vec<String>>| match names {
            Some(names) => AllowedRegions::only(names.iter().map(|name| name.as_str().into())),
            None => AllowedRegions::default(),
        };
        let (one, other) = (bounds(&one), bounds(&other));
        let region = region.as_deref();
        prop_assert_eq!(one.intersect(&other).permits(region), one.permits(region) && other.permits(region));
    }
}
