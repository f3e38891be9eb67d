//! The story of one request, item or batch job, read from the log lines of all processes.

mod line;
mod story;

pub use line::LogLine;
pub use story::{Step, Story};
