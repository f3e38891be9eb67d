//! Whether a job may be accepted where its route and tenant name regions.
//!
//! Any node may come to hold a job: as its owner, as one that asks the owner for it or takes it over, as a replica of its log. The set
//! of replicas spans all regions. So a job with such bounds is accepted only if every node lies inside them, and refused otherwise,
//! before its body is sent to another node.

use std::fmt;

use ladderstage::region::AllowedRegions;
use ladderstage_wire::messages::{JobSpec, ReplicaMember, ReplicaSet};

use super::registry::JobRegistry;
use super::shared::Job;
use crate::nodes::Nodes;

/// Why a job may not be kept or served within the regions of its route and tenant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RegionBoundsError {
    /// Where it may be kept is not known, as no route takes it.
    #[error("no route takes it")]
    NoRoute,
    /// Its route and its tenant have no region in common, or name none.
    #[error("no region is allowed")]
    NoAllowedRegion,
    /// A node lies outside.
    #[error("node {node} in {region} is outside {allowed}")]
    Node {
        /// The node.
        node: String,
        /// Its region, as far as it is known.
        region: Region,
        /// The regions inside.
        allowed: AllowedRegions,
    },
    /// Where a replica lies is not known.
    #[error("replica {node} is not known, allowed {allowed}")]
    UnknownReplica {
        /// The replica's node.
        node: String,
        /// The regions inside.
        allowed: AllowedRegions,
    },
    /// The set of replicas is not known.
    #[error("the replicas are not known, allowed {allowed}")]
    UnknownReplicas {
        /// The regions inside.
        allowed: AllowedRegions,
    },
    /// The service has instances, and none of them inside.
    #[error("no instance of {service} is in {allowed}")]
    NoInstance {
        /// The service.
        service: String,
        /// The regions inside.
        allowed: AllowedRegions,
    },
}

/// A region, or that none is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region(pub Option<String>);

impl fmt::Display for Region {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.0.as_deref().unwrap_or("no known region"))
    }
}

/// Whether every node that could come to hold a job lies in an allowed region.
///
/// # Errors
/// The node that does not, or whose region is not known.
pub fn check_node_regions(
    allowed: &AllowedRegions,
    nodes: &Nodes,
    replicas: Option<&ReplicaSet>,
) -> Result<(), RegionBoundsError> {
    if allowed.is_all() {
        return Ok(());
    }
    if allowed.is_nowhere() {
        return Err(RegionBoundsError::NoAllowedRegion);
    }
    let allowed = || allowed.clone();
    let Some(replicas) = replicas else {
        return Err(RegionBoundsError::UnknownReplicas { allowed: allowed() });
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
            region: Region(Some(outside.region).filter(|region| !region.is_empty())),
            node: outside.node,
            allowed: allowed(),
        });
    }
    Ok(())
}

impl JobRegistry {
    /// Where a job of this node may be kept by the configuration in force; `None`: no route takes it any more, or it is not read yet.
    pub(super) fn allowed_regions(&self, job: &Job) -> Option<AllowedRegions> {
        let state = job.state();
        let spec = state.spec()?;
        let config = &self.context.config;
        config.allowed_regions(&spec.host, &spec.path, &spec.tenant)
    }

    /// Whether a job stays where its route and tenant allow it to be kept and served, by the configuration in force.
    ///
    /// # Errors
    /// Where it would leave them, or that no instance lies in them.
    pub(super) fn check_bounds(&self, spec: &JobSpec) -> Result<(), RegionBoundsError> {
        let context = &self.context;
        let bound = context
            .config
            .allowed_regions(&spec.host, &spec.path, &spec.tenant);
        let allowed = bound.ok_or(RegionBoundsError::NoRoute)?;
        if allowed.is_all() {
            return Ok(());
        }
        let replicas = context.replica_sets.current();
        check_node_regions(&allowed, &context.nodes, replicas.as_deref())?;
        self.check_instances(spec, allowed)
    }

    /// Whether each service of a job's route that has instances has one in an allowed region.
    fn check_instances(&self, spec: &JobSpec, allowed: AllowedRegions) -> Result<(), RegionBoundsError> {
        let context = &self.context;
        let config = context.config.current().unwrap_or_default();
        let route = config.route(&spec.host, &spec.path);
        for part in route.iter().flat_map(|route| &route.split) {
            let service = &part.service;
            let is_known = !context.backends.instances_of(service).is_empty();
            if is_known && !context.backends.has_any_within(service, &allowed) {
                return Err(RegionBoundsError::NoInstance {
                    service: service.clone(),
                    allowed,
                });
            }
        }
        Ok(())
    }
}
