//! Task that drives the membership state machine and executes its actions.

use std::sync::Arc;

use ladderstage::membership::Action;
use tokio::task::JoinSet;

use super::changes::ChangeLogger;
use super::shared::Shared;

/// Maximum number of running actions; further ones are skipped, because the next tick returns new ones.
const MAX_ACTIONS_IN_FLIGHT: usize = 64;

/// Runs until aborted. Dropping the future aborts the running actions.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut in_flight = JoinSet::new();
    let mut changes = ChangeLogger::default();
    loop {
        let now = shared.now();
        let actions = shared.membership().tick(now, &mut rand::rng());
        changes.log(&shared.membership(), now);
        while in_flight.try_join_next().is_some() {}
        for action in actions {
            if in_flight.len() < MAX_ACTIONS_IN_FLIGHT {
                in_flight.spawn(execute(Arc::clone(&shared), action));
            }
        }
        tokio::time::sleep(crate::jitter::jittered(shared.probe_interval)).await;
    }
}

async fn execute(shared: Arc<Shared>, action: Action) {
    match action {
        Action::Probe { target } => shared.probe(target).await,
        Action::IndirectProbe { target, helpers } => shared.probe_through(target, helpers).await,
        Action::Sync { target } => shared.sync(target).await,
    }
}
