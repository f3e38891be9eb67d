//! Assertions on refusals, shared by several tests.

use std::fmt::Debug;

use ladderstage_bench::live::LiveError;
use reqwest::{RequestBuilder, StatusCode};

/// Asserts that a live request was refused as not run, with a `Retry-After` header.
pub fn assert_not_run<T: Debug>(result: Result<T, LiveError>) {
    match result {
        Err(LiveError::NotRun {
            retry_after: Some(_),
            ..
        }) => {}
        other => panic!("instead of not-run with Retry-After: {other:?}"),
    }
}

/// Asserts that a request is refused with this outcome and a `Retry-After` header.
pub async fn assert_refused(request: RequestBuilder, outcome: &str) {
    let answer = request.send().await.unwrap();
    let header = |name| answer.headers().get(name).map(|value| value.as_bytes());
    let has_outcome = header("Ladderstage-Outcome") == Some(outcome.as_bytes());
    let has_time = header("Retry-After").is_some();
    let is_refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
    assert!(
        is_refused && has_outcome && has_time,
        "instead of {outcome}: {answer:?}"
    );
}
