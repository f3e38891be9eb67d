//! The stand-ins behave as described in docs/PLATFORM.md, and their faults have the described
//! effects.

use std::time::Duration;

use ladderstage_bench::http_server::Handle;
use ladderstage_bench::stand_in::engine::{self, EngineConfig, EngineLog};
use ladderstage_bench::stand_in::key_value::{self, KeyValueConfig};
use ladderstage_bench::stand_in::machine_list::{self, MachineListConfig};
use ladderstage_bench::stand_in::weight_store::{self, WeightStoreConfig};
use ladderstage_bench::stand_in::{Ending, application};
use ladderstage_bench::text::{Segment, verify};
use ladderstage_bench::{http_client, text};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn post(handle: &Handle, path: &str, body: Value) -> reqwest::Result<reqwest::Response> {
    let url = format!("{}{path}", handle.url());
    http_client().post(url).json(&body).send().await
}

async fn get(handle: &Handle, path: &str) -> Value {
    let url = format!("{}{path}", handle.url());
    let answer = http_client().get(url).send().await.unwrap();
    answer.json().await.unwrap()
}

async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = std::time::Instant::now();
    while !holds().await {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn fast_engine() -> Handle {
    let config = EngineConfig {
        token_interval: Duration::from_millis(1),
        swap: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    engine::start(config).await.unwrap()
}

/// Returns the text and segments of an event stream, and whether its end marker was received.
fn read_events(body: &str) -> (String, Vec<Segment>, bool) {
    let mut text = String::new();
    let mut segments = Vec::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let Ok(chunk) = serde_json::from_str::<Value>(line) else {
            return (text, segments, line == "[DONE]");
        };
        text.push_str(chunk["text"].as_str().unwrap());
        segments.push(Segment {
            weight_version: chunk["weight_version"].as_u64().unwrap(),
            tokens: chunk["tokens"].as_u64().unwrap(),
        });
    }
    (text, segments, false)
}

fn completion(id: &str, tokens: u64) -> Value {
    json!({"model": "karm-lm", "prompt": "sill", "max_tokens": tokens, "stream": true, "request_id": id})
}

async fn log_of(engine: &Handle) -> EngineLog {
    serde_json::from_value(get(engine, "/control/log").await).unwrap()
}

#[tokio::test]
async fn engine_names_the_held_version_and_resumes() {
    let engine = fast_engine().await;
    let answer = post(&engine, "/v1/completions", completion("a", 6)).await;
    let (full_text, segments, ended) = read_events(&answer.unwrap().text().await.unwrap());
    assert!(ended);
    verify("sill", &full_text, &segments).unwrap();
    assert_eq!(text::count_tokens(&full_text), 6);

    let first_half: String = full_text.split_inclusive(' ').take(3).collect();
    let mut resumed = completion("b", 6);
    resumed["resume_text"] = json!(first_half);
    resumed["resume_tokens"] = json!(3);
    let answer = post(&engine, "/v1/completions", resumed).await.unwrap();
    let (rest, _, ended) = read_events(&answer.text().await.unwrap());
    assert!(ended);
    assert_eq!(first_half + &rest, full_text);
    let runs = log_of(&engine).await.runs;
    assert_eq!((runs[1].first_token, runs[1].end_token), (3, 6));
}

#[tokio::test]
async fn engine_swaps_obey_fences_and_can_be_reported_falsely() {
    let engine = fast_engine().await;
    let order = |fence: u64, version: u64| json!({"fence": fence, "model": "karm-lm", "weight_version": version});
    let accepted = post(&engine, "/v1/orders", order(5, 2)).await.unwrap();
    assert_eq!(accepted.status(), 202);
    let is_two = async || get(&engine, "/v1/load").await["weight_version"] == 2;
    eventually("version 2 held", is_two).await;
    let refused = post(&engine, "/v1/orders", order(4, 3)).await.unwrap();
    assert_eq!(refused.status(), 409);
    assert_eq!(refused.json::<Value>().await.unwrap()["fence"], 5);

    post(&engine, "/control/fault", json!({"swap": "claims-done"}))
        .await
        .unwrap();
    post(&engine, "/v1/orders", order(6, 3)).await.unwrap();
    let claims_three = async || get(&engine, "/v1/load").await["weight_version"] == 3;
    eventually("version 3 claimed", claims_three).await;
    let answer = post(&engine, "/v1/completions", completion("a", 2))
        .await
        .unwrap();
    let (_, segments, _) = read_events(&answer.text().await.unwrap());
    assert!(segments.iter().all(|segment| segment.weight_version == 2));
}

#[tokio::test]
async fn engine_cuts_refuses_and_cancels() {
    let engine = fast_engine().await;
    for (point, reaches_body) in [
        ("before-headers", false),
        ("mid-body", true),
        ("before-end", true),
    ] {
        let fault = json!({"cut": point, "cuts": 1});
        post(&engine, "/control/fault", fault).await.unwrap();
        match post(&engine, "/v1/completions", completion(point, 4)).await {
            Ok(answer) => {
                assert!(reaches_body, "{point}");
                assert!(answer.text().await.is_err(), "{point}");
            }
            Err(_) => assert!(!reaches_body, "{point}"),
        }
    }
    post(&engine, "/control/fault", json!({"refusals": 1}))
        .await
        .unwrap();
    let refused = post(&engine, "/v1/completions", completion("r", 4))
        .await
        .unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["Ladderstage-Engine"], "not-run");

    post(&engine, "/control/fault", json!({"stall": true}))
        .await
        .unwrap();
    let stalled = post(&engine, "/v1/completions", completion("s", 4))
        .await
        .unwrap();
    post(&engine, "/v1/cancel", json!({"request_id": "s"}))
        .await
        .unwrap();
    let (_, _, ended) = read_events(&stalled.text().await.unwrap());
    assert!(!ended);
    let endings: Vec<Ending> = log_of(&engine)
        .await
        .runs
        .iter()
        .map(|run| run.ending)
        .collect();
    assert_eq!(
        endings,
        [Ending::Cut, Ending::Cut, Ending::Cut, Ending::Cancelled]
    );
}

