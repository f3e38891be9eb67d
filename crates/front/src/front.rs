//! The `front` program: serves clients, owns batch jobs, and gives orders if it holds the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_transport::Server;
use tokio::net::TcpListener;

use crate::activity::Activity;
use crate::backend::{BackendTable, ColdAllowance};
use crate::capacity::{CapacityController, CapacitySink};
use crate::config::CurrentConfig;
use crate::coordination::Coordination;
use crate::dialect::SharedCodec;
use crate::ingress::{self, Ingress, IngressState};
use crate::job::{QuorumConfirmation, JobContext, JobRegistry, LatestSteps, TextLengths};
use crate::live::LiveService;
use crate::metrics::Metrics;
use crate::nodes::{FormatLevel, NodeRecord, NodeRole, Nodes};
use crate::orders::{
    FormerLeaders, LearnedLoadLimit, OrderLeader, OrderOptions, PermitRequester, PermitIssuer, AnnouncedVersions,
};
use crate::program::{JobHooks, JournalParts, PeerHandler, PeerParts, ProgramOptions};
use crate::roster::{DiscoveryView, RosterOptions, RosterWriter};
use crate::suspects::{SuspectSharing, Suspects};
use crate::suspension::watch_suspensions;
use crate::usage::sharing::share;
use crate::usage::{ReportSink, UsageMeter, UsageOptions, UsageReporter, WindowClock};

/// How long a stopping front still takes new connections, until their source has noticed.
const NOTICE_TIME: Duration = Duration::from_millis(2_300);

/// Kept back from the grace time.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Between looks at requests that are still being answered.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Work at this node, by what it needs to hear of soon.
#[derive(Debug, Clone, Default)]
pub struct Activities {
    /// Batch jobs and orders: they need to hear of instances.
    pub instance_work: Activity,
    /// Orders: they need to hear of named versions.
    pub version_work: Activity,
}

/// What the adapter of the outside feeds.
#[derive(Clone)]
pub struct FrontInputs {
    /// Configuration.
    pub config: CurrentConfig,
    /// Instances.
    pub backends: BackendTable,
    /// Named weight versions; followed while orders are given here.
    pub versions: AnnouncedVersions,
    /// What is under way here.
    pub activities: Activities,
    /// As of when the instances are known from discovery itself.
    pub view: DiscoveryView,
    /// As of when the drained zones are known from the store itself; `None`: no zone is drained in this deployment.
    pub drains: Option<DiscoveryView>,
    /// How the roster of instances is kept; `None`: none is.
    pub roster: Option<RosterOptions>,
    /// Names.
    pub codec: SharedCodec,
    /// Reports of use; `None`: nobody wants them.
    pub usage: Option<UsageInputs>,
    /// By how much callers may exceed what cold instances bear; `None`: these get any number of requests.
    pub cold: Option<ColdAllowance>,
    /// Orders of capacity; `None`: the number of instances is not ours to change.
    pub capacity: Option<CapacityInputs>,
}

/// What reports of use need.
#[derive(Clone)]
pub struct UsageInputs {
    /// When they are due.
    pub options: UsageOptions,
    /// Where they go.
    pub sink: Arc<dyn ReportSink>,
}

/// What orders of capacity need.
#[derive(Clone)]
pub struct CapacityInputs {
    /// Where they go.
    pub sink: Arc<dyn CapacitySink>,
    /// Least time between those of two holders.
    pub quiet_period: Duration,
}

/// Length of windows where nobody wants reports.
const UNREPORTED_WINDOW: Duration = Duration::from_secs(60);

/// Addresses that clients and the platform use.
#[derive(Debug, Clone, Copy)]
pub struct FrontAddresses {
    /// Clients.
    pub clients: SocketAddr,
    /// Who asks whether new connections may come.
    pub readiness: Option<SocketAddr>,
}

/// Why the program ended.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// An address cannot be listened on.
    #[error("listening on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: std::io::Error,
    },
}

