//! Stand-in of the machine list, with injected delay and outage.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{lock, loopback};
use crate::http_server::{Handle, Handler, Request, Responder, injected_cut, serve};

/// Kind of a machine's back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineKind {
    /// Model engine.
    Engine,
    /// Application back end.
    Application,
}

/// State of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// The machine accepts work.
    Live,
    /// The machine must receive no new work.
    Leaving,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name used in bundles.
    pub name: String,
    /// Address of its back end.
    pub address: SocketAddr,
    pub zone: String,
    /// Kind of its back end.
    pub kind: MachineKind,
    pub state: MachineState,
}

/// Machine list; also the body of `POST /control/machines`, which replaces it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    pub machines: Vec<Machine>,
}

/// Faults of the machine list, replaced by `POST /control/fault`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListFaults {
    /// Close connections without an answer.
    pub down: bool,
    /// Delay until changes become visible, in milliseconds.
    pub late_ms: u64,
}

/// Configuration of the machine list.
#[derive(Debug, Clone)]
pub struct MachineListConfig {
    pub listen: SocketAddr,
    /// Initial machines.
    pub machines: Machines,
}

impl Default for MachineListConfig {
    fn default() -> Self {
        Self {
            listen: loopback(),
            machines: Machines::default(),
        }
    }
}

pub async fn start(config: MachineListConfig) -> io::Result<Handle> {
    let list = MachineList {
        state: Mutex::new(State {
            faults: MachineListFaults::default(),
            initial: config.machines,
            changes: Vec::new(),
        }),
    };
    serve(config.listen, Arc::new(list)).await
}

#[derive(Debug)]
struct MachineList {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: MachineListFaults,
    initial: Machines,
    changes: Vec<(Instant, Machines)>,
}

impl State {
    /// Returns the newest list that is visible under the current delay.
    fn visible(&self) -> &Machines {
        let newest = self.newest_visible();
        newest.map_or(&self.initial, |index| &self.changes[index].1)
    }

    fn newest_visible(&self) -> Option<usize> {
        let lateness = Duration::from_millis(self.faults.late_ms);
        self.changes
            .iter()
            .rposition(|(at, _)| at.elapsed() >= lateness)
    }

    /// Sets the faults. The visible list stays visible, whatever the new delay is.
    fn set_faults(&mut self, faults: MachineListFaults) {
        if let Some(index) = self.newest_visible()
            && let Some((_, shown)) = self.changes.drain(..=index).next_back()
        {
            self.initial = shown;
        }
        self.faults = faults;
    }
}

impl Handler for MachineList {
    async fn handle(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/machines") => {
                if lock(&self.state).faults.down {
                    return Err(injected_cut());
                }
                let machines = lock(&self.state).visible().clone();
                responder.json(200, &machines).await
            }
            ("POST", "/control/machines") => match request.json() {
                Ok(machines) => {
                    lock(&self.state).changes.push((Instant::now(), machines));
                    responder.send(200, &[], b"").await
                }
                Err(error) => responder.reject(400, &error.to_string()).await,
            },
            ("POST", "/control/fault") => match request.json() {
                Ok(faults) => {
                    lock(&self.state).set_faults(faults);
                    responder.send(200, &[], b"").await
                }
                Err(error) => responder.reject(400, &error.to_string()).await,
            },
            _ => responder.reject(404, "unknown path").await,
        }
    }
}
