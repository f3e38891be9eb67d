//! Requests that the trainers' HTTP interface refuses.

use rocket::http::Status;

use crate::nodes::Cluster;
use crate::trainer::{STEP, TRAINER, Trainer, step};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_requests_are_refused_with_the_invalid_field() {
    let cluster = Cluster::start(1, 1, 0).await;
    let trainer = Trainer::new(&cluster);
    let path = format!("/v1/trainers/{TRAINER}/steps/{STEP}");
    let cases = [
        ("{", Status::BadRequest, "line 1 column 1"),
        (
            r#"{"pool":"karm-lm","samples":[],"x":1}"#,
            Status::BadRequest,
            "unknown field",
        ),
        (
            r#"{"pool":"nowhere","samples":[{"prompt":"p","max_tokens":0}]}"#,
            Status::BadRequest,
            "pool: is not in the bundle in force; samples[0].max_tokens",
        ),
    ];
    for (body, status, detail) in cases {
        let answer = trainer.post("n0", &path, body.to_owned()).await;
        assert_eq!(answer.status, status, "{body}: {}", answer.body);
        assert!(answer.body.contains(detail), "{body}: {}", answer.body);
        assert!(answer.retry_after.is_some());
    }
    let oversize = trainer.post("n0", &path, " ".repeat(9 * 1024 * 1024)).await;
    assert_eq!(oversize.status, Status::PayloadTooLarge);
    for path in [
        "/v1/trainers/a%2Fb/steps/1",
        "/v1/trainers/..%20/steps/1",
        "/v1/trainers/a/steps/x",
    ] {
        let answer = trainer.get("n0", path).await;
        assert_eq!(answer.status, Status::BadRequest, "{path}");
    }
    let unknown = trainer.get("n0", &format!("{path}/samples")).await;
    assert_eq!(unknown.status, Status::NotFound, "{}", unknown.body);
    for query in ["after=0-1.abcdef", "max=0", "max=many", "wait_ms=-1"] {
        let answer = trainer.get("n0", &format!("{path}/samples?{query}")).await;
        assert_eq!(answer.status, Status::BadRequest, "{query}");
        let place = query.split('=').next().unwrap();
        assert!(answer.body.contains(place), "{query}: {}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_body_under_the_same_step_is_a_conflict() {
    let cluster = Cluster::start(1, 1, 0).await;
    let mut trainer = Trainer::new(&cluster);
    let mine = trainer.submit("n0", &step(140, 2)).await;
    assert_eq!(mine.status, Status::Ok, "{}", mine.body);
    for node in ["n0", "n1", "n2"] {
        let other = trainer.submit(node, &step(141, 2)).await;
        assert_eq!(other.status, Status::Conflict, "{}", other.body);
    }
    trainer.finish_anywhere(1).await;
    assert_eq!(trainer.accepted.len(), 140);
}
