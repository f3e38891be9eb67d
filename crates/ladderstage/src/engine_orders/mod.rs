//! Orders to engines: the weight version that each engine should hold, and when to send it.
//!
//! Orders depend only on the bundle and carry its revision as their fence. Two daemons that send
//! orders to the same engine therefore send the same order, and an engine refuses the order of a
//! daemon with an older bundle; which daemons send is only a hint. An order is done when the engine
//! **reports** the version, not when it accepts the order.

mod attempt;
mod order;
mod wave;

pub use attempt::{Action, Attempt, AttemptOutcome, next_action};
pub use order::{ORDER_SENDERS_PER_ENGINE, Order, STANDBY_DELAY, order_sender_rank, orders};
pub use wave::{EngineView, WAVE_SHARE_PERCENT, WAVE_TIMEOUT, wave};
