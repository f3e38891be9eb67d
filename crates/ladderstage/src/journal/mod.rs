//! Replicated logs with epoch-fenced writers: replicas that have promised an epoch refuse writers
//! of lower ones.
//!
//! [`replica`] holds the rules by which replicas answer, [`writer`] the side that seals, installs
//! and appends, [`parts`] splits long logs, [`quorum`] counts replicas, [`replica_set`] changes the replica set, and
//! [`heartbeat`] detects logs without an active writer. `docs/DESIGN.md` argues why no committed
//! entry is lost.

pub mod epoch;
pub mod heartbeat;
pub mod parts;
mod progress;
pub mod quorum;
pub mod read;
pub mod replica;
pub mod replica_set;
pub mod running_time;
pub mod write_timeout;
pub mod writer;

pub use epoch::{EpochSource, WriterEpoch};
pub use parts::DEFAULT_PART_BYTES;
pub use quorum::Quorum;
pub use running_time::{RunningTime, TICK_INTERVAL};
pub use write_timeout::WriteTimeout;
