//! HTTP server of a node.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::config::{Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::http::{applications, bundles, completions, failures, status, trainers};
use crate::node::{NodeComponents, NodeError};

/// Maximum length in MiB of bodies read by Rocket's data guards. Routes have lower limits of their own.
const BODY_LIMIT_MEBIBYTES: u64 = 16;

/// Rocket's grace period in seconds for callers to read the rest of their answers after the shutdown starts.
const CLOSE_GRACE_SECONDS: u32 = 30;

/// Seconds after the grace period until Rocket closes connections forcibly.
const FORCE_CLOSE_SECONDS: u32 = 1;

/// Listening HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
    /// Resolves once the server and all its connections are closed.
    all_closed: oneshot::Receiver<Infallible>,
}

/// Value managed by Rocket, which is dropped with the last connection.
struct ServerLifetime {
    _sender: oneshot::Sender<Infallible>,
}

impl HttpServer {
    /// Starts listening on `address`. Port 0 selects any free port.
    ///
    /// # Errors
    /// [`NodeError::HttpListen`] if the server cannot listen.
    pub async fn start(
        address: SocketAddr,
        components: Arc<NodeComponents>,
    ) -> Result<Self, NodeError> {
        let (bound_sender, bound) = oneshot::channel();
        let failed = |detail: String| NodeError::HttpListen { address, detail };
        let (alive_sender, all_closed) = oneshot::channel();
        let rocket = server(address, components)
            .manage(ServerLifetime {
                _sender: alive_sender,
            })
            .attach(report_bound_address(bound_sender))
            .ignite()
            .await
            .map_err(|error| failed(error.kind().to_string()))?;
        let shutdown = rocket.shutdown();
        let (failure_sender, failure) = oneshot::channel();
        let task = tokio::spawn(async move {
            // A Rocket launch error panics on drop unless its kind was read.
            if let Err(error) = rocket.launch().await {
                let detail = error.kind().to_string();
                log::error!("event=http_server_failed detail=\"{detail}\"");
                let _ = failure_sender.send(detail);
            }
        });
        let Ok(address) = bound.await else {
            let detail = failure.await.unwrap_or_else(|_| "not launched".to_owned());
            return Err(failed(detail));
        };
        Ok(Self {
            address,
            shutdown,
            task,
            all_closed,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and idle connections, and waits up to `bound` for the other connections to finish.
    ///
    /// Rocket's own task is not awaited, as it would wait for the complete grace period if any connection is open.
    pub async fn stop(self, bound: Duration) {
        self.shutdown.notify();
        self.task.abort();
        if tokio::time::timeout(bound, self.all_closed).await.is_err() {
            log::warn!("event=http_connections_left_open");
        }
    }
}

/// Returns a fairing that sends the bound address after launch.
fn report_bound_address(sender: oneshot::Sender<SocketAddr>) -> AdHoc {
    let sender = Mutex::new(Some(sender));
    AdHoc::on_liftoff("report the bound address", move |rocket| {
        let config = rocket.config();
        let address = SocketAddr::new(config.address, config.port);
        let sender = sender.lock().ok().and_then(|mut sender| sender.take());
        if let Some(sender) = sender {
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}

fn server(address: SocketAddr, components: Arc<NodeComponents>) -> Rocket<Build> {
    rocket::custom(config(address))
        .manage(components.live.clone())
        .manage(components.shards.clone())
        .manage(components.bundles.clone())
        .manage(components.drain.clone())
        .manage(components)
        .mount("/", completions::routes())
        .mount("/", applications::routes())
        .mount("/", trainers::routes())
        .mount("/", bundles::routes())
        .mount("/", status::routes())
        .register("/", failures::catchers())
}

/// Returns the Rocket configuration. `Rocket.toml` and the environment are ignored.
fn config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        limits: Limits::default()
            .limit("json", BODY_LIMIT_MEBIBYTES.mebibytes())
            .limit("bytes", BODY_LIMIT_MEBIBYTES.mebibytes())
            .limit("string", BODY_LIMIT_MEBIBYTES.mebibytes()),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            // Signals are handled by the drain, as Rocket would abort requests after its grace period.
            ctrlc: false,
            signals: Default::default(),
            grace: CLOSE_GRACE_SECONDS,
            mercy: FORCE_CLOSE_SECONDS,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}
