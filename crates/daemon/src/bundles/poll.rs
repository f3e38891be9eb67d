//! Watches the head record in the key-value service.

use std::sync::Arc;
use std::time::Instant;

use ladderstage_platform::key_value::KeyValueError;
use log::{error, info, warn};
use rand::seq::IndexedRandom;

use crate::jitter::jittered;

use super::head::{self, HEAD_KEY, Head, HeadError};
use super::state::{Adoption, Shared};
use crate::watchers::poll_factor;

/// How many times longer the interval gets at most while the service refuses for its rate.
const MAX_BACKOFF: u32 = 8;

/// Reads the head record for ever.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut backoff = 1;
    let mut trouble = Trouble::default();
    loop {
        let outcome = poll_once(&shared).await;
        backoff = match outcome {
            Err(HeadError::KeyValue(KeyValueError::RateLimited)) => MAX_BACKOFF.min(backoff * 2),
            _ => 1,
        };
        trouble.report(&outcome);
        if outcome.is_err() {
            ask_a_peer_if_empty(&shared);
        }
        let interval = shared.poll_interval * backoff * shared.poll_factor();
        tokio::time::sleep(jittered(interval)).await;
    }
}

/// What was last logged, so that an outage gives one line and not one a poll.
#[derive(Debug, Default)]
struct Trouble {
    last: Option<String>,
}

impl Trouble {
    fn report(&mut self, outcome: &Result<(), HeadError>) {
        let cause = outcome.as_ref().err().map(ToString::to_string);
        if cause == self.last {
            return;
        }
        match &cause {
            Some(cause) => warn!("event=bundle_head_unreadable cause={cause:?}"),
            None => info!("event=bundle_head_readable"),
        }
        self.last = cause;
    }
}

async fn poll_once(shared: &Arc<Shared>) -> Result<(), HeadError> {
    let asked_at = Instant::now();
    let Some(head) = head::read(&shared.key_value, &shared.trusted).await? else {
        return Ok(());
    };
    shared.take_head(head, asked_at).await;
    Ok(())
}

impl Shared {
    /// 1 for the nodes that watch the service closely, more for the others: they hear of bundles by pushes, pings
    /// and heartbeats, and the service's load does not grow with the number of nodes.
    fn poll_factor(&self) -> u32 {
        if self.current().is_none() {
            return 1;
        }
        let own = self.peers.own_node();
        let others = self.peers.others();
        let names = others.iter().chain([&own]).map(String::as_str);
        poll_factor(HEAD_KEY.as_bytes(), &own, names)
    }

    /// Takes a head record that was asked for at `asked_at`, and passes a newer bundle on.
    pub(super) async fn take_head(self: &Arc<Self>, head: Head, asked_at: Instant) {
        let revision = head.bundle.revision;
        if let Ok(Adoption::Newer) = self.adopt(head.signed, "key-value") {
            if let Err(error) = self.persist().await {
                error!("event=bundle_store_failed cause={:?}", error.to_string());
            }
            self.push_onward(0);
        }
        let as_of = self.instant(asked_at);
        self.state().evidence.observe_newest(revision, as_of);
    }
}

/// A node that has no bundle and cannot reach the service gets one from any peer.
fn ask_a_peer_if_empty(shared: &Arc<Shared>) {
    if shared.current().is_some() {
        return;
    }
    let others = shared.peers.others();
    if let Some(peer) = others.choose(&mut rand::rng()) {
        shared.spawn_fetch(vec![peer.clone()]);
    }
}
