//! The `front` program: serves clients, owns batch jobs, and issues orders to load weights while it
//! holds the orders lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_transport::Server;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::activity::Activity;
use crate::backend::{BackendTable, ColdAllowance};
use crate::capacity::{CapacityController, CapacitySink};
use crate::config::CurrentConfig;
use crate::coordination::Coordination;
use crate::dialect::SharedCodec;
use crate::ingress::{self, Ingress, IngressState, MAX_JOB_SEARCHES};
use crate::job::{JobContext, JobRegistry, LatestSteps, LongestTexts, QuorumConfirmation};
use crate::live::LiveService;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::nodes::{FormatLevel, FrontCount, NodeRecord, NodeRole, Nodes};
use crate::orders::{
    AnnouncedVersions, FormerLeaders, LearnedLoadLimit, OrderLeader, OrderOptions, PermitIssuer,
    PermitRequester,
};
use crate::program::{JobHooks, JournalParts, PeerHandler, PeerServices, ProgramOptions};
use crate::roster::{DiscoveryView, RosterTiming, RosterWriter};
use crate::suspects::{SuspectSharing, Suspects};
use crate::suspension::watch_suspensions;
use crate::usage::sharing::share_counts;
use crate::usage::{ReportSink, UsageMeter, UsageOptions, UsageReporter, WindowClock};

/// Time for which a stopping front still accepts connections, until clients and load balancers have
/// noticed that it is not ready.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(2_300);

/// Part of the grace period reserved for the end of the shutdown.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);

/// Interval between checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Work in progress at this node, by the records that it needs to be up to date.
#[derive(Debug, Clone, Default)]
pub struct Activities {
    /// Batch jobs and orders, which need the instances' records.
    pub instance_work: Activity,
    /// Orders, which need the records of named weight versions.
    pub version_work: Activity,
}

/// Inputs of a front, provided by the platform adapter.
#[derive(Clone)]
pub struct FrontInputs {
    /// Current configuration.
    pub config: CurrentConfig,
    /// Known instances.
    pub backends: BackendTable,
    /// Named weight versions; followed while this node issues orders.
    pub versions: AnnouncedVersions,
    /// Work in progress at this node.
    pub activities: Activities,
    /// Revision as of which this node knows the instances from discovery.
    pub view: DiscoveryView,
    /// Revision as of which this node knows the drained zones from the store; `None` if this
    /// deployment drains no zones.
    pub drains: Option<DiscoveryView>,
    /// Timing of the roster (the record of the instances that live requests may go to); `None` if
    /// there is no roster.
    pub roster: Option<RosterTiming>,
    /// Number of known fronts.
    pub fronts: FrontCount,
    /// Codec of the platform's headers and bodies.
    pub codec: SharedCodec,
    /// Usage reports; `None` if they are disabled.
    pub usage: Option<UsageInputs>,
    /// Requests allowed to cold instances beyond their limits; `None` if cold instances are
    /// not limited.
    pub cold: Option<ColdAllowance>,
    /// Capacity orders; `None` if this system does not manage the number of instances.
    pub capacity: Option<CapacityInputs>,
}

/// Inputs of usage reports.
#[derive(Clone)]
pub struct UsageInputs {
    /// Window length and deadline.
    pub options: UsageOptions,
    /// Receiver of the reports.
    pub sink: Arc<dyn ReportSink>,
}

/// Inputs of capacity orders.
#[derive(Clone)]
pub struct CapacityInputs {
    /// Receiver of the orders.
    pub sink: Arc<dyn CapacitySink>,
    /// Minimum time between orders of two lease holders.
    pub quiet_period: Duration,
}

/// Window length when usage reports are disabled.
const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(60);

/// Listen addresses for clients and the platform.
#[derive(Debug, Clone, Copy)]
pub struct FrontAddresses {
    /// Address for client requests.
    pub clients: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: Option<SocketAddr>,
}