#[tokio::test]
async fn engine_runs_the_most_urgent_waiting_request_first() {
    let config = EngineConfig {
        capacity: 1,
        waiting_limit: 2,
        ..EngineConfig::default()
    };
    let engine = engine::start(config).await.unwrap();
    post(&engine, "/control/fault", json!({"stall": true}))
        .await
        .unwrap();
    let mut tasks = Vec::new();
    for (waiting, (id, priority)) in [("first", 0), ("late", 9), ("urgent", 1)]
        .into_iter()
        .enumerate()
    {
        let mut body = completion(id, 1);
        body["priority"] = json!(priority);
        let url = format!("{}/v1/completions", engine.url());
        tasks.push(tokio::spawn(http_client().post(url).json(&body).send()));
        let is_queued = async || {
            let load = get(&engine, "/v1/load").await;
            load["running"] == 1 && load["waiting"] == waiting
        };
        eventually("queued", is_queued).await;
    }
    let refused = post(&engine, "/v1/completions", completion("full", 1))
        .await
        .unwrap();
    assert_eq!(refused.status(), 429);
    post(&engine, "/control/fault", json!({})).await.unwrap();
    for task in tasks {
        task.await.unwrap().unwrap().text().await.unwrap();
    }
    let order: Vec<String> = log_of(&engine)
        .await
        .runs
        .into_iter()
        .map(|run| run.request_id)
        .collect();
    assert_eq!(order, ["first", "urgent", "late"]);
}

