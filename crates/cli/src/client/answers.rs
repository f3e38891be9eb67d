//! Answers of daemons, limited to the fields that the command line uses.

use ladderstage::backend::BackendDescription;
use ladderstage::bundle::Finding;
use serde::{Deserialize, Serialize};

/// Answer to a roll or to a query of its state.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum RollAnswer {
    /// The bundle was accepted.
    Accepted { revision: u64, proposal_id: String },
    /// Another bundle has this revision.
    Lost {
        winner_revision: u64,
        winner_digest: String,
    },
    /// The bundle was refused and nothing changed.
    Refused {
        reason: String,
        detail: String,
        findings: Vec<Finding>,
    },
    /// Nothing changed.
    NotRun { detail: String },
    /// The bundle may or may not come into force.
    Unknown { proposal_id: String, detail: String },
    /// The bundle has the revision but is not yet stored on a quorum of replicas.
    Pending { revision: u64 },
    /// The node has not seen the proposal in force.
    NotSeen { revision_in_force: u64 },
}

/// Answer to `GET /v1/bundles/current`.
#[derive(Debug, Clone, Deserialize)]
pub struct CurrentBundle {
    /// Revision in force, or 0 if there is none.
    pub revision: u64,
    pub digest: String,
    pub text: String,
    pub evidence_age_ms: Option<u64>,
    pub may_deliver: bool,
}

/// Answer to `GET /v1/members`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MembersAnswer {
    pub members: Vec<Member>,
}

/// Member of the cluster in the view of a daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Member {
    pub node: String,
    /// `alive`, `suspect`, `leaving`, `dead` or `left`.
    pub state: String,
    pub zone: String,
    pub region: String,
    pub http_address: String,
    pub replica: bool,
}

impl Member {
    /// Returns whether the member is considered running.
    pub fn is_up(&self) -> bool {
        matches!(self.state.as_str(), "alive" | "suspect" | "leaving")
    }

    /// Returns the URL of the member's HTTP interface.
    pub fn url(&self) -> String {
        format!("http://{}", self.http_address)
    }
}

/// Fields of `GET /v1/status` that `explain` uses.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeStatus {
    pub node: String,
    pub zone: String,
    pub readiness: Readiness,
    pub backends: Vec<BackendDescription>,
}

/// Reasons why a node does not accept new work.
#[derive(Debug, Clone, Deserialize)]
pub struct Readiness {
    pub reasons: Vec<String>,
}
