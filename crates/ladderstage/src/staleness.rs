//! Staleness bound of samples.
//!
//! A segment is a run of tokens generated with one weight version. A sample is as old as its oldest
//! segment. Versions are those that the engine reported with each chunk, never the ordered ones.
//! Ages are durations since the sample's first token, never wall-clock times.

use std::time::Duration;

use ladderstage_wire::messages::Segment;

use crate::bundle::PoolSpec;
use crate::ids::WeightVersion;

/// Staleness limits that a pool of the bundle in force sets for delivered samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// Weight version in force.
    pub weight_version: WeightVersion,
    /// Maximum number of versions between the oldest segment and the version in force.
    pub versions: u64,
    /// Maximum age of the first token; `None` means unlimited.
    pub age: Option<Duration>,
}

impl StalenessBound {
    /// Returns the bound of a pool.
    pub fn of(pool: &PoolSpec) -> Self {
        Self {
            weight_version: pool.weight_version,
            versions: pool.staleness_bound,
            age: pool.staleness_bound_seconds.map(Duration::from_secs),
        }
    }

    /// Returns whether a sample with these segments may be delivered.
    ///
    /// `age` is the time since the first token; an unknown age (`None`) exceeds any age bound.
    /// Segments newer than the version in force are fresh. A sample without segments has no version
    /// and is refused.
    pub fn admits(&self, segments: &[Segment], age: Option<Duration>) -> bool {
        self.admits_versions(segments) && self.admits_age(age)
    }

    /// Returns whether the segments are within the version bound of [`admits`](Self::admits).
    pub fn admits_versions(&self, segments: &[Segment]) -> bool {
        let Some(oldest) = oldest_version(segments) else {
            return false;
        };
        self.weight_version.saturating_sub(oldest) <= self.versions
    }

    fn admits_age(&self, age: Option<Duration>) -> bool {
        match (self.age, age) {
            (None, _) => true,
            (Some(bound), Some(age)) => age <= bound,
            (Some(_), None) => false,
        }
    }
}

/// Returns the oldest weight version among the segments; `None` if there are none.
pub fn oldest_version(segments: &[Segment]) -> Option<WeightVersion> {
    segments.iter().map(|segment| segment.weight_version).min()
}

/// Appends tokens of one version to the segments, extending the last segment if it has the same
/// version.
pub fn append_tokens(segments: &mut Vec<Segment>, weight_version: WeightVersion, tokens: u32) {
    match segments.last_mut() {
        Some(last) if last.weight_version == weight_version => {
            last.tokens = last.tokens.saturating_add(tokens);
        }
        _ => segments.push(Segment {
            weight_version,
            tokens,
        }),
    }
}
