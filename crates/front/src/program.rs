//! What both programs share: options, the journal, and the listener for other nodes.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use ladderstage::region::RegionMap;
use ladderstage_clock::Instant;
use ladderstage_journal::replica_set::{ReplicaSetTask, ReplicaSets};
use ladderstage_journal::{InitialReplicas, Journal, JournalHooks, JournalOptions};
use ladderstage_storage::Storage;
use ladderstage_transport::Handler;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{BundleEvidence, Done, Refused, Request, Response};

use crate::coordination::{Coordination, StoreCallMetrics};
use crate::job::{JobRegistry, LOG_PREFIX};
use crate::nodes::Nodes;
use crate::orders::PermitIssuer;
use crate::set_records::CoordinatedSetRecords;
use crate::suspects::Suspects;
use crate::usage::UsageMeter;

/// Between an owner's heartbeats to the replicas.
const OWNER_HEARTBEAT: Duration = Duration::from_millis(300);

/// After this long without a heartbeat a job's owner is replaced.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest round of calls to the replicas.
const ROUND_TIMEOUT: Duration = Duration::from_millis(800);

/// Between looks at the replica set.
const SET_POLL: Duration = Duration::from_millis(400);

/// How long a replica must be missing before another disk takes its place.
const REPLACE_AFTER: Duration = Duration::from_millis(600);

/// What a program is started with, besides what reaches the outside.
#[derive(Debug, Clone)]
pub struct ProgramOptions {
    /// Name of this node; stays the same over restarts.
    pub node: String,
    /// Zone it runs in.
    pub zone: String,
    /// Regions of all zones; empty where the deployment has none.
    pub regions: RegionMap,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Folder for the journal's replica, if it has a disk.
    pub data_folder: Option<PathBuf>,
    /// Where figures are served, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// The whole system starts for the first time.
    pub is_first_start: bool,
    /// Disks that may be lost at once.
    pub tolerated_failures: usize,
    /// How long a batch job can be read after it was handed in.
    pub job_retention: Duration,
    /// Least time between orders of two givers; none is needed where instances refuse those of an earlier one.
    pub order_quiet_period: Duration,
    /// Processor time of this machine, in thousandths of a core; 0: unknown.
    pub cpu_millis: u32,
    /// How long a stop may take.
    pub shutdown_grace: Duration,
    /// Counts calls to the coordination store.
    pub store_calls: StoreCallMetrics,
}

impl ProgramOptions {
    /// Region that the node runs in; empty: none.
    pub(crate) fn own_region(&self) -> String {
        let region = self.regions.region_of(&self.zone);
        region.unwrap_or_default().to_owned()
    }

    /// Options of the journal at this node.
    pub fn journal(&self) -> JournalOptions {
        JournalOptions {
            node: self.node.clone(),
            initial_replicas: InitialReplicas::Count(2 * self.tolerated_failures + 1),
            may_bootstrap: self.is_first_start,
            monitored_prefix: LOG_PREFIX,
            owner_heartbeat_interval: OWNER_HEARTBEAT,
            owner_timeout: OWNER_TIMEOUT,
            round_timeout: ROUND_TIMEOUT,
            poll_interval: SET_POLL,
            max_poll_interval: SET_POLL,
            replace_after: REPLACE_AFTER,
        }
    }
}

/// The journal at this node and what keeps it running.
pub(crate) struct JournalParts {
    pub journal: Journal,
    pub replica_sets: ReplicaSets,
    _task: ReplicaSetTask,
}

impl JournalParts {
    pub fn start(
        options: &ProgramOptions,
        nodes: &Nodes,
        storage: Option<Storage>,
        coordination: Arc<dyn Coordination>,
    ) -> Self {
        let peers = Arc::new(nodes.clone());
        let records = CoordinatedSetRecords {
            coordination,
            nodes: nodes.clone(),
        };
        let replica_sets = ReplicaSets::new(storage.clone());
        let task = replica_sets.run(options.journal(), peers.clone(), records);
        let process = nodes.own().process;
        let journal = Journal::start_with(
            options.journal(),
            process,
            peers,
            storage,
            replica_sets.clone(),
        );
        Self {
            journal,
            replica_sets,
            _task: task,
        }
    }
}

