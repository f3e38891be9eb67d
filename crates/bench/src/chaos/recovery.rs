//! Recovery after all faults have ended: every daemon has the newest bundle, and live requests
//! succeed.

use std::time::{Duration, Instant};

use reqwest::Method;

use super::evidence::Notebook;
use super::load::Rolls;
use super::violation::Guarantee;
use crate::cluster::{APPLICATION_POOL, Cluster, MODEL_POOL, current_bundle};
use crate::live::{Caller, LiveError};

const BOUND: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const TOKENS: u64 = 10;

/// Checks that the cluster has recovered.
pub(super) async fn check(cluster: &Cluster, rolls: &Rolls, notebook: &Notebook) {
    if let Err(error) = cluster.all_ready().await {
        notebook.violation(Guarantee::Recovery, error.to_string());
    }
    check_bundles(cluster, rolls, notebook).await;
    for (index, daemon) in cluster.urls().iter().enumerate() {
        for stream in [false, true] {
            let prompt = format!("recovery {index} {stream}");
            let caller = Caller::new(daemon);
            let call = async || {
                let completion = caller.complete(MODEL_POOL, &prompt, TOKENS, stream);
                completion.await.map(drop)
            };
            succeeds(notebook, &prompt, call).await;
        }
        let body = format!("recovery {index}");
        let caller = Caller::new(daemon);
        let call = async || {
            let request = caller.application(APPLICATION_POOL, Method::POST, "price", &body);
            request.await.map(drop)
        };
        succeeds(notebook, &body, call).await;
    }
}

async fn check_bundles(cluster: &Cluster, rolls: &Rolls, notebook: &Notebook) {
    roll_last(rolls, notebook).await;
    let newest = rolls.newest_accepted();
    let operator = cluster.operator();
    if let Err(error) = operator.in_force_everywhere(newest, BOUND).await {
        notebook.violation(Guarantee::Bundles, error.to_string());
    }
    for daemon in cluster.urls() {
        let current = current_bundle(&daemon).await;
        let revision = current.as_ref().map(|current| current.revision);
        if !revision.as_ref().is_ok_and(|revision| *revision == newest) {
            let evidence = format!("{daemon} ends on {revision:?} instead of {newest}");
            notebook.violation(Guarantee::Bundles, evidence);
        }
    }
}

/// Rolls one more bundle. Repeats the roll if a concurrent one has used the revision.
async fn roll_last(rolls: &Rolls, notebook: &Notebook) {
    let start = Instant::now();
    while let Err(error) = rolls.roll(&rolls.next().await, 0, BOUND).await {
        if start.elapsed() > BOUND {
            return notebook.violation(Guarantee::Recovery, error.to_string());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Repeats a call until it succeeds.
async fn succeeds(notebook: &Notebook, what: &str, call: impl AsyncFn() -> Result<(), LiveError>) {
    let start = Instant::now();
    while let Err(error) = call().await {
        if error.is_violation() {
            notebook.violation(Guarantee::WholeAnswer, format!("{what}: {error}"));
        }
        if start.elapsed() > BOUND {
            return notebook.violation(Guarantee::Recovery, format!("{what}: {error}"));
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
