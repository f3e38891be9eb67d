//! A leaving back end receives no new work after a few seconds. Checked by the back ends' logs.

use std::time::Duration;

use ladderstage_bench::cluster::{
    APPLICATION_POOL, Backend, Cluster, ClusterConfig, MODEL_POOL, Timing,
};
use ladderstage_bench::live::{Caller, Completion, LiveError};
use ladderstage_bench::load::Load;
use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::engine::{EngineConfig, EngineLog};
use ladderstage_bench::stand_in::machine_list::{MachineListFaults, MachineState};
use ladderstage_bench::stand_in::{Ending, LeavingOrder};
use ladderstage_bench::text::prompt_digest;
use ladderstage_bench::waiting::until;
use reqwest::Method;
use serde::Deserialize;
use serde_json::Value;
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a leaving back end must receive no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(5);
const ENGINES: usize = 3;
/// Minimum number of runs at each back end before the fault.
const RUNS_BEFORE: usize = 10;
/// Number of requests of each kind through each daemon after the bound.
const REQUESTS_AFTER: usize = 15;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Tokens of a completion that lasts longer than [`LEAVING_BOUND`].
const LONG_TOKENS: u64 = 600;
const LONG_COMPLETIONS: usize = 4;
const SHORT_TOKENS: u64 = 5;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_say_leaving_while_the_machine_list_is_late() {
    let mut scenario = Scenario::start().await;
    let late = MachineListFaults {
        late_ms: 10_000,
        ..MachineListFaults::default()
    };
    scenario.set_machine_list(&late).await;
    scenario.run_load(&[0, 1, 2]).await;
    let engine = scenario.find_busy_engine().await;
    scenario.set_machine_leaving(engine.index).await;
    scenario.set_reported_leaving(engine.index, &[0]).await;
    scenario.assert_no_new_work(engine.index, &[0]).await;
    scenario.finish(engine).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn machine_list_says_leaving_while_reports_say_live() {
    let mut scenario = Scenario::start().await;
    scenario.run_load(&[0, 1, 2]).await;
    let engine = scenario.find_busy_engine().await;
    scenario.set_machine_leaving(engine.index).await;
    scenario.assert_no_new_work(engine.index, &[]).await;
    scenario.finish(engine).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_that_learns_of_leaving_only_from_the_engine() {
    let mut scenario = Scenario::start().await;
    scenario.cut_off_from_peers_and_machine_list(2).await;
    scenario.run_load(&[0, 1]).await;
    let engine = scenario.find_busy_engine().await;
    scenario.set_reported_leaving(engine.index, &[0]).await;
    scenario.assert_no_new_work(engine.index, &[0]).await;
    scenario.finish(engine).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn machine_list_down_and_a_daemon_restarted_meanwhile() {
    let mut scenario = Scenario::start().await;
    let down = MachineListFaults {
        down: true,
        ..MachineListFaults::default()
    };
    scenario.set_machine_list(&down).await;
    scenario.cluster.daemons[2].kill();
    scenario.cluster.start_daemon(2).await.unwrap();
    scenario.cluster.wait_until_all_ready().await.unwrap();
    scenario.run_load(&[0, 1, 2]).await;
    let engine = scenario.find_busy_engine().await;
    scenario.set_reported_leaving(engine.index, &[0]).await;
    scenario.assert_no_new_work(engine.index, &[0]).await;
    scenario.finish(engine).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_value_service_down_meanwhile() {
    let mut scenario = Scenario::start().await;
    scenario.cluster.set_key_value_faults(Faults::refusing());
    scenario.run_load(&[0, 1, 2]).await;
    let engine = scenario.find_busy_engine().await;
    scenario.set_machine_leaving(engine.index).await;
    scenario.set_reported_leaving(engine.index, &[0]).await;
    scenario.assert_no_new_work(engine.index, &[0]).await;
    scenario.finish(engine).await;
}

/// Common part of the logs of engines and applications.
#[derive(Debug, Deserialize)]
struct RunLog {
    /// Runs as in the log, shown in failure messages.
    runs: Vec<Value>,
}

/// A completion that is running when its engine starts to leave.
struct LongCompletion {
    prompt: String,
    result: JoinHandle<Result<Completion, LiveError>>,
}

/// An engine that runs long completions.
struct BusyEngine {
    index: usize,
    prompts: Vec<String>,
}

struct Scenario {
    cluster: Cluster,
    load: Load,
    long_completions: Vec<LongCompletion>,
}

impl Scenario {
    async fn start() -> Self {
        let timing = [("probe_interval_ms", 300), ("suspicion_ms", 900)];
        let mut config = ClusterConfig {
            timing: Timing::from(timing.map(|(name, value)| (name.to_owned(), value))),
            ..ClusterConfig::three_daemons(ENGINES)
        };
        for engine in &mut config.engines {
            *engine = EngineConfig {
                token_interval: TOKEN_INTERVAL,
                ..engine.clone()
            };
        }
        Self {
            cluster: Cluster::start_ready(&config).await.unwrap(),
            load: Load::new(),
            long_completions: Vec::new(),
        }
    }

    async fn set_machine_list(&self, faults: &MachineListFaults) {
        let list = &self.cluster.platform.machine_list;
        list.set_faults(faults).await.unwrap();
    }

    async fn set_machine_leaving(&mut self, engine: usize) {
        let platform = &mut self.cluster.platform;
        platform.engines[engine].machine.state = MachineState::Leaving;
        platform.publish_machines().await.unwrap();
    }

    /// Makes the engine and these applications report that they are leaving, though they still run
    /// requests.
    async fn set_reported_leaving(&self, engine: usize, applications: &[usize]) {
        for backend in self.backends(engine, applications) {
            let order = LeavingOrder { leaving: true };
            backend.stand_in.control("leaving", &order).await.unwrap();
        }
    }

    async fn cut_off_from_peers_and_machine_list(&self, daemon: usize) {
        self.cluster.set_peer_faults(daemon, Faults::refusing());
        let daemon = &self.cluster.daemons[daemon];
        daemon.machine_list.set(Faults::refusing());
        daemon.machine_list.cut();
        for event in ["event=machine_list_failed", "isolated=true"] {
            until(event, TIMEOUT, async || daemon.log().contains(event)).await;
        }
    }

    /// Starts load through all daemons, steps through `trainer_daemons`, and long completions.
    /// Returns once every back end has run requests and the long completions are running.
    async fn run_load(&mut self, trainer_daemons: &[usize]) {
        let urls = self.cluster.urls();
        for (index, url) in urls.iter().enumerate() {
            let name = format!("caller {index}");
            self.load.add_caller(&name, std::slice::from_ref(url));
        }
        let mut trainer = self.cluster.trainer("trainer-1");
        trainer.use_daemons(trainer_daemons.iter().map(|index| urls[*index].clone()));
        self.load.add_trainer(trainer);
        for backend in self.all_backends() {
            until("each back end has run requests", TIMEOUT, async || {
                runs(backend).await.len() >= RUNS_BEFORE
            })
            .await;
        }
        for (number, url) in urls.iter().cycle().take(LONG_COMPLETIONS).enumerate() {
            self.long_completions.push(long_completion(url, number));
        }
        until("all long completions run", TIMEOUT, async || {
            let mut running = 0;
            for engine in 0..ENGINES {
                running += self.long_completions_at(engine).await.len();
            }
            running == LONG_COMPLETIONS
        })
        .await;
    }

    /// Returns the prompts of the long completions that an engine is running.
    async fn long_completions_at(&self, engine: usize) -> Vec<&str> {
        let log = self.engine_log(engine).await;
        let runs_here = |prompt: &str| {
            let digest = prompt_digest(prompt);
            let mut running = log.runs.iter().filter(|run| run.ending == Ending::Running);
            running.any(|run| run.prompt_digest == digest)
        };
        let prompts = self
            .long_completions
            .iter()
            .map(|completion| completion.prompt.as_str());
        prompts.filter(|prompt| runs_here(prompt)).collect()
    }

    /// Returns an engine that runs long completions.
    async fn find_busy_engine(&self) -> BusyEngine {
        for index in 0..ENGINES {
            let prompts = self.long_completions_at(index).await;
            if !prompts.is_empty() {
                let prompts = prompts.into_iter().map(str::to_owned).collect();
                return BusyEngine { index, prompts };
            }
        }
        panic!("no engine runs a long completion");
    }

    async fn engine_log(&self, engine: usize) -> EngineLog {
        let engine = &self.cluster.platform.engines[engine];
        engine.stand_in.log().await.unwrap()
    }

    fn all_backends(&self) -> impl Iterator<Item = &Backend> {
        let platform = &self.cluster.platform;
        platform.engines.iter().chain(&platform.applications)
    }

    fn backends(&self, engine: usize, applications: &[usize]) -> Vec<&Backend> {
        let platform = &self.cluster.platform;
        let applications = applications
            .iter()
            .map(|index| &platform.applications[*index]);
        applications.chain([&platform.engines[engine]]).collect()
    }

    /// Asserts that after the bound every daemon serves requests of all kinds, and leaving back
    /// ends run none of them.
    async fn assert_no_new_work(&self, engine: usize, applications: &[usize]) {
        tokio::time::sleep(LEAVING_BOUND).await;
        let leaving = self.backends(engine, applications);
        let mut before = Vec::new();
        for backend in &leaving {
            before.push(runs(backend).await.len());
        }
        let urls = self.cluster.urls();
        let served = urls.iter().map(|url| assert_serves(url));
        futures_util::future::join_all(served).await;
        for (backend, before) in leaving.into_iter().zip(before) {
            let late = runs(backend).await.split_off(before);
            let name = &backend.name;
            assert!(
                late.is_empty(),
                "new work at {name}, which is leaving: {late:?}"
            );
        }
    }

    /// Asserts that the long completions ended on the engine on which they started, and that all
    /// load succeeded.
    async fn finish(mut self, engine: BusyEngine) {
        for completion in std::mem::take(&mut self.long_completions) {
            let completion_result = completion.result.await.unwrap();
            completion_result.unwrap_or_else(|error| panic!("{}: {error}", completion.prompt));
        }
        let log = self.engine_log(engine.index).await;
        for prompt in engine.prompts {
            let digest = prompt_digest(&prompt);
            let mut runs = log.runs.iter();
            let run = runs.find(|run| run.prompt_digest == digest).unwrap();
            let span = (run.first_token, run.end_token, run.ending);
            assert_eq!(span, (0, LONG_TOKENS, Ending::Completed), "{run:?}");
        }
        let report = self.load.stop().await;
        assert!(report.failures.is_empty(), "{:?}", report.failures);
        report.assert_steps_complete();
    }
}

fn long_completion(daemon: &str, number: usize) -> LongCompletion {
    let prompt = format!("{number}: a long note on sills and hinges");
    let caller = Caller::new(daemon);
    let submitted_prompt = prompt.clone();
    let result = tokio::spawn(async move {
        let is_streamed = number % 2 == 0;
        caller
            .complete(MODEL_POOL, &submitted_prompt, LONG_TOKENS, is_streamed)
            .await
    });
    LongCompletion { prompt, result }
}

/// Asserts that a daemon answers requests of both kinds.
async fn assert_serves(daemon: &str) {
    let caller = Caller::new(daemon);
    for number in 0..REQUESTS_AFTER {
        let text = format!("{number}: after the bound, through {daemon}");
        let completed = caller
            .complete(MODEL_POOL, &text, SHORT_TOKENS, false)
            .await;
        completed.unwrap_or_else(|error| panic!("{text}: {error}"));
        let priced = caller.application(APPLICATION_POOL, Method::POST, "price", &text);
        let priced = priced.await;
        priced.unwrap_or_else(|error| panic!("{text}: {error}"));
    }
}

async fn runs(backend: &Backend) -> Vec<Value> {
    let log: RunLog = backend.stand_in.log().await.unwrap();
    log.runs
}
