//! Checks whether a job may be accepted if its route or tenant restricts the regions.
//!
//! Any node may receive a job's data: as its owner, as a front that forwards requests or takes the
//! job over, or as a replica of its log. A restricted job is therefore accepted only if all nodes
//! are in allowed regions, and is rejected before its body is sent to another node.

use std::fmt;

use ladderstage::region::AllowedRegions;
use ladderstage_wire::messages::{JobSpec, ReplicaMember, ReplicaSet};

use super::local_job::Job;
use super::registry::JobRegistry;
use crate::nodes::Nodes;

/// Reason why a job cannot be stored or served within the allowed regions of its route and tenant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RegionBoundsError {
    /// No route matches the job, so its allowed regions are unknown.
    #[error("no route matches the job")]
    NoRoute,
    /// The route and the tenant have no allowed region in common.
    #[error("route and tenant allow no common region")]
    NoAllowedRegion,
    /// A node is outside the allowed regions.
    #[error("node {node} in {region} is outside the allowed regions {allowed}")]
    Node {
        /// Name of the node.
        node: String,
        /// Region of the node.
        region: RegionName,
        /// Allowed regions.
        allowed: AllowedRegions,
    },
    /// The record of a replica's node is missing, so its region is unknown.
    #[error("replica {node} has no known region, allowed regions: {allowed}")]
    UnknownReplica {
        /// Name of the replica's node.
        node: String,
        /// Allowed regions.
        allowed: AllowedRegions,
    },
    /// The replica set is unknown.
    #[error("the replica set is unknown, allowed regions: {allowed}")]
    ReplicaSetUnknown {
        /// Allowed regions.
        allowed: AllowedRegions,
    },
    /// The service has instances, but none in the allowed regions.
    #[error("service {service} has no instance in the allowed regions {allowed}")]
    NoInstance {
        /// Name of the service.
        service: String,
        /// Allowed regions.
        allowed: AllowedRegions,
    },
}

/// Name of a region, if it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionName(pub Option<String>);

impl fmt::Display for RegionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.0.as_deref().unwrap_or("an unknown region"))
    }
}

/// Checks that every node that may receive a job's data is in an allowed region.
///
/// # Errors
/// Fails if a node is outside the allowed regions or its region is unknown.
pub fn check_node_regions(
    allowed: &AllowedRegions,
    nodes: &Nodes,
    replicas: Option<&ReplicaSet>,
) -> Result<(), RegionBoundsError> {
    if allowed.allows_all() {
        return Ok(());
    }
    if allowed.allows_none() {
        return Err(RegionBoundsError::NoAllowedRegion);
    }
    let allowed = || allowed.clone();
    let Some(replicas) = replicas else {
        return Err(RegionBoundsError::ReplicaSetUnknown { allowed: allowed() });
    };
    let is_unknown = |member: &&ReplicaMember| !nodes.has_seen(&member.node);
    if let Some(member) = replicas
        .current
        .iter()
        .chain(&replicas.next)
        .find(is_unknown)
    {
        return Err(RegionBoundsError::UnknownReplica {
            node: member.node.clone(),
            allowed: allowed(),
        });
    }
    if let Some(outside) = nodes.find_outside(&allowed()) {
        return Err(RegionBoundsError::Node {
            region: RegionName(Some(outside.region).filter(|region| !region.is_empty())),
            node: outside.node,
            allowed: allowed(),
        });
    }
    Ok(())
}

impl JobRegistry {
    /// Returns the regions in which a job of this node may be stored, or `None` if no route matches
    /// it or its specification is not committed yet.
    pub(super) fn allowed_regions(&self, job: &Job) -> Option<AllowedRegions> {
        let state = job.state();
        let spec = state.spec()?;
        let config = &self.context.config;
        config.allowed_regions(&spec.host, &spec.path, &spec.tenant)
    }

    /// Checks that a job can be stored and served within its allowed regions.
    ///
    /// # Errors
    /// Fails if a node or every instance of a service is outside the allowed regions.
    pub(super) fn check_regions(&self, spec: &JobSpec) -> Result<(), RegionBoundsError> {
        let context = &self.context;
        let bound = context
            .config
            .allowed_regions(&spec.host, &spec.path, &spec.tenant);
        let allowed = bound.ok_or(RegionBoundsError::NoRoute)?;
        if allowed.allows_all() {
            return Ok(());
        }
        let replicas = context.replica_sets.current();
        check_node_regions(&allowed, &context.nodes, replicas.as_deref())?;
        self.check_instances(spec, allowed)
    }

    /// Checks that each service of the job's route that has instances has one in an allowed region.
    fn check_instances(
        &self,
        spec: &JobSpec,
        allowed: AllowedRegions,
    ) -> Result<(), RegionBoundsError> {
        let context = &self.context;
        let config = context.config.current().unwrap_or_default();
        let route = config.route(&spec.host, &spec.path);
        for part in route.iter().flat_map(|route| &route.split) {
            let service = &part.service;
            let has_instances = !context.backends.instances_of(service).is_empty();
            if has_instances && !context.backends.has_instance_in(service, &allowed) {
                return Err(RegionBoundsError::NoInstance {
                    service: service.clone(),
                    allowed,
                });
            }
        }
        Ok(())
    }
}
