//! Reports of use: how many requests of each tenant began to run in each window of time.
//!
//! Each front counts what it sent ([`meter`]) and tells its counts to a few others, so that they live on when it ends
//! ([`sharing`]). The holder of the lease that orders are given under gathers the counts of a window once it is over, writes the
//! report down where all nodes find it, and only then sends it ([`reporter`]): whoever sends it again later sends the same.

pub mod meter;
pub mod reporter;
pub mod sharing;
pub mod windows;

pub use meter::{UsageMeter, WindowCounts};
pub use reporter::{FixedReports, ReportError, ReportSink, UsageReport, UsageReporter};
pub use windows::{UsageOptions, WindowClock};
