//! Work of all kinds in flight at one daemon, and the back ends' runs of it.

use std::time::Duration;

use ladderstage::ids::ShardKey;
use ladderstage_bench::cluster::{APPLICATION_POOL, Cluster, ClusterConfig, MODEL_POOL, Timing};
use ladderstage_bench::live::{Caller, LiveError};
use ladderstage_bench::stand_in::Ending;
use ladderstage_bench::stand_in::application::{ApplicationFaults, ApplicationLog};
use ladderstage_bench::stand_in::engine::EngineLog;
use ladderstage_bench::text::prompt_digest;
use ladderstage_bench::trainer::{SamplesAnswer, SingleAnswer, StepSpec};
use ladderstage_bench::waiting::until;
use reqwest::Method;
use tokio::task::JoinHandle;

use crate::{STEP, TIMEOUT, assert_answered};

/// Trainer whose step does not finish while its pulls wait.
const WAITING_TRAINER: &str = "trainer-3";
const REQUESTS_PER_KIND: usize = 3;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const LONG_TOKENS: u64 = 250;
const APPLICATION_DELAY_MS: u64 = 3_000;
/// Tokens of a sample that is not committed during the test.
const ENDLESS_TOKENS: u32 = 6_000;
const PULL_WAIT: Duration = Duration::from_secs(20);

/// Returns a configuration of three daemons with a failure detection time of about a second, and
/// two slow engines.
pub fn config() -> ClusterConfig {
    let timing = [
        ("probe_interval_ms", 300),
        ("suspicion_ms", 900),
        ("owner_heartbeat_ms", 150),
        ("owner_timeout_ms", 900),
    ];
    let mut config = ClusterConfig {
        timing: Timing::from(timing.map(|(name, value)| (name.to_owned(), value))),
        ..ClusterConfig::three_daemons(2)
    };
    for engine in &mut config.engines {
        engine.token_interval = TOKEN_INTERVAL;
        engine.capacity = 32;
    }
    config
}

/// Returns the name of the journal log of a step's first shard.
pub fn shard_log(trainer: &str, step: u64) -> String {
    let key = ShardKey {
        trainer: trainer.to_owned(),
        step,
        shard: 0,
    };
    key.log()
}

/// Runs of all back ends.
pub struct Runs {
    /// Prompt digest and ending of each completion.
    completions: Vec<(String, Ending)>,
    /// Body and ending of each application request.
    applications: Vec<(String, Ending)>,
}

impl Runs {
    pub async fn read(cluster: &Cluster) -> Self {
        let mut completions = Vec::new();
        for engine in &cluster.platform.engines {
            let log: EngineLog = engine.stand_in.log().await.unwrap();
            let runs = log.runs.into_iter();
            completions.extend(runs.map(|run| (run.prompt_digest, run.ending)));
        }
        let mut applications = Vec::new();
        for application in &cluster.platform.applications {
            let log: ApplicationLog = application.stand_in.log().await.unwrap();
            let runs = log.runs.into_iter();
            applications.extend(runs.map(|run| (run.body, run.ending)));
        }
        Self {
            completions,
            applications,
        }
    }

    /// Returns the ending of each run of the request with this prompt or body.
    pub fn endings(&self, text: &str) -> Vec<Ending> {
        let digest = prompt_digest(text);
        let completions = self.completions.iter().filter(|run| run.0 == digest);
        let applications = self.applications.iter().filter(|run| run.0 == text);
        completions.chain(applications).map(|run| run.1).collect()
    }
}

/// A live request in flight.
struct LiveRequest {
    text: String,
    result: JoinHandle<Result<(), LiveError>>,
}

/// Work in flight at one daemon.
pub struct Work {
    live: Vec<LiveRequest>,
    pulls: Vec<JoinHandle<SingleAnswer<SamplesAnswer>>>,
}

impl Work {
    /// Starts streamed and unstreamed completions, application requests with and without a key, and
    /// pulls; returns once the back ends run all of them.
    pub async fn start(cluster: &Cluster, daemon: usize) -> Self {
        let url = cluster.daemons[daemon].url();
        slow_applications(cluster).await;
        let mut live = Vec::new();
        for number in 0..REQUESTS_PER_KIND {
            live.push(completion(&url, number, true));
            live.push(completion(&url, number, false));
            live.push(application(&url, number));
        }
        let pulls = waiting_pulls(cluster, &url).await;
        until("all requests run", TIMEOUT, async || {
            let runs = Runs::read(cluster).await;
            let mut texts = live.iter().map(|request: &LiveRequest| &request.text);
            texts.all(|text| !runs.endings(text).is_empty())
        })
        .await;
        Self { live, pulls }
    }

    /// Asserts that every caller got a complete answer and each request ran once, to its end.
    pub async fn assert_completes(self, cluster: &Cluster) {
        for request in self.live {
            let text = request.text;
            let result = request.result.await.unwrap();
            result.unwrap_or_else(|error| panic!("{text} was cut off: {error}"));
            let endings = Runs::read(cluster).await.endings(&text);
            assert_eq!(endings, [Ending::Completed], "{text}");
        }
        for pull in self.pulls {
            assert_answered(&pull.await.unwrap());
        }
    }
}

async fn slow_applications(cluster: &Cluster) {
    let faults = ApplicationFaults {
        delay_ms: APPLICATION_DELAY_MS,
        ..ApplicationFaults::default()
    };
    for application in &cluster.platform.applications {
        application.stand_in.set_faults(&faults).await.unwrap();
    }
}

fn completion(url: &str, number: usize, is_streamed: bool) -> LiveRequest {
    let caller = Caller::new(url);
    let text = format!("completion {number}, streamed: {is_streamed}");
    let prompt = text.clone();
    let result = tokio::spawn(async move {
        let completed = caller.complete(MODEL_POOL, &prompt, LONG_TOKENS, is_streamed);
        completed.await.map(drop)
    });
    LiveRequest { text, result }
}

/// Requests with even numbers have an idempotency key.
fn application(url: &str, number: usize) -> LiveRequest {
    let caller = Caller::new(url);
    let text = format!("application request {number}");
    let body = text.clone();
    let key = format!("key-{number}");
    let result = tokio::spawn(async move {
        let headers = [("Idempotency-Key", key.as_str())];
        let headers = if number % 2 == 0 { &headers[..] } else { &[] };
        let call = caller.application_with(APPLICATION_POOL, Method::POST, "price", &body, headers);
        call.await.map(drop)
    });
    LiveRequest { text, result }
}

/// Starts pulls of a step that has no samples yet.
async fn waiting_pulls(
    cluster: &Cluster,
    url: &str,
) -> Vec<JoinHandle<SingleAnswer<SamplesAnswer>>> {
    let mut trainer = cluster.trainer(WAITING_TRAINER);
    let spec = StepSpec::generate(MODEL_POOL, STEP, 1, ENDLESS_TOKENS);
    trainer.submit(STEP, &spec, TIMEOUT).await.unwrap();
    let pull = || {
        let trainer = cluster.trainer(WAITING_TRAINER);
        let url = url.to_owned();
        tokio::spawn(async move { trainer.pull_at(&url, STEP, None, 1, PULL_WAIT).await })
    };
    (0..REQUESTS_PER_KIND).map(|_| pull()).collect()
}
