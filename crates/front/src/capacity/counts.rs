//! Counts the instances of each service by zone and kind.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::backend::DiscoveredInstance;

/// Billing class of an instance. Each class is ordered separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceKind {
    /// Runs until it is stopped.
    OnDemand,
    /// Costs less, but the provider may reclaim all of a zone at once.
    Preemptible,
}

impl InstanceKind {
    /// Returns the name used in metric labels and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::OnDemand => "kept",
            Self::Preemptible => "preemptible",
        }
    }
}

impl fmt::Display for InstanceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// Instances of one service in one zone and of one kind; the unit that an order sizes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstancePool {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Billing class.
    pub kind: InstanceKind,
}

/// Instances of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PresentInstances {
    /// Ready instances that have not announced their departure.
    pub serving: u32,
    /// Instances that are still running but accept no new work.
    pub leaving: u32,
    /// The pool is preemptible and at least one instance announced that it will be reclaimed.
    pub is_being_reclaimed: bool,
}

/// Counts instances by pool.
pub fn count_instances(
    instances: &[DiscoveredInstance],
) -> BTreeMap<InstancePool, PresentInstances> {
    let mut counts = BTreeMap::<InstancePool, PresentInstances>::new();
    for instance in instances {
        let kind = if instance.is_preemptible {
            InstanceKind::Preemptible
        } else {
            InstanceKind::OnDemand
        };
        let pool = InstancePool {
            service: instance.service.as_str().into(),
            zone: instance.zone.as_str().into(),
            kind,
        };
        let present = counts.entry(pool).or_default();
        if instance.is_ready && instance.leaves_ms.is_none() {
            present.serving += 1;
        } else {
            present.leaving += 1;
        }
        present.is_being_reclaimed |= instance.is_preemptible && instance.leaves_ms.is_some();
    }
    counts
}