#[tokio::test]
async fn application_echoes_and_cuts() {
    let application = application::start(Default::default()).await.unwrap();
    let answer = post(&application, "/price?fast=1", json!({"width": 3}))
        .await
        .unwrap();
    let echo: application::Echo = answer.json().await.unwrap();
    assert_eq!(
        (echo.path.as_str(), echo.body.as_str()),
        ("/price?fast=1", "{\"width\":3}")
    );
    for fault in [
        json!({"cut": "before-headers", "cuts": 1}),
        json!({"cut": "mid-body", "cuts": 1}),
        json!({"cut": "before-end", "cuts": 1}),
        json!({"cut": "before-end", "cuts": 1, "chunked": true}),
    ] {
        post(&application, "/control/fault", fault.clone())
            .await
            .unwrap();
        let answer = post(&application, "/price", json!({})).await;
        let is_broken = match answer {
            Ok(answer) => answer.bytes().await.is_err(),
            Err(_) => true,
        };
        assert!(is_broken, "{fault}");
    }
    let log = get(&application, "/control/log").await;
    assert_eq!(log["runs"].as_array().unwrap().len(), 5);
    assert_eq!(log["runs"][4]["ending"], "cut");
}

#[tokio::test]
async fn key_value_swaps_and_loses_answers() {
    let service = key_value::start(KeyValueConfig::default()).await.unwrap();
    let swap = |revision: &str| {
        json!({
            "compare": [{"key": "aGVhZA==", "target": "MOD", "mod_revision": revision, "result": "EQUAL"}],
            "success": [{"request_put": {"key": "aGVhZA==", "value": "MQ=="}}],
            "failure": [{"request_range": {"key": "aGVhZA=="}}],
        })
    };
    let read = async || post(&service, "/v3/kv/range", json!({"key": "aGVhZA=="})).await;
    let won: Value = post(&service, "/v3/kv/txn", swap("0"))
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_eq!(won["succeeded"], true);
    let lost: Value = post(&service, "/v3/kv/txn", swap("0"))
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_eq!(lost.get("succeeded"), None);
    assert_eq!(
        lost["responses"][0]["response_range"]["kvs"][0]["mod_revision"],
        "1"
    );

    post(
        &service,
        "/control/fault",
        json!({"lost_answers": 1, "stale_reads": true}),
    )
    .await
    .unwrap();
    assert!(post(&service, "/v3/kv/txn", swap("1")).await.is_err());
    let stale: Value = read().await.unwrap().json().await.unwrap();
    assert_eq!(stale["kvs"][0]["mod_revision"], "1");
    post(&service, "/control/fault", json!({})).await.unwrap();
    let fresh: Value = read().await.unwrap().json().await.unwrap();
    assert_eq!(fresh["kvs"][0]["mod_revision"], "2");

    post(&service, "/control/fault", json!({"down": true}))
        .await
        .unwrap();
    assert!(read().await.is_err());
    post(
        &service,
        "/control/fault",
        json!({"requests_per_second": 0.001}),
    )
    .await
    .unwrap();
    read().await.unwrap();
    assert_eq!(read().await.unwrap().status(), 429);
}

#[tokio::test]
async fn machine_list_is_late_and_weight_store_limits_loads() {
    let list = machine_list::start(MachineListConfig::default())
        .await
        .unwrap();
    let machine = json!({"name": "e1", "address": "127.0.0.1:9", "zone": "a", "kind": "engine", "state": "leaving"});
    post(&list, "/control/fault", json!({"late_ms": 3_600_000}))
        .await
        .unwrap();
    post(&list, "/control/machines", json!({"machines": [machine]}))
        .await
        .unwrap();
    assert_eq!(get(&list, "/v1/machines").await, json!({"machines": []}));
    post(&list, "/control/fault", json!({})).await.unwrap();
    assert_eq!(
        get(&list, "/v1/machines").await["machines"][0]["state"],
        "leaving"
    );

    let config = WeightStoreConfig {
        loads_per_second: 0.001,
        newest_version: 2,
        ..WeightStoreConfig::default()
    };
    let store = weight_store::start(config).await.unwrap();
    let load = async |version: u64| {
        let path = format!("/v1/weights/karm-lm/{version}/load");
        post(&store, &path, json!({}))
            .await
            .unwrap()
            .status()
            .as_u16()
    };
    assert_eq!(
        (load(3).await, load(2).await, load(2).await),
        (404, 200, 429)
    );
    assert_eq!(
        get(&store, "/v1/weights/karm-lm").await["versions"],
        json!([1, 2])
    );
}
