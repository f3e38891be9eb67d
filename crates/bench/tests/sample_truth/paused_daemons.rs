//! Daemons that are paused while a bundle comes into force deliver no stale samples when they
//! resume.

use std::time::{Duration, Instant};

use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::engine::EngineFaults;

use crate::scenario::Scenario;
use crate::support::{
    FREEZE, OLDEST_ADMITTED, SWALLOW, assert_none_older, evidence_is_too_old, slow_takeover_config,
};

const SAMPLES: u32 = 24;
const TOKENS: u32 = 10;
/// Long poll time that exceeds the pause.
const LONG_WAIT: Duration = Duration::from_secs(8);
const WAITING_PULLS: usize = 4;
/// Time for a pull to reach the owner; no check depends on it.
const PULL_UNDER_WAY: Duration = Duration::from_millis(500);

/// Rolls beyond the staleness bound while a daemon is paused, and waits until its bundle evidence
/// is too old.
async fn roll_during_sleep(scenario: &Scenario, sleeper: usize, asleep_since: Instant) {
    let others = scenario.all_but(&[sleeper]);
    scenario.roll_beyond_bound_among(&others).await;
    evidence_is_too_old(asleep_since).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_woken_owner_hands_out_nothing_stale() {
    let mut config = slow_takeover_config();
    // Neither probes nor heartbeats bring it newer bundles before it answers; its evidence comes
    // from the key-value service.
    let rarely = [
        ("probe_interval_ms", 4_000),
        ("suspicion_ms", 20_000),
        ("owner_heartbeat_ms", 20_000),
    ];
    let rarely = rarely.map(|(name, value)| (name.to_owned(), value));
    config.timing.extend(rarely);
    let mut scenario = Scenario::submitted(&config, SAMPLES, TOKENS).await;
    let owner = scenario.owner_with_all_committed().await;
    scenario.cluster.daemons[owner].pause();
    let asleep_since = Instant::now();
    let waiting: Vec<_> = (0..WAITING_PULLS)
        .map(|_| scenario.wait_in_background(owner, LONG_WAIT))
        .collect();
    // Pushes to the owner are lost: when it resumes, it reaches the journal's majority but does not
    // know the new bundles.
    scenario.cluster.set_peer_faults(owner, SWALLOW);
    scenario.cluster.daemons[owner].key_value.set(FREEZE);
    roll_during_sleep(&scenario, owner, asleep_since).await;
    scenario.cluster.set_peer_faults(owner, Faults::default());
    scenario.cluster.daemons[owner].resume();
    for pull in waiting {
        assert_none_older(&pull.await.unwrap(), OLDEST_ADMITTED);
    }
    scenario.cluster.daemons[owner].key_value.heal();
    let judge = scenario.judge();
    scenario.assert_rest_is_fresh(judge, None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_woken_daemon_passes_no_stale_answer_on() {
    let mut scenario = Scenario::prepared(&slow_takeover_config(), SAMPLES, TOKENS).await;
    let stall = EngineFaults {
        stall: true,
        ..EngineFaults::default()
    };
    scenario.fault_engines(&stall).await;
    scenario.submit().await;
    let owner = scenario.owner(|shard| shard.in_flight > 0).await;
    let puller = scenario.all_but(&[owner])[0];
    let pull = scenario.wait_in_background(puller, LONG_WAIT);
    tokio::time::sleep(PULL_UNDER_WAY).await;
    // Holds the owner's answer in the link until the puller is paused.
    scenario.cluster.set_link_faults(owner, puller, FREEZE);
    scenario.fault_engines(&EngineFaults::default()).await;
    scenario
        .owner_among(&[owner], |shard| shard.committed > 0)
        .await;
    scenario.cluster.daemons[puller].pause();
    let asleep_since = Instant::now();
    scenario
        .cluster
        .set_link_faults(owner, puller, Faults::default());
    roll_during_sleep(&scenario, puller, asleep_since).await;
    scenario.cluster.daemons[puller].resume();
    assert_none_older(&pull.await.unwrap(), OLDEST_ADMITTED);
    let judge = scenario.judge();
    scenario.assert_rest_is_fresh(judge, None).await;
}
