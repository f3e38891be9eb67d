//! Task that owns one shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::ids::ShardKey;
use ladderstage::shard::Pull;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::{Response, ShardSpec};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::ages::FirstTokenTimes;
use super::attempt::{AttemptResult, GeneratedSample};
use super::generation::{SlotBackoffs, SlotTask};
use super::registry::{OwnedShard, OwnerStatus, Registration, ShardDescription};
use super::shard_log::{CommitError, ShardLog};
use super::{Shared, replies};
use crate::bundles::BundleInForce;
use crate::jitter::{backoff, jittered};
use crate::journal::JournalError;

/// Maximum number of messages that wait for the task; further ones are refused.
const MAILBOX_CAPACITY: usize = 64;

/// Maximum number of attempts at a takeover. After that the next shard notice (a replica's report that the log has no
/// live owner) starts another one.
const MAX_TAKEOVER_ATTEMPTS: u32 = 8;

/// Delay after the first failed takeover.
const MIN_TAKEOVER_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay between attempts at a takeover.
const MAX_TAKEOVER_BACKOFF: Duration = Duration::from_secs(2);

/// Interval between attempts at an append whose outcome is unknown.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between searches for a free engine while slots wait for one.
const ENGINE_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between age checks of committed samples while the task is idle.
const AGE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Message to the task.
#[derive(Debug)]
pub(super) enum Message {
    /// Opens the shard; if it is already open, checks that the spec is the same.
    Open {
        spec: Box<ShardSpec>,
        reply: oneshot::Sender<Response>,
    },
    /// Pulls samples for a trainer.
    Pull {
        pull: Pull,
        wait: Duration,
        reply: oneshot::Sender<Response>,
    },
    /// Releases the shard because of a planned stop.
    Drain,
}

/// Pull that waits for samples.
#[derive(Debug)]
pub(super) struct PendingPull {
    pub(super) pull: Pull,
    pub(super) deadline: Instant,
    pub(super) reply: oneshot::Sender<Response>,
}

/// Open request that waits for its commit.
#[derive(Debug)]
pub(super) struct PendingOpen {
    pub(super) spec: Box<ShardSpec>,
    pub(super) reply: oneshot::Sender<Response>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Open,
    Finished,
}

/// State of the task after the takeover of the log.
#[derive(Debug)]
pub(super) struct Owner {
    pub(super) shared: Arc<Shared>,
    pub(super) key: ShardKey,
    pub(super) log: ShardLog,
    pub(super) first_token_times: FirstTokenTimes,
    pub(super) pending_pulls: Vec<PendingPull>,
    pub(super) pending_opens: Vec<PendingOpen>,
    pub(super) attempts: JoinSet<AttemptResult>,
    pub(super) in_flight: BTreeMap<u32, SlotTask>,
    pub(super) generated: Vec<GeneratedSample>,
    pub(super) backoffs: SlotBackoffs,
    bundle_changes: watch::Receiver<Option<Arc<BundleInForce>>>,
    mailbox: mpsc::Receiver<Message>,
    status: Arc<OwnerStatus>,
    is_log_unavailable: bool,
}

/// Returns the task of a shard and starts it if necessary. `None` if this process owns too many shards.
pub(super) fn ensure_owner(shared: &Arc<Shared>, log: &str) -> Option<OwnedShard> {
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
        bundle_changes: shared.dependencies.bundles.watch(),
        shared,
        key,
        log: shard_log,
        first_token_times: FirstTokenTimes::default(),
        pending_pulls: Vec::new(),
        pending_opens: Vec::new(),
        attempts: JoinSet::new(),
        in_flight: BTreeMap::new(),
        generated: Vec::new(),
        backoffs: SlotBackoffs::default(),
        mailbox,
        status,
        is_log_unavailable: false,
    };
    let reason = owner.run().await;
    ::log::info!("event=shard_released log={log} reason={reason}");
    // The writer is dropped before the registration, so that no new owner starts while this one holds the log.
    drop(owner);
    drop(registration);
}

/// Refuses all messages that arrived before the takeover failed.
fn refuse_all(mailbox: &mut mpsc::Receiver<Message>) {
    mailbox.close();
    while let Ok(message) = mailbox.try_recv() {
        match message {
            Message::Open { reply, .. } | Message::Pull { reply, .. } => {
                let _ = reply.send(replies::refused(
                    Reason::NOT_READY,
                    "takeover of the shard failed",
                ));
            }
            Message::Drain => {}
        }
    }
}

