//! Receiver of capacity orders.

use futures_util::future::BoxFuture;

use super::counts::InstancePool;

/// Order for the total number of instances in a pool. Sending it again has no further effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Pool to resize.
    pub pool: InstancePool,
    /// Total number of instances.
    pub desired: u32,
    /// Name of the lease holder.
    pub holder: String,
    /// Fencing token of the lease holder.
    pub fence: u64,
}

/// Reason for which an order was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CapacityOrderError {
    /// No instance is available, or the receiver has seen a higher fencing token.
    #[error("no instance available or stale fencing token")]
    Unavailable,
    /// The order was rejected and has no effect.
    #[error("order rejected: {0}")]
    Rejected(String),
    /// The outcome is unknown; the order may still take effect.
    #[error("order outcome unknown: {0}")]
    Unknown(String),
}

impl CapacityOrderError {
    /// Returns the name used in metric labels and logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unavailable => "none_to_be_had",
            Self::Rejected(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Receives capacity orders.
pub trait CapacitySink: Send + Sync + 'static {
    /// Sends an order; returns once it is accepted.
    ///
    /// # Errors
    /// When the order was not accepted, or its outcome is unknown.
    fn order<'a>(
        &'a self,
        order: &'a CapacityOrder,
    ) -> BoxFuture<'a, Result<(), CapacityOrderError>>;
}
