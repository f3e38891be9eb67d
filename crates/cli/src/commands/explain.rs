//! `ladderstage explain`: explains which back end a request would run on.

use std::fmt;
use std::time::Duration;

use ladderstage::backend::BackendDescription;
use ladderstage::bundle::{Bundle, BundleDocument, ClassSpec};
use ladderstage::routing::{Candidate, cost, load};
use serde::Serialize;

use crate::arguments::Invocation;
use crate::client::{CurrentBundle, NodeStatus};
use crate::error::CliError;
use crate::output;

#[derive(Serialize)]
struct Explanation {
    node: String,
    revision: u64,
    pool: String,
    class: ClassSpec,
    /// Reasons why the daemon does not accept new work.
    node_refuses: Vec<String>,
    /// Back ends by ascending cost; unusable ones last.
    backends: Vec<BackendEvaluation>,
}

#[derive(Serialize)]
struct BackendEvaluation {
    name: String,
    zone: String,
    /// Estimated number of requests on the back end.
    load: u64,
    capacity: u32,
    /// Cost of the choice: load with one more request in thousandths of the capacity, higher in another zone.
    cost: Option<u64>,
    /// Reason why the back end is unusable.
    unusable: Option<String>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = &self.class;
        writeln!(
            formatter,
            "On {} under bundle {}:",
            self.node, self.revision
        )?;
        writeln!(
            formatter,
            "class {}: priority {}, {} in flight per daemon, deadline {} ms, {} % retries",
            class.name, class.priority, class.limit, class.deadline_ms, class.retry_budget_percent
        )?;
        for reason in &self.node_refuses {
            writeln!(formatter, "the daemon does not accept new work: {reason}")?;
        }
        match self
            .backends
            .iter()
            .find(|evaluation| evaluation.cost.is_some())
        {
            Some(first) => writeln!(formatter, "pool {}: would run on {}", self.pool, first.name)?,
            None => writeln!(
                formatter,
                "pool {}: would be refused as not run, no back end is usable",
                self.pool
            )?,
        }
        for evaluation in &self.backends {
            writeln!(formatter, "  {evaluation}")?;
        }
        writeln!(
            formatter,
            "A prompt with a cached prefix may run on another back end of the list if its load allows."
        )
    }
}

impl fmt::Display for BackendEvaluation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} in {}: {} of {} in use",
            self.name, self.zone, self.load, self.capacity
        )?;
        match (&self.unusable, self.cost) {
            (Some(reason), _) => write!(formatter, "; unusable: {reason}"),
            (None, Some(cost)) => write!(formatter, "; cost {cost}"),
            (None, None) => Ok(()),
        }
    }
}

/// Explains which back end a request of a class and pool would run on.
pub async fn run(invocation: &mut Invocation) -> Result<(), CliError> {
    let client = invocation.client()?;
    let pool = invocation.required("--pool")?;
    let class = invocation.option("--class")?;
    invocation.finish()?;
    let status: NodeStatus = client.get("/v1/status").await?;
    let current: CurrentBundle = client.get("/v1/bundles/current").await?;
    let bundle = BundleDocument::read("current", &current.text)
        .into_bundle()
        .map_err(|_| CliError::Failed("no bundle is in force on the daemon".to_owned()))?;
    let class = class.unwrap_or_else(|| ladderstage::bundle::LIVE_CLASS.to_owned());
    let explanation = explain(status, &bundle, &pool, &class)?;
    output::print(invocation.json, &explanation);
    Ok(())
}

fn explain(
    status: NodeStatus,
    bundle: &Bundle,
    pool: &str,
    class: &str,
) -> Result<Explanation, CliError> {
    let names = |names: Vec<&str>| names.join(", ");
    let class_spec = bundle.class(class).ok_or_else(|| {
        let known = names(
            bundle
                .classes
                .iter()
                .map(|class| class.name.as_str())
                .collect(),
        );
        CliError::Failed(format!(
            "no class `{class}` in the bundle; allowed: {known}"
        ))
    })?;
    let pool_spec = bundle.pool(pool).ok_or_else(|| {
        let known = names(bundle.pools.iter().map(|pool| pool.name.as_str()).collect());
        CliError::Failed(format!("no pool `{pool}` in the bundle; allowed: {known}"))
    })?;
    let evaluate = |name: &String| {
        let known = status.backends.iter().find(|backend| backend.name == *name);
        evaluate(name, known, &status.zone)
    };
    let mut backends: Vec<BackendEvaluation> = pool_spec.backends.iter().map(evaluate).collect();
    backends
        .sort_by_key(|evaluation| (evaluation.cost.unwrap_or(u64::MAX), evaluation.name.clone()));
    Ok(Explanation {
        node: status.node,
        revision: bundle.revision,
        pool: pool.to_owned(),
        class: class_spec.clone(),
        node_refuses: status.readiness.reasons,
        backends,
    })
}

fn evaluate(name: &str, known: Option<&BackendDescription>, zone: &str) -> BackendEvaluation {
    let Some(backend) = known else {
        return BackendEvaluation {
            name: name.to_owned(),
            zone: "unknown".to_owned(),
            load: 0,
            capacity: 0,
            cost: None,
            unusable: Some("unknown to the daemon".to_owned()),
        };
    };
    let candidate = candidate(backend);
    let is_usable = backend.unusable.is_none();
    BackendEvaluation {
        name: name.to_owned(),
        zone: backend.zone.clone(),
        load: load(&candidate),
        capacity: backend.capacity,
        cost: is_usable.then(|| cost(&candidate, zone)),
        unusable: backend.unusable.clone(),
    }
}

/// Returns the candidate in the daemon's view. Requests sent since the last report are not included in the status.
fn candidate(backend: &BackendDescription) -> Candidate {
    let unspecified = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
    let address = backend
        .address
        .as_ref()
        .and_then(|address| address.parse().ok());
    Candidate {
        name: backend.name.clone(),
        address: address.unwrap_or(unspecified),
        zone: backend.zone.clone(),
        process: backend.process,
        weight_version: backend.weight_version,
        running: backend.running,
        waiting: backend.waiting,
        capacity: backend.capacity,
        own_in_flight: backend.own_in_flight,
        dispatched_since_report: 0,
        report_age: backend
            .report_age_ms
            .map_or(Duration::MAX, Duration::from_millis),
    }
}
