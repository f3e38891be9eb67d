//! Nodes of the demo, which run in this process.

use std::path::Path;

use ladderstage_daemon::node::{Node, NodeError};
use ladderstage_daemon::settings::Settings;

use super::DemoError;
use crate::cluster::{DaemonSettings, KEY_ID, Platform, test_key};

const REGION: &str = "vestland";
/// Name and zone of each node.
const NODES: [(&str, &str); 3] = [
    ("daemon-1", "bergen-a"),
    ("daemon-2", "bergen-b"),
    ("daemon-3", "bergen-a"),
];

pub(super) struct Nodes {
    nodes: Vec<Node>,
}

impl Nodes {
    /// Starts all nodes; each joins through those started before it.
    pub(super) async fn start(platform: &Platform, folder: &Path) -> Result<Self, DemoError> {
        let mut nodes: Vec<Node> = Vec::new();
        for (name, zone) in NODES {
            let mut settings = settings(name, zone, platform, folder);
            settings.seeds = nodes.iter().map(Node::peer_address).collect();
            let node = start_node(&settings).await?;
            nodes.push(node);
        }
        Ok(Self { nodes })
    }

    pub(super) fn urls(&self) -> Vec<String> {
        let addresses = self.nodes.iter().map(Node::http_address);
        addresses
            .map(|address| format!("http://{address}"))
            .collect()
    }

    /// Shuts all nodes down.
    pub(super) async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }
}

fn settings(name: &str, zone: &str, platform: &Platform, folder: &Path) -> DaemonSettings {
    let key = test_key();
    DaemonSettings {
        data_folder: Some(folder.join(name)),
        key_value: vec![platform.key_value.url()],
        machine_list: platform.machine_list.url(),
        scorer: Some(platform.scorer.url()),
        initial_replicas: NODES.iter().map(|(name, _)| (*name).to_owned()).collect(),
        trusted_keys: [(KEY_ID.to_owned(), key.public_hex())].into(),
        ..DaemonSettings::new(name, zone, REGION)
    }
}

async fn start_node(settings: &DaemonSettings) -> Result<Node, DemoError> {
    let settings: Settings = toml::from_str(&settings.to_toml())
        .map_err(|error| DemoError::Settings(error.to_string()))?;
    let started: Result<Node, NodeError> = Node::start(settings).await;
    started.map_err(|error| DemoError::Node(error.to_string()))
}