/// Failure of the program.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// Listening on an address failed.
    #[error("listening on {address}: {error}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
}

/// Runs a front until `stop` completes.
///
/// # Errors
/// Returns an error when an address cannot be listened on.
pub async fn run(
    options: ProgramOptions,
    addresses: FrontAddresses,
    inputs: FrontInputs,
    coordination: Arc<dyn Coordination>,
    stop: impl Future<Output = ()>,
) -> Result<(), FrontError> {
    let metrics = Arc::new(Metrics::new());
    let handler = PeerHandler::default();
    let server = Server::start_with(
        options.peer_address,
        Arc::new(handler.clone()),
        options.resources.newcomers(),
    );
    let server = server.await.map_err(|error| FrontError::Listen {
        address: options.peer_address,
        error,
    })?;
    let nodes = Nodes::new(own_record(&options, server.address()));
    let nodes = nodes
        .with_regions(options.regions.clone())
        .with_front_count(inputs.fronts.clone());
    let memory = MemoryBudget::new(options.resources.budget(), metrics.budget.clone());
    let shared = SharedParts {
        memory: &memory,
        options: &options,
        inputs: &inputs,
        coordination: &coordination,
        nodes: &nodes,
        metrics: &metrics,
    };
    let reports = inputs.usage.as_ref();
    let window = reports.map_or(DEFAULT_USAGE_WINDOW, |usage| usage.options.window);
    let meter = UsageMeter::new(nodes.own().process, WindowClock::new(window));
    let parts = JournalParts::start(&options, &nodes, None, Arc::clone(&coordination));
    metrics.add_journal(parts.journal.metrics());
    metrics.add_store_calls(&options.store_calls);
    metrics.add_nodes(&nodes);
    metrics.add_discovery(inputs.backends.counters());
    let (suspects, updates, abandoned_checks) = Suspects::new(Arc::clone(&metrics));
    let jobs = JobRegistry::new(shared.job_context(&parts));
    let permits = PermitIssuer::new(inputs.backends.gates().cold.clone());
    let hooks = JobHooks {
        jobs: Some(jobs.clone()),
    };
    parts.journal.set_hooks(Arc::new(hooks));
    let _ = handler.services.set(PeerServices {
        journal: parts.journal.clone(),
        replica_sets: parts.replica_sets.clone(),
        jobs: Some(jobs.clone()),
        usage: Some(meter.clone()),
        suspects: Some(suspects.clone()),
        permits: Some(permits.clone()),
    });
    let state = Arc::new(IngressState::default());
    let live = LiveService {
        config: inputs.config.clone(),
        backends: inputs.backends.clone(),
        codec: Arc::clone(&inputs.codec),
        metrics: Arc::clone(&metrics),
        usage: meter.clone(),
        suspects: suspects.clone(),
        memory: memory.clone(),
    };
    let ingress = Ingress {
        config: inputs.config.clone(),
        live,
        jobs: jobs.clone(),
        codec: Arc::clone(&inputs.codec),
        nodes: nodes.clone(),
        metrics: Arc::clone(&metrics),
        state: Arc::clone(&state),
        memory: memory.clone(),
        job_searches: Semaphore::new(MAX_JOB_SEARCHES),
    };
    listen(&options, addresses, ingress)?;
    let leader = shared.order_leader(&jobs, &meter, &permits);
    let permits_task = tokio::spawn({
        let permit_requester = shared.permit_requester(permits);
        async move { permit_requester.run().await }
    });
    let sharing_task = inputs.usage.as_ref().map(|_| {
        let nodes = nodes.clone();
        tokio::spawn(async move { share_counts(&meter, &nodes).await })
    });
    let suspects_task = tokio::spawn({
        let checks = abandoned_checks.run(suspects.clone());
        let sharing = SuspectSharing {
            suspects,
            nodes: nodes.clone(),
            coordination: Arc::clone(&coordination),
        };
        async move { tokio::join!(sharing.run(updates), checks) }
    });
    let suspension_task = tokio::spawn({
        let (coordination, metrics) = (Arc::clone(&coordination), Arc::clone(&metrics));
        async move { watch_suspensions(coordination.as_ref(), &metrics).await }
    });
    let nodes_task = tokio::spawn({
        let nodes = nodes.clone();
        let activity = inputs.activities.instance_work.clone();
        async move { nodes.run(coordination, &activity).await }
    });
    let orders_task = tokio::spawn(async move { leader.run().await });
    let sweep_task = tokio::spawn({
        let jobs = jobs.clone();
        async move { jobs.sweep().await }
    });
    log::info!(
        "event=started role=front node={} clients={} peers={}",
        options.node,
        addresses.clients,
        options.peer_address
    );
    stop.await;
    drain(&options, &nodes, &jobs, &state).await;
    orders_task.abort();
    permits_task.abort();
    sweep_task.abort();
    nodes_task.abort();
    suspects_task.abort();
    suspension_task.abort();
    if let Some(task) = sharing_task {
        task.abort();
    }
    log::info!(
        "event=stopped role=front node={} requests={}",
        options.node,
        state.requests()
    );
    Ok(())
}