/// Runs a front until it is told to stop.
///
/// # Errors
/// See [`FrontError`].
pub async fn run(
    options: ProgramOptions,
    addresses: FrontAddresses,
    inputs: FrontInputs,
    coordination: Arc<dyn Coordination>,
    stop: impl Future<Output = ()>,
) -> Result<(), FrontError> {
    let metrics = Arc::new(Metrics::new());
    let handler = PeerHandler::default();
    let server = Server::start(options.peer_address, Arc::new(handler.clone()));
    let server = server.await.map_err(|error| FrontError::Listen {
        address: options.peer_address,
        error,
    })?;
    let nodes = Nodes::new(own_record(&options, server.address()));
    let nodes = nodes.with_regions(options.regions.clone());
    let common = Common {
        options: &options,
        inputs: &inputs,
        coordination: &coordination,
        nodes: &nodes,
        metrics: &metrics,
    };
    let reports = inputs.usage.as_ref();
    let window = reports.map_or(UNREPORTED_WINDOW, |usage| usage.options.window);
    let meter = UsageMeter::new(nodes.own().process, WindowClock::new(window));
    let parts = JournalParts::start(&options, &nodes, None, Arc::clone(&coordination));
    metrics.add_journal(parts.journal.metrics());
    metrics.add_store_calls(&options.store_calls);
    metrics.add_nodes(&nodes);
    metrics.add_discovery(inputs.backends.counters());
    let (suspects, unshared) = Suspects::new(Arc::clone(&metrics));
    let jobs = JobRegistry::new(common.job_context(&parts, &suspects));
    let permits = PermitIssuer::new(inputs.backends.gates().cold.clone());
    let hooks = JobHooks {
        jobs: Some(jobs.clone()),
    };
    parts.journal.set_hooks(Arc::new(hooks));
    let _ = handler.parts.set(PeerParts {
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
    };
    let ingress = Ingress {
        config: inputs.config.clone(),
        live,
        jobs: jobs.clone(),
        codec: Arc::clone(&inputs.codec),
        nodes: nodes.clone(),
        metrics: Arc::clone(&metrics),
        state: Arc::clone(&state),
    };
    listen(&options, addresses, ingress).await?;
    let order_leader = common.order_leader(&jobs, &meter, &permits);
    let permits_task = tokio::spawn({
        let permit_requester = common.permit_requester(permits);
        async move { permit_requester.run().await }
    });
    let sharing_task = inputs.usage.as_ref().map(|_| {
        let nodes = nodes.clone();
        tokio::spawn(async move { share(&meter, &nodes).await })
    });
    let suspects_task = tokio::spawn({
        let sharing = SuspectSharing {
            suspects,
            nodes: nodes.clone(),
            coordination: Arc::clone(&coordination),
        };
        async move { sharing.run(unshared).await }
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
    let orders_task = tokio::spawn(async move { order_leader.run().await });
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

/// Record of this front as it starts.
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

/// What the parts of a front are made from.
struct Common<'a> {
    options: &'a ProgramOptions,
    inputs: &'a FrontInputs,
    coordination: &'a Arc<dyn Coordination>,
    nodes: &'a Nodes,
    metrics: &'a Arc<Metrics>,
}

impl Common<'_> {
    fn job_context(&self, parts: &JournalParts, suspects: &Suspects) -> JobContext {
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
            confirmation: QuorumConfirmation::default(),
            lengths: TextLengths::default(),
            steps: LatestSteps::default(),
            learned_load_limit: LearnedLoadLimit::default(),
            former_leaders: FormerLeaders::default(),
            activity: inputs.activities.instance_work.clone(),
            suspects: suspects.clone(),
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

async fn listen(
    options: &ProgramOptions,
    addresses: FrontAddresses,
    ingress: Ingress,
) -> Result<(), FrontError> {
    let clients = bind(addresses.clients).await?;
    let metrics = Arc::clone(&ingress.metrics);
    let config = ingress.config.clone();
    let state = Arc::clone(&ingress.state);
    let jobs = ingress.jobs.clone();
    tokio::spawn(ingress::serve(clients, Arc::new(ingress)));
    if let Some(address) = addresses.readiness {
        let listener = bind(address).await?;
        // Clients of a front that is cut off from the journal are better served by others.
        let is_ready =
            move || config.current().is_some() && !state.is_draining() && !jobs.is_journal_unreachable();
        tokio::spawn(ingress::serve_readiness(listener, is_ready));
    }
    if let Some(address) = options.metrics_address {
        let listener = bind(address).await?;
        tokio::spawn(ingress::serve_metrics(listener, metrics));
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, FrontError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| FrontError::Listen { address, error })
}

/// A planned stop: says not ready, hands the jobs over, answers what is under way, closes connections that rest.
async fn drain(options: &ProgramOptions, nodes: &Nodes, jobs: &JobRegistry, state: &IngressState) {
    log::info!(
        "event=draining node={} requests={}",
        options.node,
        state.requests()
    );
    let deadline = Instant::now() + options.shutdown_grace.saturating_sub(STOP_MARGIN);
    state.drain();
    nodes.set_leaving(true);
    let answered = async {
        tokio::time::sleep(NOTICE_TIME).await;
        state.close_idle();
        let is_busy = || state.requests() > 0 || !jobs.open_jobs().is_empty();
        while is_busy() && Instant::now() < deadline {
            tokio::time::sleep(STOP_LOOK).await;
        }
    };
    tokio::select! {
        () = answered => {}
        () = jobs.hand_over() => {}
    }
    log::info!(
        "event=drained node={} requests={} jobs={}",
        options.node,
        state.requests(),
        jobs.open_jobs().len()
    );
    // Answers that were handed to the connections still have to reach the sockets.
    tokio::time::sleep(STOP_LOOK * 2).await;
}
