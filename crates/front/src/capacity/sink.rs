//! Where orders go.

use futures_util::future::BoxFuture;

use super::counts::InstancePool;

/// An order: how many instances a zone is to hold of one kind. Sent again it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// What it is about.
    pub pool: InstancePool,
    /// How many instances there are to be.
    pub desired: u32,
    /// Name of the holder.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

/// Why an order was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CapacityOrderError {
    /// None can be had there now, or the receiver has seen a higher fencing token.
    #[error("none to be had")]
    Unavailable,
    /// It was refused, and was not carried out.
    #[error("refused: {0}")]
    Refused(String),
    /// Nothing is known of it; it may be carried out, now or later.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl CapacityOrderError {
    /// Label of metrics and word in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unavailable => "none_to_be_had",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Takes orders.
pub trait CapacitySink: Send + Sync + 'static {
    /// Sends an order; `Ok` once it was taken.
    fn order<'a>(
        &'a self,
        order: &'a CapacityOrder,
    ) -> BoxFuture<'a, Result<(), CapacityOrderError>>;
}