/// Returns the record of this front at its start.
fn own_record(options: &ProgramOptions, peer_address: SocketAddr) -> NodeRecord {
    NodeRecord {
        node: options.node.clone(),
        role: NodeRole::Front,
        process: rand::random_range(1..=u64::MAX),
        peer_address,
        zone: options.zone.clone(),
        replica_id: 0,
        is_leaving: false,
        cpu_millis: options.cpu_millis,
        region: options.own_region(),
        formats: FormatLevel::OWN,
    }
}

/// Shared inputs for the construction of a front's parts.
struct SharedParts<'a> {
    memory: &'a MemoryBudget,
    options: &'a ProgramOptions,
    inputs: &'a FrontInputs,
    coordination: &'a Arc<dyn Coordination>,
    nodes: &'a Nodes,
    metrics: &'a Arc<Metrics>,
}

impl SharedParts<'_> {
    fn job_context(&self, parts: &JournalParts) -> JobContext {
        let inputs = self.inputs;
        JobContext {
            journal: parts.journal.clone(),
            replica_sets: parts.replica_sets.clone(),
            nodes: self.nodes.clone(),
            config: inputs.config.clone(),
            backends: inputs.backends.clone(),
            view: inputs.view.clone(),
            codec: Arc::clone(&inputs.codec),
            metrics: Arc::clone(self.metrics),
            retention: self.options.job_retention,
            result_cache_bytes: self.options.result_cache_bytes,
            confirmation: QuorumConfirmation::default(),
            lengths: LongestTexts::default(),
            steps: LatestSteps::default(),
            learned_load_limit: LearnedLoadLimit::default(),
            former_leaders: FormerLeaders::default(),
            memory: self.memory.clone(),
            activity: inputs.activities.instance_work.clone(),
        }
    }

    fn order_leader(
        &self,
        jobs: &JobRegistry,
        meter: &UsageMeter,
        permits: &PermitIssuer,
    ) -> OrderLeader {
        let inputs = self.inputs;
        OrderLeader {
            coordination: Arc::clone(self.coordination),
            nodes: self.nodes.clone(),
            backends: inputs.backends.clone(),
            config: inputs.config.clone(),
            versions: inputs.versions.clone(),
            codec: Arc::clone(&inputs.codec),
            metrics: Arc::clone(self.metrics),
            jobs: jobs.clone(),
            activities: inputs.activities.clone(),
            options: OrderOptions {
                quiet_period: self.options.order_quiet_period,
            },
            roster: self.roster_writer(),
            usage: self.usage_reporter(meter),
            permits: permits.clone(),
            capacity: self.capacity_controller(),
        }
    }

    fn roster_writer(&self) -> RosterWriter {
        let inputs = self.inputs;
        RosterWriter {
            coordination: Arc::clone(self.coordination),
            backends: inputs.backends.clone(),
            config: inputs.config.clone(),
            view: inputs.view.clone(),
            drains: inputs.drains.clone(),
            nodes: self.nodes.clone(),
            options: inputs.roster,
        }
    }

    fn usage_reporter(&self, meter: &UsageMeter) -> Option<UsageReporter> {
        let usage = self.inputs.usage.clone()?;
        Some(UsageReporter {
            coordination: Arc::clone(self.coordination),
            nodes: self.nodes.clone(),
            meter: meter.clone(),
            options: usage.options,
            sink: usage.sink,
            metrics: Arc::clone(self.metrics),
        })
    }

    fn capacity_controller(&self) -> Option<CapacityController> {
        let capacity = self.inputs.capacity.clone()?;
        Some(CapacityController {
            coordination: Arc::clone(self.coordination),
            node: self.options.node.clone(),
            backends: self.inputs.backends.clone(),
            view: self.inputs.view.clone(),
            config: self.inputs.config.clone(),
            sink: capacity.sink,
            quiet_period: capacity.quiet_period,
            metrics: Arc::clone(self.metrics),
        })
    }

    fn permit_requester(&self, issuer: PermitIssuer) -> PermitRequester {
        PermitRequester {
            allowance: self.inputs.cold,
            backends: self.inputs.backends.clone(),
            config: self.inputs.config.clone(),
            nodes: self.nodes.clone(),
            issuer,
            metrics: Arc::clone(self.metrics),
        }
    }
}