/// Tells the jobs what the journal learns. The journal of these programs carries no bundle.
pub(crate) struct JobHooks {
    pub jobs: Option<JobRegistry>,
}

impl JournalHooks for JobHooks {
    fn own_evidence(&self) -> BundleEvidence {
        BundleEvidence::default()
    }

    fn heartbeat_round(&self, asked_at: Instant, _evidence: Vec<BundleEvidence>, majority: bool) {
        if let Some(jobs) = self.jobs.as_ref().filter(|_| majority) {
            jobs.on_confirmed(asked_at);
        }
    }

    fn fence_reported(&self, log: &str) {
        if let Some(jobs) = &self.jobs {
            jobs.on_fence_reported(log);
        }
    }

    fn fenced(&self, log: &str) {
        if let Some(jobs) = &self.jobs {
            jobs.on_fenced(log);
        }
    }

    fn orphaned(&self, logs: Vec<String>) {
        if let Some(jobs) = &self.jobs {
            jobs.on_orphaned_logs(logs);
        }
    }
}

/// What answers other nodes.
pub(crate) struct PeerParts {
    pub journal: Journal,
    pub replica_sets: ReplicaSets,
    pub jobs: Option<JobRegistry>,
    pub usage: Option<UsageMeter>,
    pub suspects: Option<Suspects>,
    pub permits: Option<PermitIssuer>,
}

/// Answers other nodes once the parts are there.
#[derive(Clone, Default)]
pub(crate) struct PeerHandler {
    pub parts: Arc<OnceLock<PeerParts>>,
}

impl Handler for PeerHandler {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send + '_>> {
        Box::pin(async move {
            let Some(parts) = self.parts.get() else {
                return refuse(Reason::NOT_READY, "starting");
            };
            match request.kind {
                RequestKind::fetch_replica_set(_) => parts.replica_sets.handle_fetch_replica_set(),
                kind @ (RequestKind::read_job(_)
                | RequestKind::read_job_body(_)
                | RequestKind::end_job(_)
                | RequestKind::read_demand(_)
                | RequestKind::take_kept_texts(_)
                | RequestKind::weight_news(_)
                | RequestKind::giver_end(_)
                | RequestKind::accept_job(_)
                | RequestKind::shard_notice(_)) => match &parts.jobs {
                    Some(jobs) => jobs.handle(kind).await,
                    None => refuse(Reason::MALFORMED, "no jobs at this node"),
                },
                kind @ (RequestKind::usage_note(_) | RequestKind::read_usage(_)) => {
                    match &parts.usage {
                        Some(meter) => Response {
                            kind: meter.answer(kind),
                        },
                        None => refuse(Reason::MALFORMED, "no counts of use at this node"),
                    }
                }
                RequestKind::suspect_news(news) => match &parts.suspects {
                    Some(suspects) => {
                        suspects.apply_updates(&news);
                        Response {
                            kind: ResponseKind::done(Done {}),
                        }
                    }
                    None => refuse(Reason::MALFORMED, "no requests at this node"),
                },
                RequestKind::ask_send_permits(asked) => {
                    let dealt = parts.permits.as_ref().and_then(|one| one.issue(&asked));
                    match dealt {
                        Some(dealt) => Response {
                            kind: ResponseKind::send_permits(dealt),
                        },
                        None => refuse(Reason::NOT_OWNER, "no permits are dealt here"),
                    }
                }
                RequestKind::None => refuse(Reason::MALFORMED, "no known request"),
                kind => parts.journal.handle(kind).await,
            }
        })
    }
}

fn refuse(reason: Reason, detail: &str) -> Response {
    Response {
        kind: ResponseKind::refused(Refused {
            reason,
            detail: detail.to_owned(),
            retry_after_ms: 0,
        }),
    }
}
