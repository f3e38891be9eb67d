//! Steps during faults of engines, owners, the journal and the scorer.

use std::time::Duration;

use ladderstage_bench::stand_in::CutPoint;
use ladderstage_bench::stand_in::engine::EngineFaults;
use ladderstage_bench::stand_in::scorer::ScorerFaults;
use ladderstage_wire::messages::PullShard;
use ladderstage_wire::messages::mod_PullShardReply::Outcome;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use rocket::http::Status;

use crate::nodes::{Cluster, NODES, until};
use crate::trainer::{Trainer, log_of, step};

fn others(node: &str) -> Vec<&'static str> {
    NODES.into_iter().filter(|name| *name != node).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_interrupted_stream_is_resumed_with_correct_versions() {
    let cluster = Cluster::start(2, 1, 1).await;
    let faults = EngineFaults {
        cut: Some(CutPoint::MidBody),
        cuts: 10,
        ..EngineFaults::default()
    };
    cluster.engines.set_faults(0, &faults).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(30, 6)).await;
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 30);
    assert!(cluster.engines.failures() >= 10);
    let resumed = async |index| {
        let log = cluster.engines.log(index).await;
        log.runs.iter().any(|run| run.first_token > 0)
    };
    assert!(
        resumed(0).await || resumed(1).await,
        "no engine resumed a sample"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_sample_without_a_weight_version_is_generated_again() {
    let cluster = Cluster::start(2, 1, 0).await;
    let faults = EngineFaults {
        omit_weight_version: true,
        ..EngineFaults::default()
    };
    cluster.engines.set_faults(0, &faults).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(10, 3)).await;
    until("an attempt was discarded", async || {
        cluster.engines.failures() > 0
    })
    .await;
    cluster
        .engines
        .set_faults(0, &EngineFaults::default())
        .await;
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 10);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_successor_continues_after_its_owner_is_disconnected() {
    let cluster = Cluster::start(2, 1, 1).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(40, 6)).await;
    let owner = cluster.owner(&log_of(0), &NODES).await;
    let first = trainer.request_samples(&owner, 5, 10_000).await;
    trainer.accept(&first.body, 1);
    let unread = trainer.request_samples(&owner, 5, 10_000).await;
    assert_eq!(unread.status, Status::Ok, "{}", unread.body);
    cluster.set_disconnected(&[&owner]);
    let rest = others(&owner);
    let successor = cluster.owner(&log_of(0), &rest).await;
    assert_ne!(successor, owner);
    let repeated = trainer.request_samples(&successor, 5, 10_000).await;
    trainer.accept(&repeated.body, 1);
    cluster.set_disconnected(&[]);
    until("the old owner released the shard", async || {
        cluster.node(&owner).shards.describe().is_empty()
    })
    .await;
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 40);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_owner_without_a_quorum_refuses_pulls_and_loses_no_samples() {
    let cluster = Cluster::start(2, 1, 1).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(100, 30)).await;
    let owner = cluster.owner(&log_of(0), &NODES).await;
    until("samples wait", async || {
        cluster.waiting_samples(&log_of(0)) > 2
    })
    .await;
    cluster.set_disconnected(&NODES);
    until("a pull is refused", async || {
        let answer = trainer.request_samples(&owner, 1, 0).await;
        answer.status == Status::ServiceUnavailable && answer.retry_after.is_some()
    })
    .await;
    let not_known = trainer.get("n0", "/v1/trainers/other/steps/1").await;
    assert_eq!(
        not_known.status,
        Status::ServiceUnavailable,
        "{}",
        not_known.body
    );
    cluster.set_disconnected(&[]);
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 100);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_draining_owner_hands_over_at_once() {
    let cluster = Cluster::start(2, 1, 1).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(30, 6)).await;
    let owner = cluster.owner(&log_of(0), &NODES).await;
    let first = trainer.request_samples(&owner, 5, 10_000).await;
    trainer.accept(&first.body, 1);
    let draining = cluster.node(&owner);
    let waiting = trainer.request_samples(&owner, 20, 20_000);
    let (waited, ()) = tokio::join!(waiting, draining.shards.drain());
    assert!(matches!(
        waited.status,
        Status::Ok | Status::ServiceUnavailable
    ));
    assert!(draining.shards.describe().is_empty());
    let refused = trainer
        .post(&owner, "/v1/trainers/t/steps/1", body(&step(1, 1)))
        .await;
    assert_eq!(
        refused.status,
        Status::ServiceUnavailable,
        "{}",
        refused.body
    );
    trainer.finish(&others(&owner), 1).await;
    assert_eq!(trainer.accepted.len(), 30);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn evidence_that_expires_during_a_commit_holds_the_delivery_back() {
    let cluster = Cluster::start(1, 1, 0).await;
    let trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(4, 3)).await;
    until("all samples wait", async || {
        cluster.waiting_samples(&log_of(0)) == 4
    })
    .await;
    let owner = cluster.owner(&log_of(0), &NODES).await;
    let node = cluster.node(&owner);
    cluster.slow_down(Duration::from_millis(300));
    let pull = PullShard {
        log: log_of(0),
        max_samples: 4,
        ..PullShard::default()
    };
    let age = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.bundles.set_evidence(false);
    };
    let (response, ()) = tokio::join!(node.shards.handle_pull_shard(pull), age);
    let ResponseKind::pull_shard(reply) = response.kind else {
        panic!("{response:?}");
    };
    assert_eq!(reply.outcome, Outcome::HELD_BACK);
    assert!(reply.samples.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stalled_stream_is_resumed_elsewhere() {
    let cluster = Cluster::start(2, 1, 0).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(16, 200)).await;
    until("the first engine generates", async || {
        let runs = cluster.engines.log(0).await.runs;
        runs.iter().any(|run| run.end_token > 0)
    })
    .await;
    let stall = EngineFaults {
        stall: true,
        ..EngineFaults::default()
    };
    cluster.engines.set_faults(0, &stall).await;
    until("a stalled sample was resumed", async || {
        let runs = cluster.engines.log(1).await.runs;
        runs.iter().any(|run| run.first_token > 0)
    })
    .await;
    cluster
        .engines
        .set_faults(0, &EngineFaults::default())
        .await;
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 16);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failing_scorer_is_called_again() {
    let cluster = Cluster::start(1, 1, 0).await;
    let faults = ScorerFaults {
        errors: 8,
        ..ScorerFaults::default()
    };
    let url = format!("{}/control/fault", cluster.scorer.url());
    let set = reqwest::Client::new().post(url).json(&faults).send().await;
    assert!(set.unwrap().status().is_success());
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(6, 3)).await;
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 6);
    assert_eq!(
        cluster.engines.log(0).await.runs.len(),
        6,
        "a sample was generated again"
    );
}

fn body(step: &ladderstage_bench::trainer::StepSpec) -> String {
    serde_json::to_string(step).unwrap()
}
