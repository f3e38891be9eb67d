//! Connections to a daemon whose reads are under the test's control.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::TIMEOUT;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// Receive buffer size of a narrow connection, in bytes.
const NARROW_BYTES: u32 = 16 * 1024;

pub struct Connection {
    stream: TcpStream,
}

/// Body of an answer whose head has been read.
pub struct Body {
    length: u64,
}

impl Connection {
    /// Connects to a base URL.
    pub async fn open(url: &str) -> Self {
        let address = url.trim_start_matches("http://");
        let stream = TcpStream::connect(address).await.unwrap();
        Self { stream }
    }

    /// Connects with a small receive buffer, so that unread bytes stay in the server.
    pub async fn open_narrow(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(NARROW_BYTES).unwrap();
        let stream = socket.connect(address).await.unwrap();
        Self { stream }
    }

    /// Sends a request and reads the complete answer, after which the connection is idle.
    pub async fn get(&mut self, path: &str) {
        let body = self.send("GET", path, "").await;
        self.read_to_end(&body).await;
    }

    /// Sends a request and reads the head of its answer.
    pub async fn send(&mut self, method: &str, path: &str, body: &str) -> Body {
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\nHost: daemon\r\nContent-Length: {length}");
        self.stream.write_all(head.as_bytes()).await.unwrap();
        self.stream.write_all(HEAD_END).await.unwrap();
        self.stream.write_all(body.as_bytes()).await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(HEAD_END) {
            head.push(self.stream.read_u8().await.unwrap());
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        assert!(head.starts_with("http/1.1 200"), "{head}");
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        Body {
            length: length.unwrap().parse().unwrap(),
        }
    }

    /// Reads a body and asserts that it is complete.
    pub async fn read_to_end(&mut self, body: &Body) {
        let mut rest = Vec::new();
        let read = (&mut self.stream)
            .take(body.length)
            .read_to_end(&mut rest)
            .await;
        let (received, length) = (rest.len(), body.length);
        assert_eq!(received as u64, length, "cut off: {read:?}");
    }

    /// Asserts that the server has closed the connection.
    pub async fn assert_closed(&mut self) {
        let mut byte = [0];
        let read = timeout(TIMEOUT, self.stream.read(&mut byte)).await;
        let count = read.expect("closed in time").unwrap_or(0);
        assert_eq!(count, 0, "bytes on an idle connection");
    }
}
