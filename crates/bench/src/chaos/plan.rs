//! Fault plan: a timed list of faults, determined by the seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fault::{Fault, Layout};

/// Maximum number of faults active at the same time.
const MAX_CONCURRENT_FAULTS: usize = 2;
/// Delay before the first fault.
const INITIAL_DELAY: Duration = Duration::from_millis(500);
/// Range of the delay between the starts of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// Maximum number of draws to find a fault without a conflict.
const MAX_DRAWS: usize = 16;

/// A fault and its times.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct PlannedFault {
    /// Start, relative to the start of the run.
    pub begin: Duration,
    /// End, relative to the start of the run.
    pub end: Duration,
    pub fault: Fault,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    Begin,
    End,
}

#[derive(Debug, Clone)]
pub struct PlannedAction {
    /// Time since the start of the run.
    pub at: Duration,
    /// Whether the fault begins or ends.
    pub action: Action,
    pub fault: Fault,
}

/// All faults of a run, ordered by start.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Plan {
    /// Faults. At most two overlap, and these affect different resources.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Creates a plan of faults within `length` for a cluster of this layout. Equal arguments give
    /// equal plans.
    pub fn new(seed: u64, length: Duration, layout: &Layout) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let mut at = INITIAL_DELAY;
        while at < length {
            let active: Vec<Fault> = active_at(&faults, at);
            if active.len() < MAX_CONCURRENT_FAULTS
                && let Some(fault) = draw(&mut random, layout, &active)
            {
                let duration = Duration::from_millis(random.random_range(fault.duration_ms()));
                faults.push(PlannedFault {
                    begin: at,
                    end: (at + duration).min(length),
                    fault,
                });
            }
            at += Duration::from_millis(random.random_range(PAUSE_MS));
        }
        Self { faults }
    }

    /// Returns all starts and ends of faults, ordered by time.
    pub fn actions(&self) -> Vec<PlannedAction> {
        let mut actions: Vec<PlannedAction> = Vec::new();
        for planned in &self.faults {
            for (at, action) in [(planned.begin, Action::Begin), (planned.end, Action::End)] {
                actions.push(PlannedAction {
                    at,
                    action,
                    fault: planned.fault.clone(),
                });
            }
        }
        // The sort is stable, so that a fault of zero length begins before it ends.
        actions.sort_by_key(|action| action.at);
        actions
    }
}

fn active_at(faults: &[PlannedFault], at: Duration) -> Vec<Fault> {
    let active = faults.iter().filter(|planned| planned.end >= at);
    active.map(|planned| planned.fault.clone()).collect()
}

/// Draws a fault that affects no resource of an active one.
fn draw(random: &mut StdRng, layout: &Layout, active: &[Fault]) -> Option<Fault> {
    (0..MAX_DRAWS)
        .map(|_| Fault::draw(random, layout))
        .find(|fault| {
            !active
                .iter()
                .any(|other| fault.conflicts_with(other, layout))
        })
}
