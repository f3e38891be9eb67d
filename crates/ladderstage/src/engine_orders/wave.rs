//! Selection of the engines of a pool that may swap weights now.
//!
//! Only a share of a pool swaps at a time, so that the other engines continue to serve. The wave
//! consists of the first engines by name that do not report the ordered version yet: daemons with
//! the same reports select the same engines without coordination. Engines leave the wave by
//! reporting the version. The wave widens over time, so that engines that never do cannot block the
//! rest.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Order;
use crate::ids::{ProcessId, WeightVersion};

/// Share of a pool's engines that swap at a time, in percent; always at least one engine.
pub const WAVE_SHARE_PERCENT: usize = 34;
/// Interval after which the wave widens by its initial size, counted from when the bundle came into
/// force.
pub const WAVE_TIMEOUT: Duration = Duration::from_secs(20);

/// State of an engine by its last fresh report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineView {
    /// Process that sent the report.
    pub process: ProcessId,
    /// Weight version that the engine holds.
    pub weight_version: WeightVersion,
    /// Whether no request runs or waits there; an idle engine swaps regardless of the wave.
    pub idle: bool,
}

/// Returns the names of the engines that may swap now. `pool` holds the orders of one pool, and
/// `view` returns an engine's last fresh report; engines without one are left out. `in_force_for`
/// is the time for which this process has had the bundle.
pub fn wave(
    pool: &[Order],
    view: impl Fn(&str) -> Option<EngineView>,
    in_force_for: Duration,
) -> BTreeSet<&str> {
    let mut busy = Vec::new();
    let mut swapping = BTreeSet::new();
    for order in pool {
        match view(&order.backend) {
            Some(engine) if engine.weight_version == order.weight_version => {}
            Some(engine) if engine.idle => {
                swapping.insert(order.backend.as_str());
            }
            Some(_) => busy.push(order.backend.as_str()),
            None => {}
        }
    }
    busy.sort_unstable();
    swapping.extend(busy.into_iter().take(width(pool.len(), in_force_for)));
    swapping
}

fn width(engines: usize, in_force_for: Duration) -> usize {
    let first = (engines * WAVE_SHARE_PERCENT / 100).max(1);
    let timeouts = in_force_for.as_millis() / WAVE_TIMEOUT.as_millis();
    let factor = usize::try_from(timeouts).unwrap_or(usize::MAX);
    first.saturating_mul(factor.saturating_add(1))
}
