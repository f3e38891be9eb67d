//! Stand-in of the weight store: rate-limited loads of existing versions.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::rate::Rate;
use super::{lock, loopback};
use crate::http_server::{Handle, Handler, Request, Responder, serve};

/// Configuration of the weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreConfig {
    pub listen: SocketAddr,
    /// Maximum number of loads per second; 0 means no limit.
    pub loads_per_second: f64,
    /// Duration of a load.
    pub load: Duration,
    /// Newest version of models whose versions were not set explicitly.
    pub newest_version: u64,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self {
            listen: loopback(),
            loads_per_second: 0.0,
            load: Duration::from_millis(50),
            newest_version: 1_000,
        }
    }
}

/// Versions of a model; also the body of `POST /control/weights/{model}`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// All versions in the store.
    pub versions: Vec<u64>,
}

pub async fn start(config: WeightStoreConfig) -> io::Result<Handle> {
    let listen = config.listen;
    let store = WeightStore {
        rate: Mutex::new(Rate::new(Instant::now())),
        models: Mutex::default(),
        config,
    };
    serve(listen, Arc::new(store)).await
}

#[derive(Debug)]
struct WeightStore {
    config: WeightStoreConfig,
    rate: Mutex<Rate>,
    models: Mutex<BTreeMap<String, Versions>>,
}

impl WeightStore {
    fn versions(&self, model: &str) -> Versions {
        let set = lock(&self.models).get(model).cloned();
        set.unwrap_or_else(|| Versions {
            versions: (1..=self.config.newest_version).collect(),
        })
    }

    async fn load(&self, model: &str, version: &str, responder: &mut Responder) -> io::Result<()> {
        let is_known = version
            .parse()
            .is_ok_and(|version| self.versions(model).versions.contains(&version));
        if !is_known {
            return responder.reject(404, "unknown weight version").await;
        }
        let is_allowed = lock(&self.rate).try_acquire(self.config.loads_per_second, Instant::now());
        if !is_allowed {
            return responder.reject(429, "rate limit exceeded").await;
        }
        tokio::time::sleep(self.config.load).await;
        responder.send(200, &[], b"").await
    }

    async fn set(
        &self,
        model: &str,
        request: &Request,
        responder: &mut Responder,
    ) -> io::Result<()> {
        match request.json() {
            Ok(versions) => {
                lock(&self.models).insert(model.to_owned(), versions);
                responder.send(200, &[], b"").await
            }
            Err(error) => responder.reject(400, &error.to_string()).await,
        }
    }
}

impl Handler for WeightStore {
    async fn handle(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        let path = request.path.clone();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["v1", "weights", model]) => responder.json(200, &self.versions(model)).await,
            ("POST", ["v1", "weights", model, version, "load"]) => {
                self.load(model, version, responder).await
            }
            ("POST", ["control", "weights", model]) => self.set(model, &request, responder).await,
            _ => responder.reject(404, "unknown path").await,
        }
    }
}
