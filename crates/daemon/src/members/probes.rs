//! Calls that this node makes to learn of the others.

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

/// An indirect probe may take this many times the probe timeout: the helper's own probe, and the way there and back.
const INDIRECT_TIMEOUTS: u32 = 2;

/// An exchange of the full state may take this many times the probe timeout.
const SYNC_TIMEOUTS: u32 = 8;

/// Members that are told at once of this node's planned stop.
const TOLD_AT_ONCE: usize = 16;

impl Shared {
    /// Pings a member, and if it does not answer, has others ping it.
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

    /// Pings a member once; `true` if it answered.
    pub(super) async fn ping(&self, target: &Member) -> bool {
        let Some(address) = self.address_of(target) else {
            return false;
        };
        let asked_at = Instant::now();
        let request = messages::ping(self.ping_to(&target.node));
        let answer = self.client.call(address, request, self.probe_timeout).await;
        match answer.map(|response| response.kind) {
            Ok(OneOfkind::ping_ack(ack)) if ack.node == target.node => {
                self.take_ack(ack, asked_at);
                true
            }
            Ok(_) => false,
            Err(error) => {
                log::debug!("event=ping_failed node={} reason={error}", target.node);
                false
            }
        }
    }

    /// Has the helpers ping a member.
    pub(super) async fn probe_through(&self, target: Member, helpers: Vec<Member>) {
        let mut asked: FuturesUnordered<_> = helpers
            .iter()
            .map(|helper| self.ask_helper(helper, &target))
            .collect();
        while let Some(reached) = asked.next().await {
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
        match self.ask(address, request, INDIRECT_TIMEOUTS).await {
            Some((OneOfkind::ping_ack(ack), asked_at)) if ack.node == helper.node => {
                let reached = ack.reached;
                self.take_ack(ack, asked_at);
                reached
            }
            _ => false,
        }
    }

    /// Exchanges the full state.
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
            self.ask(address, request, SYNC_TIMEOUTS).await
        {
            let now = self.now();
            self.membership().merge(reply.members, now);
        }
    }

    /// Pings some members at once, so that they pass on this node's own entry.
    pub(super) async fn tell_some(&self) {
        let members = self.membership().all();
        let own = self.membership().own().node.clone();
        let others: Vec<_> = members
            .into_iter()
            .filter(|member| member.node != own && answers(member))
            .collect();
        let told = others.sample(&mut rand::rng(), TOLD_AT_ONCE);
        let pings: FuturesUnordered<_> = told.map(|member| self.ping(member)).collect();
        pings.collect::<Vec<_>>().await;
    }

    async fn ask(
        &self,
        address: SocketAddr,
        request: Request,
        timeouts: u32,
    ) -> Option<(OneOfkind, Instant)> {
        let asked_at = Instant::now();
        let timeout = self.probe_timeout * timeouts;
        match self.client.call(address, request, timeout).await {
            Ok(response) => Some((response.kind, asked_at)),
            Err(error) => {
                log::debug!("event=member_call_failed address={address} reason={error}");
                None
            }
        }
    }

    /// The answer to a request to ping `target` on behalf of `from`.
    pub(super) async fn ping_for(&self, from: &str, target: &Member) -> PingAck {
        let reached = self.ping(target).await;
        let mut ack = self.ack_to(from, reached);
        if reached {
            self.put_first(&mut ack, &target.node);
        }
        ack
    }

    /// What the target said of itself may refute the doubts of the one that asks.
    fn put_first(&self, ack: &mut PingAck, node: &str) {
        let Some(member) = self.membership().find(node).cloned() else {
            return;
        };
        ack.updates.retain(|update| update.node != node);
        ack.updates.insert(0, member);
        ack.updates.truncate(UPDATES_PER_MESSAGE);
    }
}

fn answers(member: &Member) -> bool {
    !matches!(member.state, MemberState::DEAD | MemberState::LEFT)
}
