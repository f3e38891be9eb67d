//! The daemons' adapters work with the stand-ins and classify broken answers correctly.

use std::time::Duration;

use ladderstage_bench::http_client;
use ladderstage_bench::http_server::Handle;
use ladderstage_bench::stand_in::engine::{self, EngineConfig, EngineLog};
use ladderstage_bench::stand_in::key_value::{self, KeyValueConfig};
use ladderstage_bench::stand_in::scorer::{self, ScorerConfig};
use ladderstage_bench::text::{Segment, verify};
use ladderstage_platform::dispatch::DispatchError;
use ladderstage_platform::engine::{CompletionRequest, EngineClient, StreamError};
use ladderstage_platform::key_value::{KeyValue, KeyValueError, SwapOutcome};
use ladderstage_platform::scorer::{ScoreRequest, Scorer};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn set_faults(handle: &Handle, faults: Value) {
    let url = format!("{}/control/fault", handle.url());
    let answer = http_client().post(url).json(&faults).send().await.unwrap();
    assert_eq!(answer.status(), 200);
}

fn request(id: &str) -> CompletionRequest {
    CompletionRequest {
        model: "karm-lm".to_owned(),
        prompt: "hinge".to_owned(),
        max_tokens: 8,
        priority: 1,
        request_id: id.to_owned(),
        resume_text: String::new(),
        resume_tokens: 0,
    }
}

/// Returns the text and segments of a completion and how its stream ended.
async fn generate(
    engine: &Handle,
    request: &CompletionRequest,
) -> Result<(String, Vec<Segment>, Result<(), StreamError>), DispatchError> {
    let client = EngineClient::new();
    let mut stream = client.complete(engine.address, request, true).await?;
    let mut text = String::new();
    let mut segments = Vec::new();
    loop {
        match stream.next().await {
            Ok(Some(chunk)) => {
                text.push_str(&chunk.text);
                segments.push(Segment {
                    weight_version: chunk.weight_version.unwrap(),
                    tokens: u64::from(chunk.tokens),
                });
            }
            Ok(None) => return Ok((text, segments, Ok(()))),
            Err(error) => return Ok((text, segments, Err(error))),
        }
    }
}

#[tokio::test]
async fn engine_completions_resume_where_they_were_cut() {
    let engine = engine::start(EngineConfig::default()).await.unwrap();
    set_faults(&engine, json!({"cut": "mid-body", "cuts": 1})).await;
    let (mut text, mut segments, end) = generate(&engine, &request("a")).await.unwrap();
    assert!(matches!(end, Err(StreamError::Truncated(_))), "{end:?}");
    let resumed = CompletionRequest {
        resume_text: text.clone(),
        resume_tokens: segments.len() as u32,
        ..request("a")
    };
    let (rest, further, end) = generate(&engine, &resumed).await.unwrap();
    assert_eq!(end, Ok(()));
    text.push_str(&rest);
    segments.extend(further);
    assert_eq!(segments.len(), 8);
    verify("hinge", &text, &segments).unwrap();
}

#[tokio::test]
async fn engine_errors_tell_whether_the_request_ran() {
    let engine = engine::start(EngineConfig::default()).await.unwrap();
    set_faults(&engine, json!({"refusals": 1})).await;
    let refused = generate(&engine, &request("refused")).await.unwrap_err();
    assert!(refused.is_certainly_not_run());
    set_faults(&engine, json!({"cut": "before-headers", "cuts": 1})).await;
    let cut = generate(&engine, &request("cut")).await.unwrap_err();
    assert!(!cut.is_certainly_not_run());
    let url = format!("{}/control/log", engine.url());
    let log: EngineLog = http_client()
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    let ran: Vec<&str> = log.runs.iter().map(|run| run.request_id.as_str()).collect();
    assert_eq!(ran, ["cut"]);
    let address = engine.address;
    engine.stop().await;
    let client = EngineClient::new();
    let gone = client.complete(address, &request("gone"), true).await;
    assert!(matches!(gone, Err(DispatchError::NotSent(_))));
}

#[tokio::test]
async fn key_value_swaps_are_unknown_when_their_answer_is_lost() {
    let service = key_value::start(KeyValueConfig::default()).await.unwrap();
    let client = KeyValue::new(vec![service.url()], TIMEOUT);
    assert_eq!(client.get("head").await.unwrap(), None);
    let won = client
        .compare_and_swap("head", 0, b"1".to_vec())
        .await
        .unwrap();
    assert_eq!(won, SwapOutcome::Won { mod_revision: 1 });
    let lost = client
        .compare_and_swap("head", 0, b"2".to_vec())
        .await
        .unwrap();
    assert!(matches!(lost, SwapOutcome::Lost(Some(entry)) if entry.value == b"1"));

    set_faults(&service, json!({"lost_answers": 1, "stale_reads": true})).await;
    assert_eq!(
        client
            .get_linearizable("head")
            .await
            .unwrap()
            .unwrap()
            .value,
        b"1"
    );
    let unknown = client.compare_and_swap("head", 1, b"3".to_vec()).await;
    assert!(
        matches!(unknown, Err(KeyValueError::Unknown(_))),
        "{unknown:?}"
    );
    assert_eq!(client.get("head").await.unwrap().unwrap().value, b"1");
    assert_eq!(
        client
            .get_linearizable("head")
            .await
            .unwrap()
            .unwrap()
            .value,
        b"3"
    );
    set_faults(&service, json!({})).await;
    client.put("heap", b"4".to_vec()).await.unwrap();
    assert_eq!(client.list("hea").await.unwrap().len(), 2);
}

#[tokio::test]
async fn scores_follow_the_text() {
    let service = scorer::start(ScorerConfig::default()).await.unwrap();
    let client = Scorer::new(&service.url());
    let request = ScoreRequest {
        trainer: "karm".to_owned(),
        step: 1,
        slot: 2,
        attempt: 3,
        prompt: "sill".to_owned(),
        text: "oak".to_owned(),
    };
    let score = client.score(&request).await.unwrap();
    assert!((score - scorer::score("oak")).abs() < 1e-9);
}
