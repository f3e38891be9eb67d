//! Stand-in of the key-value service: the subset of etcd v3's JSON gateway that ladderstage uses,
//! with injected faults.

mod messages;
mod store;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::rate::Rate;
use super::{consume_one, lock, loopback};
use crate::http_server::{Handle, Handler, Request, Responder, injected_cut, serve};
use messages::{PutRequest, RangeRequest, TransactionRequest};
use store::Store;

/// Configuration of the key-value service.
#[derive(Debug, Clone)]
pub struct KeyValueConfig {
    pub listen: SocketAddr,
    /// Maximum number of requests per second; 0 means no limit.
    pub requests_per_second: f64,
}

impl Default for KeyValueConfig {
    fn default() -> Self {
        Self {
            listen: loopback(),
            requests_per_second: 0.0,
        }
    }
}

/// Faults of the key-value service, replaced by `POST /control/fault`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Close connections without an answer or an effect.
    pub down: bool,
    /// Additional delay of each answer, in milliseconds. Changes take effect after it.
    pub slow_ms: u64,
    /// Maximum number of requests per second, overriding the configuration; 0 means no override.
    pub requests_per_second: f64,
    /// Number of changes that take effect without an answer. Transactions that change nothing do
    /// not count.
    pub lost_answers: u32,
    /// Become `down` after the next change takes effect.
    pub down_after_change: bool,
    /// Return the contents of when this was set in plain reads; transactions are never stale.
    pub stale_reads: bool,
}

/// Number of calls, from `GET /control/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValueCounts {
    /// Number of reads.
    pub reads: u64,
    /// Number of puts and transactions, including transactions that changed nothing.
    pub writes: u64,
    /// Number of requests refused by the rate limit.
    pub refused: u64,
    /// Number of writes by key.
    pub changes: BTreeMap<String, u64>,
}

pub async fn start(config: KeyValueConfig) -> io::Result<Handle> {
    let service = KeyValue {
        requests_per_second: config.requests_per_second,
        state: Mutex::new(State {
            faults: KeyValueFaults::default(),
            store: Store::default(),
            stale: None,
            rate: Rate::new(Instant::now()),
            counts: KeyValueCounts::default(),
        }),
    };
    serve(config.listen, Arc::new(service)).await
}

#[derive(Debug)]
struct KeyValue {
    requests_per_second: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: KeyValueFaults,
    store: Store,
    /// Contents that stale reads return.
    stale: Option<Store>,
    rate: Rate,
    counts: KeyValueCounts,
}

/// Decision on a request before it is processed.
enum Admission {
    Answer(Duration),
    Refuse,
    Disconnect,
}

impl KeyValue {
    fn admit(&self) -> Admission {
        let state = &mut *lock(&self.state);
        if state.faults.down {
            return Admission::Disconnect;
        }
        let per_second = match state.faults.requests_per_second {
            rate if rate > 0.0 => rate,
            _ => self.requests_per_second,
        };
        if !state.rate.try_acquire(per_second, Instant::now()) {
            state.counts.refused += 1;
            return Admission::Refuse;
        }
        Admission::Answer(Duration::from_millis(state.faults.slow_ms))
    }

    fn set_faults(&self, faults: KeyValueFaults) {
        let state = &mut *lock(&self.state);
        if faults.stale_reads {
            state.stale.get_or_insert_with(|| state.store.clone());
        } else {
            state.stale = None;
        }
        state.faults = faults;
    }

    fn counts(&self) -> KeyValueCounts {
        let state = lock(&self.state);
        KeyValueCounts {
            changes: state.store.changes(),
            ..state.counts.clone()
        }
    }

    async fn handle_gateway_request(
        &self,
        request: Request,
        responder: &mut Responder,
    ) -> io::Result<()> {
        let delay = match self.admit() {
            Admission::Answer(delay) => delay,
            Admission::Refuse => return responder.reject(429, "rate limit exceeded").await,
            Admission::Disconnect => return Err(injected_cut()),
        };
        tokio::time::sleep(delay).await;
        match request.path.as_str() {
            "/v3/kv/range" => self.range(&request, responder).await,
            "/v3/kv/put" => {
                let apply = |store: &mut Store, put: PutRequest| store.put(put);
                self.write(&request, responder, apply).await
            }
            "/v3/kv/txn" => {
                let apply = |store: &mut Store, txn: TransactionRequest| store.transact(txn);
                self.write(&request, responder, apply).await
            }
            _ => responder.reject(404, "unknown path").await,
        }
    }

    async fn range(&self, request: &Request, responder: &mut Responder) -> io::Result<()> {
        let range: RangeRequest = match request.json() {
            Ok(range) => range,
            Err(error) => return responder.reject(400, &error.to_string()).await,
        };
        let answer = {
            let state = &mut *lock(&self.state);
            state.counts.reads += 1;
            state.stale.as_ref().unwrap_or(&state.store).range(&range)
        };
        responder.json(200, &answer).await
    }

    async fn write<Q: DeserializeOwned, A: Serialize>(
        &self,
        request: &Request,
        responder: &mut Responder,
        apply: impl FnOnce(&mut Store, Q) -> A,
    ) -> io::Result<()> {
        let change: Q = match request.json() {
            Ok(change) => change,
            Err(error) => return responder.reject(400, &error.to_string()).await,
        };
        let (answer, is_lost) = {
            let state = &mut *lock(&self.state);
            state.counts.writes += 1;
            let before = state.store.revision();
            let answer = apply(&mut state.store, change);
            let took_effect = state.store.revision() != before;
            state.faults.down |= took_effect && state.faults.down_after_change;
            (
                answer,
                took_effect && consume_one(&mut state.faults.lost_answers),
            )
        };
        if is_lost {
            return Err(injected_cut());
        }
        responder.json(200, &answer).await
    }
}

impl Handler for KeyValue {
    async fn handle(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/control/counts") => {
                let counts = self.counts();
                responder.json(200, &counts).await
            }
            ("POST", "/control/fault") => match request.json() {
                Ok(faults) => {
                    self.set_faults(faults);
                    responder.send(200, &[], b"").await
                }
                Err(error) => responder.reject(400, &error.to_string()).await,
            },
            ("POST", _) => self.handle_gateway_request(request, responder).await,
            _ => responder.reject(404, "unknown path").await,
        }
    }
}
