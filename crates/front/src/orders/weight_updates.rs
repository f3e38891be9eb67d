//! Updates about instances' weights, sent by the order leader to the fronts that use them.
//!
//! Discovery reports new weights only with an instance's next heartbeat, and does not report loads
//! in progress. With these updates a front starts items sooner and avoids requests that the
//! instance would reject.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{InstanceWeights, Request, WeightNews};
use tokio::task::JoinSet;

use super::load_limit::LoadLimit;
use crate::backend::Instance;
use crate::nodes::Nodes;

/// Timeout of one update; a later one would be outdated.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Load limit learned by order leaders, from which a later leader on this node starts. Cheap to
/// clone.
#[derive(Debug, Clone, Default)]
pub struct LearnedLoadLimit {
    limit: Arc<Mutex<Option<LoadLimit>>>,
}

impl LearnedLoadLimit {
    /// Records the limit that this node learned or received, once it is based on a finished load.
    pub fn record(&self, limit: &LoadLimit) {
        if limit.shortest().is_some() {
            *self.lock() = Some(limit.clone());
        }
    }

    /// Returns the learned limit; `None` if none is known.
    pub fn get(&self) -> Option<LoadLimit> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<LoadLimit>> {
        self.limit
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Maximum number of calls per second with which updates are sent. With many recipients, the
/// updates of a longer time share one call to each.
const MAX_CALLS_PER_SECOND: f64 = 500.0;

/// Collects updates and sends them to other fronts.
#[derive(Default)]
pub(super) struct WeightUpdateSender {
    updates: Vec<InstanceWeights>,
    /// Time before which no updates are sent.
    send_after: Option<Instant>,
    calls: JoinSet<()>,
}

impl WeightUpdateSender {
    /// Adds that an instance started to load a version, for about `time`.
    pub fn loading(&mut self, instance: &Instance, model: &str, version: u64, time: Duration) {
        self.add(instance, model, version, time.as_millis() as u64);
    }

    /// Adds that an instance has loaded a version.
    pub fn loaded(&mut self, instance: &Instance, model: &str, version: u64) {
        self.add(instance, model, version, 0);
    }

    fn add(&mut self, instance: &Instance, model: &str, version: u64, loading_ms: u64) {
        self.updates.push(InstanceWeights {
            instance: instance.id().to_owned(),
            started_unix_ms: instance.started_unix_ms(),
            model: model.to_owned(),
            version,
            loading_ms,
        });
    }

    /// Sends the collected updates to `recipients`. Other fronts rely on discovery, because sending
    /// each load to hundreds of fronts would delay the load checks of a weak leader.
    pub fn send(&mut self, nodes: &Nodes, recipients: &BTreeSet<String>, limit: &LoadLimit) {
        while self.calls.try_join_next().is_some() {}
        let now = Instant::now();
        if self.updates.is_empty() || self.send_after.is_some_and(|at| now < at) {
            return;
        }
        let interval = Duration::from_secs_f64(recipients.len() as f64 / MAX_CALLS_PER_SECOND);
        self.send_after = Some(now + interval);
        let kind = RequestKind::weight_news(WeightNews {
            instances: std::mem::take(&mut self.updates),
            usual_load_ms: limit.typical_load_time().unwrap_or_default().as_millis() as u64,
            load_limit: limit.get() as u64,
            limit_is_near: limit.is_near_capacity(),
        });
        let own = nodes.own().node;
        for front in recipients.iter().filter(|front| **front != own) {
            let nodes = nodes.clone();
            let front = front.clone();
            let request = Request { kind: kind.clone() };
            self.calls.spawn(async move {
                if let Err(error) = nodes.call(&front, request, UPDATE_TIMEOUT).await {
                    log::debug!("event=weight_update_not_sent node={front} cause=\"{error}\"");
                }
            });
        }
    }
}
