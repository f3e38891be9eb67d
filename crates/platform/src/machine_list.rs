//! Client of the machine list, which lists the back ends with their addresses and states.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::control::{self, ControlError};

/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Kind of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// Model engine.
    Engine,
    /// Application back end.
    Application,
}

/// State of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Accepts work.
    Live,
    /// Is stopping.
    Leaving,
}

/// Listed machine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Machine {
    /// Name of the back end.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
    /// Kind of the back end.
    pub kind: MachineKind,
    /// State of the back end.
    pub state: MachineState,
}

/// Answer of the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Machines {
    /// Valid entries.
    pub machines: Vec<Machine>,
    /// Errors of the invalid entries, with their indices.
    pub findings: Vec<String>,
}

#[derive(Deserialize)]
struct Answer {
    machines: Vec<Value>,
}

/// Client of a machine list.
#[derive(Debug, Clone)]
pub struct MachineList {
    url: String,
    client: reqwest::Client,
    timeout: Duration,
}

impl MachineList {
    /// Creates a client of the list at `base_url`. `timeout` applies to each call.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        Self {
            url: format!("{}/v1/machines", base_url.trim_end_matches('/')),
            client: control::client(),
            timeout,
        }
    }

    /// Reads the list once. Invalid entries are skipped and reported.
    pub async fn read(&self) -> Result<Machines, ControlError> {
        let request = self.client.get(&self.url);
        let answer: Answer = control::read_json(request, self.timeout, MAX_ANSWER_BYTES).await?;
        let mut machines = Machines::default();
        for (index, entry) in answer.machines.into_iter().enumerate() {
            match serde_json::from_value(entry) {
                Ok(machine) => machines.machines.push(machine),
                Err(error) => machines
                    .findings
                    .push(format!("machines[{index}]: {error}")),
            }
        }
        Ok(machines)
    }
}
