//! Which engine runs a rollout.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ladderstage::routing::{Candidate, ChoiceOptions, choose, load};

use super::{EnginePlace, Shared};

/// Share of an engine's concurrency that rollouts leave to live work, in percent.
const LIVE_RESERVE_PERCENT: u32 = 25;

/// Start of the prompt by which requests with a common prefix meet on one engine, in bytes.
const PREFIX_BYTES: usize = 256;

/// Priority of rollouts on engines if the bundle names none; smaller goes first.
const DEFAULT_PRIORITY: u32 = 100;

/// How long an attempt avoids an engine whose version was too old.
const AVOID_STALE: Duration = Duration::from_secs(1);

/// Class of work whose priority rollouts take.
const ROLLOUT_CLASS: &str = "rollout";

/// A place at an engine, kept until dropped.
pub(super) struct Placement {
    pub(super) engine: Candidate,
    _place: EnginePlace,
}

/// Engines that lately generated for an attempt with a version too old to deliver, whatever they report.
///
/// Without them the same prompt would go to the same engine again by its prefix.
#[derive(Debug, Default)]
pub(super) struct StaleEngines {
    until: BTreeMap<String, Instant>,
}

impl StaleEngines {
    /// Avoids the engine for a while; it may be about to swap.
    pub(super) fn note(&mut self, engine: &str) {
        let until = Instant::now() + AVOID_STALE;
        self.until.insert(engine.to_owned(), until);
    }

    fn contains(&self, engine: &str) -> bool {
        let until = self.until.get(engine);
        until.is_some_and(|until| *until > Instant::now())
    }
}

/// Takes a place for a rollout at an engine of the pool, but for those to `avoid`; `None` while none has room beside
/// live work.
pub(super) fn place(
    shared: &Shared,
    pool: &str,
    prompt: &str,
    avoid: &StaleEngines,
) -> Option<Placement> {
    let most = rollout_places(shared, pool)?;
    let mut engines = shared.parts.engines.candidates(pool);
    engines.retain(|engine| {
        engine.own_in_flight < most && has_room(engine) && !avoid.contains(&engine.name)
    });
    let prefix = prompt.as_bytes();
    let options = ChoiceOptions {
        zone: &shared.zone,
        prefix: Some(&prefix[..prefix.len().min(PREFIX_BYTES)]),
    };
    while let Some(index) = choose(&engines, &options, rand::random()) {
        let engine = engines.swap_remove(index);
        if let Some(place) = shared.parts.engines.try_start_request(pool, &engine.name) {
            return Some(Placement {
                engine,
                _place: place,
            });
        }
    }
    None
}

/// Priority of rollouts on engines by the bundle in force.
pub(super) fn rollout_priority(shared: &Shared) -> u32 {
    shared
        .parts
        .bundles
        .current()
        .and_then(|current| Some(current.bundle.class(ROLLOUT_CLASS)?.priority))
        .unwrap_or(DEFAULT_PRIORITY)
}

fn rollout_places(shared: &Shared, pool: &str) -> Option<u32> {
    let current = shared.parts.bundles.current()?;
    let concurrency = current.bundle.pool(pool)?.concurrency;
    let reserve = concurrency.saturating_mul(LIVE_RESERVE_PERCENT) / 100;
    Some((concurrency - reserve).max(1))
}

/// Rollouts use what is left: they are not sent to wait behind a full engine.
fn has_room(engine: &Candidate) -> bool {
    let is_unknown = engine.capacity == 0 || engine.report_age == Duration::MAX;
    is_unknown || load(engine) < u64::from(engine.capacity)
}
