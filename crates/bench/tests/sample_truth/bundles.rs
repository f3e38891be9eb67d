//! Bundles that come into force while samples wait: samples that they do not allow are not
//! delivered.

use std::time::{Duration, Instant};

use ladderstage_bench::cluster::ClusterConfig;
use ladderstage_bench::http_client;
use ladderstage_bench::proxy::Faults;
use ladderstage_bench::trainer::{SamplesAnswer, SingleAnswer};

use crate::scenario::{STEP, Scenario, TIMEOUT, attempts, config};
use crate::support::{
    BEYOND_BOUND, MAX, OLDEST_ADMITTED, REFUSE, SWALLOW, assert_none_older, slow_takeover_config,
    wait_until_evidence_expires,
};

const SAMPLES: u32 = 24;
const TOKENS: u32 = 10;
/// Returns a scenario whose samples are all committed with weight version 1, and its owner.
async fn all_committed(config: &ClusterConfig) -> (Scenario, usize) {
    let scenario = Scenario::with_submitted_step(config, SAMPLES, TOKENS).await;
    let owner = scenario.wait_for_all_committed().await;
    (scenario, owner)
}

/// Asserts that the answers have no attempt in common.
fn assert_disjoint(first: &SamplesAnswer, second: &SamplesAnswer) {
    let first = attempts(first);
    let repeated = attempts(second)
        .into_iter()
        .find(|attempt| first.contains(attempt));
    assert_eq!(repeated, None, "stale attempt delivered again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn committed_samples_that_became_stale_are_regenerated() {
    let (mut scenario, _) = all_committed(&config(3)).await;
    scenario.roll_beyond_staleness_bound().await;
    let checker = scenario.checker();
    scenario.assert_rest_is_not_stale(checker, None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_tightened_bound_alone_makes_samples_stale() {
    let (mut scenario, _) = all_committed(&config(3)).await;
    let mut bundle = scenario.cluster.bundle(2, 2);
    scenario.roll(&bundle).await;
    let still_admitted = scenario.pull_samples(0, None, MAX).await;
    assert_eq!(still_admitted.bundle_revision, 2);
    assert_none_older(&SingleAnswer::Success(still_admitted.clone()), 1);

    bundle.revision = 3;
    bundle.pools[0].staleness_bound = 0;
    scenario.roll(&bundle).await;
    let replacement = scenario.pull_samples(1, None, MAX).await;
    assert_disjoint(&still_admitted, &replacement);
    let report = scenario.pull_all().await;
    scenario.assert_exactly_once(&report);
    assert_eq!(report.weight_versions, [2].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delivered_samples_that_became_stale_are_not_repeated() {
    let (mut scenario, _) = all_committed(&config(3)).await;
    let lost = scenario.pull_samples(0, None, MAX).await;
    scenario.roll_beyond_staleness_bound().await;
    let replacement = scenario.pull_samples(1, None, MAX).await;
    assert_disjoint(&lost, &replacement);
    assert_none_older(&SingleAnswer::Success(replacement.clone()), OLDEST_ADMITTED);

    let mut checker = scenario.checker();
    let cursor = replacement.cursor.clone();
    checker.add_answer(replacement, Instant::now());
    scenario.pull_samples(2, Some(&cursor), MAX).await;
    let outdated_cursor = scenario.pull_once(0, Some(&lost.cursor), MAX).await;
    let status = outdated_cursor.status().map(|status| status.as_u16());
    assert_eq!(status, Some(409), "{outdated_cursor:?}");
    scenario
        .assert_rest_is_not_stale(checker, Some(cursor))
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn samples_acknowledged_before_they_became_stale_count() {
    let (mut scenario, _) = all_committed(&config(3)).await;
    let mut checker = scenario.checker();
    let asked_at = Instant::now();
    let taken = scenario.pull_samples(0, None, MAX).await;
    let cursor = taken.cursor.clone();
    checker.add_answer(taken, asked_at);
    scenario.roll_beyond_staleness_bound().await;
    // This answer, which the trainer loses, replaces the stale samples by new attempts.
    scenario.pull_samples(1, None, MAX).await;

    let report = scenario.pull_rest(checker, Some(cursor)).await;
    scenario.assert_exactly_once(&report);
    assert_eq!(report.bundle_revisions, [1, BEYOND_BOUND].into());
    assert!(report.weight_versions.contains(&1), "{report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bundle_accepted_just_before_an_outage_makes_samples_stale() {
    let (mut scenario, _) = all_committed(&slow_takeover_config()).await;
    let lost = scenario.pull_samples(0, None, MAX).await;
    scenario.roll(&scenario.cluster.bundle(2, 2)).await;
    let bundle = scenario.cluster.bundle(BEYOND_BOUND, BEYOND_BOUND);
    scenario.cluster.roll(&bundle).await.unwrap();
    scenario.cluster.set_key_value_faults(REFUSE);
    let outage_start = Instant::now();
    let operator = scenario.cluster.operator();
    operator
        .wait_until_in_force_everywhere(BEYOND_BOUND, TIMEOUT)
        .await
        .unwrap();
    wait_until_evidence_expires(outage_start).await;

    // From here on only the replicas can confirm that this bundle is the newest.
    let replacement = scenario.pull_samples(1, None, MAX).await;
    assert_disjoint(&lost, &replacement);
    let checker = scenario.checker();
    scenario.assert_rest_is_not_stale(checker, None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_zone_holds_its_deliveries_back() {
    let mut config = slow_takeover_config();
    config.daemons[2].zone = "forde".to_owned();
    let (mut scenario, owner) = all_committed(&config).await;
    scenario.cluster.set_peer_faults(owner, SWALLOW);
    scenario.cluster.daemons[owner].key_value.set(SWALLOW);
    let partition_start = Instant::now();
    let others = scenario.daemons_except(&[owner]);
    scenario.roll_beyond_staleness_bound_among(&others).await;
    wait_until_evidence_expires(partition_start).await;
    assert_refused_early(&scenario, owner).await;

    scenario.cluster.set_peer_faults(owner, Faults::default());
    scenario.cluster.daemons[owner].key_value.heal();
    let checker = scenario.checker();
    scenario.assert_rest_is_not_stale(checker, None).await;
}

/// Asserts that a pull is refused with `Retry-After` well before the end of its long poll.
async fn assert_refused_early(scenario: &Scenario, daemon: usize) {
    let url = format!(
        "{}/v1/trainers/{}/steps/{STEP}/samples?max={MAX}&wait_ms=30000",
        scenario.cluster.daemons[daemon].url(),
        scenario.trainer.name()
    );
    let request = http_client().get(url).timeout(Duration::from_secs(15));
    let answer = request.send().await.unwrap();
    let status = answer.status().as_u16();
    let has_retry_after = answer.headers().contains_key("Retry-After");
    let body = answer.text().await.unwrap();
    assert_eq!((status, has_retry_after), (503, true), "{body}");
    // The refusal must come from the age of the bundle evidence, not from a journal timeout.
    assert!(body.contains("held back"), "{body}");
}
