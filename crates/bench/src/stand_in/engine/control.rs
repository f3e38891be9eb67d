//! Control paths of an engine: faults, leaving, and the log.

use std::io;

use serde::{Deserialize, Serialize};

use super::super::{CutPoint, LeavingOrder, lock};
use super::Engine;
use crate::http_server::{Request, Responder};

/// Fault of weight swaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SwapFault {
    #[default]
    None,
    /// The held version stays, and load reports state it.
    Fails,
    /// The held version stays, but load reports state the ordered one.
    ClaimsDone,
}

/// Faults of an engine, replaced by `POST /control/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    pub swap: SwapFault,
    /// Omit the weight version in chunks.
    pub omit_weight_version: bool,
    /// Point at which answers are cut.
    pub cut: Option<CutPoint>,
    /// Number of answers to cut.
    pub cuts: u32,
    /// Number of requests to refuse as not run.
    pub refusals: u32,
    /// Refuse new requests as not run while leaving; by default they still run.
    pub refuse_when_leaving: bool,
    /// Stall streams while set.
    pub stall: bool,
    /// Answer load reports with 503 while set.
    pub hide_load: bool,
}

impl Engine {
    pub(super) async fn control(
        &self,
        request: Request,
        responder: &mut Responder,
    ) -> io::Result<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/control/log") => {
                let log = lock(&self.record).log().clone();
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

    fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
        if leaving {
            let now = self.started.elapsed().as_millis() as u64;
            lock(&self.record).record_leaving(now);
        }
    }
}
