//! Engines whose swaps fail or are falsely reported, that are killed, or that omit versions: the
//! samples' labels stay true.

use std::collections::BTreeSet;

use ladderstage_bench::stand_in::Ending;
use ladderstage_bench::stand_in::engine::{EngineFaults, Run, SwapFault};
use ladderstage_bench::trainer::Sample;

use crate::scenario::{Scenario, config};
use crate::support::until;

const SAMPLES: u32 = 24;
const TOKENS: u32 = 10;
/// Few enough that none is one of the longer samples.
const FEW_SAMPLES: u32 = 9;
const MANY_TOKENS: u32 = 300;
/// Tokens after which a sample counts as partly generated.
const PARTIAL_TOKENS: u64 = 20;
/// Index of the engine with the fault.
const FAULTY: usize = 0;
const HEALTHY: usize = 1;

/// Returns the versions of the sample's segments, in order.
fn versions(sample: &Sample) -> Vec<u64> {
    let segments = sample.segments.iter();
    segments.map(|segment| segment.weight_version).collect()
}

/// Rolls weight version 2, which the faulty engine accepts but does not load.
async fn roll_ignored_by_one_engine(scenario: &Scenario, swap: SwapFault) {
    let faults = EngineFaults {
        swap,
        ..EngineFaults::default()
    };
    scenario.set_engine_faults(FAULTY, faults).await;
    scenario.roll(&scenario.cluster.bundle(2, 2)).await;
    scenario
        .wait_for_log("event=engine_order_accepted engine=engine-1 model=karm-lm weight_version=2")
        .await;
    scenario.wait_for_reported_version(HEALTHY, 2).await;
}

async fn assert_labels_are_true_after(swap: SwapFault) {
    let mut scenario = Scenario::with_unsubmitted_step(&config(3), SAMPLES, TOKENS).await;
    roll_ignored_by_one_engine(&scenario, swap).await;
    if swap == SwapFault::ClaimsDone {
        scenario.wait_for_reported_version(FAULTY, 2).await;
    }
    scenario.submit().await;
    let (samples, report) = scenario.pull_all_samples().await;
    scenario.assert_exactly_once(&report);
    scenario.assert_labels_match_runs(&samples).await;
    assert_eq!(scenario.versions_run(FAULTY).await, [1].into());
    assert_eq!(scenario.versions_run(HEALTHY).await, [2].into());
    assert_eq!(report.weight_versions, [1, 2].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_swap_does_not_change_the_label() {
    assert_labels_are_true_after(SwapFault::Fails).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_swap_claimed_but_not_done_does_not_change_the_label() {
    assert_labels_are_true_after(SwapFault::ClaimsDone).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_swap_during_a_sample_shows_in_the_segments() {
    let scenario = Scenario::with_submitted_step(&config(3), FEW_SAMPLES, MANY_TOKENS).await;
    scenario.wait_for_tokens(FAULTY, PARTIAL_TOKENS).await;
    let stall = EngineFaults {
        stall: true,
        ..EngineFaults::default()
    };
    scenario.set_all_engine_faults(&stall).await;
    scenario.roll(&scenario.cluster.bundle(2, 2)).await;
    scenario.wait_for_reported_version(FAULTY, 2).await;
    scenario.wait_for_reported_version(HEALTHY, 2).await;
    scenario
        .set_all_engine_faults(&EngineFaults::default())
        .await;

    let (samples, report) = scenario.pull_all_samples().await;
    scenario.assert_exactly_once(&report);
    scenario.assert_labels_match_runs(&samples).await;
    let is_split = |sample: &Sample| versions(sample) == [1, 2];
    let split = samples.iter().filter(|sample| is_split(sample)).count();
    assert!(split > 0, "no sample was partly generated at the swap");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sample_resumed_on_another_version_names_both() {
    let mut config = config(3);
    config.stand_ins_as_processes = true;
    let mut scenario = Scenario::with_unsubmitted_step(&config, FEW_SAMPLES, MANY_TOKENS).await;
    roll_ignored_by_one_engine(&scenario, SwapFault::Fails).await;
    scenario.submit().await;
    scenario.wait_for_tokens(FAULTY, PARTIAL_TOKENS).await;
    let killed = &mut scenario.cluster.platform.engines[FAULTY].stand_in;
    killed.process.take().unwrap().kill();

    let (samples, report) = scenario.pull_all_samples().await;
    scenario.assert_exactly_once(&report);
    let survivor = scenario.engine_log(HEALTHY).await;
    let mut resumed = 0;
    for sample in samples.iter().filter(|sample| versions(sample) == [1, 2]) {
        let is_resumption = |run: &&Run| {
            run.request_id
                .starts_with(&format!("trainer-1/1/{}/", sample.slot))
                && run.first_token == sample.segments[0].tokens
                && run.segments == sample.segments[1..]
        };
        let rest = survivor.runs.iter().find(is_resumption);
        assert!(rest.is_some(), "{sample:?} was not resumed: {survivor:?}");
        resumed += 1;
    }
    assert!(resumed > 0, "no sample was resumed: {report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_attempt_with_unlabelled_chunks_is_run_again() {
    let scenario = Scenario::with_submitted_step(&config(3), FEW_SAMPLES, MANY_TOKENS).await;
    scenario.wait_for_tokens(FAULTY, PARTIAL_TOKENS).await;
    // Stalled runs stay in flight; tokens generated after the next fault are not labelled.
    let stall = EngineFaults {
        stall: true,
        ..EngineFaults::default()
    };
    scenario.set_engine_faults(FAULTY, stall).await;
    let log = scenario.engine_log(FAULTY).await;
    let omits = EngineFaults {
        omit_weight_version: true,
        ..EngineFaults::default()
    };
    scenario.set_engine_faults(FAULTY, omits).await;
    let is_in_flight = |run: &&Run| run.ending == Ending::Running;
    let in_flight = log.runs.iter().filter(is_in_flight);
    let unlabelled: BTreeSet<&str> = in_flight.map(|run| run.request_id.as_str()).collect();
    assert!(!unlabelled.is_empty(), "nothing was in flight: {log:?}");
    until("the unlabelled runs end", async || {
        let log = scenario.engine_log(FAULTY).await;
        let is_unlabelled = |run: &Run| unlabelled.contains(run.request_id.as_str());
        log.runs
            .iter()
            .filter(|run| is_unlabelled(run))
            .all(|run| run.ending != Ending::Running)
    })
    .await;
    scenario
        .set_engine_faults(FAULTY, EngineFaults::default())
        .await;

    let (samples, report) = scenario.pull_all_samples().await;
    scenario.assert_exactly_once(&report);
    scenario.assert_labels_match_runs(&samples).await;
    for sample in &samples {
        let runs = scenario.runs_of(sample).await;
        let is_labelled = |run: &&Run| !unlabelled.contains(run.request_id.as_str());
        let complete_run = runs
            .iter()
            .filter(is_labelled)
            .find(|run| run.first_token == 0 && run.ending == Ending::Completed);
        assert!(
            complete_run.is_some(),
            "slot {} was not run again: {runs:?}",
            sample.slot
        );
    }
}
