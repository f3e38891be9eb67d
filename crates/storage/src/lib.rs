//! The disk of a journal replica: one redb file in the data folder.
//!
//! Answers leave only after a durable commit; a dedicated thread joins many requests into one. Entries stay on
//! disk, memory holds the state of each log only. [`Storage::open`] refuses a folder that lost commits which were
//! already answered, so that a replica never answers under its old id with less than it promised.

mod batch;
mod committer;
mod error;
mod export;
mod open;
mod records;
mod retention;
mod store;
mod tables;
mod watermark;

pub use error::{OpenError, StorageError};
pub use open::{DropRule, StorageFaults, StorageOptions};
pub use retention::SweepReport;
pub use store::{Storage, StoredBundle};
