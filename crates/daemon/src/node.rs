//! One running daemon: starts the parts and joins them.

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
use crate::live::{LiveParts, LivePath};
use crate::members::Members;
use crate::orders::Orders;
use crate::peer_handler::PeerHandler;
use crate::replica_set::{ReplicaSetTask, ReplicaSets};
use crate::settings::Settings;
use crate::shards::Shards;

/// After the shutdown was asked for, how long callers get to read the ends of their answers.
const HTTP_CLOSE_BOUND: Duration = Duration::from_secs(30);

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The data folder cannot be used.
    #[error("data folder {folder}: {error}")]
    Storage {
        /// The folder.
        folder: String,
        /// What is wrong with it.
        error: OpenError,
    },
    /// The internal listener could not be opened.
    #[error("peer_listen {address}: {error}")]
    PeerListen {
        /// Address asked for.
        address: SocketAddr,
        /// Why not.
        error: std::io::Error,
    },
    /// The HTTP listener could not be opened.
    #[error("http_listen {address}: {detail}")]
    HttpListen {
        /// Address asked for.
        address: SocketAddr,
        /// Why not.
        detail: String,
    },
    /// The bundle's part could not start.
    #[error(transparent)]
    Bundles(#[from] BundlesError),
}

/// The parts of a node, for HTTP routes and peers' requests.
#[derive(Debug)]
pub struct Parts {
    /// Settings it was started with.
    pub settings: Settings,
    /// Bytes and calls between daemons.
    pub client: Client,
    /// Counts of the internal listener.
    pub server_traffic: Arc<ladderstage_transport::Traffic>,
    /// The other nodes.
    pub members: Members,
    /// The bundle in force.
    pub bundles: Bundles,
    /// The journal's replica set.
    pub replica_sets: ReplicaSets,
    /// The journal.
    pub journal: Journal,
    /// Back ends.
    pub backends: Backends,
    /// Orders to engines.
    pub orders: Orders,
    /// Shards of steps.
    pub shards: Shards,
    /// Live requests.
    pub live: LivePath,
    /// Work under way.
    pub drain: Drain,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    parts: Arc<Parts>,
    peer_server: Server,
    http: HttpServer,
    replica_set_task: ReplicaSetTask,
}

impl Node {
    /// Starts a node; it answers HTTP once this returns, and takes work once `/readyz` says so.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let process = new_process_id();
        let storage = open_storage(&settings)?;
        let replica_id = storage.as_ref().map_or(0, Storage::replica_id);
        let slot = Arc::new(OnceLock::new());
        let client = Client::with_connections(settings.peer_connections);
        let handler = Arc::new(PeerHandler::new(slot.clone()));
        let peer_server = Server::start(settings.peer_listen, handler)
            .await
            .map_err(|error| NodeError::PeerListen {
                address: settings.peer_listen,
                error,
            })?;
        let peer_address = settings
            .peer_advertise
            .unwrap_or_else(|| peer_server.address());
        let hooks = Arc::new(Hooks::new(slot.clone()));
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
        let bundle_parts = BundleDependencies {
            key_value: key_value.clone(),
            peers: Arc::new(members.clone()),
            store: storage
                .clone()
                .map(|storage| Arc::new(storage) as Arc<dyn BundleStore>),
            replica_set: replica_set_source(&settings, &replica_sets),
            weight_versions: weight_versions(&settings),
            roll_deadline: DEFAULT_ROLL_DEADLINE,
        };
        let bundles = Bundles::start(&settings, bundle_parts).await?;
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
        let live_parts = LiveParts {
            backends: backends.clone(),
            bundles: bundles.clone(),
            members: members.clone(),
            journal: journal.clone(),
            engine,
            application: ApplicationClient::new(),
            drain: drain.clone(),
        };
        let live = LivePath::new(&settings, live_parts);
        let parts = Arc::new(Parts {
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
        // The slot is empty: only this function fills it.
        let _ = slot.set(Arc::downgrade(&parts));
        parts.journal.set_hooks(hooks);
        let http = HttpServer::start(parts.settings.http_listen, parts.clone()).await?;
        parts.members.set_http_address(http.address());
        Ok(Self {
            parts,
            peer_server,
            http,
            replica_set_task,
        })
    }

    /// Where callers, trainers and operators reach it.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Where it listens for other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// Its parts.
    pub fn parts(&self) -> &Arc<Parts> {
        &self.parts
    }

    /// Stops as planned: refuses new work, tells the others, hands shards over, finishes what is under way.
    pub async fn drain(&self) {
        let parts = &self.parts;
        log::info!("event=drain_started in_flight={}", parts.drain.in_flight());
        parts.drain.start();
        parts.members.announce_leaving().await;
        parts.shards.drain().await;
        parts.drain.wait_idle().await;
        log::info!("event=drain_finished");
    }

    /// Drains, then closes the listeners.
    pub async fn stop(self) {
        self.drain().await;
        self.http.stop(HTTP_CLOSE_BOUND).await;
        self.parts.members.announce_left().await;
        self.parts.members.stop();
        drop(self.replica_set_task);
    }
}

/// A random number that is not 0.
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
