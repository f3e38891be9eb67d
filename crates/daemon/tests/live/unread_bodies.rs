//! Callers that send their complete body before reading must receive the error instead of a connection reset.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::Fixture;

/// Length of a body above the limit of completions.
const LONG_BODY_BYTES: usize = 2 << 20;

/// Time for a daemon that rejects a request by its headers alone to close the connection.
const DELAY_AFTER_HEADERS: Duration = Duration::from_millis(300);

/// Size of a write, and the pause after it, so that a write to a reset connection fails.
const WRITE_SIZE: usize = 64 << 10;
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// Sends the headers and, after a delay, the body. Returns the start of the status line.
async fn send_body_late(address: &str, framing: &str, body: &[u8]) -> String {
    let mut connection = TcpStream::connect(address).await.unwrap();
    let head = format!("POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n{framing}\r\n\r\n");
    connection.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(DELAY_AFTER_HEADERS).await;
    for part in body.chunks(WRITE_SIZE) {
        connection.write_all(part).await.unwrap();
        tokio::time::sleep(WRITE_PAUSE).await;
    }
    let mut answer = vec![0; 12];
    connection.read_exact(&mut answer).await.unwrap();
    String::from_utf8(answer).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_too_long_body_is_discarded_before_the_error_is_sent() {
    let fixture = Fixture::start(1, 0).await;
    let address = fixture.fronts[0].url.strip_prefix("http://").unwrap();
    let body = vec![b' '; LONG_BODY_BYTES];
    let declared = format!("Content-Length: {LONG_BODY_BYTES}");
    assert_eq!(
        send_body_late(address, &declared, &body).await,
        "HTTP/1.1 413"
    );
    let mut chunks = format!("{LONG_BODY_BYTES:x}\r\n").into_bytes();
    chunks.extend_from_slice(&body);
    chunks.extend_from_slice(b"\r\n0\r\n\r\n");
    let chunked = send_body_late(address, "Transfer-Encoding: chunked", &chunks).await;
    assert_eq!(chunked, "HTTP/1.1 413");
}
