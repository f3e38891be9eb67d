//! Stand-ins of a cluster, run as tasks or as processes.

use std::net::SocketAddr;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::ClusterError;
use crate::command_line::{application_arguments, engine_arguments};
use crate::http_server::Handle;
use crate::processes::Process;
use crate::proxy::Proxy;
use crate::stand_in::application::{self, ApplicationConfig};
use crate::stand_in::engine::{self, EngineConfig};
use crate::stand_in::key_value::{self, KeyValueConfig};
use crate::stand_in::machine_list::{self, Machine, MachineKind, MachineState, Machines};
use crate::stand_in::scorer::{self, ScorerConfig};
use crate::stand_in::weight_store::{self, WeightStoreConfig};

const PROGRAM: &str = "ladderstage-bench";

/// Stand-ins to start.
#[derive(Debug, Clone, Default)]
pub struct PlatformConfig {
    /// Engines, assigned to `zones` round-robin.
    pub engines: Vec<EngineConfig>,
    /// Application back ends, assigned to `zones` round-robin.
    pub applications: Vec<ApplicationConfig>,
    /// Zones of the back ends.
    pub zones: Vec<String>,
    /// Whether each stand-in runs as a process.
    pub as_processes: bool,
}

#[derive(Debug)]
pub struct StandIn {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Process, unless it is a task.
    pub process: Option<Process>,
    _embedded: Option<Handle>,
}

impl StandIn {
    fn embedded(handle: Handle) -> Self {
        Self {
            address: handle.address,
            process: None,
            _embedded: Some(handle),
        }
    }

    async fn process(
        name: &str,
        arguments: Vec<String>,
        folder: &Path,
    ) -> Result<Self, ClusterError> {
        let mut process = Process::start(PROGRAM, name, arguments, folder)?;
        Ok(Self {
            address: process.address("listening").await?,
            process: Some(process),
            _embedded: None,
        })
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Posts to a control path.
    pub async fn control(&self, path: &str, body: &impl Serialize) -> Result<(), ClusterError> {
        let url = format!("{}/control/{path}", self.url());
        let sent = crate::http_client().post(url).json(body).send().await?;
        sent.error_for_status()?;
        Ok(())
    }

    /// Sets the stand-in's faults; the type depends on its kind.
    pub async fn set_faults(&self, faults: &impl Serialize) -> Result<(), ClusterError> {
        self.control("fault", faults).await
    }

    /// Reads its log of runs.
    pub async fn log<T: DeserializeOwned>(&self) -> Result<T, ClusterError> {
        self.read("log").await
    }

    /// Reads from a control path.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClusterError> {
        let url = format!("{}/control/{path}", self.url());
        Ok(crate::http_client().get(url).send().await?.json().await?)
    }
}

/// A back end behind a proxy whose address is in the machine list.
#[derive(Debug)]
pub struct Backend {
    pub name: String,
    /// Entry in the machine list.
    pub machine: Machine,
    /// Stand-in of the back end.
    pub stand_in: StandIn,
    /// Proxy between the daemons and the back end.
    pub proxy: Proxy,
}

/// All stand-ins of a cluster.
#[derive(Debug)]
pub struct Platform {
    pub key_value: StandIn,
    pub machine_list: StandIn,
    pub weight_store: StandIn,
    pub scorer: StandIn,
    pub engines: Vec<Backend>,
    pub applications: Vec<Backend>,
}

impl Platform {
    /// Starts the stand-ins; processes write their logs to `folder`.
    pub async fn start(config: &PlatformConfig, folder: &Path) -> Result<Self, ClusterError> {
        let starter = StandInStarter {
            as_processes: config.as_processes,
            folder,
        };
        let weight_store = starter.weight_store().await?;
        let mut engines = Vec::new();
        for (index, engine) in config.engines.iter().enumerate() {
            let engine = EngineConfig {
                weight_store: Some(weight_store.url()),
                ..engine.clone()
            };
            let stand_in = starter.engine(&engine).await?;
            let kind = MachineKind::Engine;
            engines.push(backend(engine.name, kind, zone(config, index), stand_in).await?);
        }
        let mut applications = Vec::new();
        for (index, application) in config.applications.iter().enumerate() {
            let stand_in = starter.application(application).await?;
            let name = application.name.clone();
            let kind = MachineKind::Application;
            applications.push(backend(name, kind, zone(config, index), stand_in).await?);
        }
        let platform = Self {
            key_value: starter.key_value().await?,
            machine_list: starter.machine_list().await?,
            weight_store,
            scorer: starter.scorer().await?,
            engines,
            applications,
        };
        platform.publish_machines().await?;
        Ok(platform)
    }

