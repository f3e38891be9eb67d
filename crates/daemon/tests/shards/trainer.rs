//! Test trainer that calls the nodes over HTTP and checks every accepted answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage_bench::text::verify;
use ladderstage_bench::trainer::{SampleSpec, SamplesAnswer, StepSpec};
use rocket::http::Status;

use crate::nodes::{Cluster, NODES, WAIT_TIMEOUT};
use crate::platform::POOL;

pub const TRAINER: &str = "fjordkarm";
pub const STEP: u64 = 7;

pub struct Trainer {
    cluster: Arc<Cluster>,
    pub cursor: String,
    /// Accepted attempt of each slot.
    pub accepted: BTreeMap<u32, u32>,
    pub complete: bool,
}

/// HTTP status, retry delay in seconds and body of an answer.
pub struct Answer {
    pub status: Status,
    pub retry_after: Option<u64>,
    pub body: String,
}

pub fn step(samples: usize, tokens: u32) -> StepSpec {
    let sample = |slot: usize| SampleSpec {
        prompt: format!("prompt of slot {slot}"),
        max_tokens: tokens,
        expected_tokens: 0,
    };
    StepSpec {
        pool: POOL.to_owned(),
        samples: (0..samples).map(sample).collect(),
    }
}

pub fn log_of(shard: u32) -> String {
    format!("shard/{TRAINER}/{STEP}/{shard}")
}

impl Trainer {
    pub fn new(cluster: &Arc<Cluster>) -> Self {
        Self {
            cluster: cluster.clone(),
            cursor: String::new(),
            accepted: BTreeMap::new(),
            complete: false,
        }
    }

    pub async fn submit(&self, node: &str, step: &StepSpec) -> Answer {
        let body = serde_json::to_string(step).unwrap();
        self.post(node, &format!("/v1/trainers/{TRAINER}/steps/{STEP}"), body)
            .await
    }

    pub async fn post(&self, node: &str, path: &str, body: String) -> Answer {
        let node = self.cluster.node(node);
        let request = node.http.post(path.to_owned()).body(body);
        read(request.dispatch().await).await
    }

    pub async fn get(&self, node: &str, path: &str) -> Answer {
        let node = self.cluster.node(node);
        let request = node.http.get(path.to_owned());
        read(request.dispatch().await).await
    }

    /// Pulls samples after the present cursor without accepting the answer.
    pub async fn request_samples(&self, node: &str, max: usize, wait_ms: u64) -> Answer {
        let cursor = &self.cursor;
        let path = format!(
            "/v1/trainers/{TRAINER}/steps/{STEP}/samples?after={cursor}&max={max}&wait_ms={wait_ms}"
        );
        self.get(node, &path).await
    }

    /// Checks and accepts an answer to the present cursor.
    pub fn accept(&mut self, body: &str, min_version: u64) {
        let answer: SamplesAnswer = serde_json::from_str(body).unwrap();
        for sample in &answer.samples {
            assert_eq!((sample.trainer.as_str(), sample.step), (TRAINER, STEP));
            verify(&sample.prompt, &sample.text, &sample.segments).unwrap();
            let oldest = sample
                .segments
                .iter()
                .map(|segment| segment.weight_version)
                .min();
            assert!(
                oldest.unwrap() >= min_version,
                "stale segments: {:?}",
                sample.segments
            );
            assert!(sample.score.is_some(), "sample without score");
            let earlier = self.accepted.insert(sample.slot, sample.attempt);
            assert_eq!(earlier, None, "slot {} delivered twice", sample.slot);
        }
        self.cursor = answer.cursor;
        self.complete = answer.complete;
    }

    /// Pulls until the step is complete, from the nodes in turn; every third answer is dropped.
    pub async fn finish(&mut self, nodes: &[&str], min_version: u64) {
        let started = Instant::now();
        for round in 0.. {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "accepted: {}",
                self.accepted.len()
            );
            let node = nodes[round % nodes.len()];
            let answer = self.request_samples(node, 20, 500).await;
            match answer.status {
                Status::Ok if round % 3 == 2 => {}
                Status::Ok => self.accept(&answer.body, min_version),
                Status::ServiceUnavailable => {
                    assert!(answer.retry_after.is_some());
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                status => panic!("{status}: {}", answer.body),
            }
            if self.complete {
                return;
            }
        }
    }

    pub async fn finish_anywhere(&mut self, min_version: u64) {
        self.finish(&NODES, min_version).await;
    }
}

async fn read(response: rocket::local::asynchronous::LocalResponse<'_>) -> Answer {
    let retry_after = response.headers().get_one("Retry-After");
    Answer {
        status: response.status(),
        retry_after: retry_after.and_then(|seconds| seconds.parse().ok()),
        body: response.into_string().await.unwrap_or_default(),
    }
}
