//! What is wrong with the regions that a configuration names. Such a configuration is in force all the same, as its other changes have to be:
//! what it leaves nowhere is refused.

use std::sync::Arc;

use ladderstage::region::{AllowedRegions, RegionMap};

use crate::config::ServingConfig;

/// One finding, with its place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RegionFinding {
    /// A route names a region in which no zone lies.
    #[error("route {route}: no zone is in region {region}")]
    UnknownOfRoute {
        /// The route.
        route: String,
        /// The region.
        region: String,
    },
    /// A tenant does.
    #[error("tenant {tenant}: no zone is in region {region}")]
    UnknownOfTenant {
        /// The tenant.
        tenant: Arc<str>,
        /// The region.
        region: String,
    },
    /// A tenant's requests on a route may be served nowhere.
    #[error("route {route} and tenant {tenant}: no region in common")]
    NothingInCommon {
        /// The route.
        route: String,
        /// The tenant.
        tenant: Arc<str>,
    },
}

/// All findings in a deployment with these regions.
pub fn region_findings(config: &ServingConfig, regions: &RegionMap) -> Vec<RegionFinding> {
    let mut findings = Vec::new();
    for route in &config.routes {
        for region in unknown(&route.allowed_regions, regions) {
            let route = route.name.clone();
            findings.push(RegionFinding::UnknownOfRoute { route, region });
        }
    }
    for tenant in &config.tenants {
        for region in unknown(&tenant.allowed_regions, regions) {
            let tenant = Arc::clone(&tenant.name);
            findings.push(RegionFinding::UnknownOfTenant { tenant, region });
        }
        let bounded = config
            .routes
            .iter()
            .filter(|route| route.allowed_regions_for(Some(tenant)).is_nowhere());
        findings.extend(bounded.map(|route| RegionFinding::NothingInCommon {
            route: route.name.clone(),
            tenant: Arc::clone(&tenant.name),
        }));
    }
    findings
}

fn unknown(allowed: &AllowedRegions, regions: &RegionMap) -> Vec<String> {
    let names = allowed.names().filter(|name| !regions.has_region(name));
    names.map(str::to_owned).collect()
}
