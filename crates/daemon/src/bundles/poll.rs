//! Polls the head record in the key-value service.

use std::sync::Arc;
use std::time::Instant;

use ladderstage_platform::key_value::KeyValueError;
use log::{error, info, warn};
use rand::seq::IndexedRandom;

use crate::jitter::jittered;

use super::head::{self, HEAD_KEY, Head, HeadError};
use super::state::{Adoption, Shared};
use crate::watchers::poll_interval_factor;

/// Maximum multiplier of the poll interval while the key-value service rate-limits requests.
const MAX_BACKOFF: u32 = 8;

/// Polls the head record until the task is aborted.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut backoff = 1;
    let mut error_log = PollErrorLog::default();
    loop {
        let outcome = poll_once(&shared).await;
        backoff = match outcome {
            Err(HeadError::KeyValue(KeyValueError::RateLimited)) => MAX_BACKOFF.min(backoff * 2),
            _ => 1,
        };
        error_log.report(&outcome);
        if outcome.is_err() {
            fetch_if_empty(&shared);
        }
        let interval = shared.poll_interval * backoff * shared.own_poll_interval_factor();
        tokio::time::sleep(jittered(interval)).await;
    }
}

/// Last logged poll error; only changes are logged.
#[derive(Debug, Default)]
struct PollErrorLog {
    last: Option<String>,
}

impl PollErrorLog {
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
    let sent_at = Instant::now();
    let Some(head) = head::read(&shared.key_value, &shared.trusted).await? else {
        return Ok(());
    };
    shared.apply_head(head, sent_at).await;
    Ok(())
}

impl Shared {
    /// Returns the multiplier of this node's poll interval: 1 for the watchers and for a node without a bundle, more
    /// for the other nodes, which also receive bundles by pushes, pings and heartbeats.
    fn own_poll_interval_factor(&self) -> u32 {
        if self.current().is_none() {
            return 1;
        }
        let own = self.peers.own_node();
        let others = self.peers.others();
        let names = others.iter().chain([&own]).map(String::as_str);
        poll_interval_factor(HEAD_KEY.as_bytes(), &own, names)
    }

    /// Adopts the bundle of a head record that was requested at `sent_at`, and pushes it to peers if it is newer.
    pub(super) async fn apply_head(self: &Arc<Self>, head: Head, sent_at: Instant) {
        let revision = head.bundle.revision;
        if let Ok(Adoption::Newer) = self.adopt(head.signed, "key-value") {
            if let Err(error) = self.persist().await {
                error!("event=bundle_store_failed cause={:?}", error.to_string());
            }
            self.push_to_peers(0);
        }
        let requested_at = self.instant(sent_at);
        self.state().evidence.observe_newest(revision, requested_at);
    }
}

/// Fetches the bundle from a random peer if this node has none.
fn fetch_if_empty(shared: &Arc<Shared>) {
    if shared.current().is_some() {
        return;
    }
    let others = shared.peers.others();
    if let Some(peer) = others.choose(&mut rand::rng()) {
        shared.spawn_fetch(vec![peer.clone()]);
    }
}
