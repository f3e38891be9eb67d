//! Stand-in of an application back end: echoes requests and records its runs.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{
    CutPoint, ENGINE_HEADER, Ending, LeavingOrder, LoadReport, NOT_RUN, NOT_RUN_LEAVING,
    REQUEST_ID_HEADER, consume_one, lock, loopback,
};
use crate::http_server::{Handle, Handler, Request, Responder, injected_cut, serve};

/// Configuration of an application back end.
#[derive(Debug, Clone)]
pub struct ApplicationConfig {
    pub listen: SocketAddr,
    pub name: String,
    /// Capacity that load reports state, in concurrent requests.
    pub capacity: u32,
    /// Duration of a request.
    pub delay: Duration,
}

impl Default for ApplicationConfig {
    fn default() -> Self {
        Self {
            listen: loopback(),
            name: "application-1".to_owned(),
            capacity: 16,
            delay: Duration::from_millis(5),
        }
    }
}

/// Faults of an application back end, replaced by `POST /control/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ApplicationFaults {
    /// Point at which answers are cut after the request ran.
    pub cut: Option<CutPoint>,
    /// Number of answers to cut.
    pub cuts: u32,
    /// Number of requests to refuse as not run.
    pub refusals: u32,
    /// Refuse new requests as not run while leaving; by default they still run.
    pub refuse_when_leaving: bool,
    /// Number of requests that run but are answered with 500.
    pub errors: u32,
    /// Additional delay of each request, in milliseconds.
    pub delay_ms: u64,
    /// Send answers chunked instead of with their length.
    pub chunked: bool,
    /// Bytes of padding in each answer.
    pub padding: usize,
    /// Answer load reports with 503.
    pub hide_load: bool,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationRun {
    /// Request id given by the caller; empty if absent.
    pub request_id: String,
    pub method: String,
    /// Path and query.
    pub path: String,
    pub body: String,
    /// State or outcome of the run.
    pub ending: Ending,
    /// Milliseconds from the back end's start to the run's.
    pub started_ms: u64,
}

/// Answer to `GET /control/log`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationLog {
    /// Runs ordered by start.
    pub runs: Vec<ApplicationRun>,
    /// Milliseconds from the back end's start to the order to leave, if any.
    pub leaving_ms: Option<u64>,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the back end that answered.
    pub name: String,
    pub request_id: String,
    pub method: String,
    /// Path and query.
    pub path: String,
    pub body: String,
    pub padding: String,
}

/// Starts an application back end.
pub async fn start(config: ApplicationConfig) -> io::Result<Handle> {
    let listen = config.listen;
    let application = Application {
        process: rand::random_range(1..=u64::MAX),
        started: Instant::now(),
        state: Mutex::default(),
        config,
    };
    serve(listen, Arc::new(application)).await
}

#[derive(Debug)]
struct Application {
    config: ApplicationConfig,
    process: u64,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    faults: ApplicationFaults,
    leaving: bool,
    running: u32,
    sequence: u64,
    log: ApplicationLog,
}

/// Records the end of a run, also when its task is dropped.
struct RunGuard<'a> {
    application: &'a Application,
    index: usize,
    ending: Ending,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.application.state);
        state.running -= 1;
        state.log.runs[self.index].ending = self.ending;
    }
}

