//! Handlers for membership requests.

use std::time::Instant;

use ladderstage_wire::messages::mod_Request::OneOfkind;
use ladderstage_wire::messages::{
    BundleEvidence, IndirectPing, MemberSync, Ping, Request, Response,
};

use super::{Members, messages};

impl Members {
    /// Handles `Ping`, `IndirectPing` and `MemberSync`; refuses other requests as malformed.
    pub async fn handle(&self, request: Request) -> Response {
        match request.kind {
            OneOfkind::ping(ping) => self.handle_ping(ping),
            OneOfkind::indirect_ping(ping) => self.handle_indirect_ping(ping).await,
            OneOfkind::member_sync(sync) => self.handle_member_sync(sync),
            _ => messages::malformed("not a membership request".to_owned()),
        }
    }

    /// Answers a ping to this node; refuses one to another node.
    pub fn handle_ping(&self, ping: Ping) -> Response {
        let own = self.own().node;
        if ping.target != own {
            let detail = format!("ping for {:?} reached {own:?}", ping.target);
            return messages::malformed(detail);
        }
        let now = self.shared.now();
        {
            let mut membership = self.shared.membership();
            membership.merge(ping.updates, now);
            membership.record_contact(&ping.from, now);
        }
        if let Some(evidence) = ping.evidence {
            self.record_revision(&ping.from, evidence);
        }
        let hooks = &self.shared.hooks;
        hooks.observe_replica_set_version(&ping.from, ping.replica_set_version);
        messages::ping_ack(self.shared.new_ack(&ping.from, true))
    }

    /// Pings a member on behalf of another one.
    pub async fn handle_indirect_ping(&self, ping: IndirectPing) -> Response {
        let Some(target) = ping.target else {
            return messages::malformed("indirect_ping without target".to_owned());
        };
        let ack = self.shared.ping_for(&ping.from, &target).await;
        messages::ping_ack(ack)
    }

    /// Merges another member's full state and returns this node's.
    pub fn handle_member_sync(&self, sync: MemberSync) -> Response {
        let now = self.shared.now();
        let mut membership = self.shared.membership();
        membership.merge(sync.members, now);
        messages::member_sync_reply(membership.full_state(now))
    }

    /// Records only the revision of the evidence in a ping: the ping may have been delayed, so its age is unknown.
    fn record_revision(&self, from: &str, evidence: BundleEvidence) {
        let evidence = BundleEvidence {
            known: false,
            age_ms: 0,
            ..evidence
        };
        self.shared
            .hooks
            .observe_evidence(from, &evidence, Instant::now());
    }
}
