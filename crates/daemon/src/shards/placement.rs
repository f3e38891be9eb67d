//! Choice of the engine that runs a rollout.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ladderstage::routing::{Candidate, ChoiceOptions, choose, load};

use super::{EngineGuard, Shared};

/// Percentage of an engine's concurrency that is reserved for live requests.
const LIVE_RESERVE_PERCENT: u32 = 25;

/// Bytes of the prompt that are hashed to send requests with a common prefix to the same engine.
const PREFIX_BYTES: usize = 256;

/// Priority of rollouts if the bundle names none; lower values run first.
const DEFAULT_PRIORITY: u32 = 100;

/// Time for which an attempt avoids an engine whose weight version was too old.
const STALE_ENGINE_AVOIDANCE: Duration = Duration::from_secs(1);

/// Class in the bundle that sets the priority of rollouts.
const ROLLOUT_CLASS: &str = "rollout";

/// Engine chosen for a rollout; the rollout counts as in flight there until this is dropped.
pub(super) struct Placement {
    pub(super) engine: Candidate,
    _guard: EngineGuard,
}

/// Engines that recently generated tokens of an attempt with a weight version too old to deliver.
///
/// They are excluded because the prefix hash would choose the same engine again.
#[derive(Debug, Default)]
pub(super) struct StaleEngines {
    until: BTreeMap<String, Instant>,
}

impl StaleEngines {
    /// Excludes the engine for a while; it may be about to swap its weights.
    pub(super) fn add(&mut self, engine: &str) {
        let until = Instant::now() + STALE_ENGINE_AVOIDANCE;
        self.until.insert(engine.to_owned(), until);
    }

    fn contains(&self, engine: &str) -> bool {
        let until = self.until.get(engine);
        until.is_some_and(|until| *until > Instant::now())
    }
}

/// Chooses an engine of the pool for a rollout, without those in `avoid`. `None` if no engine has capacity that is
/// not reserved for live requests.
pub(super) fn place_rollout(
    shared: &Shared,
    pool: &str,
    prompt: &str,
    avoid: &StaleEngines,
) -> Option<Placement> {
    let max_in_flight = max_rollouts_in_flight(shared, pool)?;
    let mut engines = shared.dependencies.engines.candidates(pool);
    engines.retain(|engine| {
        engine.own_in_flight < max_in_flight
            && has_free_slot(engine)
            && !avoid.contains(&engine.name)
    });
    let prefix = prompt.as_bytes();
    let options = ChoiceOptions {
        zone: &shared.zone,
        prefix: Some(&prefix[..prefix.len().min(PREFIX_BYTES)]),
    };
    while let Some(index) = choose(&engines, &options, rand::random()) {
        let engine = engines.swap_remove(index);
        if let Some(guard) = shared
            .dependencies
            .engines
            .try_start_request(pool, &engine.name)
        {
            return Some(Placement {
                engine,
                _guard: guard,
            });
        }
    }
    None
}

/// Returns the priority of rollouts in the bundle in force.
pub(super) fn rollout_priority(shared: &Shared) -> u32 {
    shared
        .dependencies
        .bundles
        .current()
        .and_then(|current| Some(current.bundle.class(ROLLOUT_CLASS)?.priority))
        .unwrap_or(DEFAULT_PRIORITY)
}

fn max_rollouts_in_flight(shared: &Shared, pool: &str) -> Option<u32> {
    let current = shared.dependencies.bundles.current()?;
    let concurrency = current.bundle.pool(pool)?.concurrency;
    let reserve = concurrency.saturating_mul(LIVE_RESERVE_PERCENT) / 100;
    Some((concurrency - reserve).max(1))
}

/// Returns whether the engine can start a rollout at once; rollouts do not queue at a full engine.
fn has_free_slot(engine: &Candidate) -> bool {
    let is_unknown = engine.capacity == 0 || engine.report_age == Duration::MAX;
    is_unknown || load(engine) < u64::from(engine.capacity)
}
