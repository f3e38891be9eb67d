//! Node state that admission of live requests depends on.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use crate::bundles::{BundleInForce, Bundles};
use crate::members::Members;

/// Node state that admission of live requests depends on. Tests substitute fixed values.
pub trait NodeState: Debug + Send + Sync + 'static {
    /// Returns the bundle in force, if the node has received one.
    fn bundle(&self) -> Option<Arc<BundleInForce>>;

    /// Returns the time since the bundle was last confirmed to be the newest, or `None` if it never was.
    fn evidence_age(&self) -> Option<Duration>;

    /// Returns whether too few members of the region answer this node.
    fn is_isolated(&self) -> bool;
}

/// State of a running node.
#[derive(Debug)]
pub(super) struct LiveNodeState {
    pub(super) bundles: Bundles,
    pub(super) members: Members,
}

impl NodeState for LiveNodeState {
    fn bundle(&self) -> Option<Arc<BundleInForce>> {
        self.bundles.current()
    }

    fn evidence_age(&self) -> Option<Duration> {
        self.bundles.evidence_age()
    }

    fn is_isolated(&self) -> bool {
        self.members.is_isolated()
    }
}
