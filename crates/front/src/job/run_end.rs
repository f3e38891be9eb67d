//! Outcome of a run of an item, and the choice of instances that can continue its text.

use std::time::Duration;

use super::run_context::RunContext;
use super::stalled_run::StalledRun;
use super::text::ItemText;
use crate::backend::Instance;

/// Time for which an instance with outdated weights is excluded for the model.
pub(super) const STALE_WEIGHTS_PAUSE: Duration = Duration::from_secs(1);

/// Outcome of one run at one instance.
pub(super) enum RunEnd {
    /// The text is complete.
    Complete,
    /// The instance answered that the item can never be processed.
    Unprocessable,
    /// The instance failed to process the item.
    Failed,
    /// The instance did not start the item.
    NotStarted(String),
    /// The item migrates to another instance.
    Migrate(String),
    /// The instance sent no event in time and may still run the item; the item migrates to another
    /// instance.
    TimedOut(StalledRun),
    /// The connection broke; the item migrates to another instance.
    Broken(String),
}

/// Returns whether an instance has weights that can continue the text.
pub(super) fn can_continue(context: &RunContext, partial: &ItemText, instance: &Instance) -> bool {
    let version = instance.version(&context.spec.model);
    let is_recent = version >= context.spec.min_version;
    if context.route.last_known().is_single_version() {
        return is_recent && partial.versions().iter().all(|made| *made == version);
    }
    is_recent
}
