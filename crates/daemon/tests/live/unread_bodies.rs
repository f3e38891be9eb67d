//! Refusals reach callers that send their whole body before they read.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::Fixture;

/// Longer than the longest body of a completion.
const LONG: usize = 2 << 20;

/// Long enough for a daemon that refuses by the head alone to have closed the connection.
const HEAD_START: Duration = Duration::from_millis(300);

/// Bytes written at once, and the pause after them: a connection that was reset refuses the next ones.
const PIECE: usize = 64 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// Sends a head, and later a body that is too long, and reads the answer.
async fn late_body(address: &str, framing: &str, body: &[u8]) -> String {
    let mut connection = TcpStream::connect(address).await.unwrap();
    let head = format!("POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n{framing}\r\n\r\n");
    connection.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(HEAD_START).await;
    for piece in body.chunks(PIECE) {
        connection.write_all(piece).await.unwrap();
        tokio::time::sleep(PIECE_PAUSE).await;
    }
    let mut answer = vec![0; 12];
    connection.read_exact(&mut answer).await.unwrap();
    String::from_utf8(answer).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_too_long_is_read_before_its_refusal() {
    let fixture = Fixture::start(1, 0).await;
    let address = fixture.fronts[0].url.strip_prefix("http://").unwrap();
    let body = vec![b' '; LONG];
    let declared = format!("Content-Length: {LONG}");
    assert_eq!(late_body(address, &declared, &body).await, "HTTP/1.1 413");
    let mut chunks = format!("{LONG:x}\r\n").into_bytes();
    chunks.extend_from_slice(&body);
    chunks.extend_from_slice(b"\r\n0\r\n\r\n");
    let chunked = late_body(address, "Transfer-Encoding: chunked", &chunks).await;
    assert_eq!(chunked, "HTTP/1.1 413");
}
