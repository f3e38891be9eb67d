//! Queries for the outcome of an earlier roll.

use std::time::Instant;

use ladderstage::bundle::Digest;
use ladderstage::ids::Revision;

use super::Bundles;
use super::head;
use super::state::{PastBundle, Shared};

/// State of a proposal, as known to this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalState {
    /// The bundle is or was in force.
    Accepted {
        /// Revision of the bundle.
        revision: Revision,
        /// Digest of the bundle's text.
        digest: Digest,
    },
    /// The bundle is in the head record, but no quorum of replicas has stored it yet.
    Pending {
        /// Revision of the bundle.
        revision: Revision,
    },
    /// This node has not seen the proposal. A proposal for the revision in force or a lower one lost or has been
    /// replaced; one for a higher revision is not in force.
    NotSeen {
        /// Revision in force.
        in_force: Revision,
    },
    /// The head record could not be read.
    Unknown {
        /// What failed.
        detail: String,
    },
}

impl Bundles {
    /// Queries the state of a proposal.
    pub async fn proposal(&self, proposal_id: &str) -> ProposalState {
        let shared = &self.shared;
        let is_requested = |past: &PastBundle| past.proposal_id == proposal_id;
        if shared.find_past(is_requested).is_none() {
            let sent_at = Instant::now();
            match head::read(&shared.key_value, &shared.trusted).await {
                Ok(Some(head)) => shared.apply_head(head, sent_at).await,
                Ok(None) => {}
                Err(error) => {
                    return ProposalState::Unknown {
                        detail: error.to_string(),
                    };
                }
            }
        }
        let Some(past) = shared.find_past(is_requested) else {
            return ProposalState::NotSeen {
                in_force: shared.state().evidence.revision(),
            };
        };
        let deadline = Instant::now() + shared.roll_deadline / 4;
        if !shared.wait_for_quorum(deadline).await {
            return ProposalState::Pending {
                revision: past.revision,
            };
        }
        ProposalState::Accepted {
            revision: past.revision,
            digest: past.digest,
        }
    }
}

impl Shared {
    /// Returns the newest matching bundle that is or was in force on this node.
    pub(super) fn find_past(&self, matches: impl Fn(&PastBundle) -> bool) -> Option<PastBundle> {
        let state = self.state();
        state
            .history
            .iter()
            .rev()
            .find(|past| matches(past))
            .cloned()
    }
}
