//! State that a job's owner shares with readers and with the rest of its node.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage_clock::Instant;
use tokio::sync::{mpsc, oneshot, watch};

use super::job_memory::JobMemory;
use super::lock::lock;
use super::state::JobState;

/// Time after which an owner takes over its log again if a replica has accepted another writer. If
/// no majority has accepted the other writer by then, it has given up.
const RECLAIM_AFTER: Duration = Duration::from_millis(1_200);

/// Command to the owner of a job.
pub(super) enum Command {
    /// Ends the job; the channel is notified once the end is committed.
    End(oneshot::Sender<()>),
    /// Stops the owner, because another node has taken over the log.
    Lost,
    /// Reports that a replica has accepted another writer of the log. The owner takes the log over
    /// again after a delay.
    Contested,
    /// Stops the runs and saves their partial texts, so that another node can take over the job.
    Release,
}

/// A job that this node owns, as seen by readers.
pub struct Job {
    /// Key of the job, which includes the tenant.
    pub id: String,
    /// Time at which this node became the owner.
    pub opened_at: Instant,
    /// Epoch of this node's current writer of the log.
    epoch: Mutex<WriterEpoch>,
    state: Mutex<JobState>,
    changed: watch::Sender<u64>,
    /// Time of the first report that a replica has accepted another writer of the log.
    contested_at: Mutex<Option<Instant>>,
    /// Whether all runs have stopped and all partial texts are in the log.
    is_released: AtomicBool,
    commands: mpsc::UnboundedSender<Command>,
    /// Memory of the items and of the log.
    pub(super) memory: JobMemory,
}

impl Job {
    pub(super) fn new(
        id: &str,
        state: JobState,
        epoch: WriterEpoch,
        opened_at: Instant,
        memory: JobMemory,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let job = Self {
            id: id.to_owned(),
            opened_at,
            epoch: Mutex::new(epoch),
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            contested_at: Mutex::new(None),
            is_released: AtomicBool::new(false),
            commands,
            memory,
        };
        (Arc::new(job), receiver)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, JobState> {
        lock(&self.state)
    }

    /// Returns the epoch of this node's current writer of the log.
    pub(super) fn epoch(&self) -> WriterEpoch {
        *lock(&self.epoch)
    }

    /// Records that this node has taken the log over again with a new writer.
    pub(super) fn set_epoch(&self, epoch: WriterEpoch) {
        *lock(&self.epoch) = epoch;
    }

    /// Records that a replica has accepted another writer of the log.
    pub(super) fn set_contested(&self) {
        let mut contested_at = lock(&self.contested_at);
        if contested_at.is_none() {
            *contested_at = Some(Instant::now());
            self.send(Command::Contested);
        }
    }

    /// Returns whether no replica has reported another writer of the log since the last takeover.
    pub(super) fn is_uncontested(&self) -> bool {
        lock(&self.contested_at).is_none()
    }

    /// Returns when the owner takes over its contested log again, or `None` if the log is not
    /// contested.
    pub(super) fn reclaim_at(&self) -> Option<Instant> {
        lock(&self.contested_at).map(|at| at + RECLAIM_AFTER)
    }

    /// Returns whether the owner has stopped its runs and saved their partial texts.
    pub(super) fn is_released(&self) -> bool {
        self.is_released.load(Ordering::Relaxed)
    }

    /// Returns a receiver that is notified of each commit.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Sends a command to the owner; returns `false` if the owner has finished.
    pub(super) fn send(&self, command: Command) -> bool {
        self.commands.send(command).is_ok()
    }

    /// Waits until the owner has finished.
    pub(super) async fn owner_finished(&self) {
        self.commands.closed().await;
    }

    /// Notifies readers of a change.
    pub(super) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Clears the reports of another writer of the log.
    pub(super) fn clear_contested(&self) {
        *lock(&self.contested_at) = None;
    }

    /// Marks the job as ready for handover.
    pub(super) fn set_released(&self) {
        if !self.is_released.swap(true, Ordering::Relaxed) {
            self.notify();
        }
    }
}
