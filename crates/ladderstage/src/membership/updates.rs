//! Updates that still have to be sent.

use std::collections::BTreeMap;

use super::config::RETRANSMIT_FACTOR;
use crate::ids::NodeName;

/// Nodes whose entries changed recently, with the number of times each was sent since.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingUpdates {
    sent: BTreeMap<NodeName, u32>,
}

impl PendingUpdates {
    /// Marks the node's entry as changed.
    pub fn changed(&mut self, node: &str) {
        self.sent.insert(node.to_owned(), 0);
    }

    /// Stops sending updates about the node.
    pub fn discard(&mut self, node: &str) {
        self.sent.remove(node);
    }

    /// Selects up to `count` nodes for one message, least-sent first, and counts them as sent.
    pub fn pick(&mut self, count: usize, members: usize) -> Vec<NodeName> {
        let mut waiting: Vec<_> = self
            .sent
            .iter()
            .map(|(node, sent)| (*sent, node.clone()))
            .collect();
        waiting.sort();
        waiting.truncate(count);
        let limit = retransmissions(members);
        waiting
            .into_iter()
            .map(|(sent, node)| self.count_sent(node, sent + 1, limit))
            .collect()
    }

    fn count_sent(&mut self, node: NodeName, sent: u32, limit: u32) -> NodeName {
        if sent >= limit {
            self.sent.remove(&node);
        } else {
            self.sent.insert(node.clone(), sent);
        }
        node
    }
}

/// Returns the number of times each update is sent among `members` members.
fn retransmissions(members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    RETRANSMIT_FACTOR * doublings.max(1)
}
