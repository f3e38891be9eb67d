//! Storage of a journal replica: one redb database in the data folder.
//!
//! A response is sent only after a durable commit; a dedicated thread commits many requests
//! together. Only the state of each log is kept in memory, the entries are on disk.
//! [`Storage::open`] refuses a folder that has lost acknowledged commits, so that a replica never
//! breaks its promises under its old id.

mod batch;
mod committer;
mod error;
mod export;
mod open;
mod parts;
mod records;
mod retention;
mod store;
mod tables;
mod watermark;

pub use error::{OpenError, StorageError};
pub use open::{DropRule, StorageFaults, StorageOptions};
pub use retention::SweepReport;
pub use store::{OpenLog, Storage, StoredBundle};
