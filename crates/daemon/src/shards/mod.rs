//! Shards of trainers' steps: ownership, generation, commits and deliveries.
//!
//! A step is a trainer's request for a number of samples; it is split into shards, each with a log in the journal.
//!
//! Each shard is owned by one task ([`owner`]), the only writer of its log. The task decides through
//! [`ladderstage::shard::ShardState`] and commits to the log before it replies. Any daemon accepts a step
//! ([`submission`]) or a trainer's pull ([`pulling`]) and finds the owners through the journal.

mod ages;
mod attempt;
mod collected_answers;
mod delivery;
mod dependencies;
mod fences;
mod generation;
mod metrics;
mod owner;
mod placement;
mod pulling;
mod registry;
mod replies;
mod shard_log;
mod step_index;
mod submission;

use std::sync::Arc;
use std::time::Duration;

use ladderstage::ids::{ProcessId, ShardKey};
use ladderstage::routing::rendezvous_first;
use ladderstage::shard::Pull;
use ladderstage_platform::engine::EngineClient;
use ladderstage_platform::scorer::Scorer;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{OpenShard, PullShard, Request, Response, ShardNotice};
use tokio::sync::watch;

use crate::backends::Backends;
use crate::bundles::{BundleInForce, Bundles};
use crate::journal::Journal;
use crate::members::Members;
use crate::settings::Settings;
use fences::RecentFences;
use owner::Message;
use registry::Registry;
use step_index::StepIndex;

pub use dependencies::{BundleSource, EngineGuard, EngineSource, ShardDependencies};
pub use metrics::ShardMetrics;
pub use pulling::{PullError, StepPullRequest, StepPullResponse};
pub use registry::ShardDescription;
pub use step_index::{ShardStatus, StepStatus};
pub use submission::{SubmitError, SubmittedStep};

/// Maximum time for which a pull waits for samples.
pub const MAX_PULL_WAIT: Duration = Duration::from_secs(30);

/// Timeout for opening a shard, after which the outcome is unknown.
const OPEN_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which a drain waits for the owned shards to be released.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for a notice to the task or the successor of a shard.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Shards of trainers' steps on this node. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Shards {
    shared: Arc<Shared>,
}

/// State shared by the tasks of all owned shards.
#[derive(Debug)]
struct Shared {
    node: String,
    zone: String,
    dependencies: ShardDependencies,
    registry: Registry,
    steps: StepIndex,
    metrics: ShardMetrics,
    draining: watch::Sender<bool>,
    recent_fences: RecentFences,
}

impl Shared {
    fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Waits until a planned stop starts.
    async fn drain_started(&self) {
        // Cannot fail: `self` holds the sender.
        let _ = self
            .draining
            .subscribe()
            .wait_for(|draining| *draining)
            .await;
    }
}

