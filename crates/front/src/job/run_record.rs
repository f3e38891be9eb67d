//! Records that runs pass to the job's owner, which writes them to the job's log.

use ladderstage_wire::messages::{JobProgress, SuspectRun};
use tokio::sync::oneshot;

/// Record of a run.
pub enum RunRecord {
    /// Partial text of an item.
    Progress(JobProgress),
    /// A run of an item that may crash its instance; the channel is notified once the record is
    /// committed, and closed if it is not.
    Suspect(SuspectRun, oneshot::Sender<()>),
}
