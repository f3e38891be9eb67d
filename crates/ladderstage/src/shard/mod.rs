//! One shard of a trainer's step: slots, attempts, answers to the trainer and acknowledgements.
//!
//! A step asks for a number of samples, each in a slot; an attempt is one generation of the sample
//! of a slot. A slot is settled once the trainer has acknowledged an attempt.
//!
//! [`ShardState`] is computed from the committed entries of the shard's log alone. Its decisions
//! return the entries that must be committed before their effect may leave the process:
//!
//! - [`ShardState::needed_attempts`] lists the slots that need an attempt, in order;
//! - [`ShardState::commit_entry`] decides whether to commit a generated sample;
//! - [`ShardState::discard_entries`] discards committed attempts that a roll made stale;
//! - [`ShardState::pull`] acknowledges the answer named by a trainer's cursor and returns the next
//!   one.

mod attempts;
mod cursor;
mod pull;
mod state;
mod step;

pub use attempts::NeededAttempt;
pub use cursor::{CursorError, StepCursor};
pub use pull::{Pull, PullDecision, PullOutcome, SampleAges};
pub use state::{AttemptId, ShardState};
pub use step::split_step;
