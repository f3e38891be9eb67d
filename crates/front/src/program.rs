//! Parts shared by both programs: options, the journal, and the handler of requests from other
//! nodes.

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
use ladderstage_transport::{Handler, HeldResponse};
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{BundleEvidence, Done, Refused, Request, Response};

use crate::coordination::{Coordination, StoreCallMetrics};
use crate::job::{JobRegistry, LOG_PREFIX};
use crate::nodes::Nodes;
use crate::orders::PermitIssuer;
use crate::resources::MachineResources;
use crate::set_records::CoordinatedSetRecords;
use crate::suspects::Suspects;
use crate::usage::UsageMeter;

/// Interval between an owner's heartbeats to the replicas.
pub(crate) const OWNER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a heartbeat to a replica after which a job's owner is replaced.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout of a round of calls to the replicas.
const ROUND_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between reads of the replica set.
const REPLICA_SET_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a replica must be missing before another disk replaces it.
const REPLICA_REPLACEMENT_DELAY: Duration = Duration::from_millis(600);

/// Options of a program, apart from its connections to external systems.
#[derive(Debug, Clone)]
pub struct ProgramOptions {
    /// Name of this node; stable across restarts.
    pub node: String,
    /// Zone of this node.
    pub zone: String,
    /// Regions of all zones; empty if the deployment has none.
    pub regions: RegionMap,
    /// Address on which other nodes reach this one.
    pub peer_address: SocketAddr,
    /// Folder of the journal's replica, if the node has a disk.
    pub data_folder: Option<PathBuf>,
    /// Listen address of the metrics endpoint, if enabled.
    pub metrics_address: Option<SocketAddr>,
    /// Whether the whole system starts for the first time, so that the journal may be created.
    pub is_first_start: bool,
    /// Number of disks that may be lost at once.
    pub tolerated_failures: usize,
    /// Time after its submission for which a batch job stays readable.
    pub job_retention: Duration,
    /// Maximum total size of the results that are cached for readers of other nodes' jobs, in bytes.
    pub result_cache_bytes: usize,
    /// Minimum time between orders of two order leaders. Zero where instances reject the orders of
    /// an earlier one.
    pub order_quiet_period: Duration,
    /// CPU time available on this machine, in thousandths of a core; 0 if unknown.
    pub cpu_millis: u32,
    /// Memory and descriptors of this process.
    pub resources: MachineResources,
    /// Maximum duration of a planned shutdown.
    pub shutdown_grace: Duration,
    /// Counter of calls to the coordination store.
    pub store_calls: StoreCallMetrics,
}

impl ProgramOptions {
    /// Returns the region of this node; empty if it has none.
    pub(crate) fn own_region(&self) -> String {
        let region = self.regions.region_of(&self.zone);
        region.unwrap_or_default().to_owned()
    }

    /// Returns the journal's options for this node.
    pub fn journal(&self) -> JournalOptions {
        JournalOptions {
            node: self.node.clone(),
            initial_replicas: InitialReplicas::Count(2 * self.tolerated_failures + 1),
            may_bootstrap: self.is_first_start,
            monitored_prefix: LOG_PREFIX,
            owner_heartbeat_interval: OWNER_HEARTBEAT_INTERVAL,
            owner_timeout: OWNER_TIMEOUT,
            round_timeout: ROUND_TIMEOUT,
            part_bytes: self.resources.part_bytes(),
            poll_interval: REPLICA_SET_POLL_INTERVAL,
            max_poll_interval: REPLICA_SET_POLL_INTERVAL,
            replace_after: REPLICA_REPLACEMENT_DELAY,
        }
    }
}

/// The journal at this node and the task that maintains its replica set.
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

/// Forwards journal events to the jobs. Heartbeats of these programs carry no evidence about
/// bundles.
pub(crate) struct JobHooks {
    pub jobs: Option<JobRegistry>,
}

impl JournalHooks for JobHooks {
    fn own_evidence(&self) -> BundleEvidence {
        BundleEvidence::default()
    }

    fn heartbeat_round(&self, sent_at: Instant, _evidence: Vec<BundleEvidence>, majority: bool) {
        if let Some(jobs) = self.jobs.as_ref().filter(|_| majority) {
            jobs.on_confirmed(sent_at);
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

/// Services that answer requests from other nodes.
pub(crate) struct PeerServices {
    pub journal: Journal,
    pub replica_sets: ReplicaSets,
    pub jobs: Option<JobRegistry>,
    pub usage: Option<UsageMeter>,
    pub suspects: Option<Suspects>,
    pub permits: Option<PermitIssuer>,
}

/// Handles requests from other nodes; rejects them until the services are set.
#[derive(Clone, Default)]
pub(crate) struct PeerHandler {
    pub services: Arc<OnceLock<PeerServices>>,
}

impl Handler for PeerHandler {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send + '_>> {
        Box::pin(async move { self.handle_held(request).await.response })
    }

    fn handle_held(
        &self,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = HeldResponse> + Send + '_>> {
        Box::pin(async move {
            let Some(services) = self.services.get() else {
                return refuse(Reason::NOT_READY, "starting").into();
            };
            let response = match request.kind {
                RequestKind::fetch_replica_set(_) => {
                    services.replica_sets.handle_fetch_replica_set()
                }
                kind @ (RequestKind::read_job(_)
                | RequestKind::read_job_body(_)
                | RequestKind::end_job(_)
                | RequestKind::read_demand(_)
                | RequestKind::take_kept_texts(_)
                | RequestKind::weight_news(_)
                | RequestKind::giver_end(_)
                | RequestKind::accept_job(_)
                | RequestKind::shard_notice(_)) => match &services.jobs {
                    Some(jobs) => return jobs.handle(kind).await,
                    None => refuse(Reason::MALFORMED, "no jobs at this node"),
                },
                kind @ (RequestKind::usage_note(_) | RequestKind::read_usage(_)) => {
                    match &services.usage {
                        Some(meter) => Response {
                            kind: meter.answer(kind),
                        },
                        None => refuse(Reason::MALFORMED, "no counts of use at this node"),
                    }
                }
                RequestKind::suspect_news(news) => match &services.suspects {
                    Some(suspects) => {
                        suspects.apply_updates(&news);
                        Response {
                            kind: ResponseKind::done(Done {}),
                        }
                    }
                    None => refuse(Reason::MALFORMED, "no requests at this node"),
                },
                RequestKind::ask_send_permits(asked) => {
                    let issued = services
                        .permits
                        .as_ref()
                        .and_then(|issuer| issuer.issue(&asked));
                    match issued {
                        Some(issued) => Response {
                            kind: ResponseKind::send_permits(issued),
                        },
                        None => refuse(Reason::NOT_OWNER, "no permits are dealt here"),
                    }
                }
                RequestKind::None => refuse(Reason::MALFORMED, "no known request"),
                kind => services.journal.handle(kind).await,
            };
            response.into()
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
