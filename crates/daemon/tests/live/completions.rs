//! Completions: resumption of truncated streams, at-most-once requests and error outcomes.

use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::CutPoint;
use ladderstage_bench::stand_in::engine::EngineFaults;
use serde_json::Value;

use crate::fixture::{Fixture, MODEL, send_and_read};

const CUT_POINTS: [CutPoint; 3] = [
    CutPoint::BeforeHeaders,
    CutPoint::MidBody,
    CutPoint::BeforeEnd,
];

fn truncation(point: CutPoint, cuts: u32) -> EngineFaults {
    EngineFaults {
        cut: Some(point),
        cuts,
        ..EngineFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_streams_are_resumed_on_another_engine() {
    for point in CUT_POINTS {
        for stream in [false, true] {
            let fixture = Fixture::start(2, 0).await;
            fixture.fault_engines(truncation(point, 1)).await;
            // The caller checks text, length and weight versions.
            let completion = fixture.fronts[0]
                .caller
                .complete(MODEL, "a sill", 20, stream)
                .await;
            let completion =
                completion.unwrap_or_else(|error| panic!("{point:?} {stream}: {error}"));
            assert!(completion.weight_versions.contains(&1));
            let runs = fixture.engine_runs().await;
            assert_eq!(runs.len(), 3, "two truncated runs and a complete one");
            if point != CutPoint::BeforeHeaders {
                assert!(
                    runs.iter().any(|run| run.first_token > 0),
                    "must resume instead of restarting"
                );
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_at_most_once_completion_is_unknown_and_not_retried() {
    for point in CUT_POINTS {
        for stream in [false, true] {
            let fixture = Fixture::start(2, 0).await;
            fixture.fault_engines(truncation(point, 9)).await;
            let request = fixture.fronts[0].complete("a sill", 20, stream);
            let answer = send_and_read(request.header("Ladderstage-At-Most-Once", "true")).await;
            assert_eq!(fixture.engine_runs().await.len(), 1);
            assert!(
                !answer.text.contains("[DONE]"),
                "{point:?}: {}",
                answer.text
            );
            assert!(
                answer.text.contains("\"outcome\":\"unknown\""),
                "{}",
                answer.text
            );
            if stream && point != CutPoint::BeforeHeaders {
                assert!(answer.text.contains("event: error\n"), "{}", answer.text);
            } else {
                assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_reported_if_all_engines_refuse() {
    let fixture = Fixture::start(2, 0).await;
    fixture
        .fault_engines(EngineFaults {
            refusals: 9,
            ..EngineFaults::default()
        })
        .await;
    let answer = send_and_read(fixture.fronts[0].complete("a sill", 20, false)).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
    assert_eq!(fixture.engine_runs().await.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_attempt_makes_the_outcome_unknown() {
    // Both orders, so that the result does not depend on which engine is tried first.
    for (cutting, refusing) in [(0, 1), (1, 0)] {
        let fixture = Fixture::start(2, 0).await;
        let refusal = EngineFaults {
            refusals: 99,
            ..EngineFaults::default()
        };
        fixture.engines[cutting]
            .fault(&truncation(CutPoint::BeforeHeaders, 99))
            .await;
        fixture.engines[refusing].fault(&refusal).await;
        let answer = send_and_read(fixture.fronts[0].complete("a sill", 20, false)).await;
        assert!(!fixture.engine_runs().await.is_empty());
        assert_eq!(answer.outcome, "unknown", "{}", answer.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn completions_on_a_stalled_engine_are_retried_elsewhere() {
    let fixture = Fixture::start(2, 0).await;
    let freeze = Faults {
        freeze: true,
        ..Faults::default()
    };
    fixture.engines[0].proxy.set(freeze);
    for number in 0..4 {
        let prompt = format!("hinge {number}");
        let completion = fixture.fronts[0]
            .caller
            .complete(MODEL, &prompt, 10, false)
            .await;
        completion.unwrap_or_else(|error| panic!("{error}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_weight_versions_are_not_reported() {
    let fixture = Fixture::start(1, 0).await;
    fixture
        .fault_engines(EngineFaults {
            omit_weight_version: true,
            ..EngineFaults::default()
        })
        .await;
    let response = fixture.fronts[0]
        .complete("a sill", 5, false)
        .send()
        .await
        .unwrap();
    assert!(
        !response
            .headers()
            .contains_key("ladderstage-weight-versions")
    );
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["weight_versions"], Value::Array(Vec::new()));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_the_cause() {
    let fixture = Fixture::start(1, 0).await;
    let front = &fixture.fronts[0];
    let base = || front.complete("a sill", 5, false);
    let cases = [
        (
            base().header("Ladderstage-At-Most-Once", "maybe"),
            400,
            "Ladderstage-At-Most-Once",
        ),
        (
            base().header("Ladderstage-Class", "none-such"),
            400,
            "none-such",
        ),
        (
            base().body("{\"model\":\"no-such\",\"prompt\":\"\"}"),
            404,
            "unknown_pool",
        ),
        (base().body("{\"model\":3}"), 400, "line 1 column 10"),
        (
            base().body("{\"model\":\"karm-lm\",\"prompt\":\"\",\"max_tokens\":0}"),
            400,
            "max_tokens",
        ),
        (base().body(vec![b' '; 2 << 20]), 413, "body_too_long"),
    ];
    for (request, status, names) in cases {
        let answer = send_and_read(request).await;
        assert_eq!(
            (answer.status, answer.outcome.as_str()),
            (status, "not-run"),
            "{names}"
        );
        assert!(answer.text.contains(names), "{}", answer.text);
    }
    assert_eq!(fixture.engine_runs().await.len(), 0);
}
