//! Status of a node for operators.

use ladderstage_wire::messages::{Member, ReplicaMember};
use serde::Serialize;

use crate::node::NodeComponents;

/// Readiness of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Readiness {
    /// Whether the node accepts new work.
    pub ready: bool,
    /// Reasons why the node is not ready; empty if it is.
    pub reasons: Vec<String>,
}

impl Readiness {
    /// Returns the current readiness of a node.
    pub fn of(components: &NodeComponents) -> Self {
        let mut reasons = Vec::new();
        if components.drain.is_draining() {
            reasons.push("draining".to_owned());
        }
        if components.bundles.current().is_none() {
            reasons.push("no bundle in force yet".to_owned());
        }
        // Without a replica set, requests that need the journal would fail.
        if !components.settings.initial_replicas.is_empty()
            && components.replica_sets.version() == 0
        {
            reasons.push("the journal's replica set is not known yet".to_owned());
        }
        if components.members.is_isolated() {
            reasons.push("most members of the region do not answer".to_owned());
        }
        Self {
            ready: reasons.is_empty(),
            reasons,
        }
    }
}

/// Member in the status of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// Name of the daemon.
    pub node: String,
    /// `alive`, `suspect`, `leaving`, `dead` or `left`.
    pub state: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address for callers, trainers and operators.
    pub http_address: String,
    /// Address for other daemons.
    pub peer_address: String,
    /// Whether the daemon has a data folder.
    pub replica: bool,
    /// Random id of the process in hexadecimal.
    pub process: String,
}

impl From<Member> for MemberStatus {
    fn from(member: Member) -> Self {
        Self {
            state: format!("{:?}", member.state).to_lowercase(),
            node: member.node,
            zone: member.zone,
            region: member.region,
            http_address: member.http_address,
            peer_address: member.peer_address,
            replica: member.replica_id != 0,
            process: format!("{:016x}", member.process),
        }
    }
}

impl MemberStatus {
    /// Returns all members that a node knows, sorted by name.
    pub fn all(components: &NodeComponents) -> Vec<Self> {
        let mut members: Vec<Self> = components
            .members
            .all()
            .into_iter()
            .map(Self::from)
            .collect();
        members.sort_by(|left, right| left.node.cmp(&right.node));
        members
    }
}

/// Bundle in the status of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BundleStatus {
    /// Revision in force, or 0 if there is none.
    pub revision: u64,
    /// Milliseconds since the bundle was last confirmed to be the newest.
    pub evidence_age_ms: Option<u64>,
    /// Whether this confirmation is recent enough to deliver samples.
    pub may_deliver: bool,
}

/// Answer to `GET /v1/status`.
#[derive(Debug, Serialize)]
pub struct NodeStatus {
    /// Name of this daemon.
    pub node: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether the node accepts new work.
    pub readiness: Readiness,
    /// Bundle in force on this node.
    pub bundle: BundleStatus,
    /// Version of the journal replica set.
    pub replica_set_version: u64,
    /// Daemons whose disks are in the replica set.
    pub replicas: Vec<String>,
    /// Daemons whose disks are being added to the replica set.
    pub replicas_joining: Vec<String>,
    /// Number of requests in flight on this node.
    pub in_flight: usize,
    /// Known members.
    pub members: Vec<MemberStatus>,
    /// Known back ends.
    pub backends: Vec<ladderstage::backend::BackendDescription>,
    /// Engines with their ordered weight versions.
    pub orders: Vec<crate::orders::OrderDescription>,
    /// Shards of steps owned by this node.
    pub shards: Vec<crate::shards::ShardDescription>,
}

impl NodeStatus {
    /// Returns the current status of a node.
    pub fn of(components: &NodeComponents) -> Self {
        let (replicas, replicas_joining) = replicas(components);
        Self {
            replicas,
            replicas_joining,
            node: components.settings.node.clone(),
            zone: components.settings.zone.clone(),
            region: components.settings.region.clone(),
            readiness: Readiness::of(components),
            bundle: BundleStatus {
                revision: components
                    .bundles
                    .current()
                    .map_or(0, |current| current.bundle.revision),
                evidence_age_ms: components
                    .bundles
                    .evidence_age()
                    .map(|age| age.as_millis() as u64),
                may_deliver: components.bundles.may_deliver(),
            },
            replica_set_version: components.replica_sets.version(),
            in_flight: components.drain.in_flight(),
            members: MemberStatus::all(components),
            backends: components.backends.describe(),
            orders: components.orders.describe(),
            shards: components.shards.describe(),
        }
    }
}

/// Returns the daemons in the replica set, and those that are being added.
fn replicas(components: &NodeComponents) -> (Vec<String>, Vec<String>) {
    let Some(set) = components.replica_sets.current() else {
        return Default::default();
    };
    let current = set.current.iter().map(|member| member.node.clone());
    let is_new = |member: &&ReplicaMember| !set.current.contains(member);
    let joining = set.next.iter().filter(is_new);
    (
        current.collect(),
        joining.map(|member| member.node.clone()).collect(),
    )
}
