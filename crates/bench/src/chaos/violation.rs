//! Violated guarantees.

use std::fmt;

use serde::Serialize;

/// A guarantee of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guarantee {
    /// Each slot is delivered once, with true labels, and no sample is too stale.
    Samples,
    StepsComplete,
    /// An answer that appears complete is complete, correct and addressed to its caller.
    WholeAnswer,
    /// A request that was refused as not run did not run.
    NotRun,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    Ran,
    /// Revisions never decrease, and all daemons end on the newest accepted bundle.
    Bundles,
    /// A leaving back end receives no new work.
    Leaving,
    /// Every refusal has a `Retry-After` header.
    RetryAfter,
    /// Live requests succeed after all faults have ended.
    Recovery,
    /// Daemons neither panic nor exit on their own.
    NoCrash,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Guarantee that does not hold.
    pub guarantee: Guarantee,
    /// Description of what was observed.
    pub evidence: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.guarantee, self.evidence)
    }
}