    /// Starts a new engine process in place of one that exited and points its proxy there.
    pub(super) async fn restart_engine(
        &mut self,
        index: usize,
        config: &EngineConfig,
        folder: &Path,
    ) -> Result<(), ClusterError> {
        let starter = StandInStarter {
            as_processes: true,
            folder,
        };
        let backend = &mut self.engines[index];
        backend.stand_in = starter.engine(config).await?;
        backend.proxy.retarget(backend.stand_in.address);
        Ok(())
    }

    /// Publishes the `machine` entries of all back ends in the machine list.
    pub async fn publish_machines(&self) -> Result<(), ClusterError> {
        let backends = self.engines.iter().chain(&self.applications);
        let machines = Machines {
            machines: backends.map(|backend| backend.machine.clone()).collect(),
        };
        self.machine_list.control("machines", &machines).await
    }
}

fn zone(config: &PlatformConfig, index: usize) -> String {
    let zones = &config.zones;
    zones
        .get(index % zones.len().max(1))
        .cloned()
        .unwrap_or_default()
}

async fn backend(
    name: String,
    kind: MachineKind,
    zone: String,
    stand_in: StandIn,
) -> Result<Backend, ClusterError> {
    let proxy = Proxy::start(stand_in.address).await?;
    let machine = Machine {
        name: name.clone(),
        address: proxy.address,
        zone,
        kind,
        state: MachineState::Live,
    };
    Ok(Backend {
        name,
        machine,
        stand_in,
        proxy,
    })
}

/// Starts stand-ins as tasks or as processes.
struct StandInStarter<'a> {
    as_processes: bool,
    folder: &'a Path,
}

impl StandInStarter<'_> {
    async fn spawn(&self, name: &str, arguments: Vec<String>) -> Result<StandIn, ClusterError> {
        let mut all = vec!["stand-in".to_owned()];
        all.extend(arguments);
        StandIn::process(name, all, self.folder).await
    }

    async fn engine(&self, config: &EngineConfig) -> Result<StandIn, ClusterError> {
        if self.as_processes {
            return self.spawn(&config.name, engine_arguments(config)).await;
        }
        Ok(StandIn::embedded(engine::start(config.clone()).await?))
    }

    async fn application(&self, config: &ApplicationConfig) -> Result<StandIn, ClusterError> {
        if self.as_processes {
            return self
                .spawn(&config.name, application_arguments(config))
                .await;
        }
        Ok(StandIn::embedded(application::start(config.clone()).await?))
    }

    async fn key_value(&self) -> Result<StandIn, ClusterError> {
        if self.as_processes {
            return self.spawn("key-value", vec!["key-value".to_owned()]).await;
        }
        Ok(StandIn::embedded(
            key_value::start(KeyValueConfig::default()).await?,
        ))
    }

    async fn machine_list(&self) -> Result<StandIn, ClusterError> {
        if self.as_processes {
            return self
                .spawn("machine-list", vec!["machine-list".to_owned()])
                .await;
        }
        Ok(StandIn::embedded(
            machine_list::start(Default::default()).await?,
        ))
    }

    async fn weight_store(&self) -> Result<StandIn, ClusterError> {
        if self.as_processes {
            return self
                .spawn("weight-store", vec!["weight-store".to_owned()])
                .await;
        }
        Ok(StandIn::embedded(
            weight_store::start(WeightStoreConfig::default()).await?,
        ))
    }

    async fn scorer(&self) -> Result<StandIn, ClusterError> {
        if self.as_processes {
            return self.spawn("scorer", vec!["scorer".to_owned()]).await;
        }
        Ok(StandIn::embedded(
            scorer::start(ScorerConfig::default()).await?,
        ))
    }
}
