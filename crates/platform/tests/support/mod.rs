//! Back end that answers each connection with fixed bytes and closes it.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a back end that reads one request, writes `answer` and closes.
pub async fn back_end(answer: impl Into<Vec<u8>>) -> SocketAddr {
    let answer = answer.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = vec![0; 16 * 1024];
            let _ = socket.read(&mut request).await;
            let _ = socket.write_all(&answer).await;
            let _ = socket.shutdown().await;
            // Closing with unread bytes would reset the connection, which could lose the answer.
            while matches!(socket.read(&mut request).await, Ok(read) if read > 0) {}
        }
    });
    address
}

/// Returns an address without a listener.
pub async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}
