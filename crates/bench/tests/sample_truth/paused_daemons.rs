//! Daemons that are paused while a bundle comes into force deliver no stale samples when they
//! resume.

use std::time::{Duration, Instant};

use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::engine::EngineFaults;

use crate::scenario::Scenario;
use crate::support::{
    FREEZE, OLDEST_ADMITTED, SWALLOW, assert_none_older, slow_takeover_config,
    wait_until_evidence_expires,
};

const SAMPLES: u32 = 24;
const TOKENS: u32 = 10;
/// Long poll time that exceeds the pause.
const LONG_WAIT: Duration = Duration::from_secs(8);
const WAITING_PULLS: usize = 4;
/// Time for a pull to reach the owner; no check depends on it.
const PULL_DELAY: Duration = Duration::from_millis(500);

/// Rolls beyond the staleness bound while a daemon is paused, and waits until its bundle evidence
/// is too old.
async fn roll_during_pause(scenario: &Scenario, paused: usize, paused_since: Instant) {
    let others = scenario.daemons_except(&[paused]);
    scenario.roll_beyond_staleness_bound_among(&others).await;
    wait_until_evidence_expires(paused_since).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_owner_delivers_no_stale_samples() {
    let mut config = slow_takeover_config();
    // Neither probes nor heartbeats bring it newer bundles before it answers; its evidence comes
    // from the key-value service.
    let long_intervals = [
        ("probe_interval_ms", 4_000),
        ("suspicion_ms", 20_000),
        ("owner_heartbeat_ms", 20_000),
    ];
    let long_intervals = long_intervals.map(|(name, value)| (name.to_owned(), value));
    config.timing.extend(long_intervals);
    let mut scenario = Scenario::with_submitted_step(&config, SAMPLES, TOKENS).await;
    let owner = scenario.wait_for_all_committed().await;
    scenario.cluster.daemons[owner].pause();
    let paused_since = Instant::now();
    let waiting: Vec<_> = (0..WAITING_PULLS)
        .map(|_| scenario.long_poll_in_background(owner, LONG_WAIT))
        .collect();
    // Pushes to the owner are lost: when it resumes, it reaches the journal's majority but does not
    // know the new bundles.
    scenario.cluster.set_peer_faults(owner, SWALLOW);
    scenario.cluster.daemons[owner].key_value.set(FREEZE);
    roll_during_pause(&scenario, owner, paused_since).await;
    scenario.cluster.set_peer_faults(owner, Faults::default());
    scenario.cluster.daemons[owner].resume();
    for pull in waiting {
        assert_none_older(&pull.await.unwrap(), OLDEST_ADMITTED);
    }
    scenario.cluster.daemons[owner].key_value.heal();
    let checker = scenario.checker();
    scenario.assert_rest_is_not_stale(checker, None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_daemon_forwards_no_stale_answer() {
    let mut scenario =
        Scenario::with_unsubmitted_step(&slow_takeover_config(), SAMPLES, TOKENS).await;
    let stall = EngineFaults {
        stall: true,
        ..EngineFaults::default()
    };
    scenario.set_all_engine_faults(&stall).await;
    scenario.submit().await;
    let owner = scenario.wait_for_owner(|shard| shard.in_flight > 0).await;
    let puller = scenario.daemons_except(&[owner])[0];
    let pull = scenario.long_poll_in_background(puller, LONG_WAIT);
    tokio::time::sleep(PULL_DELAY).await;
    // Holds the owner's answer in the link until the puller is paused.
    scenario.cluster.set_link_faults(owner, puller, FREEZE);
    scenario
        .set_all_engine_faults(&EngineFaults::default())
        .await;
    scenario
        .wait_for_owner_among(&[owner], |shard| shard.committed > 0)
        .await;
    scenario.cluster.daemons[puller].pause();
    let paused_since = Instant::now();
    scenario
        .cluster
        .set_link_faults(owner, puller, Faults::default());
    roll_during_pause(&scenario, puller, paused_since).await;
    scenario.cluster.daemons[puller].resume();
    assert_none_older(&pull.await.unwrap(), OLDEST_ADMITTED);
    let checker = scenario.checker();
    scenario.assert_rest_is_not_stale(checker, None).await;
}
