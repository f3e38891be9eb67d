//! Checks the regions named in a configuration. A configuration with findings still comes into
//! force, so that its other changes apply; requests that it allows in no region are rejected.

use std::sync::Arc;

use ladderstage::region::{AllowedRegions, RegionMap};

use crate::config::ServingConfig;

/// A problem with a region and where it was found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RegionFinding {
    /// A route names a region without zones.
    #[error("route {route}: no zone is in region {region}")]
    UnknownRouteRegion {
        /// Name of the route.
        route: String,
        /// Name of the region.
        region: String,
    },
    /// A tenant names a region without zones.
    #[error("tenant {tenant}: no zone is in region {region}")]
    UnknownTenantRegion {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Name of the region.
        region: String,
    },
    /// A tenant's requests on a route are allowed in no region.
    #[error("route {route} and tenant {tenant}: no region in common")]
    NoCommonRegion {
        /// Name of the route.
        route: String,
        /// Name of the tenant.
        tenant: Arc<str>,
    },
}

/// Checks the regions of all routes and tenants against those of the deployment.
pub fn region_findings(config: &ServingConfig, regions: &RegionMap) -> Vec<RegionFinding> {
    let mut findings = Vec::new();
    for route in &config.routes {
        for region in unknown_regions(&route.allowed_regions, regions) {
            let route = route.name.clone();
            findings.push(RegionFinding::UnknownRouteRegion { route, region });
        }
    }
    for tenant in &config.tenants {
        for region in unknown_regions(&tenant.allowed_regions, regions) {
            let tenant = Arc::clone(&tenant.name);
            findings.push(RegionFinding::UnknownTenantRegion { tenant, region });
        }
        let excluded_routes = config
            .routes
            .iter()
            .filter(|route| route.allowed_regions_for(Some(tenant)).allows_none());
        findings.extend(excluded_routes.map(|route| RegionFinding::NoCommonRegion {
            route: route.name.clone(),
            tenant: Arc::clone(&tenant.name),
        }));
    }
    findings
}

fn unknown_regions(allowed: &AllowedRegions, regions: &RegionMap) -> Vec<String> {
    let names = allowed.names().filter(|name| !regions.has_region(name));
    names.map(str::to_owned).collect()
}
