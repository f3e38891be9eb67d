//! Steps without faults: delivery, version labels and staleness.

use rocket::http::Status;

use crate::nodes::{Cluster, until};
use crate::trainer::{Trainer, log_of, step};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_step_is_delivered_once_with_correct_versions() {
    let cluster = Cluster::start(2, 1, 0).await;
    let mut trainer = Trainer::new(&cluster);
    let step = step(150, 4);
    let opened = trainer.submit("n0", &step).await;
    assert_eq!(opened.status, Status::Ok, "{}", opened.body);
    let again = trainer.submit("n1", &step).await;
    assert_eq!(again.status, Status::Ok, "{}", again.body);
    assert!(again.body.contains("\"was_open\":true"), "{}", again.body);
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 150);
    let after_the_end = trainer.request_samples("n2", 20, 0).await;
    assert!(
        after_the_end.body.contains("\"complete\":true"),
        "{}",
        after_the_end.body
    );
    let resubmitted = trainer.submit("n2", &step).await;
    assert_eq!(resubmitted.status, Status::Ok, "{}", resubmitted.body);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_cursor_gets_the_same_answer_until_it_is_acknowledged() {
    let cluster = Cluster::start(1, 1, 0).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(6, 3)).await;
    let first = trainer.request_samples("n0", 2, 10_000).await;
    assert_eq!(first.status, Status::Ok, "{}", first.body);
    let second = trainer.request_samples("n1", 2, 0).await;
    assert_eq!(first.body, second.body);
    trainer.accept(&first.body, 1);
    let next = trainer.request_samples("n2", 2, 10_000).await;
    assert_eq!(next.status, Status::Ok, "{}", next.body);
    let mut late = Trainer::new(&cluster);
    let superseded = late.request_samples("n0", 2, 0).await;
    assert_eq!(superseded.status, Status::Conflict, "{}", superseded.body);
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 6);
    late.cursor.clear();
    let superseded = late.request_samples("n0", 2, 0).await;
    assert_eq!(superseded.status, Status::Conflict, "{}", superseded.body);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn waiting_samples_that_a_roll_makes_stale_are_replaced() {
    let cluster = Cluster::start(2, 1, 0).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(20, 3)).await;
    until("all samples wait", async || {
        cluster.waiting_samples(&log_of(0)) == 20
    })
    .await;
    let unread = trainer.request_samples("n1", 20, 0).await;
    assert_eq!(unread.status, Status::Ok, "{}", unread.body);
    cluster.bundles.roll(2, 0);
    let stale = trainer.request_samples("n2", 20, 0).await;
    assert!(!stale.body.contains("\"slot\""), "{}", stale.body);
    cluster.engines.order(2, 2).await;
    trainer.finish_anywhere(2).await;
    assert_eq!(trainer.accepted.len(), 20);
    assert!(trainer.accepted.values().all(|attempt| *attempt >= 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_received_before_a_roll_can_be_acknowledged_after_it() {
    let cluster = Cluster::start(1, 1, 0).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(4, 3)).await;
    until("all samples wait", async || {
        cluster.waiting_samples(&log_of(0)) == 4
    })
    .await;
    let before = trainer.request_samples("n1", 20, 0).await;
    trainer.accept(&before.body, 1);
    cluster.bundles.roll(2, 0);
    cluster.engines.order(2, 2).await;
    until("new attempts wait", async || {
        cluster.waiting_samples(&log_of(0)) == 4
    })
    .await;
    trainer.finish_anywhere(2).await;
    assert_eq!(trainer.accepted.len(), 4);
    assert!(trainer.accepted.values().all(|attempt| *attempt == 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_delivered_while_the_newest_bundle_is_unknown() {
    let cluster = Cluster::start(1, 1, 0).await;
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(4, 3)).await;
    until("all samples wait", async || {
        cluster.waiting_samples(&log_of(0)) == 4
    })
    .await;
    cluster.bundles.set_evidence(false);
    let held_back = trainer.request_samples("n1", 20, 20_000).await;
    assert_eq!(held_back.status, Status::ServiceUnavailable);
    assert!(held_back.retry_after.is_some());
    assert!(!held_back.body.contains("\"slot\""), "{}", held_back.body);
    cluster.bundles.set_evidence(true);
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn waiting_samples_that_grow_too_old_are_replaced() {
    let cluster = Cluster::start(1, 1, 0).await;
    cluster.bundles.roll_with_age(1, 0, Some(2));
    let mut trainer = Trainer::new(&cluster);
    trainer.submit("n0", &step(4, 3)).await;
    until("every slot ran again", async || {
        cluster.engines.log(0).await.runs.len() >= 8
    })
    .await;
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 4);
    assert!(trainer.accepted.values().all(|attempt| *attempt >= 2));
}
