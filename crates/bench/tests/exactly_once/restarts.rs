//! All daemons are killed together and restarted on their data folders.

use ladderstage_bench::proxy::Faults;

use crate::scenario::{STEP, Scenario, config, pull_options};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_daemons_restarted_in_the_middle_of_a_step() {
    restart_all(Faults::default()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_daemons_restarted_during_a_key_value_outage() {
    let refuse = Faults {
        refuse: true,
        ..Faults::default()
    };
    restart_all(refuse).await;
}

/// Restarts all daemons while the trainer keeps pulling.
async fn restart_all(key_value_faults: Faults) {
    let mut scenario = Scenario::with_submitted_step(&config(3), 30, 40).await;
    scenario.cluster.set_key_value_faults(key_value_faults);
    let spec = scenario.spec.clone();
    let mut trainer = scenario.cluster.trainer(scenario.trainer.name());
    let pulling = tokio::spawn(async move { trainer.pull(STEP, &spec, &pull_options()).await });

    scenario
        .wait_for_owner(|shard| shard.settled > 0 && shard.in_flight > 0)
        .await;
    for daemon in &mut scenario.cluster.daemons {
        daemon.kill();
    }
    for index in scenario.daemons_except(&[]) {
        scenario.cluster.start_daemon(index).await.unwrap();
    }
    let report = pulling.await.unwrap().unwrap();
    scenario.assert_exactly_once(&report);
    assert!(
        report.troubles > 0,
        "the trainer saw no failure: {report:?}"
    );
}
