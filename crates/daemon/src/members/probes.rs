//! Probes of other members and exchanges of state with them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ladderstage::membership::{Action, SyncTarget, UPDATES_PER_MESSAGE};
use ladderstage_wire::messages::mod_Response::OneOfkind;
use ladderstage_wire::messages::{Member, MemberState, PingAck, Request};
use rand::seq::IndexedRandom;

use super::messages;
use super::shared::Shared;

/// Timeout of an indirect probe, as a multiple of the probe timeout; it includes the helper's own probe.
const INDIRECT_PROBE_TIMEOUTS: u32 = 2;

/// Timeout of a full state exchange, as a multiple of the probe timeout.
const SYNC_TIMEOUTS: u32 = 8;

/// Number of members to which this node announces its planned stop directly.
const ANNOUNCEMENT_FANOUT: usize = 16;

impl Shared {
    /// Pings a member, through helpers if it does not answer directly.
    pub(super) async fn probe(self: &Arc<Self>, target: Member) {
        if self.ping(&target).await {
            return;
        }
        let now = self.now();
        let next = self
            .membership()
            .on_missed_probe(&target, now, &mut rand::rng());
        if let Some(Action::IndirectProbe { target, helpers }) = next {
            self.probe_through(target, helpers).await;
        }
    }

    /// Pings a member once. Returns whether it answered.
    pub(super) async fn ping(&self, target: &Member) -> bool {
        let Some(address) = self.address_of(target) else {
            return false;
        };
        let sent_at = Instant::now();
        let request = messages::ping(self.new_ping(&target.node));
        let answer = self.client.call(address, request, self.probe_timeout).await;
        match answer.map(|response| response.kind) {
            Ok(OneOfkind::ping_ack(ack)) if ack.node == target.node => {
                self.apply_ack(ack, sent_at);
                true
            }
            Ok(_) => false,
            Err(error) => {
                log::debug!("event=ping_failed node={} reason={error}", target.node);
                false
            }
        }
    }

    /// Pings a member through helpers.
    pub(super) async fn probe_through(&self, target: Member, helpers: Vec<Member>) {
        let mut queries: FuturesUnordered<_> = helpers
            .iter()
            .map(|helper| self.ask_helper(helper, &target))
            .collect();
        while let Some(reached) = queries.next().await {
            if reached {
                let now = self.now();
                self.membership().record_contact(&target.node, now);
                return;
            }
        }
        let now = self.now();
        self.membership().on_probe_failed(&target, now);
    }

    async fn ask_helper(&self, helper: &Member, target: &Member) -> bool {
        let Some(address) = self.address_of(helper) else {
            return false;
        };
        let own = self.membership().own().node.clone();
        let request = messages::indirect_ping(own, target.clone());
        match self.call(address, request, INDIRECT_PROBE_TIMEOUTS).await {
            Some((OneOfkind::ping_ack(ack), sent_at)) if ack.node == helper.node => {
                let reached = ack.reached;
                self.apply_ack(ack, sent_at);
                reached
            }
            _ => false,
        }
    }

    /// Exchanges the full state with another member.
    pub(super) async fn sync(&self, target: SyncTarget) {
        let address = match target {
            SyncTarget::Member(node) => self.address(&node),
            SyncTarget::Seed => self.seeds.choose(&mut rand::rng()).copied(),
        };
        let Some(address) = address else {
            return;
        };
        let now = self.now();
        let state = self.membership().full_state(now);
        let request = messages::member_sync(state);
        if let Some((OneOfkind::member_sync(reply), _)) =
            self.call(address, request, SYNC_TIMEOUTS).await
        {
            let now = self.now();
            self.membership().merge(reply.members, now);
        }
    }

    /// Pings some members concurrently to announce this node's own entry, which they forward.
    pub(super) async fn announce_to_some(&self) {
        let members = self.membership().all();
        let own = self.membership().own().node.clone();
        let others: Vec<_> = members
            .into_iter()
            .filter(|member| member.node != own && may_answer(member))
            .collect();
        let targets = others.sample(&mut rand::rng(), ANNOUNCEMENT_FANOUT);
        let pings: FuturesUnordered<_> = targets.map(|member| self.ping(member)).collect();
        pings.collect::<Vec<_>>().await;
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        timeouts: u32,
    ) -> Option<(OneOfkind, Instant)> {
        let sent_at = Instant::now();
        let timeout = self.probe_timeout * timeouts;
        match self.client.call(address, request, timeout).await {
            Ok(response) => Some((response.kind, sent_at)),
            Err(error) => {
                log::debug!("event=member_call_failed address={address} reason={error}");
                None
            }
        }
    }

    /// Pings `target` on behalf of `from` and returns the answer for `from`.
    pub(super) async fn ping_for(&self, from: &str, target: &Member) -> PingAck {
        let reached = self.ping(target).await;
        let mut ack = self.new_ack(from, reached);
        if reached {
            self.move_to_front(&mut ack, &target.node);
        }
        ack
    }

    /// Puts a member's own entry first: it may refute the caller's suspicion.
    fn move_to_front(&self, ack: &mut PingAck, node: &str) {
        let Some(member) = self.membership().find(node).cloned() else {
            return;
        };
        ack.updates.retain(|update| update.node != node);
        ack.updates.insert(0, member);
        ack.updates.truncate(UPDATES_PER_MESSAGE);
    }
}

fn may_answer(member: &Member) -> bool {
    !matches!(member.state, MemberState::DEAD | MemberState::LEFT)
}
