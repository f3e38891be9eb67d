//! Log lines for changes of members.

use std::collections::BTreeMap;
use std::time::Duration;

use ladderstage::ids::{NodeName, ProcessId};
use ladderstage::membership::Membership;
use ladderstage_wire::messages::MemberState;

/// Logger of member changes, with the last logged state of each member.
#[derive(Debug, Default)]
pub(super) struct ChangeLogger {
    logged: BTreeMap<NodeName, (ProcessId, MemberState)>,
    isolated: bool,
}

impl ChangeLogger {
    /// Logs the changes of members and of this node's isolation since the last call.
    pub fn log(&mut self, membership: &Membership, now: Duration) {
        let members = membership.all();
        self.logged
            .retain(|node, _| membership.find(node).is_some());
        for member in members {
            let current = (member.process, member.state);
            if self.logged.get(&member.node) == Some(&current) {
                continue;
            }
            log::info!(
                "event=member_changed node={} state={:?} process={:016x} incarnation={}",
                member.node,
                member.state,
                member.process,
                member.incarnation
            );
            self.logged.insert(member.node, current);
        }
        self.log_isolation(membership.is_isolated(now));
    }

    fn log_isolation(&mut self, isolated: bool) {
        if self.isolated != isolated {
            self.isolated = isolated;
            log::warn!("event=isolation_changed isolated={isolated}");
        }
    }
}
