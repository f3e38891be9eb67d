//! Steps that are submitted more than once.

use std::time::Instant;

use ladderstage_bench::cluster::MODEL_POOL;
use ladderstage_bench::trainer::{SingleAnswer, StepSpec};
use reqwest::StatusCode;

use crate::scenario::{STEP, Scenario, TIMEOUT, config};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn step_submitted_again_across_owner_failures() {
    let mut scenario = Scenario::with_submitted_step(&config(3), 24, 30).await;
    for _ in 0..2 {
        scenario.assert_only_first_body_is_accepted().await;
        let owner = scenario.wait_for_owner(|_| true).await;
        scenario.cluster.daemons[owner].kill();
        scenario.assert_only_first_body_is_accepted().await;
        scenario.cluster.start_daemon(owner).await.unwrap();
    }
    let report = scenario.pull_all().await;
    scenario.assert_exactly_once(&report);
    scenario.assert_only_first_body_is_accepted().await;
}

impl Scenario {
    /// Asserts that every running daemon accepts the same body again and refuses others as a
    /// conflict.
    pub async fn assert_only_first_body_is_accepted(&self) {
        let longer = StepSpec::generate(MODEL_POOL, STEP, 300, 10);
        let mut reworded = self.spec.clone();
        reworded.samples[7].prompt.push('!');
        let daemons = self.cluster.daemons.iter();
        for daemon in daemons.filter(|daemon| daemon.process.is_some()) {
            let url = daemon.url();
            assert_eq!(self.final_status(&url, &self.spec).await, StatusCode::OK);
            for other in [&longer, &reworded] {
                let status = self.final_status(&url, other).await;
                assert_eq!(status, StatusCode::CONFLICT, "through {}", daemon.name());
            }
        }
    }

    /// Submits until the answer is not a server error; returns its status.
    async fn final_status(&self, daemon: &str, spec: &StepSpec) -> StatusCode {
        let start = Instant::now();
        loop {
            let answer = self.trainer.submit_at(daemon, STEP, spec).await;
            match answer.status() {
                Some(status) if !status.is_server_error() => return status,
                _ => assert!(start.elapsed() < TIMEOUT, "no answer in time: {answer:?}"),
            }
            if let SingleAnswer::Lost(_) = answer {
                tokio::task::yield_now().await;
            }
        }
    }
}