async fn take_over(shared: &Shared, log: &str) -> Option<ShardLog> {
    for failures in 0..MAX_TAKEOVER_ATTEMPTS {
        match ShardLog::take_over(&shared.dependencies.journal, log).await {
            Ok(shard_log) => return Some(shard_log),
            Err(error @ (JournalError::Fenced | JournalError::Retired)) => {
                ::log::info!("event=takeover_abandoned log={log} error=\"{error}\"");
                return None;
            }
            Err(error) => ::log::warn!("event=takeover_failed log={log} error=\"{error}\""),
        }
        tokio::time::sleep(backoff(
            MIN_TAKEOVER_BACKOFF,
            failures,
            MAX_TAKEOVER_BACKOFF,
        ))
        .await;
    }
    None
}

impl Owner {
    /// Runs until the shard is finished, fenced or drained, and returns that reason.
    async fn run(&mut self) -> &'static str {
        loop {
            match self.advance().await {
                Ok(Progress::Open) => self.is_log_unavailable = false,
                Ok(Progress::Finished) => return "finished",
                Err(CommitError::Fenced) => {
                    self.shared.recent_fences.record(&self.key.log());
                    return "fenced";
                }
                Err(CommitError::OutcomeUnknown) => {
                    self.is_log_unavailable = true;
                    self.refuse_pending_pulls(Reason::NOT_READY, "no quorum of journal replicas");
                }
                Err(CommitError::StaleReplicaSet) => {
                    if self.retake().await.is_err() {
                        return "fenced";
                    }
                }
            }
            self.publish();
            let wake = tokio::time::sleep(self.next_wake_delay());
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(Message::Drain) | None => {
                        self.refuse_pending_pulls(Reason::LEAVING, "draining");
                        return "drained";
                    }
                    Some(message) => self.receive(message),
                },
                Some(ended) = self.attempts.join_next_with_id() => self.handle_attempt_end(ended),
                Ok(()) = self.bundle_changes.changed() => {}
                () = wake => {}
            }
            self.receive_pending();
        }
    }

    /// Takes the log over again under the new replica set. Running attempts continue.
    ///
    /// # Errors
    /// If another owner has taken the log over. After any other failure the result is `Ok` and the log is still
    /// unavailable; the caller tries again.
    async fn retake(&mut self) -> Result<(), CommitError> {
        self.is_log_unavailable = true;
        self.publish();
        self.refuse_pending_pulls(
            Reason::NOT_READY,
            "the replica set of the journal is changing",
        );
        let log = self.key.log();
        match self
            .log
            .retake(&self.shared.dependencies.journal, &log)
            .await
        {
            Ok(()) => {
                ::log::info!("event=shard_retaken log={log}");
                self.is_log_unavailable = false;
                Ok(())
            }
            Err(JournalError::Fenced | JournalError::Retired) => Err(CommitError::Fenced),
            Err(error) => {
                ::log::warn!("event=takeover_failed log={log} error=\"{error}\"");
                Ok(())
            }
        }
    }

    /// Runs all steps that are possible now. Each step commits its entries before the next one reads the state.
    async fn advance(&mut self) -> Result<Progress, CommitError> {
        self.log.retry_unknown_append().await?;
        self.commit_pending_opens().await?;
        self.commit_generated().await?;
        self.discard_stale().await?;
        self.answer_pending_pulls().await?;
        if self.log.state().is_complete() {
            if !self.log.is_closed() {
                self.log.commit(Vec::new(), true).await?;
            }
            self.answer_pending_pulls().await?;
            self.refuse_pending_pulls(Reason::NOT_OWNER, "the shard is finished");
            return Ok(Progress::Finished);
        }
        self.cancel_unneeded_attempts();
        self.start_attempts();
        Ok(Progress::Open)
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Open { spec, reply } => self.pending_opens.push(PendingOpen { spec, reply }),
            Message::Pull { pull, wait, reply } => self.receive_pull(pull, wait, reply),
            Message::Drain => self.mailbox.close(),
        }
    }

    /// Processes all pending events, so that one commit covers them.
    fn receive_pending(&mut self) {
        while let Ok(message) = self.mailbox.try_recv() {
            self.receive(message);
        }
        while let Some(ended) = self.attempts.try_join_next_with_id() {
            self.handle_attempt_end(ended);
        }
    }

    fn next_wake_delay(&self) -> Duration {
        if self.is_log_unavailable {
            return jittered(APPEND_RETRY_INTERVAL);
        }
        let mut wake = jittered(AGE_CHECK_INTERVAL);
        if self.has_idle_slot() {
            wake = wake.min(jittered(ENGINE_RETRY_INTERVAL));
        }
        let now = Instant::now();
        for pull in &self.pending_pulls {
            wake = wake.min(pull.deadline.saturating_duration_since(now));
        }
        wake
    }

    fn publish(&self) {
        self.status.set_accepting(!self.is_log_unavailable);
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
