//! Whether the replica set is whole, for operators: log lines on each change of what is missing, and the
//! time for which it was not whole.

#![expect(
    clippy::disallowed_methods,
    reason = "operators ask for the time that has passed, in which this machine may have been suspended"
)]

use std::time::{Duration, Instant};

use ladderstage::journal::replica_set;
use ladderstage_wire::messages::{Member, ReplicaMember, ReplicaSet};
use prometheus::Gauge;

use super::replacement::is_present;

/// Time between log lines while nothing changes and the set is not whole.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// What the set lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Deficit {
    version: u64,
    /// Nodes of the members whose disks are not present.
    missing: Vec<String>,
    /// Nodes of the replicas that copy the logs before they replace others.
    joining: Vec<String>,
    /// Number of replicas that the set has less than it should have.
    too_few: usize,
}

/// Last reported state of a set that is not whole.
#[derive(Debug)]
struct Incomplete {
    since: Instant,
    deficit: Deficit,
    logged_at: Instant,
}

/// Reports when the set stops and starts to be whole. A set that is not whole tolerates fewer losses
/// than its size suggests.
#[derive(Debug)]
pub(crate) struct SetHealth {
    incomplete: Option<Incomplete>,
    /// Number of seconds for which the set was not whole; 0 while it is.
    incomplete_seconds: Gauge,
}

impl SetHealth {
    /// Starts with a set that is assumed whole.
    pub fn new(incomplete_seconds: Gauge) -> Self {
        Self {
            incomplete: None,
            incomplete_seconds,
        }
    }

    /// Compares the set, which should have `target_count` members, with the `alive` nodes, and logs what
    /// has changed.
    pub fn observe(&mut self, set: &ReplicaSet, alive: &[Member], target_count: usize) {
        match Deficit::of(set, alive, target_count) {
            Some(deficit) => self.report(deficit),
            None => self.report_whole(set.version),
        }
    }

    /// Returns whether replicas were missing or joining when the set was last observed.
    pub fn is_under_repair(&self) -> bool {
        let deficit = self.incomplete.as_ref().map(|known| &known.deficit);
        deficit.is_some_and(|deficit| !deficit.missing.is_empty() || !deficit.joining.is_empty())
    }

    fn report(&mut self, deficit: Deficit) {
        let now = Instant::now();
        let since = self.incomplete.as_ref().map_or(now, |known| known.since);
        let elapsed = since.elapsed();
        self.incomplete_seconds.set(elapsed.as_secs_f64());
        let is_known = self.incomplete.as_ref().is_some_and(|known| {
            known.deficit == deficit && known.logged_at.elapsed() < REPEAT_INTERVAL
        });
        if is_known {
            return;
        }
        log::warn!(
            "event=replica_set_incomplete version={} missing={} joining={} too_few={} elapsed_ms={}",
            deficit.version,
            list(&deficit.missing),
            list(&deficit.joining),
            deficit.too_few,
            elapsed.as_millis()
        );
        self.incomplete = Some(Incomplete {
            since,
            deficit,
            logged_at: now,
        });
    }

    fn report_whole(&mut self, version: u64) {
        self.incomplete_seconds.set(0.0);
        let Some(incomplete) = self.incomplete.take() else {
            return;
        };
        let elapsed_ms = incomplete.since.elapsed().as_millis();
        log::info!("event=replica_set_whole version={version} elapsed_ms={elapsed_ms}");
    }
}

impl Deficit {
    /// Returns what the set lacks; `None` if it is whole.
    fn of(set: &ReplicaSet, alive: &[Member], target_count: usize) -> Option<Self> {
        let is_missing = |member: &&ReplicaMember| !is_present(member, alive);
        let current = set.current.iter();
        let joining = replica_set::joining_replicas(set).into_iter();
        let deficit = Self {
            version: set.version,
            missing: current.filter(is_missing).map(node).collect(),
            joining: joining.map(node).collect(),
            too_few: target_count.saturating_sub(set.current.len()),
        };
        let is_whole = deficit.missing.is_empty() && set.next.is_empty() && deficit.too_few == 0;
        (!is_whole).then_some(deficit)
    }
}

fn node(member: &ReplicaMember) -> String {
    member.node.clone()
}

/// Returns the names separated by commas, or a dash if there are none.
fn list(nodes: &[String]) -> String {
    match nodes {
        [] => "-".to_owned(),
        nodes => nodes.join(","),
    }
}
