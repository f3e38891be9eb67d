//! Requests under which instances end: telling them by their content, whatever id they come under.

mod content;
mod probe;

use std::fmt;
use std::sync::Arc;
use std::time::Instant;

pub use content::{ContentDigest, RequestContent};
pub use probe::{InstanceFate, probe};

use crate::backend::Instance;
use crate::metrics::Metrics;

/// What ran, by the ids that the log names it by.
#[derive(Debug, Clone, Copy)]
pub enum RunSubject<'a> {
    /// A live request.
    Request {
        /// Id of the client attempt.
        id: &'a str,
        /// Its route.
        route: &'a str,
    },
    /// An item of a batch job.
    Item {
        /// Id of the item.
        id: &'a str,
        /// Its job.
        job: &'a str,
    },
}

impl fmt::Display for RunSubject<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request { id, route } => write!(formatter, "request={id} route={route}"),
            Self::Item { id, job } => write!(formatter, "item={id} job={job}"),
        }
    }
}

/// A run whose connection broke while the instance may have been at work on it.
#[derive(Debug, Clone, Copy)]
pub struct BrokenRun<'a> {
    /// What ran.
    pub subject: RunSubject<'a>,
    /// Where.
    pub instance: &'a Arc<Instance>,
    /// What it is told by.
    pub content: ContentDigest,
    /// When it was sent.
    pub began: Instant,
}

/// Watches for requests under which instances end. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Suspects {
    metrics: Arc<Metrics>,
}

impl Suspects {
    /// Knows of none.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { metrics }
    }

    /// Finds out what became of the instance under a run that broke.
    pub async fn look(&self, run: &BrokenRun<'_>) -> InstanceFate {
        let run_ms = run.began.elapsed().as_millis();
        let fate = probe(run.instance.address()).await;
        log::warn!(
            "event=run_broken {} instance={} content={} run_ms={run_ms} instance_now={}",
            run.subject,
            run.instance.id(),
            run.content,
            fate.label()
        );
        let counter = &self.metrics.broken_runs;
        counter.with_label_values(&[fate.label()]).inc();
        fate
    }
}
