//! Load reports of engines and application back ends.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde::Deserialize;

use crate::control::{self, ControlError};
use crate::machine_list::MachineKind;

/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Load report of a back end.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Name of the back end.
    pub name: String,
    /// Random id of the back end's process.
    pub process: u64,
    /// Weight version that the engine has loaded; 0 for applications.
    #[serde(default)]
    pub weight_version: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether the back end is stopping.
    #[serde(default)]
    pub leaving: bool,
    /// Sequence number, which grows with each report of a process.
    pub sequence: u64,
}

/// Reads the load report of the back end `name` at `address`.
///
/// # Errors
/// [`ControlError`] if there is no valid report, or if it has another name because the address was reassigned.
pub async fn read_load(
    client: &Client,
    kind: MachineKind,
    name: &str,
    address: SocketAddr,
    timeout: Duration,
) -> Result<LoadReport, ControlError> {
    let path = match kind {
        MachineKind::Engine => "/v1/load",
        MachineKind::Application => "/ladderstage/load",
    };
    let request = client.get(format!("http://{address}{path}"));
    let report: LoadReport = control::read_json(request, timeout, MAX_ANSWER_BYTES).await?;
    if report.name != name {
        let detail = format!("load report has name {:?}, expected {name:?}", report.name);
        return Err(ControlError::Malformed(detail));
    }
    Ok(report)
}
