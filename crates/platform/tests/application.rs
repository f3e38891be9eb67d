//! Application client: forwarded headers and truncated answers.

mod support;

use bytes::Bytes;
use ladderstage_platform::application::{
    ApplicationBody, ApplicationClient, ApplicationRequest, ApplicationResponse, BodyCut,
    DispatchError, strip_hop_by_hop,
};
use reqwest::Method;
use reqwest::header::HeaderMap;
use support::{back_end, closed_port};

fn request() -> ApplicationRequest {
    ApplicationRequest {
        method: Method::POST,
        path: "/quotes".to_owned(),
        query: Some("facade=7".to_owned()),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{}"),
        request_id: "r1".to_owned(),
    }
}

async fn forward(answer: &str) -> Result<ApplicationResponse, DispatchError> {
    let address = back_end(answer).await;
    ApplicationClient::new()
        .forward(address, &request(), true)
        .await
}

async fn read(response: ApplicationResponse) -> Result<Vec<u8>, BodyCut> {
    let mut body = match response.body {
        ApplicationBody::Whole(bytes) => return Ok(bytes.to_vec()),
        ApplicationBody::Sized(body) => body,
    };
    let mut all = Vec::new();
    while let Some(bytes) = body.next().await? {
        all.extend_from_slice(&bytes);
    }
    Ok(all)
}

#[tokio::test]
async fn complete_answers_are_read_by_length_and_in_chunks() {
    let sized = forward("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nhi")
        .await
        .unwrap();
    assert_eq!(sized.headers["x-a"], "b");
    assert_eq!(read(sized).await.unwrap(), b"hi");
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    let chunked = forward(chunked).await.unwrap();
    assert!(chunked.headers.is_empty());
    assert_eq!(read(chunked).await.unwrap(), b"hi");
}

#[tokio::test]
async fn truncated_answers_are_errors() {
    let sized = forward("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
        .await
        .unwrap();
    assert!(read(sized).await.is_err());
    for answer in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi",
        "HTTP/1.1 200",
    ] {
        let error = forward(answer).await.expect_err(answer);
        assert!(matches!(error, DispatchError::Unknown(_)), "{error:?}");
    }
}

#[tokio::test]
async fn answers_whose_encoding_has_no_end_mark_are_errors() {
    for encoding in ["identity", "chunked, identity"] {
        let answer = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {encoding}\r\n\r\nhi");
        let error = forward(&answer).await.expect_err(encoding);
        assert!(matches!(error, DispatchError::Unknown(_)), "{error:?}");
    }
}

#[tokio::test]
async fn answers_that_stop_after_any_byte_of_their_head_are_errors() {
    for field in ["Content-Length: 12", "Transfer-Encoding: chunked"] {
        let head = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{field}\r\n\r\n");
        for sent in 0..head.len() {
            let error = forward(&head[..sent]).await.expect_err(&head[..sent]);
            assert!(matches!(error, DispatchError::Unknown(_)), "{error:?}");
        }
    }
}

#[tokio::test]
async fn refused_and_unsent_requests_did_not_run() {
    let refusal =
        "HTTP/1.1 503 Busy\r\nLadderstage-Engine: not-run\r\nContent-Length: 4\r\n\r\nfull";
    let error = forward(refusal).await.unwrap_err();
    assert!(error.is_certainly_not_run(), "{error:?}");
    let address = closed_port().await;
    let error = ApplicationClient::new()
        .forward(address, &request(), true)
        .await
        .unwrap_err();
    assert!(matches!(error, DispatchError::NotSent(_)), "{error:?}");
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Hop"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("x-end", "2"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    let forwarded = strip_hop_by_hop(&headers);
    assert_eq!(forwarded.len(), 1);
    assert_eq!(forwarded["x-end"], "2");
}
