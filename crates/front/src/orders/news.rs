//! News of instances' weights, from the giver of orders to the fronts that work with them.
//!
//! Discovery tells of new weights with the instance's next heartbeat, up to 1.2 s late, and says nothing of loads under way. The
//! giver knows both at once. A front that hears it starts items there sooner, and spares itself starts that would be refused.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{InstanceWeights, Request, WeightNews};
use tokio::task::JoinSet;

use super::load_limit::LoadLimit;
use crate::backend::Instance;
use crate::nodes::Nodes;

/// How long a front may take to answer; news that come later are of no use.
const NEWS_TIMEOUT: Duration = Duration::from_millis(500);

/// What givers of orders have learnt of loads: a later giver starts from that. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LearnedLoadLimit {
    limit: Arc<Mutex<Option<LoadLimit>>>,
}

impl LearnedLoadLimit {
    /// Notes what this node has learnt, or was told.
    pub fn record(&self, limit: &LoadLimit) {
        if limit.least().is_some() {
            *self.lock() = Some(limit.clone());
        }
    }

    /// What is known.
    pub fn get(&self) -> Option<LoadLimit> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<LoadLimit>> {
        self.limit
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Collects news and tells them to other fronts.
#[derive(Default)]
pub(super) struct NewsSender {
    news: Vec<InstanceWeights>,
    calls: JoinSet<()>,
}

impl NewsSender {
    /// An instance has taken an order and loads a version for about `time`.
    pub fn loading(&mut self, instance: &Instance, model: &str, version: u64, time: Duration) {
        self.add(instance, model, version, time.as_millis() as u64);
    }

    /// An instance has a version.
    pub fn loaded(&mut self, instance: &Instance, model: &str, version: u64) {
        self.add(instance, model, version, 0);
    }

    fn add(&mut self, instance: &Instance, model: &str, version: u64, loading_ms: u64) {
        self.news.push(InstanceWeights {
            instance: instance.id().to_owned(),
            started_unix_ms: instance.started_unix_ms(),
            model: model.to_owned(),
            version,
            loading_ms,
        });
    }

    /// Sends what was collected to an audience; a front that does not hear it goes by discovery. To tell hundreds of fronts of each
    /// load takes a weak giver so long that it notices loads late.
    pub fn send(&mut self, nodes: &Nodes, audience: &BTreeSet<String>, limit: &LoadLimit) {
        while self.calls.try_join_next().is_some() {}
        if self.news.is_empty() {
            return;
        }
        let kind = RequestKind::weight_news(WeightNews {
            instances: std::mem::take(&mut self.news),
            usual_load_ms: limit.typical_load_time().unwrap_or_default().as_millis() as u64,
            load_limit: limit.get() as u64,
            limit_is_near: limit.is_near_capacity(),
        });
        let own = nodes.own().node;
        for front in audience.iter().filter(|front| **front != own) {
            let nodes = nodes.clone();
            let front = front.clone();
            let request = Request { kind: kind.clone() };
            self.calls.spawn(async move {
                if let Err(error) = nodes.call(&front, request, NEWS_TIMEOUT).await {
                    log::debug!("event=weight_update_not_sent node={front} cause=\"{error}\"");
                }
            });
        }
    }
}
