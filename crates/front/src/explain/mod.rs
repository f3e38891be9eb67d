//! What log lines tell: the steps of trainers, and the story of one request, item or batch job, read from the log lines of all processes.

mod line;
mod steps;
mod story;

pub use line::LogLine;
pub use steps::{LastItem, StepRow, steps, render_table};
pub use story::{Step, Timeline};
