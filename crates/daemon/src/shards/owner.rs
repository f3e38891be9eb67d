//! The task that owns one shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::ids::ShardKey;
use ladderstage::shard::Pull;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::{Response, ShardSpec};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::ages::FirstTokens;
use super::attempt::{AttemptEnd, Generated};
use super::generation::{SlotBackoffs, SlotTask};
use super::log::{CommitError, ShardLog};
use super::registry::{OwnedShard, OwnerStatus, Registration, ShardDescription};
use super::{Shared, replies};
use crate::bundles::BundleInForce;
use crate::jitter::{backoff, jittered};
use crate::journal::JournalError;

/// Questions that wait for the task; further ones are refused.
const MAILBOX_CAPACITY: usize = 64;

/// How often a takeover is tried before it is left to the next notice.
const TAKE_OVER_TRIES: u32 = 8;

/// First delay between tries of a takeover.
const TAKE_OVER_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between tries of a takeover.
const TAKE_OVER_DELAY_MOST: Duration = Duration::from_secs(2);

/// Between tries of an append whose outcome is in doubt.
const IN_DOUBT_RETRY: Duration = Duration::from_millis(200);

/// Between looks for a free engine while slots wait for one.
const ENGINE_RETRY: Duration = Duration::from_millis(60);

/// Between looks at the age of committed samples when nothing else happens.
const IDLE_REVIEW: Duration = Duration::from_secs(1);

/// A question to the task.
#[derive(Debug)]
pub(super) enum Message {
    /// Opens the shard, or compares with what is open.
    Open {
        spec: Box<ShardSpec>,
        reply: oneshot::Sender<Response>,
    },
    /// A trainer's question.
    Pull {
        pull: Pull,
        wait: Duration,
        reply: oneshot::Sender<Response>,
    },
    /// The process is stopping as planned.
    Drain,
}

/// A pull that waits for samples.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) pull: Pull,
    pub(super) deadline: Instant,
    pub(super) reply: oneshot::Sender<Response>,
}

/// An opening that waits for its commit.
#[derive(Debug)]
pub(super) struct Opening {
    pub(super) spec: Box<ShardSpec>,
    pub(super) reply: oneshot::Sender<Response>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Open,
    Finished,
}

/// State of the task once the log is taken over.
#[derive(Debug)]
pub(super) struct Owner {
    pub(super) shared: Arc<Shared>,
    pub(super) key: ShardKey,
    pub(super) log: ShardLog,
    pub(super) first_tokens: FirstTokens,
    pub(super) waiters: Vec<Waiter>,
    pub(super) openings: Vec<Opening>,
    pub(super) attempts: JoinSet<AttemptEnd>,
    pub(super) in_flight: BTreeMap<u32, SlotTask>,
    pub(super) ready: Vec<Generated>,
    pub(super) backoffs: SlotBackoffs,
    bundle_changes: watch::Receiver<Option<Arc<BundleInForce>>>,
    mailbox: mpsc::Receiver<Message>,
    status: Arc<OwnerStatus>,
    in_doubt: bool,
}

/// The task of a shard, started unless it runs already; `None`: this process owns too many.
pub(super) fn own(shared: &Arc<Shared>, log: &str) -> Option<OwnedShard> {
    let spawn = |registration: Registration, mailbox, status| {
        let task = run(
            shared.clone(),
            log.to_owned(),
            registration,
            mailbox,
            status,
        );
        tokio::spawn(task).abort_handle()
    };
    shared.registry.find_or_start(log, spawn, MAILBOX_CAPACITY)
}

async fn run(
    shared: Arc<Shared>,
    log: String,
    registration: Registration,
    mut mailbox: mpsc::Receiver<Message>,
    status: Arc<OwnerStatus>,
) {
    let Some(key) = ShardKey::from_log(&log) else {
        return;
    };
    let Some(shard_log) = take_over(&shared, &log).await else {
        refuse_all(&mut mailbox);
        return;
    };
    ::log::info!("event=shard_taken_over log={log} node={}", shared.node);
    let mut owner = Owner {
        bundle_changes: shared.parts.bundles.watch(),
        shared,
        key,
        log: shard_log,
        first_tokens: FirstTokens::default(),
        waiters: Vec::new(),
        openings: Vec::new(),
        attempts: JoinSet::new(),
        in_flight: BTreeMap::new(),
        ready: Vec::new(),
        backoffs: SlotBackoffs::default(),
        mailbox,
        status,
        in_doubt: false,
    };
    let reason = owner.run().await;
    ::log::info!("event=shard_released log={log} reason={reason}");
    // The writer goes first, so that whoever sees the registration gone may count on the log being let go.
    drop(owner);
    drop(registration);
}

/// Nothing was done for those who asked before the takeover failed.
fn refuse_all(mailbox: &mut mpsc::Receiver<Message>) {
    mailbox.close();
    while let Ok(message) = mailbox.try_recv() {
        match message {
            Message::Open { reply, .. } | Message::Pull { reply, .. } => {
                let _ = reply.send(replies::refused(Reason::NOT_READY, "not taken over"));
            }
            Message::Drain => {}
        }
    }
}

