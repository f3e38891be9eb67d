//! Test cluster: daemon processes, stand-ins of the platform, and a proxy on every connection
//! between them.

mod daemon;
mod operator;
mod platform;
mod settings;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ladderstage::bundle::Bundle;
use reqwest::StatusCode;
use tempfile::TempDir;

use crate::processes::ProcessError;
use crate::proxy::{Faults, Proxy};
use crate::stand_in::application::ApplicationConfig;
use crate::stand_in::engine::EngineConfig;
use crate::trainer::{BundleRequirements, Trainer};
pub use daemon::Daemon;
use daemon::PlatformProxies;
pub use operator::{
    CurrentBundle, FindingText, KEY_ID, Operator, PoolNames, RollBody, RollReply, SignatureText,
    SignedText, current_bundle, post_bundle, proposal, signed, test_bundle, test_key,
};
pub use platform::{Backend, Platform, PlatformConfig, StandIn};
pub use settings::{DaemonSettings, Timing};
pub use status::{DaemonStatus, OwnedShard};

/// Name of the model pool in test bundles.
pub const MODEL_POOL: &str = "karm-lm";
/// Name of the application pool in test bundles.
pub const APPLICATION_POOL: &str = "prisverk";

const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Initial target of proxies, on which nothing listens.
const UNREACHABLE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Error of a cluster operation.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    #[error("{0}")]
    Process(#[from] ProcessError),
    /// A file or socket operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0:?}")]
    Http(#[from] reqwest::Error),
    /// A daemon refused the request.
    #[error("refused with {status}: {body}")]
    Refused { status: StatusCode, body: String },
    /// A condition did not hold in time.
    #[error("timed out waiting for {what}: {last_error}")]
    Timeout {
        /// Condition that was waited for.
        what: String,
        /// Last error or observed state.
        last_error: String,
    },
}

#[derive(Debug, Clone)]
pub struct DaemonPlan {
    pub node: String,
    pub zone: String,
    /// Whether it has a data folder and belongs to the initial replica set.
    pub is_replica: bool,
}

#[derive(Debug, Clone)]
pub struct ClusterConfig {
    pub daemons: Vec<DaemonPlan>,
    /// Region of all zones.
    pub region: String,
    pub engines: Vec<EngineConfig>,
    pub applications: Vec<ApplicationConfig>,
    /// Whether stand-ins run as processes instead of tasks in this process.
    pub stand_ins_as_processes: bool,
    /// Timing settings that differ from the daemons' defaults.
    pub timing: Timing,
    /// Names of daemons that have a data folder but do not belong to the initial replica set.
    pub spares: Vec<String>,
}

impl ClusterConfig {
    /// Returns a configuration of three daemons with data folders in two zones, this many engines,
    /// and two application back ends.
    pub fn three_daemons(engines: usize) -> Self {
        Self::with_daemons(3, engines)
    }

    /// Like [`ClusterConfig::three_daemons`], with this many daemons.
    pub fn with_daemons(daemons: usize, engines: usize) -> Self {
        let zones = ["bergen-a", "bergen-b"].iter().cycle().take(daemons);
        let daemons = zones.enumerate().map(|(index, zone)| DaemonPlan {
            node: format!("daemon-{}", index + 1),
            zone: (*zone).to_owned(),
            is_replica: true,
        });
        let engine = |number| EngineConfig {
            name: format!("engine-{number}"),
            model: MODEL_POOL.to_owned(),
            ..EngineConfig::default()
        };
        let application = |number| ApplicationConfig {
            name: format!("application-{number}"),
            ..ApplicationConfig::default()
        };
        Self {
            daemons: daemons.collect(),
            region: "vestland".to_owned(),
            engines: (1..=engines).map(engine).collect(),
            applications: (1..=2).map(application).collect(),
            stand_ins_as_processes: false,
            timing: Timing::new(),
            spares: Vec::new(),
        }
    }

    fn zones(&self) -> Vec<String> {
        let zones: BTreeSet<&String> = self.daemons.iter().map(|plan| &plan.zone).collect();
        zones.into_iter().cloned().collect()
    }

    fn platform(&self) -> PlatformConfig {
        PlatformConfig {
            engines: self.engines.clone(),
            applications: self.applications.clone(),
            zones: self.zones(),
            as_processes: self.stand_ins_as_processes,
        }
    }

    fn settings(&self, plan: &DaemonPlan) -> DaemonSettings {
        let is_initial = |plan: &&DaemonPlan| plan.is_replica && !self.spares.contains(&plan.node);
        let replicas = self.daemons.iter().filter(is_initial);
        let key = test_key();
        DaemonSettings {
            initial_replicas: replicas.map(|plan| plan.node.clone()).collect(),
            trusted_keys: BTreeMap::from([(KEY_ID.to_owned(), key.public_hex())]),
            timing: self.timing.clone(),
            ..DaemonSettings::new(&plan.node, &plan.zone, &self.region)
        }
    }
}

/// A running cluster. Dropping it kills all its processes and removes its files.
#[derive(Debug)]
pub struct Cluster {
    pub daemons: Vec<Daemon>,
    pub platform: Platform,
    /// Requirements of each rolled bundle, for checks of samples.
    pub requirements: BundleRequirements,
    folder: TempDir,
}

impl Cluster {
    /// Starts all parts and waits until the daemons are healthy. No bundle is in force yet.
    pub async fn start(config: &ClusterConfig) -> Result<Self, ClusterError> {
        let folder = tempfile::tempdir()?;
        let platform = Platform::start(&config.platform(), folder.path()).await?;
        let mut cluster = Self {
            daemons: Vec::new(),
            platform,
            requirements: BundleRequirements::default(),
            folder,
        };
        for plan in &config.daemons {
            let daemon = cluster.prepare(config, plan).await?;
            cluster.daemons.push(daemon);
        }
        cluster.collect_inbound_links();
        for index in 0..cluster.daemons.len() {
            cluster.start_daemon(index).await?;
        }
        for daemon in &cluster.daemons {
            daemon.wait_until_healthy(START_TIMEOUT).await?;
        }
        Ok(cluster)
    }

    /// Starts a cluster, rolls a first bundle, and waits until all daemons are ready.
    pub async fn start_ready(config: &ClusterConfig) -> Result<Self, ClusterError> {
        let cluster = Self::start(config).await?;
        cluster.roll(&cluster.bundle(1, 1)).await?;
        cluster.wait_until_all_ready().await?;
        Ok(cluster)
    }

    /// Starts a daemon that is not running. Its addresses for peers and callers are the same as
    /// before.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), ClusterError> {
        self.daemons[index].spawn().await
    }

    /// Starts a new engine process in place of one that exited, reachable at the same address.
    pub async fn restart_engine(
        &mut self,
        index: usize,
        config: &EngineConfig,
    ) -> Result<(), ClusterError> {
        let platform = &mut self.platform;
        platform
            .restart_engine(index, config, self.folder.path())
            .await
    }

    /// Returns the folder of logs, settings and data, which is removed with the cluster unless
    /// kept.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder when the cluster is dropped.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
    }

    /// Waits until all running daemons are ready.
    pub async fn wait_until_all_ready(&self) -> Result<(), ClusterError> {
        for daemon in self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some())
        {
            daemon.wait_until_ready(START_TIMEOUT).await?;
        }
        Ok(())
    }

    /// Returns the base URLs of all daemons.
    pub fn urls(&self) -> Vec<String> {
        self.daemons.iter().map(Daemon::url).collect()
    }

    /// Returns a bundle over all back ends that requires this weight version of `karm-lm`, with a
    /// staleness bound of 1.
    pub fn bundle(&self, revision: u64, weight_version: u64) -> Bundle {
        let names = |pool: &str, backends: &[Backend]| PoolNames {
            pool: pool.to_owned(),
            backends: backends
                .iter()
                .map(|backend| backend.name.clone())
                .collect(),
        };
        let model = names(MODEL_POOL, &self.platform.engines);
        let application = names(APPLICATION_POOL, &self.platform.applications);
        test_bundle(revision, weight_version, model, application)
    }

    /// Returns an operator that can reach all daemons.
    pub fn operator(&self) -> Operator {
        Operator {
            daemons: self.urls(),
            requirements: self.requirements.clone(),
        }
    }

    /// Rolls a bundle through any daemon.
    pub async fn roll(&self, bundle: &Bundle) -> Result<(), ClusterError> {
        self.operator().roll(bundle, START_TIMEOUT).await
    }

    /// Returns a trainer that can reach all daemons.
    pub fn trainer(&self, name: &str) -> Trainer {
        Trainer::new(name, self.urls(), self.requirements.clone())
    }

    /// Sets faults on the connections between two daemons, in both directions.
    pub fn set_link_faults(&self, first: usize, second: usize, faults: Faults) {
        for (from, to) in [(first, second), (second, first)] {
            let to = self.daemons[to].name();
            if let Some(link) = self.daemons[from].links.get(to) {
                link.set(faults);
                if faults.refuse {
                    link.cut();
                }
            }
        }
    }

    /// Sets faults on all connections between a daemon and its peers.
    pub fn set_peer_faults(&self, index: usize, faults: Faults) {
        for other in (0..self.daemons.len()).filter(|other| *other != index) {
            self.set_link_faults(index, other, faults);
        }
    }

    /// Sets faults between all daemons and the key-value service.
    pub fn set_key_value_faults(&self, faults: Faults) {
        for daemon in &self.daemons {
            daemon.key_value.set(faults);
            if faults.refuse {
                daemon.key_value.cut();
            }
        }
    }

    /// Collects, for each daemon, the targets of the proxies that lead to it.
    fn collect_inbound_links(&mut self) {
        for index in 0..self.daemons.len() {
            let name = self.daemons[index].name().to_owned();
            let links = self.daemons.iter().map(|daemon| &daemon.links);
            let inbound = links.filter_map(|links| Some(links.get(&name)?.target()));
            self.daemons[index].inbound = inbound.collect();
        }
    }

    async fn prepare(
        &self,
        config: &ClusterConfig,
        plan: &DaemonPlan,
    ) -> Result<Daemon, ClusterError> {
        let platform = PlatformProxies {
            key_value: Proxy::start(self.platform.key_value.address).await?,
            machine_list: Proxy::start(self.platform.machine_list.address).await?,
            scorer: Proxy::start(self.platform.scorer.address).await?,
        };
        let mut links = BTreeMap::new();
        for peer in config.daemons.iter().filter(|peer| peer.node != plan.node) {
            links.insert(peer.node.clone(), Proxy::start(UNREACHABLE).await?);
        }
        let mut settings = config.settings(plan);
        if plan.is_replica {
            settings.data_folder = Some(self.folder.path().join(format!("{}-data", plan.node)));
        }
        settings.key_value = vec![url_of(&platform.key_value)];
        settings.machine_list = url_of(&platform.machine_list);
        settings.scorer = Some(url_of(&platform.scorer));
        settings.seeds = links.values().map(|link| link.address).collect();
        settings.peer_addresses = links
            .iter()
            .map(|(name, link)| (name.clone(), link.address))
            .collect();
        let front = Proxy::start(UNREACHABLE).await?;
        Ok(Daemon::new(
            settings,
            front,
            platform,
            links,
            self.folder.path(),
        ))
    }
}

impl Drop for Cluster {
    /// Prints the end of each daemon's log if a test failed, since the files are removed with the
    /// cluster.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for daemon in &self.daemons {
            eprintln!("--- log of {}\n{}", daemon.name(), daemon.log_tail());
        }
    }
}

fn url_of(proxy: &Proxy) -> String {
    format!("http://{}", proxy.address)
}