impl Shards {
    /// Creates the part of the node that runs shards; no shard is owned yet.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        settings: &Settings,
        process: ProcessId,
        journal: Journal,
        members: Members,
        bundles: Bundles,
        backends: Backends,
        engine: EngineClient,
        scorer: Option<Scorer>,
    ) -> Self {
        let dependencies = ShardDependencies {
            peers: Arc::new(members),
            journal,
            bundles: Arc::new(bundles),
            engines: Arc::new(backends),
            engine_client: engine,
            scorer,
        };
        Self::start_with(settings, process, dependencies)
    }

    /// Like [`Shards::start`], with the given dependencies.
    pub fn start_with(
        settings: &Settings,
        process: ProcessId,
        dependencies: ShardDependencies,
    ) -> Self {
        ::log::info!(
            "event=shards_started node={} process={process:016x}",
            settings.node
        );
        let owner_timeout = Duration::from_millis(settings.timing.owner_timeout_ms);
        let shared = Shared {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            steps: StepIndex::new(dependencies.journal.clone()),
            recent_fences: RecentFences::new(owner_timeout),
            dependencies,
            registry: Registry::default(),
            metrics: ShardMetrics::new(),
            draining: watch::Sender::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the counters of shards.
    pub fn metrics(&self) -> &ShardMetrics {
        &self.shared.metrics
    }

    /// Opens a shard on this node; takes its log over unless an open log of the same step exists.
    pub async fn handle_open_shard(&self, request: OpenShard) -> Response {
        let Some(spec) = request.spec else {
            return replies::refused(Reason::MALFORMED, "open_shard without spec");
        };
        if self.shared.is_draining() {
            return replies::refused(Reason::LEAVING, "draining");
        }
        let key = ShardKey {
            trainer: spec.trainer.clone(),
            step: spec.step,
            shard: spec.shard,
        };
        submission::open_here(&self.shared, &key.log(), spec).await
    }

    /// Answers a pull from one shard that this node owns.
    pub async fn handle_pull_shard(&self, request: PullShard) -> Response {
        let Some(shard) = self.shared.registry.find(&request.log) else {
            return match self.shared.is_draining() {
                true => replies::refused(Reason::LEAVING, "draining"),
                false => replies::refused(Reason::NOT_OWNER, "this node does not own the shard"),
            };
        };
        if !shard.is_accepting() {
            return replies::refused(
                Reason::NOT_READY,
                "the journal of the shard is not reachable",
            );
        }
        let (reply, response) = tokio::sync::oneshot::channel();
        let message = Message::Pull {
            pull: Pull {
                after_answer: request.after_answer,
                max_samples: request.max_samples as usize,
            },
            wait: Duration::from_millis(request.wait_ms).min(MAX_PULL_WAIT),
            reply,
        };
        if shard.mailbox.try_send(message).is_err() {
            return replies::refused(Reason::OVERLOADED, "too many requests wait for the shard");
        }
        response
            .await
            .unwrap_or_else(|_| replies::refused(Reason::NOT_OWNER, "ownership of the shard ended"))
    }

    /// Takes over the shards named in a notice: a replica reports that they have no live owner, or their draining owner
    /// releases them. Logs whose writer on this node was fenced recently are skipped.
    pub async fn handle_shard_notice(&self, notice: ShardNotice) -> Response {
        if self.shared.is_draining() {
            return replies::refused(Reason::LEAVING, "draining");
        }
        for log in &notice.logs {
            let is_shard = ShardKey::from_log(log).is_some();
            let should_own = is_shard && !self.shared.recent_fences.contains(log);
            if should_own && owner::ensure_owner(&self.shared, log).is_none() {
                return replies::refused(Reason::OVERLOADED, "this node owns too many shards");
            }
        }
        replies::done()
    }

    /// Stops the task of a log that another owner has taken over under a higher epoch.
    pub fn fenced(&self, log: &str) {
        self.shared.recent_fences.record(log);
        self.shared.registry.abort(log);
    }

    /// Releases all shards: aborts attempts, refuses waiting pulls and notifies the successors. Successors run the
    /// attempts again, because nothing of an aborted attempt is committed.
    pub async fn drain(&self) {
        self.shared.draining.send_replace(true);
        let logs = self.shared.registry.logs();
        for log in &logs {
            if let Some(shard) = self.shared.registry.find(log) {
                let _ =
                    tokio::time::timeout(NOTICE_TIMEOUT, shard.mailbox.send(Message::Drain)).await;
            }
        }
        if tokio::time::timeout(DRAIN_TIMEOUT, self.shared.registry.wait_until_empty())
            .await
            .is_err()
        {
            self.shared.registry.abort_all();
        }
        self.notify_successors(logs).await;
    }

    /// Returns the bundle in force on this node, or `None` if none has arrived.
    pub fn bundle(&self) -> Option<Arc<BundleInForce>> {
        self.shared.dependencies.bundles.current()
    }

    /// Returns whether a scorer is configured.
    pub fn has_scorer(&self) -> bool {
        self.shared.dependencies.scorer.is_some()
    }

    /// Returns the shards that this node owns.
    pub fn describe(&self) -> Vec<ShardDescription> {
        self.shared.registry.describe()
    }

    async fn notify_successors(&self, logs: Vec<String>) {
        let members = self.shared.dependencies.peers.alive();
        let nodes: Vec<&str> = members
            .iter()
            .map(|member| member.node.as_str())
            .filter(|node| *node != self.shared.node)
            .collect();
        let mut by_successor = std::collections::BTreeMap::<&str, Vec<String>>::new();
        for log in logs {
            if let Some(node) = rendezvous_first(log.as_bytes(), nodes.iter().copied()) {
                by_successor.entry(node).or_default().push(log);
            }
        }
        let notices = by_successor.into_iter().map(|(node, logs)| async move {
            let request = Request {
                kind: RequestKind::shard_notice(ShardNotice {
                    logs,
                    from_owner: false,
                    epochs: Vec::new(),
                }),
            };
            let result = self
                .shared
                .dependencies
                .peers
                .call(node, request, NOTICE_TIMEOUT)
                .await;
            if let Err(error) = result {
                ::log::info!("event=successor_not_notified successor={node} error=\"{error}\"");
            }
        });
        futures_util::future::join_all(notices).await;
    }
}
