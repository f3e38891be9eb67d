//! The task that lets time pass for the state machine and carries out its actions.

use std::sync::Arc;

use ladderstage::membership::Action;
use tokio::task::JoinSet;

use super::changes::Changes;
use super::shared::Shared;

/// Probes and exchanges under way at most; further ones are left out, the next tick brings others.
const ACTIONS_IN_FLIGHT: usize = 64;

/// Ticks for ever. Dropping the future ends the actions under way.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut under_way = JoinSet::new();
    let mut changes = Changes::default();
    loop {
        let now = shared.now();
        let actions = shared.membership().tick(now, &mut rand::rng());
        changes.log(&shared.membership(), now);
        while under_way.try_join_next().is_some() {}
        for action in actions {
            if under_way.len() < ACTIONS_IN_FLIGHT {
                under_way.spawn(carry_out(Arc::clone(&shared), action));
            }
        }
        tokio::time::sleep(crate::jitter::jittered(shared.probe_interval)).await;
    }
}

async fn carry_out(shared: Arc<Shared>, action: Action) {
    match action {
        Action::Probe { target } => shared.probe(target).await,
        Action::IndirectProbe { target, helpers } => shared.probe_through(target, helpers).await,
        Action::Sync { target } => shared.sync(target).await,
    }
}
