//! Stand-in of the scoring service, whose scores are a function of the text.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{consume_one, lock, loopback};
use crate::http_server::{Handle, Handler, Request, Responder, injected_cut, serve};

#[derive(Debug, Clone)]
pub struct ScorerConfig {
    pub listen: SocketAddr,
    /// Duration of a request.
    pub delay: Duration,
}

impl Default for ScorerConfig {
    fn default() -> Self {
        Self {
            listen: loopback(),
            delay: Duration::from_millis(2),
        }
    }
}

/// Faults of the scorer, replaced by `POST /control/fault`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ScorerFaults {
    /// Close connections without an answer.
    pub down: bool,
    /// Number of requests to answer with 500.
    pub errors: u32,
    /// Additional delay of each request, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreRequest {
    pub trainer: String,
    pub step: u64,
    pub slot: u32,
    /// Attempt number of the slot.
    pub attempt: u32,
    pub prompt: String,
    pub text: String,
}

#[derive(Debug, Serialize)]
struct ScoreAnswer {
    score: f64,
}

/// Returns the score of a text, from 0 to 1.
pub fn score(text: &str) -> f64 {
    f64::from(Sha256::digest(text.as_bytes())[0]) / 255.0
}

pub async fn start(config: ScorerConfig) -> io::Result<Handle> {
    let listen = config.listen;
    let scorer = Scorer {
        faults: Mutex::default(),
        config,
    };
    serve(listen, Arc::new(scorer)).await
}

#[derive(Debug)]
struct Scorer {
    config: ScorerConfig,
    faults: Mutex<ScorerFaults>,
}

impl Scorer {
    async fn answer(&self, request: &Request, responder: &mut Responder) -> io::Result<()> {
        let score_request: ScoreRequest = match request.json() {
            Ok(score_request) => score_request,
            Err(error) => return responder.reject(400, &error.to_string()).await,
        };
        let faults = lock(&self.faults).clone();
        if faults.down {
            return Err(injected_cut());
        }
        tokio::time::sleep(self.config.delay + Duration::from_millis(faults.delay_ms)).await;
        if consume_one(&mut lock(&self.faults).errors) {
            return responder.reject(500, "failed by an injected fault").await;
        }
        let score = score(&score_request.text);
        responder.json(200, &ScoreAnswer { score }).await
    }
}

impl Handler for Scorer {
    async fn handle(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/score") => self.answer(&request, responder).await,
            ("POST", "/control/fault") => match request.json() {
                Ok(faults) => {
                    *lock(&self.faults) = faults;
                    responder.send(200, &[], b"").await
                }
                Err(error) => responder.reject(400, &error.to_string()).await,
            },
            _ => responder.reject(404, "unknown path").await,
        }
    }
}
