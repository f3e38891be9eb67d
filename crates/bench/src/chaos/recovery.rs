//! Recovery after all faults have ended: every daemon has the newest bundle, and live requests
//! succeed.

use std::time::{Duration, Instant};

use reqwest::Method;

use super::evidence::Recorder;
use super::load::BundleRoller;
use super::violation::Guarantee;
use crate::cluster::{APPLICATION_POOL, Cluster, MODEL_POOL, current_bundle};
use crate::live::{Caller, LiveError};

const TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const TOKENS: u64 = 10;

/// Checks that the cluster has recovered.
pub(super) async fn check(cluster: &Cluster, roller: &BundleRoller, recorder: &Recorder) {
    if let Err(error) = cluster.wait_until_all_ready().await {
        recorder.record_violation(Guarantee::Recovery, error.to_string());
    }
    check_bundles(cluster, roller, recorder).await;
    for (index, daemon) in cluster.urls().iter().enumerate() {
        for stream in [false, true] {
            let prompt = format!("recovery {index} {stream}");
            let caller = Caller::new(daemon);
            let call = async || {
                let completion = caller.complete(MODEL_POOL, &prompt, TOKENS, stream);
                completion.await.map(drop)
            };
            retry_until_success(recorder, &prompt, call).await;
        }
        let body = format!("recovery {index}");
        let caller = Caller::new(daemon);
        let call = async || {
            let request = caller.application(APPLICATION_POOL, Method::POST, "price", &body);
            request.await.map(drop)
        };
        retry_until_success(recorder, &body, call).await;
    }
}

async fn check_bundles(cluster: &Cluster, roller: &BundleRoller, recorder: &Recorder) {
    roll_last(roller, recorder).await;
    let newest = roller.newest_accepted();
    let operator = cluster.operator();
    if let Err(error) = operator
        .wait_until_in_force_everywhere(newest, TIMEOUT)
        .await
    {
        recorder.record_violation(Guarantee::Bundles, error.to_string());
    }
    for daemon in cluster.urls() {
        let current = current_bundle(&daemon).await;
        let revision = current.as_ref().map(|current| current.revision);
        if !revision.as_ref().is_ok_and(|revision| *revision == newest) {
            let evidence = format!("{daemon} has revision {revision:?} instead of {newest}");
            recorder.record_violation(Guarantee::Bundles, evidence);
        }
    }
}

/// Rolls one more bundle. Repeats the roll if a concurrent one has used the revision.
async fn roll_last(roller: &BundleRoller, recorder: &Recorder) {
    let start = Instant::now();
    while let Err(error) = roller.roll(&roller.next().await, 0, TIMEOUT).await {
        if start.elapsed() > TIMEOUT {
            return recorder.record_violation(Guarantee::Recovery, error.to_string());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Repeats a call until it succeeds.
async fn retry_until_success(
    recorder: &Recorder,
    name: &str,
    call: impl AsyncFn() -> Result<(), LiveError>,
) {
    let start = Instant::now();
    while let Err(error) = call().await {
        if error.is_violation() {
            recorder.record_violation(Guarantee::WholeAnswer, format!("{name}: {error}"));
        }
        if start.elapsed() > TIMEOUT {
            return recorder.record_violation(Guarantee::Recovery, format!("{name}: {error}"));
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
