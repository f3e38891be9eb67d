//! Membership updates that are still to be piggybacked on messages.

use std::collections::BTreeMap;

use super::config::RETRANSMIT_FACTOR;
use crate::ids::NodeName;

/// Nodes whose entries changed recently, with the number of times each was sent since.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingUpdates {
    send_counts: BTreeMap<NodeName, u32>,
}

impl PendingUpdates {
    /// Marks the node's entry as changed.
    pub fn mark_changed(&mut self, node: &str) {
        self.send_counts.insert(node.to_owned(), 0);
    }

    /// Stops sending updates about the node.
    pub fn discard(&mut self, node: &str) {
        self.send_counts.remove(node);
    }

    /// Selects up to `count` nodes for one message, least-sent first, and counts them as sent.
    pub fn pick(&mut self, count: usize, members: usize) -> Vec<NodeName> {
        let mut waiting: Vec<_> = self
            .send_counts
            .iter()
            .map(|(node, times_sent)| (*times_sent, node.clone()))
            .collect();
        waiting.sort();
        waiting.truncate(count);
        let limit = retransmit_limit(members);
        waiting
            .into_iter()
            .map(|(times_sent, node)| self.count_sent(node, times_sent + 1, limit))
            .collect()
    }

    fn count_sent(&mut self, node: NodeName, times_sent: u32, limit: u32) -> NodeName {
        if times_sent >= limit {
            self.send_counts.remove(&node);
        } else {
            self.send_counts.insert(node.clone(), times_sent);
        }
        node
    }
}

/// Returns how often each update is sent in a cluster of `members` members.
fn retransmit_limit(members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    RETRANSMIT_FACTOR * doublings.max(1)
}
