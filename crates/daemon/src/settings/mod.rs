//! Settings of one daemon, from a file and flags. All findings of a file come in one run, each with its place.

mod check;
mod flags;
mod read;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ladderstage::document::{self, Finding};
use serde::Deserialize;

pub use flags::{FlagError, Flags};

/// Why there are no settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {error}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// Everything wrong with the settings.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Findings(Vec<Finding>),
}

/// Settings of one daemon. Addresses are IP numbers with a port; port 0 takes any free port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this daemon; stays the same over restarts.
    pub node: String,
    /// Zone it runs in.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Where callers, trainers and operators reach it.
    pub http_listen: SocketAddr,
    /// Where other daemons reach it.
    pub peer_listen: SocketAddr,
    /// Address that other daemons are told, if not `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Folder for the journal; with one, the daemon is a journal replica.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Base URLs of the key-value service.
    pub key_value: Vec<String>,
    /// Base URL of the machine list.
    pub machine_list: String,
    /// Base URL of the scorer; none: samples are not scored.
    #[serde(default)]
    pub scorer: Option<String>,
    /// Base URL of the weight store; none: the weight versions of a bundle are not checked against it.
    #[serde(default)]
    pub weight_store: Option<String>,
    /// Trusted bundle keys: key id to ed25519 public key in hex.
    #[serde(default)]
    pub trusted_keys: BTreeMap<String, String>,
    /// Internal addresses of some other daemons, to join through.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Names of the daemons that form the first journal replica set; the same in every daemon's settings.
    #[serde(default)]
    pub initial_replicas: Vec<String>,
    /// Addresses to use for certain daemons instead of those they tell.
    #[serde(default)]
    pub peer_addresses: BTreeMap<String, SocketAddr>,
    /// Connections to other daemons that are kept open before idle ones are closed.
    #[serde(default = "default_peer_connections")]
    pub peer_connections: usize,
    /// Intervals and bounds.
    #[serde(default)]
    pub timing: Timing,
}

fn default_peer_connections() -> usize {
    ladderstage_transport::limits::CLIENT_CONNECTIONS
}

impl Settings {
    /// Reads and checks a settings file, if one is named; flags go before it.
    pub fn load(path: Option<&Path>, flags: &Flags) -> Result<Self, SettingsError> {
        let Some(path) = path else {
            return Self::parse("flags", "", flags).map_err(SettingsError::Findings);
        };
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        let file = path.display().to_string();
        Self::parse(&file, &text, flags).map_err(SettingsError::Findings)
    }

    /// Reads and checks the text of a settings file. The error holds all findings, by place.
    pub fn parse(file: &str, text: &str, flags: &Flags) -> Result<Self, Vec<Finding>> {
        let reading = document::read(file, text, |table| read::read_settings(table, flags));
        let mut findings = reading.findings;
        if reading.well_formed {
            findings.extend(check::cross_check(&reading.value, &reading.key_positions));
        }
        if findings.is_empty() {
            return Ok(reading.value);
        }
        findings.sort_by_key(|finding| (finding.line, finding.column));
        Err(findings)
    }
}

/// Intervals and bounds in milliseconds. The defaults are for production; tests may shorten them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between membership probes.
    pub probe_interval_ms: u64,
    /// How long a probe waits for its answer.
    pub probe_timeout_ms: u64,
    /// How long a suspect member has to refute.
    pub suspicion_ms: u64,
    /// Between an owner's heartbeats to the journal replicas.
    pub owner_heartbeat_ms: u64,
    /// After this long without a heartbeat a log's owner is replaced.
    pub owner_timeout_ms: u64,
    /// Oldest bundle evidence with which samples are delivered.
    pub bundle_evidence_bound_ms: u64,
    /// Between looks at the key-value service.
    pub key_value_poll_ms: u64,
    /// How long one call to the key-value service may take.
    pub key_value_timeout_ms: u64,
    /// Between looks at the machine list.
    pub machine_list_poll_ms: u64,
    /// Between load reports read from a back end.
    pub report_poll_ms: u64,
    /// Oldest evidence of a back end with which it is given work.
    pub backend_freshness_ms: u64,
    /// How long one journal round may take.
    pub journal_timeout_ms: u64,
    /// How long a journal replica must be missing before another disk takes its place.
    pub replica_replace_after_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 250,
            suspicion_ms: 2_000,
            owner_heartbeat_ms: 500,
            owner_timeout_ms: 2_500,
            bundle_evidence_bound_ms: 3_000,
            key_value_poll_ms: 500,
            key_value_timeout_ms: 1_000,
            machine_list_poll_ms: 500,
            report_poll_ms: 250,
            backend_freshness_ms: 2_000,
            journal_timeout_ms: 1_000,
            replica_replace_after_ms: 60_000,
        }
    }
}

impl From<&Settings> for ladderstage_journal::JournalOptions {
    fn from(settings: &Settings) -> Self {
        let timing = &settings.timing;
        Self {
            node: settings.node.clone(),
            initial_replicas: ladderstage_journal::InitialReplicas::Named(
                settings.initial_replicas.clone(),
            ),
            may_bootstrap: true,
            monitored_prefix: "shard/",
            owner_heartbeat_interval: Duration::from_millis(timing.owner_heartbeat_ms),
            owner_timeout: Duration::from_millis(timing.owner_timeout_ms),
            round_timeout: Duration::from_millis(timing.journal_timeout_ms),
            poll_interval: Duration::from_millis(timing.key_value_poll_ms),
            max_poll_interval: Duration::from_secs(10),
            replace_after: Duration::from_millis(timing.replica_replace_after_ms),
        }
    }
}
