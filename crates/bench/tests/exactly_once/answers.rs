//! Answers that are lost on their way to the trainer.

use std::time::Instant;

use ladderstage_bench::proxy::Faults;
use ladderstage_bench::trainer::SingleAnswer;

use crate::scenario::{Scenario, attempts, config};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_is_repeated_after_owner_and_pulling_daemon_are_killed() {
    let mut scenario = Scenario::with_submitted_step(&config(5), 24, 20).await;
    let owner = scenario.wait_for_owner(|shard| shard.committed > 8).await;
    let puller = scenario.daemons_except(&[owner])[0];
    let lost = scenario.pull_samples(puller, None, 8).await;
    scenario.cluster.daemons[owner].kill();
    scenario.cluster.daemons[puller].kill();

    let alive = scenario.daemons_except(&[owner, puller]);
    let again = scenario.pull_samples(alive[0], None, 8).await;
    assert_eq!(attempts(&again), attempts(&lost));
    assert_eq!(again.cursor, lost.cursor);

    let mut checker = scenario.checker();
    let cursor = again.cursor.clone();
    checker.add_answer(again, Instant::now());
    let report = scenario.pull_rest(checker, Some(cursor)).await;
    scenario.assert_exactly_once(&report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_answer_is_repeated_by_the_other_daemons() {
    let mut scenario = Scenario::with_submitted_step(&config(3), 24, 10).await;
    scenario.wait_for_all_committed().await;
    let runs = scenario.wait_for_idle_engines().await;
    let in_the_body = Faults {
        cut_after_bytes: Some(700),
        ..Faults::default()
    };
    let front = &scenario.cluster.daemons[0].front;
    front.set(in_the_body);
    let cut = scenario.pull_once(0, None, 8).await;
    assert!(matches!(cut, SingleAnswer::Lost(_)), "got {cut:?}");
    front.heal();

    let second = scenario.pull_samples(1, None, 8).await;
    let third = scenario.pull_samples(2, None, 8).await;
    assert_eq!(attempts(&second), attempts(&third));
    assert_eq!(second.cursor, third.cursor);

    let mut checker = scenario.checker();
    let cursor = third.cursor.clone();
    checker.add_answer(third, Instant::now());
    let report = scenario.pull_rest(checker, Some(cursor)).await;
    scenario.assert_exactly_once(&report);
    scenario.assert_no_runs_since(runs).await;
}