impl Application {
    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn start_run(&self, request: &Request, echo: &Echo) -> RunGuard<'_> {
        let mut state = lock(&self.state);
        state.running += 1;
        state.log.runs.push(ApplicationRun {
            request_id: echo.request_id.clone(),
            method: request.method.clone(),
            path: echo.path.clone(),
            body: echo.body.clone(),
            ending: Ending::Running,
            started_ms: self.elapsed_ms(),
        });
        RunGuard {
            application: self,
            index: state.log.runs.len() - 1,
            ending: Ending::Cancelled,
        }
    }

    async fn run(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        if self.refuses_because_leaving() {
            let headers = [(ENGINE_HEADER, NOT_RUN_LEAVING)];
            return responder.send(503, &headers, b"leaving").await;
        }
        if consume_one(&mut lock(&self.state).faults.refusals) {
            let headers = [(ENGINE_HEADER, NOT_RUN)];
            return responder
                .send(503, &headers, b"refused by an injected fault")
                .await;
        }
        let (faults, is_cut, is_error) = {
            let state = &mut *lock(&self.state);
            let is_cut = state.faults.cut.is_some() && consume_one(&mut state.faults.cuts);
            let is_error = consume_one(&mut state.faults.errors);
            (state.faults.clone(), is_cut, is_error)
        };
        let echo = self.echo(&request, faults.padding);
        let mut run = self.start_run(&request, &echo);
        let delay = self.config.delay + Duration::from_millis(faults.delay_ms);
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = responder.caller_disconnected() => return Err(injected_cut()),
        }
        let body = serde_json::to_vec(&echo).map_err(io::Error::other)?;
        let status = if is_error { 500 } else { 200 };
        if is_cut {
            run.ending = Ending::Cut;
            return send_cut(responder, faults.cut, faults.chunked, status, &body).await;
        }
        send_complete(responder, faults.chunked, status, &body).await?;
        run.ending = Ending::Completed;
        Ok(())
    }

    fn refuses_because_leaving(&self) -> bool {
        let state = lock(&self.state);
        state.leaving && state.faults.refuse_when_leaving
    }

    fn echo(&self, request: &Request, padding: usize) -> Echo {
        let path = match request.query.as_str() {
            "" => request.path.clone(),
            query => format!("{}?{query}", request.path),
        };
        Echo {
            name: self.config.name.clone(),
            request_id: request
                .header(REQUEST_ID_HEADER)
                .unwrap_or_default()
                .to_owned(),
            method: request.method.clone(),
            path,
            body: String::from_utf8_lossy(&request.body).into_owned(),
            padding: "x".repeat(padding),
        }
    }

    fn load_report(&self) -> LoadReport {
        let mut state = lock(&self.state);
        state.sequence += 1;
        LoadReport {
            name: self.config.name.clone(),
            process: self.process,
            weight_version: None,
            running: state.running,
            waiting: 0,
            capacity: self.config.capacity,
            leaving: state.leaving,
            sequence: state.sequence,
        }
    }

    fn set_leaving(&self, leaving: bool) {
        let now = self.elapsed_ms();
        let mut state = lock(&self.state);
        state.leaving = leaving;
        if leaving {
            state.log.leaving_ms.get_or_insert(now);
        }
    }

    async fn control(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/control/log") => {
                let log = lock(&self.state).log.clone();
                responder.json(200, &log).await
            }
            ("POST", "/control/fault") => match request.json() {
                Ok(faults) => {
                    lock(&self.state).faults = faults;
                    responder.send(200, &[], b"").await
                }
                Err(error) => responder.reject(400, &error.to_string()).await,
            },
            ("POST", "/control/leaving") => match LeavingOrder::read(&request.body) {
                Ok(leaving) => {
                    self.set_leaving(leaving);
                    responder.send(200, &[], b"").await
                }
                Err(error) => responder.reject(400, &error.to_string()).await,
            },
            _ => responder.reject(404, "unknown control path").await,
        }
    }
}

async fn send_complete(
    responder: &mut Responder,
    chunked: bool,
    status: u16,
    body: &[u8],
) -> io::Result<()> {
    if !chunked {
        let headers = [("Content-Type", "application/json")];
        return responder.send(status, &headers, body).await;
    }
    send_halves(responder, status, body).await?;
    responder.finish_chunks().await
}

async fn send_halves(responder: &mut Responder, status: u16, body: &[u8]) -> io::Result<()> {
    let headers = [("Content-Type", "application/json")];
    responder.start_chunked(status, &headers).await?;
    let (first, second) = body.split_at(body.len() / 2);
    responder.chunk(first).await?;
    responder.chunk(second).await
}

async fn send_cut(
    responder: &mut Responder,
    point: Option<CutPoint>,
    chunked: bool,
    status: u16,
    body: &[u8],
) -> io::Result<()> {
    let all_but_last = &body[..body.len().saturating_sub(1)];
    match point {
        Some(CutPoint::BeforeHeaders) | None => {}
        Some(CutPoint::MidBody) => {
            responder.start_sized(status, &[], body.len()).await?;
            responder.send_raw(&body[..body.len() / 2]).await?;
        }
        Some(CutPoint::BeforeEnd) if chunked => send_halves(responder, status, body).await?,
        Some(CutPoint::BeforeEnd) => {
            responder.start_sized(status, &[], body.len()).await?;
            responder.send_raw(all_but_last).await?;
        }
    }
    Err(injected_cut())
}

impl Handler for Application {
    async fn handle(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        match request.path.as_str() {
            "/ladderstage/load" if lock(&self.state).faults.hide_load => {
                responder.reject(503, "hidden by an injected fault").await
            }
            "/ladderstage/load" => responder.json(200, &self.load_report()).await,
            path if path.starts_with("/control/") => self.control(request, responder).await,
            _ => self.run(request, responder).await,
        }
    }
}
