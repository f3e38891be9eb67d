//! Which formats the builds in the fleet read.
//!
//! While machines are replaced, builds that know different formats run side by side. Each node's record names what its build reads, so
//! that a feature that needs all nodes can wait until they have it. This is a hint, as old as the view of the nodes: what an older build would
//! read wrongly must be written so that its reading is safe, whatever the level.

use serde::{Deserialize, Serialize};

use super::{NodeRecord, NodeRole};

/// The formats that a build reads, as a number that rises whenever a build reads more.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FormatLevel(pub u32);

impl FormatLevel {
    /// A build whose record names no level.
    pub const UNNAMED: Self = Self(0);

    /// Reads drained zones and coldness of instances in the roster, regions of nodes and jobs, and answers requests for permits.
    pub const ZONES_AND_PERMITS: Self = Self(1);

    /// What this build reads.
    pub const OWN: Self = Self::ZONES_AND_PERMITS;
}

/// What all nodes with a role read: the lowest level among their records; this build's own if there are none.
pub fn shared_level<'a>(
    records: impl IntoIterator<Item = &'a NodeRecord>,
    role: NodeRole,
) -> FormatLevel {
    let with_role = records.into_iter().filter(|record| record.role == role);
    let levels = with_role.map(|record| record.formats);
    levels.min().unwrap_or(FormatLevel::OWN)
}
