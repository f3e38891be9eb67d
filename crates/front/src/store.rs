//! The `store` program: keeps a replica of the journal on this machine's disk.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use ladderstage::journal::quorum;
use ladderstage_storage::{DropRule, Storage, StorageOptions};
use ladderstage_transport::Server;
use ladderstage_wire::messages::ReplicaSet;
use tokio::sync::{mpsc, watch};

use crate::activity::Activity;
use crate::coordination::Coordination;
use crate::ingress::{self, serve_metrics};
use crate::job::LOG_PREFIX;
use crate::metrics::Metrics;
use crate::nodes::{FormatLevel, NodeRecord, NodeRole, Nodes};
use crate::program::{JobHooks, JournalParts, PeerHandler, PeerServices, ProgramOptions};
use crate::suspension::watch_suspensions;

/// Size of the database's page cache. Most reads are of recently written logs.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum bytes of entries queued for the disk.
const QUEUE_BYTES: usize = 24 * 1024 * 1024;

/// Logs of ended jobs are kept for this multiple of the job retention time.
const LOG_RETENTION_FACTOR: u32 = 3;

/// Delay before a failed disk is opened again.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between checks of the disk.
const DISK_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between checks whether the replica set is whole without this node.
const RETIREMENT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Progress of a retirement, in which a disk leaves the replica set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetirementState {
    /// The disk is still part of the replica set.
    Running,
    /// The disk is no longer needed.
    Completed,
}

/// Inputs of a store, provided by the platform adapter.
pub struct StoreInputs {
    /// Whether this store has to leave the replica set.
    pub is_retired: watch::Receiver<bool>,
    /// Receiver of the retirement's progress.
    pub retirement: mpsc::UnboundedSender<RetirementState>,
}

/// Failure of the program.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No data folder is configured.
    #[error("no data folder is configured, which a store needs")]
    NoDataFolder,
    /// Listening on an address failed.
    #[error("listening on {address}: {error}")]
    Listen {
        /// Address.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
}

/// Runs a store until `stop` completes.
///
/// # Errors
/// Returns an error when the data folder is not configured or an address cannot be listened on.
pub async fn run(
    options: ProgramOptions,
    inputs: StoreInputs,
    coordination: Arc<dyn Coordination>,
    stop: impl Future<Output = ()>,
) -> Result<(), StoreError> {
    let folder = options
        .data_folder
        .clone()
        .ok_or(StoreError::NoDataFolder)?;
    let storage = open(&folder, options.job_retention).await;
    let handler = PeerHandler::default();
    let server = Server::start_with(
        options.peer_address,
        Arc::new(handler.clone()),
        options.resources.newcomers(),
    );
    let server = server.await.map_err(|error| StoreError::Listen {
        address: options.peer_address,
        error,
    })?;
    let nodes = Nodes::new(NodeRecord {
        node: options.node.clone(),
        role: NodeRole::Store,
        process: rand::random_range(1..=u64::MAX),
        peer_address: server.address(),
        zone: options.zone.clone(),
        replica_id: storage.replica_id(),
        is_leaving: false,
        cpu_millis: options.cpu_millis,
        region: options.own_region(),
        formats: FormatLevel::OWN,
    })
    .with_regions(options.regions.clone());
    let parts = JournalParts::start(
        &options,
        &nodes,
        Some(storage.clone()),
        Arc::clone(&coordination),
    );
    let metrics = Arc::new(Metrics::new());
    if let Some(address) = options.metrics_address {
        metrics.add_journal(parts.journal.metrics());
        metrics.add_store_calls(&options.store_calls);
        metrics.add_nodes(&nodes);
        let listener = ingress::listen(address);
        let listener = listener.map_err(|error| StoreError::Listen { address, error })?;
        tokio::spawn(serve_metrics(listener, Arc::clone(&metrics)));
    }
    parts.journal.set_hooks(Arc::new(JobHooks { jobs: None }));
    let _ = handler.services.set(PeerServices {
        journal: parts.journal.clone(),
        replica_sets: parts.replica_sets.clone(),
        jobs: None,
        usage: None,
        suspects: None,
        permits: None,
    });
    log::info!(
        "event=started role=store node={} address={} replica_id={}",
        options.node,
        options.peer_address,
        storage.replica_id()
    );
    let activity = Activity::default();
    let _disk_work = activity.start();
    tokio::select! {
        () = nodes.run(Arc::clone(&coordination), &activity) => Ok(()),
        () = watch_suspensions(coordination.as_ref(), &metrics) => Ok(()),
        () = stop => {
            log::info!("event=stopped role=store node={}", options.node);
            Ok(())
        }
        () = watch_disk(&storage) => Ok(()),
        () = retire(inputs, &nodes, &parts, storage.replica_id()) => Ok(()),
    }
}

/// Opens the storage, and retries until that succeeds.
async fn open(folder: &Path, job_retention: Duration) -> Storage {
    let options = StorageOptions {
        cache_bytes: CACHE_BYTES,
        queue_bytes: QUEUE_BYTES,
        drop_rules: vec![DropRule {
            prefix: LOG_PREFIX.to_owned(),
            after: job_retention * LOG_RETENTION_FACTOR,
        }],
        ..StorageOptions::default()
    };
    loop {
        match Storage::open(folder, options.clone()) {
            Ok(storage) => return storage,
            Err(error) => log::error!("event=disk_not_opened cause=\"{error}\""),
        }
        tokio::time::sleep(DISK_RETRY_DELAY).await;
    }
}

/// Logs failures and recoveries of the disk. The storage reopens a failed disk itself.
async fn watch_disk(storage: &Storage) {
    let mut logged = None;
    loop {
        let failure = storage.failure();
        if failure.is_some() != logged.is_some() {
            match &failure {
                Some(cause) => log::error!("event=disk_lost cause=\"{cause}\""),
                None => log::info!("event=disk_regained replica_id={}", storage.replica_id()),
            }
        }
        logged = failure;
        tokio::time::sleep(DISK_POLL_INTERVAL).await;
    }
}

/// Leaves the replica set when requested, and reports the progress. The retirement is completed once no
/// disk of this node, not even a lost one, is in the set, and the set is whole: this node is taken away
/// then, and others may lose their disks right after.
async fn retire(mut inputs: StoreInputs, nodes: &Nodes, parts: &JournalParts, replica_id: u64) {
    if inputs
        .is_retired
        .wait_for(|is_retired| *is_retired)
        .await
        .is_err()
    {
        return std::future::pending().await;
    }
    log::info!("event=retirement_started replica_id={replica_id}");
    nodes.set_leaving(true);
    let _ = inputs.retirement.send(RetirementState::Running);
    let node = nodes.own().node;
    let mut set = parts.replica_sets.watch();
    let mut logged_cause = String::new();
    loop {
        let has_left = |set: &Option<Arc<ReplicaSet>>| {
            set.as_ref().is_some_and(|set| {
                let members = quorum::members(set);
                members.iter().all(|member| member.node != node)
            })
        };
        if set.wait_for(has_left).await.is_err() {
            return std::future::pending().await;
        }
        let Err(incomplete) = parts.journal.check_set_is_whole().await else {
            break;
        };
        let cause = incomplete.to_string();
        if cause != logged_cause {
            log::info!("event=retirement_waiting replica_id={replica_id} cause=\"{cause}\"");
            logged_cause = cause;
        }
        tokio::time::sleep(RETIREMENT_POLL_INTERVAL).await;
    }
    log::info!("event=retirement_completed replica_id={replica_id}");
    let _ = inputs.retirement.send(RetirementState::Completed);
    std::future::pending().await
}
