//! Analysis of the log lines of all processes: the timeline of a request, item or batch job, and a
//! table of the trainers' steps.

mod line;
mod steps;
mod timeline;

pub use line::LogLine;
pub use steps::{LastItem, StepRow, render_table, steps};
pub use timeline::{Timeline, TimelineEntry};
