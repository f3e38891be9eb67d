//! Tests of the nodes' regions and of the checks that a job stays in its allowed regions.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::activity::Activity;
use ladderstage_front::coordination::Coordination;
use ladderstage_front::job::{RegionBoundsError, check_node_regions};
use ladderstage_front::nodes::{FormatLevel, NodeRecord, NodeRole, Nodes};
use ladderstage_front::region::{AllowedRegions, Distance, RegionMap};
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};
use serde_json::json;
use support::memory_store::MemoryStore;
use tokio::time::sleep;

/// Longer than the startup period, in which a node reads the other nodes' records frequently.
const STARTUP: Duration = Duration::from_secs(9);

fn regions() -> RegionMap {
    let zones = [("e1", "east"), ("e2", "east"), ("w1", "west")];
    RegionMap::new(
        zones
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
    )
}

fn allowed(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| (*name).into()))
}

fn record(node: &str, role: NodeRole, zone: &str) -> NodeRecord {
    NodeRecord {
        node: node.to_owned(),
        role,
        process: 1,
        peer_address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.to_owned(),
        replica_id: u64::from(role == NodeRole::Store),
        is_leaving: false,
        cpu_millis: 0,
        region: regions().region_of(zone).unwrap_or_default().to_owned(),
        formats: FormatLevel::OWN,
    }
}

/// Starts a front in `e1`, waits until it has read these nodes' records, and stops it.
async fn start_front_with(others: &[NodeRecord]) -> Nodes {
    let store = MemoryStore::default();
    for other in others {
        let value = serde_json::to_vec(other).unwrap();
        store.write(&format!("ladderstage/node/{}", other.node), value);
    }
    let own = record("own", NodeRole::Front, "e1");
    let nodes = Nodes::new(own).with_regions(regions());
    let running = nodes.clone();
    let coordination: Arc<dyn Coordination> = Arc::new(store.of("own"));
    let activity = Activity::default();
    let run = async move { running.run(coordination, &activity).await };
    let task = tokio::spawn(run);
    sleep(STARTUP).await;
    task.abort();
    nodes
}

fn replica_set(current: &[&str], next: &[&str]) -> ReplicaSet {
    let members = |names: &[&str]| {
        let members = names.iter().map(|node| ReplicaMember {
            node: (*node).to_owned(),
            replica_id: 1,
        });
        members.collect()
    };
    ReplicaSet {
        current: members(current),
        next: members(next),
        ..ReplicaSet::default()
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_is_rejected_if_a_node_or_replica_is_outside_its_allowed_regions() {
    let store = record("store", NodeRole::Store, "e2");
    let nodes = start_front_with(std::slice::from_ref(&store)).await;
    let replicas = replica_set(&["store"], &[]);
    let check = |nodes: &Nodes, names: &[&str], replicas: Option<&ReplicaSet>| {
        check_node_regions(&allowed(names), nodes, replicas)
    };
    assert_eq!(check(&nodes, &["east"], Some(&replicas)), Ok(()));
    assert_eq!(
        check(&nodes, &[], Some(&replicas)),
        Err(RegionBoundsError::NoAllowedRegion)
    );
    let outside = check(&nodes, &["west"], Some(&replicas));
    assert!(
        matches!(outside, Err(RegionBoundsError::Node { .. })),
        "{outside:?}"
    );
    let unknown = check(&nodes, &["east"], None);
    assert!(matches!(
        unknown,
        Err(RegionBoundsError::ReplicaSetUnknown { .. })
    ));
    for replicas in [
        replica_set(&["store", "lost"], &[]),
        replica_set(&["store"], &["joins"]),
    ] {
        let unknown = check(&nodes, &["east"], Some(&replicas));
        assert!(matches!(
            unknown,
            Err(RegionBoundsError::UnknownReplica { .. })
        ));
    }
    let everywhere = AllowedRegions::default();
    assert_eq!(check_node_regions(&everywhere, &nodes, None), Ok(()));
    for (role, zone) in [
        (NodeRole::Front, "w1"),
        (NodeRole::Store, "w1"),
        (NodeRole::Front, "unknown"),
    ] {
        let outside = record("outside", role, zone);
        let nodes = start_front_with(&[store.clone(), outside]).await;
        let refused = check(&nodes, &["east"], Some(&replicas));
        assert!(
            matches!(&refused, Err(RegionBoundsError::Node { node, .. }) if node == "outside"),
            "{refused:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn distances_of_nodes_follow_the_configured_regions_of_their_zones() {
    let nodes = start_front_with(&[]).await;
    let distance = |zone, region: &str| {
        let other = NodeRecord {
            region: region.to_owned(),
            ..record("other", NodeRole::Front, zone)
        };
        nodes.distance_to(&other)
    };
    assert_eq!(distance("e1", ""), Distance::SameZone);
    assert_eq!(distance("e2", ""), Distance::SameRegion);
    assert_eq!(distance("w1", ""), Distance::OtherRegion);
    assert_eq!(distance("new", ""), Distance::OtherRegion);
    assert_eq!(
        distance("new", "east"),
        Distance::SameRegion,
        "the region in the node's record is used for an unconfigured zone"
    );
    assert_eq!(nodes.distance_to(&nodes.own()), Distance::SameMachine);
}

/// A node of an older build ignores the allowed regions; its record names no region.
#[tokio::test(start_paused = true)]
async fn a_job_with_allowed_regions_is_rejected_while_a_node_runs_an_older_build() {
    let older = NodeRecord {
        region: String::new(),
        ..record("older", NodeRole::Front, "e1")
    };
    let nodes = start_front_with(&[older]).await;
    let refused = check_node_regions(
        &allowed(&["east"]),
        &nodes,
        Some(&replica_set(&["own"], &[])),
    );
    assert!(
        matches!(&refused, Err(RegionBoundsError::Node { node, .. }) if node == "older"),
        "{refused:?}"
    );
    assert_eq!(nodes.find_outside(&AllowedRegions::default()), None);
}

/// Older builds neither write nor read regions.
#[test]
fn records_without_a_region_are_compatible_with_older_builds() {
    let older = json!({
        "node": "n", "role": "front", "process": 7, "peer_address": "127.0.0.1:1", "zone": "e1",
        "replica_id": 0, "is_leaving": false, "cpu_millis": 120,
    });
    let record: NodeRecord = serde_json::from_value(older.clone()).unwrap();
    assert_eq!(record.region, "");
    let mut written = older;
    written["formats"] = json!(0);
    assert_eq!(serde_json::to_value(&record).unwrap(), written);
}
