//! Decides when to send an order and when to repeat it.

use std::time::Duration;

use super::{EngineView, Order};
use crate::ids::{ProcessId, Revision};

/// Delay before an order is sent a second time; doubles with each attempt.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Maximum number of doublings of the delay.
const MAX_DOUBLINGS: u32 = 8;

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The engine accepted the order; it has not applied it yet.
    Accepted,
    /// The engine has received an order of a newer bundle.
    Fenced {
        /// Highest fence that the engine has received.
        fence: Revision,
    },
    /// No answer, or an error.
    Failed,
}

/// Last attempt to send an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Process to which the order was sent.
    pub process: ProcessId,
    /// Fence of the order.
    pub fence: Revision,
    /// Number of times this order was sent to this process.
    pub count: u32,
    /// Result of the attempt.
    pub outcome: AttemptOutcome,
    /// Earliest time to send the order again.
    pub retry_at: Duration,
}

impl Attempt {
    /// Creates the record of an attempt that ended at `now`; `previous` is the attempt before it.
    /// `jitter` is uniform in [0, 1).
    pub fn record(
        order: &Order,
        process: ProcessId,
        previous: Option<&Attempt>,
        outcome: AttemptOutcome,
        now: Duration,
        jitter: f64,
    ) -> Self {
        let earlier = previous
            .filter(|attempt| attempt.is_for(order, process))
            .map_or(0, |attempt| attempt.count);
        Self {
            process,
            fence: order.fence,
            count: earlier.saturating_add(1),
            outcome,
            retry_at: now + backoff(earlier, jitter),
        }
    }

    /// Returns whether the attempt sent this order to this process.
    pub fn is_for(&self, order: &Order, process: ProcessId) -> bool {
        self.fence == order.fence && self.process == process
    }
}

/// Next action for an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Action {
    /// The engine reports the ordered version.
    #[error("done")]
    Done,
    /// Send the order.
    #[error("due")]
    Send,
    /// The order was sent; wait for the engine.
    #[error("sent")]
    Wait {
        /// Time of the next attempt.
        until: Duration,
    },
    /// Other engines of the pool swap first.
    #[error("in a later wave")]
    LaterWave,
    /// No fresh report of the engine is available.
    #[error("no fresh report")]
    Unreported,
    /// The engine follows a newer bundle than the one in force here.
    #[error("superseded by a newer bundle")]
    Superseded,
}

/// Decides the next action for an order. `engine` is the last fresh report; `in_wave` is whether
/// the engine may swap now.
pub fn next_action(
    order: &Order,
    engine: Option<EngineView>,
    in_wave: bool,
    last: Option<&Attempt>,
    now: Duration,
) -> Action {
    let Some(engine) = engine else {
        return Action::Unreported;
    };
    if engine.weight_version == order.weight_version {
        return Action::Done;
    }
    // Attempts with another order or to another process do not count.
    let last = last.filter(|attempt| attempt.is_for(order, engine.process));
    match last {
        Some(attempt) if is_superseded(attempt, order) => Action::Superseded,
        Some(attempt) if now < attempt.retry_at => Action::Wait {
            until: attempt.retry_at,
        },
        _ if !in_wave => Action::LaterWave,
        _ => Action::Send,
    }
}

fn is_superseded(attempt: &Attempt, order: &Order) -> bool {
    matches!(attempt.outcome, AttemptOutcome::Fenced { fence } if fence > order.fence)
}

/// Returns the doubled delay, scaled by a factor between 0.5 and 1.5.
fn backoff(earlier: u32, jitter: f64) -> Duration {
    let factor = 1 << earlier.min(MAX_DOUBLINGS);
    let wait = (INITIAL_RETRY_DELAY * factor).min(MAX_RETRY_DELAY);
    wait.mul_f64(0.5 + jitter.clamp(0.0, 1.0))
}
