//! Engine client against an engine whose answer is truncated at various points.

mod support;

use ladderstage_platform::engine::{
    CompletionChunk, CompletionRequest, DispatchError, EngineClient, StreamError,
};
use support::{back_end, closed_port};

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const CHUNK: &str =
    "data: {\"request_id\":\"r1\",\"text\":\"a\",\"tokens\":1,\"weight_version\":3}\n\n";

fn request() -> CompletionRequest {
    CompletionRequest {
        model: "karm-lm".to_owned(),
        prompt: "p".to_owned(),
        max_tokens: 4,
        priority: 0,
        request_id: "r1".to_owned(),
        resume_text: String::new(),
        resume_tokens: 0,
    }
}

/// Runs a completion and returns its chunks and the end of the stream.
async fn run(body: &str) -> (Vec<CompletionChunk>, Result<(), StreamError>) {
    let address = back_end(format!("{HEAD}{body}")).await;
    let client = EngineClient::new();
    let mut stream = client.complete(address, &request(), true).await.unwrap();
    let mut chunks = Vec::new();
    loop {
        match stream.next().await {
            Ok(Some(chunk)) => chunks.push(chunk),
            Ok(None) => return (chunks, Ok(())),
            Err(error) => return (chunks, Err(error)),
        }
    }
}

async fn complete_error(answer: &str) -> DispatchError {
    let address = back_end(answer).await;
    let result = EngineClient::new()
        .complete(address, &request(), true)
        .await;
    result.expect_err("refused")
}

#[tokio::test]
async fn streams_end_only_with_the_end_mark() {
    let (chunks, end) = run(&format!("{CHUNK}{CHUNK}data: [DONE]\n\n")).await;
    assert_eq!(end, Ok(()));
    assert_eq!(chunks.len(), 2);
    assert_eq!(chunks[0].weight_version, Some(3));
    for cut in ["", "data: [DO", "data: [DONE]\n"] {
        let (chunks, end) = run(&format!("{CHUNK}{cut}")).await;
        assert_eq!(chunks.len(), 1, "cut after {cut:?}");
        assert!(matches!(end, Err(StreamError::Truncated(_))), "{end:?}");
    }
}

#[tokio::test]
async fn malformed_and_foreign_chunks_are_errors() {
    let (_, end) = run("data: {\"text\":1}\n\n").await;
    assert!(matches!(end, Err(StreamError::Malformed(_))), "{end:?}");
    let (chunks, end) = run(&format!(
        "{CHUNK}{}data: [DONE]\n\n",
        CHUNK.replace("r1", "r0")
    ))
    .await;
    assert_eq!(chunks.len(), 1);
    assert!(
        matches!(end, Err(StreamError::WrongRequest { .. })),
        "{end:?}"
    );
    let (_, end) = run("event: error\ndata: out of memory\n\n").await;
    assert_eq!(end, Err(StreamError::Engine("out of memory".to_owned())));
}

#[tokio::test]
async fn not_run_requires_the_engine_header() {
    let refusal = "HTTP/1.1 503 Busy\r\nLadderstage-Engine: not-run, leaving\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n";
    let error = complete_error(refusal).await;
    let DispatchError::NotRun {
        retry_after,
        leaving,
        ..
    } = error
    else {
        panic!("{error:?}");
    };
    assert_eq!(retry_after, Some(std::time::Duration::from_secs(2)));
    assert!(leaving);
    for answer in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Broken\r\nLadderstage-Engine: not-run\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 O",
        "",
    ] {
        let error = complete_error(answer).await;
        assert!(
            matches!(error, DispatchError::Unknown(_)),
            "{answer:?}: {error:?}"
        );
    }
}

#[tokio::test]
async fn failed_connections_are_not_sent() {
    let address = closed_port().await;
    for fresh in [true, false] {
        let error = EngineClient::new()
            .complete(address, &request(), fresh)
            .await
            .unwrap_err();
        assert!(matches!(error, DispatchError::NotSent(_)), "{error:?}");
    }
}
