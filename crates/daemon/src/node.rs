//! A node: creates the components of a daemon and connects them.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use ladderstage_platform::application::ApplicationClient;
use ladderstage_platform::engine::EngineClient;
use ladderstage_platform::key_value::KeyValue;
use ladderstage_platform::scorer::Scorer;
use ladderstage_platform::weight_store::WeightStore;
use ladderstage_storage::{OpenError, Storage, StorageOptions};
use ladderstage_transport::{Client, Server};

use crate::backends::Backends;
use crate::bundles::{
    BundleDependencies, BundleStore, Bundles, BundlesError, DEFAULT_ROLL_DEADLINE,
    WeightVersionSource, replica_set_source,
};
use crate::drain::Drain;
use crate::hooks::Hooks;
use crate::http::server::HttpServer;
use crate::journal::Journal;
use crate::live::{LiveDependencies, LivePath};
use crate::members::Members;
use crate::orders::Orders;
use crate::peer_handler::PeerHandler;
use crate::replica_set::{ReplicaSetTask, ReplicaSets};
use crate::settings::Settings;
use crate::shards::Shards;

/// Maximum time for callers to read the rest of their answers after a drain.
const HTTP_CLOSE_BOUND: Duration = Duration::from_secs(30);

/// Error of starting a node.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The data folder cannot be used.
    #[error("data folder {folder}: {error}")]
    Storage {
        /// Path of the folder.
        folder: String,
        /// Error of the storage.
        error: OpenError,
    },
    /// The listener for other daemons could not be opened.
    #[error("peer_listen {address}: {error}")]
    PeerListen {
        /// Configured address.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The HTTP listener could not be opened.
    #[error("http_listen {address}: {detail}")]
    HttpListen {
        /// Configured address.
        address: SocketAddr,
        /// Description of the failure.
        detail: String,
    },
    /// The bundles could not be initialized.
    #[error(transparent)]
    Bundles(#[from] BundlesError),
}

/// Components of a node, for HTTP routes and requests of other daemons.
#[derive(Debug)]
pub struct NodeComponents {
    /// Settings of the node.
    pub settings: Settings,
    /// Client for calls to other daemons.
    pub client: Client,
    /// Traffic of the listener for other daemons.
    pub server_traffic: Arc<ladderstage_transport::Traffic>,
    /// Cluster members.
    pub members: Members,
    /// Bundles of this node.
    pub bundles: Bundles,
    /// Journal replica set.
    pub replica_sets: ReplicaSets,
    /// Journal.
    pub journal: Journal,
    /// Back ends.
    pub backends: Backends,
    /// Orders to engines.
    pub orders: Orders,
    /// Shards of steps.
    pub shards: Shards,
    /// Live request path.
    pub live: LivePath,
    /// Counter of work in flight.
    pub drain: Drain,
}

/// Running node.
#[derive(Debug)]
pub struct Node {
    components: Arc<NodeComponents>,
    peer_server: Server,
    http: HttpServer,
    replica_set_task: ReplicaSetTask,
}

impl Node {
    /// Starts a node. On return it serves HTTP; it accepts work once `/readyz` reports that it is ready.
    ///
    /// # Errors
    /// [`NodeError`] if the storage, a listener or the bundles cannot be opened.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let process = new_process_id();
        let storage = open_storage(&settings)?;
        let replica_id = storage.as_ref().map_or(0, Storage::replica_id);
        let components_slot = Arc::new(OnceLock::new());
        let client = Client::with_connection_limit(settings.peer_connections);
        let handler = Arc::new(PeerHandler::new(components_slot.clone()));
        let peer_server = Server::start(settings.peer_listen, handler)
            .await
            .map_err(|error| NodeError::PeerListen {
                address: settings.peer_listen,
                error,
            })?;
        let peer_address = settings
            .peer_advertise
            .unwrap_or_else(|| peer_server.address());
        let hooks = Arc::new(Hooks::new(components_slot.clone()));
        let members = Members::start(
            &settings,
            process,
            replica_id,
            settings.http_listen,
            peer_address,
            client.clone(),
            hooks.clone(),
        );
        let key_value_timeout = Duration::from_millis(settings.timing.key_value_timeout_ms);
        let key_value = KeyValue::new(settings.key_value.clone(), key_value_timeout);
        let replica_sets = ReplicaSets::new(storage.clone());
        let replica_set_task =
            replica_sets.run(&settings, Arc::new(members.clone()), key_value.clone());
        let journal = Journal::start_with(
            &settings,
            process,
            Arc::new(members.clone()),
            storage.clone(),
            replica_sets.clone(),
        );
        let bundle_dependencies = BundleDependencies {
            key_value: key_value.clone(),
            peers: Arc::new(members.clone()),
            store: storage
                .clone()
                .map(|storage| Arc::new(storage) as Arc<dyn BundleStore>),
            replica_set: replica_set_source(&settings, &replica_sets),
            weight_versions: weight_versions(&settings),
            roll_deadline: DEFAULT_ROLL_DEADLINE,
        };
        let bundles = Bundles::start(&settings, bundle_dependencies).await?;
        let backends = Backends::start(
            &settings,
            members.clone(),
            bundles.clone(),
            ladderstage_platform::control::client(),
        );
        let orders = Orders::start(
            &settings,
            members.clone(),
            bundles.clone(),
            backends.clone(),
            ladderstage_platform::control::client(),
        );
        let engine = EngineClient::new();
        let scorer = settings.scorer.as_deref().map(Scorer::new);
        let shards = Shards::start(
            &settings,
            process,
            journal.clone(),
            members.clone(),
            bundles.clone(),
            backends.clone(),
            engine.clone(),
            scorer,
        );
        let drain = Drain::new();
        let live_dependencies = LiveDependencies {
            backends: backends.clone(),
            bundles: bundles.clone(),
            members: members.clone(),
            journal: journal.clone(),
            engine,
            application: ApplicationClient::new(),
            drain: drain.clone(),
        };
        let live = LivePath::new(&settings, live_dependencies);
        let components = Arc::new(NodeComponents {
            client,
            server_traffic: peer_server.traffic(),
            members,
            bundles,
            replica_sets,
            journal,
            backends,
            orders,
            shards,
            live,
            drain,
            settings,
        });
        // Cannot fail, as only this function fills the slot.
        let _ = components_slot.set(Arc::downgrade(&components));
        components.journal.set_hooks(hooks);
        let http = HttpServer::start(components.settings.http_listen, components.clone()).await?;
        components.members.set_http_address(http.address());
        Ok(Self {
            components,
            peer_server,
            http,
            replica_set_task,
        })
    }

    /// Returns the listen address for callers, trainers and operators.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the listen address for other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// Returns the components.
    pub fn components(&self) -> &Arc<NodeComponents> {
        &self.components
    }

    /// Drains the node: refuses new work, notifies the other nodes, hands shards over and waits for work in flight.
    pub async fn drain(&self) {
        let components = &self.components;
        log::info!(
            "event=drain_started in_flight={}",
            components.drain.in_flight()
        );
        components.drain.start();
        components.members.announce_leaving().await;
        components.shards.drain().await;
        components.drain.wait_until_idle().await;
        log::info!("event=drain_finished");
    }

    /// Drains, then closes the listeners.
    pub async fn stop(self) {
        self.drain().await;
        self.http.stop(HTTP_CLOSE_BOUND).await;
        self.components.members.announce_left().await;
        self.components.members.stop();
        drop(self.replica_set_task);
    }
}

/// Returns a random process id other than 0.
fn new_process_id() -> u64 {
    rand::random::<u64>().max(1)
}

fn weight_versions(settings: &Settings) -> Option<Arc<dyn WeightVersionSource>> {
    let base_url = settings.weight_store.as_deref()?;
    Some(Arc::new(WeightStore::new(base_url)))
}

fn open_storage(settings: &Settings) -> Result<Option<Storage>, NodeError> {
    let Some(folder) = &settings.data_folder else {
        return Ok(None);
    };
    Storage::open(folder, StorageOptions::default())
        .map(Some)
        .map_err(|error| NodeError::Storage {
            folder: folder.display().to_string(),
            error,
        })
}
