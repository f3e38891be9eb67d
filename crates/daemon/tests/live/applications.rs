//! Application requests: forwarding, truncated answers and retries.

use ladderstage_bench::stand_in::CutPoint;
use ladderstage_bench::stand_in::application::{ApplicationFaults, Echo};
use reqwest::Method;

use crate::fixture::{APPLICATION, Fixture, outcome, send_and_read};

/// Length of an answer that is streamed instead of buffered.
const LONG_BODY_BYTES: usize = 1 << 20;

fn truncation(point: CutPoint, chunked: bool, padding: usize) -> ApplicationFaults {
    ApplicationFaults {
        cut: Some(point),
        cuts: 1,
        chunked,
        padding,
        ..ApplicationFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_unchanged() {
    let fixture = Fixture::start(0, 2).await;
    let caller = &fixture.fronts[0].caller;
    for method in [
        Method::GET,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ] {
        let path = "quotes/a%20b?x=1&y=%2F";
        caller
            .application(APPLICATION, method, path, "body")
            .await
            .unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answers_are_reported_and_posts_are_not_retried() {
    for point in [
        CutPoint::BeforeHeaders,
        CutPoint::MidBody,
        CutPoint::BeforeEnd,
    ] {
        for (chunked, padding) in [
            (false, 0),
            (true, 0),
            (false, LONG_BODY_BYTES),
            (true, LONG_BODY_BYTES),
        ] {
            let fixture = Fixture::start(0, 2).await;
            fixture
                .fault_applications(truncation(point, chunked, padding))
                .await;
            let request = fixture.fronts[0].application(Method::POST, "quotes");
            let response = request.send().await.unwrap();
            let (status, outcome) = (response.status().as_u16(), outcome(&response));
            let is_whole = response.text().await.is_ok();
            let case = format!("{point:?} {chunked} {padding}: {status} {outcome} {is_whole}");
            assert!(
                (status == 502 && outcome == "unknown") || !is_whole,
                "{case}"
            );
            assert_eq!(fixture.application_runs().await.len(), 1, "{case}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_gets_are_retried() {
    for point in [
        CutPoint::BeforeHeaders,
        CutPoint::MidBody,
        CutPoint::BeforeEnd,
    ] {
        for chunked in [false, true] {
            let fixture = Fixture::start(0, 2).await;
            fixture
                .fault_applications(truncation(point, chunked, 0))
                .await;
            let echo = fixture.fronts[0]
                .caller
                .application(APPLICATION, Method::GET, "quotes", "")
                .await;
            echo.unwrap_or_else(|error| panic!("{point:?} {chunked}: {error}"));
            assert_eq!(fixture.application_runs().await.len(), 3);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forms_with_a_method_override_are_not_retried() {
    let fixture = Fixture::start(0, 2).await;
    fixture
        .fault_applications(truncation(CutPoint::BeforeHeaders, false, 0))
        .await;
    let form = |fixture: &Fixture| {
        let request = fixture.fronts[0].application(Method::POST, "quotes");
        let request = request.header("Content-Type", "application/x-www-form-urlencoded");
        request.body("_method=put&facade=7")
    };
    assert_eq!(send_and_read(form(&fixture)).await.outcome, "unknown");
    assert_eq!(fixture.application_runs().await.len(), 1);
    fixture
        .fault_applications(ApplicationFaults::default())
        .await;
    let echo: Echo = form(&fixture).send().await.unwrap().json().await.unwrap();
    assert_eq!(echo.method, "POST");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_and_unreachable_posts_are_not_run() {
    let fixture = Fixture::start(0, 2).await;
    fixture
        .fault_applications(ApplicationFaults {
            refusals: 9,
            ..Default::default()
        })
        .await;
    let answer = send_and_read(fixture.fronts[0].application(Method::POST, "quotes")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
    assert_eq!(fixture.application_runs().await.len(), 0);
    *fixture.fronts[0].node.disconnected.lock().unwrap() = true;
    let answer = send_and_read(fixture.fronts[0].application(Method::POST, "quotes")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
    assert!(answer.text.contains("isolated"), "{}", answer.text);
}
