//! Orders to engines: which weight version each should hold, and when to tell it.
//!
//! Orders are a pure function of the bundle and carry its revision as their fence, so two daemons that both look after
//! an engine send the same order, and an engine refuses the order of a daemon that is behind. Who looks after an engine
//! is therefore only a hint. An order is done when the engine **reports** the version, never because it accepted.

mod attempt;
mod order;
mod wave;

pub use attempt::{Action, Attempt, AttemptOutcome, next_action};
pub use order::{CARETAKERS_PER_ENGINE, Order, STANDBY_DELAY, order_sender_rank, orders};
pub use wave::{EngineView, WAVE_SHARE_PERCENT, WAVE_TIMEOUT, wave};
