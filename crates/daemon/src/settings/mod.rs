//! Settings of a daemon, read from a file and flags. All problems of a file are reported at once with their positions.

mod check;
mod flags;
mod read;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ladderstage::document::{self, Finding};
use ladderstage::journal::DEFAULT_PART_BYTES;
use serde::Deserialize;

pub use flags::{FlagError, Flags};

/// Error of settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {error}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The settings are invalid; holds all problems found.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Findings(Vec<Finding>),
}

/// Settings of a daemon. Addresses are IP addresses with a port; port 0 selects any free port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this daemon; must not change on a restart.
    pub node: String,
    /// Zone of this daemon.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Listen address for callers, trainers and operators.
    pub http_listen: SocketAddr,
    /// Listen address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address that is announced to other daemons, if different from `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Folder of the journal. Makes the daemon a journal replica.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Base URLs of the key-value service.
    pub key_value: Vec<String>,
    /// Base URL of the machine list.
    pub machine_list: String,
    /// Base URL of the scorer. If absent, samples are not scored.
    #[serde(default)]
    pub scorer: Option<String>,
    /// Base URL of the weight store. If absent, the existence of a bundle's weight versions is not checked.
    #[serde(default)]
    pub weight_store: Option<String>,
    /// Public keys that bundles may be signed with: ed25519 keys in hexadecimal, by key id.
    #[serde(default)]
    pub trusted_keys: BTreeMap<String, String>,
    /// Peer addresses of other daemons through which this daemon joins the cluster.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Names of the daemons in the initial journal replica set. Must be the same in the settings of all daemons.
    #[serde(default)]
    pub initial_replicas: Vec<String>,
    /// Peer addresses by daemon name, which override the announced ones.
    #[serde(default)]
    pub peer_addresses: BTreeMap<String, SocketAddr>,
    /// Maximum number of idle connections to other daemons that are kept open.
    #[serde(default = "default_peer_connections")]
    pub peer_connections: usize,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
}

fn default_peer_connections() -> usize {
    ladderstage_transport::limits::CLIENT_CONNECTION_SOFT_LIMIT
}

impl Settings {
    /// Reads and checks a settings file, if there is one. Flags override its values.
    ///
    /// # Errors
    /// [`SettingsError`] if the file cannot be read or the settings are invalid.
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

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// All problems found, sorted by position.
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

/// Intervals and timeouts in milliseconds. The defaults are for production.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between membership probes.
    pub probe_interval_ms: u64,
    /// Timeout of a probe.
    pub probe_timeout_ms: u64,
    /// Time after which a suspect member is declared dead unless it refutes.
    pub suspicion_ms: u64,
    /// Interval between an owner's heartbeats to the journal replicas.
    pub owner_heartbeat_ms: u64,
    /// Time without a heartbeat after which the owner of a log is replaced.
    pub owner_timeout_ms: u64,
    /// Maximum age of bundle evidence for delivering samples.
    pub bundle_evidence_bound_ms: u64,
    /// Interval between reads of the key-value service.
    pub key_value_poll_ms: u64,
    /// Timeout of a call to the key-value service.
    pub key_value_timeout_ms: u64,
    /// Interval between reads of the machine list.
    pub machine_list_poll_ms: u64,
    /// Interval between reads of a back end's load report.
    pub report_poll_ms: u64,
    /// Maximum age of a back end's load report for sending work to it.
    pub backend_freshness_ms: u64,
    /// Timeout of a journal round.
    pub journal_timeout_ms: u64,
    /// Time after which a missing journal replica is replaced.
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
            part_bytes: DEFAULT_PART_BYTES,
            poll_interval: Duration::from_millis(timing.key_value_poll_ms),
            max_poll_interval: Duration::from_secs(10),
            replace_after: Duration::from_millis(timing.replica_replace_after_ms),
        }
    }
}