fn listen(
    options: &ProgramOptions,
    addresses: FrontAddresses,
    ingress: Ingress,
) -> Result<(), FrontError> {
    let clients = bind(addresses.clients)?;
    let metrics = Arc::clone(&ingress.metrics);
    let config = ingress.config.clone();
    let state = Arc::clone(&ingress.state);
    let jobs = ingress.jobs.clone();
    let max_connections = options.resources.client_connections();
    tokio::spawn(ingress::serve(clients, Arc::new(ingress), max_connections));
    if let Some(address) = addresses.readiness {
        let listener = bind(address)?;
        // Without the journal this front cannot serve jobs, so other fronts serve its clients
        // better.
        let is_ready = move || {
            config.current().is_some() && !state.is_draining() && !jobs.is_journal_unreachable()
        };
        let metrics = Arc::clone(&metrics);
        tokio::spawn(ingress::serve_readiness(listener, metrics, is_ready));
    }
    if let Some(address) = options.metrics_address {
        let listener = bind(address)?;
        tokio::spawn(ingress::serve_metrics(listener, metrics));
    }
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, FrontError> {
    ingress::listen(address).map_err(|error| FrontError::Listen { address, error })
}

/// Shuts down: reports not ready, hands over the jobs, completes the requests in progress, and
/// closes idle connections.
async fn drain(options: &ProgramOptions, nodes: &Nodes, jobs: &JobRegistry, state: &IngressState) {
    log::info!(
        "event=draining node={} requests={}",
        options.node,
        state.requests()
    );
    let deadline = Instant::now() + options.shutdown_grace.saturating_sub(SHUTDOWN_MARGIN);
    state.drain(deadline);
    nodes.set_leaving(true);
    let answered = async {
        tokio::time::sleep(NEW_CONNECTION_GRACE).await;
        state.close_idle();
        let is_busy = || state.requests() > 0 || !jobs.open_jobs().is_empty();
        while is_busy() && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = answered => {}
        () = jobs.hand_over() => {}
    }
    state.end_requests();
    log::info!(
        "event=drained node={} requests={} jobs={}",
        options.node,
        state.requests(),
        jobs.open_jobs().len()
    );
    // Lets the connections write the last responses to their sockets.
    tokio::time::sleep(DRAIN_POLL_INTERVAL * 2).await;
}
