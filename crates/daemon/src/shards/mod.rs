//! Shards of trainers' steps: ownership, generation, commits and deliveries.
//!
//! One task owns each shard ([`owner`]). It is the only writer of the shard's log and decides through
//! [`ladderstage::shard::ShardState`]; whatever it says to others is committed to the log first. Any daemon may receive a
//! step ([`submission`]) or a trainer's pull ([`pulling`]) and finds the owners through the journal.

mod ages;
mod attempt;
mod delivery;
mod fences;
mod gathering;
mod generation;
mod log;
mod metrics;
mod owner;
mod parts;
mod placement;
mod pulling;
mod registry;
mod replies;
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

pub use metrics::ShardMetrics;
pub use parts::{BundleSource, EnginePlace, EngineSource, ShardDependencies};
pub use pulling::{PullError, StepPullRequest, StepPullResponse};
pub use registry::ShardDescription;
pub use step_index::{ShardStatus, StepStatus};
pub use submission::{SubmitError, SubmittedStep};

/// Longest that one pull may wait for samples.
pub const MAX_PULL_WAIT: Duration = Duration::from_secs(30);

/// How long the opening of a shard may take before its outcome is called unknown.
const OPEN_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a drain waits for the owned shards to be let go.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the notice to a successor may take.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Shards of trainers' steps at this node. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Shards {
    shared: Arc<Shared>,
}

/// What the tasks of all owned shards share.
#[derive(Debug)]
struct Shared {
    node: String,
    zone: String,
    parts: ShardDependencies,
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

    /// Returns once the process is stopping as planned.
    async fn drain_started(&self) {
        // Fails only when the sender is gone, and `self` holds it.
        let _ = self
            .draining
            .subscribe()
            .wait_for(|draining| *draining)
            .await;
    }
}

impl Shards {
    /// Starts without any owned shard.
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
        let parts = ShardDependencies {
            peers: Arc::new(members),
            journal,
            bundles: Arc::new(bundles),
            engines: Arc::new(backends),
            engine_client: engine,
            scorer,
        };
        Self::start_with(settings, process, parts)
    }

    /// As [`Shards::start`], over other parts.
    pub fn start_with(settings: &Settings, process: ProcessId, parts: ShardDependencies) -> Self {
        ::log::info!(
            "event=shards_started node={} process={process:016x}",
            settings.node
        );
        let owner_timeout = Duration::from_millis(settings.timing.owner_timeout_ms);
        let shared = Shared {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            steps: StepIndex::new(parts.journal.clone()),
            recent_fences: RecentFences::new(owner_timeout),
            parts,
            registry: Registry::default(),
            metrics: ShardMetrics::new(),
            draining: watch::Sender::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Counters.
    pub fn metrics(&self) -> &ShardMetrics {
        &self.shared.metrics
    }

    /// Opens a shard here, taking its log over if no open log of the same step is found.
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

    /// Answers a trainer's question about one shard that is owned here.
    pub async fn handle_pull_shard(&self, request: PullShard) -> Response {
        let Some(shard) = self.shared.registry.find(&request.log) else {
            return match self.shared.is_draining() {
                true => replies::refused(Reason::LEAVING, "draining"),
                false => replies::refused(Reason::NOT_OWNER, "shard is not owned here"),
            };
        };
        if !shard.is_accepting() {
            return replies::refused(Reason::NOT_READY, "shard's journal is not reached");
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
            return replies::refused(Reason::OVERLOADED, "too many questions wait");
        }
        response
            .await
            .unwrap_or_else(|_| replies::refused(Reason::NOT_OWNER, "ownership ended"))
    }

    /// Takes over the shards that a replica finds untended.
    pub async fn handle_shard_notice(&self, notice: ShardNotice) -> Response {
        if self.shared.is_draining() {
            return replies::refused(Reason::LEAVING, "draining");
        }
        for log in &notice.logs {
            let is_shard = ShardKey::from_log(log).is_some();
            let is_wanted = is_shard && !self.shared.recent_fences.contains(log);
            if is_wanted && owner::own(&self.shared, log).is_none() {
                return replies::refused(Reason::OVERLOADED, "owns too many shards");
            }
        }
        replies::done()
    }

    /// A higher epoch has taken this log: its task here must end.
    pub fn fenced(&self, log: &str) {
        self.shared.recent_fences.note(log);
        self.shared.registry.abort(log);
    }

    /// Stops owning and ends waiting pulls: attempts are given up (they are run again elsewhere, as nothing of them is committed), waiting
    /// pulls are refused, and the successors are told to take over.
    pub async fn drain(&self) {
        self.shared.draining.send_replace(true);
        let logs = self.shared.registry.logs();
        for log in &logs {
            if let Some(shard) = self.shared.registry.find(log) {
                let _ =
                    tokio::time::timeout(NOTICE_TIMEOUT, shard.mailbox.send(Message::Drain)).await;
            }
        }
        if tokio::time::timeout(DRAIN_TIMEOUT, self.shared.registry.emptied())
            .await
            .is_err()
        {
            self.shared.registry.abort_all();
        }
        self.notify_successors(logs).await;
    }

    /// The bundle in force here, if any arrived yet.
    pub fn bundle(&self) -> Option<Arc<BundleInForce>> {
        self.shared.parts.bundles.current()
    }

    /// Whether samples can be scored here.
    pub fn has_scorer(&self) -> bool {
        self.shared.parts.scorer.is_some()
    }

    /// Shards owned here.
    pub fn describe(&self) -> Vec<ShardDescription> {
        self.shared.registry.describe()
    }

    async fn notify_successors(&self, logs: Vec<String>) {
        let members = self.shared.parts.peers.alive();
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
                }),
            };
            let told = self
                .shared
                .parts
                .peers
                .call(node, request, NOTICE_TIMEOUT)
                .await;
            if let Err(error) = told {
                ::log::info!("event=successor_not_notified successor={node} error=\"{error}\"");
            }
        });
        futures_util::future::join_all(notices).await;
    }
}
