//! Settings files of daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

use crate::stand_in::loopback;

/// Timing settings in milliseconds, by their names in the `timing` table.
pub type Timing = BTreeMap<String, u64>;

/// Settings of a daemon, with the same field names as in the daemon itself.
#[derive(Debug, Clone, Serialize)]
pub struct DaemonSettings {
    pub node: String,
    pub zone: String,
    pub region: String,
    /// Address on which it listens for callers.
    pub http_listen: SocketAddr,
    /// Address on which it listens for other daemons.
    pub peer_listen: SocketAddr,
    /// Folder of its journal replica.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_folder: Option<PathBuf>,
    pub key_value: Vec<String>,
    pub machine_list: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub scorer: Option<String>,
    /// Addresses of daemons to join the cluster through.
    pub seeds: Vec<SocketAddr>,
    /// Daemons of the initial journal replica set.
    pub initial_replicas: Vec<String>,
    /// Public keys trusted for bundles, in hex, by key id.
    pub trusted_keys: BTreeMap<String, String>,
    /// Addresses of peers that override the gossiped ones.
    pub peer_addresses: BTreeMap<String, SocketAddr>,
    /// Maximum number of open connections to other daemons, or `None` for the default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer_connections: Option<usize>,
    /// Timing settings that differ from the defaults.
    pub timing: Timing,
}

impl DaemonSettings {
    /// Creates settings without peers or data folder, listening on free ports.
    pub fn new(node: &str, zone: &str, region: &str) -> Self {
        Self {
            node: node.to_owned(),
            zone: zone.to_owned(),
            region: region.to_owned(),
            http_listen: loopback(),
            peer_listen: loopback(),
            data_folder: None,
            key_value: Vec::new(),
            machine_list: String::new(),
            scorer: None,
            seeds: Vec::new(),
            initial_replicas: Vec::new(),
            trusted_keys: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            peer_connections: None,
            timing: Timing::new(),
        }
    }

    /// Returns the text of the settings file.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("settings can be represented in TOML")
    }
}
