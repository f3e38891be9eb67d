//! Answers to the others' membership calls.

use std::time::Instant;

use ladderstage_wire::messages::mod_Request::OneOfkind;
use ladderstage_wire::messages::{
    BundleEvidence, IndirectPing, MemberSync, Ping, Request, Response,
};

use super::{Members, messages};

impl Members {
    /// Answers `Ping`, `IndirectPing` and `MemberSync`; other requests are refused as malformed.
    pub async fn handle(&self, request: Request) -> Response {
        match request.kind {
            OneOfkind::ping(ping) => self.handle_ping(ping),
            OneOfkind::indirect_ping(ping) => self.handle_indirect_ping(ping).await,
            OneOfkind::member_sync(sync) => self.handle_member_sync(sync),
            _ => messages::malformed("no membership request".to_owned()),
        }
    }

    /// Answers a ping that is meant for this node; others are refused.
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
            self.learn_revision(&ping.from, evidence);
        }
        let hooks = &self.shared.hooks;
        hooks.observe_replica_set_version(&ping.from, ping.replica_set_version);
        messages::ping_ack(self.shared.ack_to(&ping.from, true))
    }

    /// Pings a member on behalf of another.
    pub async fn handle_indirect_ping(&self, ping: IndirectPing) -> Response {
        let Some(target) = ping.target else {
            return messages::malformed("no target".to_owned());
        };
        let ack = self.shared.ping_for(&ping.from, &target).await;
        messages::ping_ack(ack)
    }

    /// Takes another member's full state and answers with this node's.
    pub fn handle_member_sync(&self, sync: MemberSync) -> Response {
        let now = self.shared.now();
        let mut membership = self.shared.membership();
        membership.merge(sync.members, now);
        messages::member_sync_reply(membership.full_state(now))
    }

    /// How long a ping was on its way is not known here, so the age that it states counts for nothing.
    fn learn_revision(&self, from: &str, evidence: BundleEvidence) {
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
