//! Answers that are lost on their way to the trainer.

use std::time::Instant;

use ladderstage_bench::proxy::Faults;
use ladderstage_bench::trainer::SingleAnswer;

use crate::scenario::{Scenario, attempts, config};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_is_repeated_after_owner_and_pulling_daemon_are_killed() {
    let mut scenario = Scenario::submitted(&config(5), 24, 20).await;
    let owner = scenario.owner(|shard| shard.committed > 8).await;
    let puller = scenario.all_but(&[owner])[0];
    let lost = scenario.answer(puller, None, 8).await;
    scenario.cluster.daemons[owner].kill();
    scenario.cluster.daemons[puller].kill();

    let alive = scenario.all_but(&[owner, puller]);
    let again = scenario.answer(alive[0], None, 8).await;
    assert_eq!(attempts(&again), attempts(&lost));
    assert_eq!(again.cursor, lost.cursor);

    let mut judge = scenario.judge();
    let cursor = again.cursor.clone();
    judge.take(again, Instant::now());
    let report = scenario.pull_rest(judge, Some(cursor)).await;
    scenario.assert_exactly_once(&report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_cut_on_its_way_is_repeated_by_the_other_daemons() {
    let mut scenario = Scenario::submitted(&config(3), 24, 10).await;
    scenario.owner_with_all_committed().await;
    let runs = scenario.runs_so_far().await;
    let in_the_body = Faults {
        cut_after_bytes: Some(700),
        ..Faults::default()
    };
    let front = &scenario.cluster.daemons[0].front;
    front.set(in_the_body);
    let cut = scenario.ask(0, None, 8).await;
    assert!(matches!(cut, SingleAnswer::Lost(_)), "got {cut:?}");
    front.heal();

    let second = scenario.answer(1, None, 8).await;
    let third = scenario.answer(2, None, 8).await;
    assert_eq!(attempts(&second), attempts(&third));
    assert_eq!(second.cursor, third.cursor);

    let mut judge = scenario.judge();
    let cursor = third.cursor.clone();
    judge.take(third, Instant::now());
    let report = scenario.pull_rest(judge, Some(cursor)).await;
    scenario.assert_exactly_once(&report);
    scenario.assert_nothing_generated_since(runs).await;
}