async fn take_over(shared: &Shared, log: &str) -> Option<ShardLog> {
    for failures in 0..TAKE_OVER_TRIES {
        match ShardLog::take_over(&shared.parts.journal, log).await {
            Ok(shard_log) => return Some(shard_log),
            Err(error @ (JournalError::Fenced | JournalError::Retired)) => {
                ::log::info!("event=takeover_abandoned log={log} error=\"{error}\"");
                return None;
            }
            Err(error) => ::log::warn!("event=takeover_failed log={log} error=\"{error}\""),
        }
        tokio::time::sleep(backoff(TAKE_OVER_DELAY, failures, TAKE_OVER_DELAY_MOST)).await;
    }
    None
}

impl Owner {
    /// Runs until the shard is finished, fenced or let go; the result says which.
    async fn run(&mut self) -> &'static str {
        loop {
            match self.advance().await {
                Ok(Progress::Open) => self.in_doubt = false,
                Ok(Progress::Finished) => return "finished",
                Err(CommitError::Fenced) => {
                    self.shared.recent_fences.note(&self.key.log());
                    return "fenced";
                }
                Err(CommitError::InDoubt) => {
                    self.in_doubt = true;
                    self.refuse_waiters(Reason::NOT_READY, "no quorum of the journal");
                }
                Err(CommitError::StaleReplicaSet) => {
                    if self.take_over_again().await.is_err() {
                        return "fenced";
                    }
                }
            }
            self.publish();
            let wake = tokio::time::sleep(self.next_wake());
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(Message::Drain) | None => {
                        self.refuse_waiters(Reason::LEAVING, "draining");
                        return "drained";
                    }
                    Some(message) => self.receive(message),
                },
                Some(ended) = self.attempts.join_next_with_id() => self.attempt_ended(ended),
                Ok(()) = self.bundle_changes.changed() => {}
                () = wake => {}
            }
            self.receive_waiting();
        }
    }

    /// Goes on under the replica set in force with all attempts under way; an error if another owner has the log.
    async fn take_over_again(&mut self) -> Result<(), CommitError> {
        self.in_doubt = true;
        self.publish();
        self.refuse_waiters(Reason::NOT_READY, "the journal's replicas are changing");
        let log = self.key.log();
        match self
            .log
            .take_over_again(&self.shared.parts.journal, &log)
            .await
        {
            Ok(()) => {
                ::log::info!("event=shard_retaken log={log}");
                self.in_doubt = false;
                Ok(())
            }
            Err(JournalError::Fenced | JournalError::Retired) => Err(CommitError::Fenced),
            Err(error) => {
                ::log::warn!("event=takeover_failed log={log} error=\"{error}\"");
                Ok(())
            }
        }
    }

    /// Everything that can be done now. Each step decides on a settled state and commits before it goes on.
    async fn advance(&mut self) -> Result<Progress, CommitError> {
        self.log.settle().await?;
        self.commit_openings().await?;
        self.commit_generated().await?;
        self.discard_stale().await?;
        self.answer_waiters().await?;
        if self.log.state().is_complete() {
            if !self.log.is_closed() {
                self.log.commit(Vec::new(), true).await?;
            }
            self.answer_waiters().await?;
            self.refuse_waiters(Reason::NOT_OWNER, "shard is finished");
            return Ok(Progress::Finished);
        }
        self.cancel_unwanted();
        self.start_attempts();
        Ok(Progress::Open)
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Open { spec, reply } => self.openings.push(Opening { spec, reply }),
            Message::Pull { pull, wait, reply } => self.receive_pull(pull, wait, reply),
            Message::Drain => self.mailbox.close(),
        }
    }

    /// Takes in what else has arrived, so that one commit can serve all of it.
    fn receive_waiting(&mut self) {
        while let Ok(message) = self.mailbox.try_recv() {
            self.receive(message);
        }
        while let Some(ended) = self.attempts.try_join_next_with_id() {
            self.attempt_ended(ended);
        }
    }

    fn next_wake(&self) -> Duration {
        if self.in_doubt {
            return jittered(IN_DOUBT_RETRY);
        }
        let mut wake = jittered(IDLE_REVIEW);
        if self.has_slot_without_attempt() {
            wake = wake.min(jittered(ENGINE_RETRY));
        }
        let now = Instant::now();
        for waiter in &self.waiters {
            wake = wake.min(waiter.deadline.saturating_duration_since(now));
        }
        wake
    }

    fn publish(&self) {
        self.status.set_accepting(!self.in_doubt);
        let state = self.log.state();
        self.status.publish(ShardDescription {
            slots: state.spec().map_or(0, |spec| spec.samples.len()),
            settled: state.settled_count(),
            committed: state.committed_count(),
            in_flight: self.in_flight.len(),
            ..ShardDescription::default()
        });
    }
}
