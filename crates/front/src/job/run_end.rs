//! How one run of an item ends, and which instances may go on with its text.

use std::time::Duration;

use super::run_context::RunContext;
use super::text::ItemText;
use crate::backend::Instance;

/// How long an instance whose weights proved too old is left out for that model.
pub(super) const STALE_WEIGHTS_PAUSE: Duration = Duration::from_secs(1);

/// How one run at one instance ended.
pub(super) enum RunEnd {
    Complete,
    /// The instance answered that the item can never be done.
    Unprocessable,
    /// The instance failed.
    Failed,
    /// The instance took none of it.
    NotTaken(String),
    /// The item goes on at another instance.
    Move(String),
    /// The connection broke; the item goes on at another instance.
    Broken(String),
}

/// Whether an instance has weights that may go on with the text.
pub(super) fn can_continue(context: &RunContext, partial: &ItemText, instance: &Instance) -> bool {
    let version = instance.version(&context.spec.model);
    if context.single_version
        && let Some(first_version) = partial.versions().first()
    {
        return version == *first_version;
    }
    version >= context.spec.min_version
}
