//! Format levels of the builds in the fleet.
//!
//! During an upgrade, builds that read different formats run side by side. Each node's record names
//! the level of its build, so that a feature that needs all nodes can wait for them. The known
//! levels may be outdated: data that an older build would misread must be safe in its reading
//! regardless of the level.

use serde::{Deserialize, Serialize};

use super::{NodeRecord, NodeRole};

/// Formats that a build reads, as a number that increases when a build reads more.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FormatLevel(pub u32);

impl FormatLevel {
    /// Level of a build whose record does not name one.
    pub const UNKNOWN: Self = Self(0);

    /// Adds drained zones and cold instances in the roster, regions of nodes and jobs, and requests
    /// for permits.
    pub const ZONES_AND_PERMITS: Self = Self(1);

    /// Adds the compressed roster.
    pub const PACKED_ROSTER: Self = Self(2);

    /// Adds replicas that join the replica set together.
    pub const JOINT_COPIES: Self = Self(3);

    /// Level of this build.
    pub const OWN: Self = Self::JOINT_COPIES;
}

/// Returns the lowest level among the records with a role, or this build's own level if there are
/// none.
pub fn shared_level<'a>(
    records: impl IntoIterator<Item = &'a NodeRecord>,
    role: NodeRole,
) -> FormatLevel {
    let with_role = records.into_iter().filter(|record| record.role == role);
    let levels = with_role.map(|record| record.formats);
    levels.min().unwrap_or(FormatLevel::OWN)
}
