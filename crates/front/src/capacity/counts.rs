//! How many instances of each service are there, by zone and kind.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::backend::DiscoveredInstance;

/// Whether instances may be taken away at short notice. The number of each kind is ordered apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceKind {
    /// They are not taken away.
    Kept,
    /// All of a zone may be taken away at once; they cost less.
    Preemptible,
}

impl InstanceKind {
    /// Label of metrics and word in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Preemptible => "preemptible",
        }
    }
}

impl fmt::Display for InstanceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// What one order is about: the instances of a service in a zone, of one kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstancePool {
    /// The service.
    pub service: Arc<str>,
    /// The zone.
    pub zone: Arc<str>,
    /// Which of its instances.
    pub kind: InstanceKind,
}

/// Instances of one subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Present {
    /// Those that take work and are not about to leave.
    pub serving: u32,
    /// Those that are still there and take no new work.
    pub leaving: u32,
    /// They are preemptible, and some were told when they will be taken away.
    pub is_taken_back: bool,
}

/// Counts instances by subject.
pub fn count(instances: &[DiscoveredInstance]) -> BTreeMap<InstancePool, Present> {
    let mut counts = BTreeMap::<InstancePool, Present>::new();
    for instance in instances {
        let kind = if instance.is_preemptible {
            InstanceKind::Preemptible
        } else {
            InstanceKind::Kept
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
        present.is_taken_back |= instance.is_preemptible && instance.leaves_ms.is_some();
    }
    counts
}
