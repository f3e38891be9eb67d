//! Usage reports: the number of requests of each tenant that started in each time window.
//!
//! Each front counts the requests that it sent ([`meter`]) and copies its counts to a few other
//! fronts, so that they survive it ([`sharing`]). The order leader (the holder of the orders lease)
//! collects the counts of a finished window, commits the report to the store, and only then sends
//! it ([`reporter`]), so that every later attempt sends the same report.

pub mod meter;
pub mod reporter;
pub mod sharing;
pub mod windows;

pub use meter::{UsageMeter, WindowCounts};
pub use reporter::{CommittedReports, ReportError, ReportSink, UsageReport, UsageReporter};
pub use windows::{UsageOptions, WindowClock};
