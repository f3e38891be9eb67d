//! What a job's owner shares with readers and with the rest of its node.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;
use tokio::sync::{mpsc, oneshot, watch};

use super::lock::lock;
use super::state::JobState;

/// An owner whose log is another's at some replica, but not at a majority after several heartbeats, takes it again: the other
/// writer has given up.
const RECLAIM_AFTER: Duration = Duration::from_millis(1_200);

/// What an owner is asked.
pub(super) enum Command {
    /// End the job; answered once that is committed.
    End(oneshot::Sender<()>),
    /// Another node has the log.
    Lost,
    /// Some replica says that another node has the log; the owner looks at it in time.
    Contested,
    /// Stop the runs and write down what they have made: another node is to take the job.
    Release,
}

/// What a job's owner shares with readers.
pub struct Job {
    /// Its id.
    pub id: String,
    /// When this node became its owner.
    pub opened_at: Instant,
    state: Mutex<JobState>,
    changed: watch::Sender<u64>,
    /// When a replica first said that another node has the log.
    contested_at: Mutex<Option<Instant>>,
    /// No run is under way and all that was made is in the log.
    is_released: AtomicBool,
    commands: mpsc::UnboundedSender<Command>,
}

impl Job {
    pub(super) fn new(id: &str, state: JobState) -> (Arc<Self>, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let job = Self {
            id: id.to_owned(),
            opened_at: Instant::now(),
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            contested_at: Mutex::new(None),
            is_released: AtomicBool::new(false),
            commands,
        };
        (Arc::new(job), receiver)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, JobState> {
        lock(&self.state)
    }

    /// Notes that a replica says that another node has the log.
    pub(super) fn set_contested(&self) {
        let mut contested_at = lock(&self.contested_at);
        if contested_at.is_none() {
            *contested_at = Some(Instant::now());
            self.send(Command::Contested);
        }
    }

    /// Whether no replica has said that another node has the log.
    pub(super) fn is_uncontested(&self) -> bool {
        lock(&self.contested_at).is_none()
    }

    /// When the owner is to take its log again, as nobody else has it by then.
    pub(super) fn reclaim_at(&self) -> Option<Instant> {
        lock(&self.contested_at).map(|at| at + RECLAIM_AFTER)
    }

    /// Whether the owner has stopped its runs and written down what they made.
    pub(super) fn is_released(&self) -> bool {
        self.is_released.load(Ordering::Relaxed)
    }

    /// Changes with each commit.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Asks the owner; `false` if it has finished.
    pub(super) fn send(&self, command: Command) -> bool {
        self.commands.send(command).is_ok()
    }

    /// Tells readers of a change.
    pub(super) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Forgets that another node was said to have the log.
    pub(super) fn clear_contested(&self) {
        *lock(&self.contested_at) = None;
    }

    /// Notes that the job can be handed on.
    pub(super) fn set_released(&self) {
        if !self.is_released.swap(true, Ordering::Relaxed) {
            self.notify();
        }
    }
}
