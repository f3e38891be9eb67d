//! Each fault of the proxy has its described effect.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage_bench::proxy::{Faults, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time without data that counts as silence.
const QUIET: Duration = Duration::from_millis(50);

/// Starts an echo server that ends with the runtime.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

async fn connected() -> (Proxy, TcpStream) {
    let proxy = Proxy::start(echo_server().await).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    assert_eq!(echo(&mut stream, b"hello").await, b"hello");
    (proxy, stream)
}

async fn echo(stream: &mut TcpStream, bytes: &[u8]) -> Vec<u8> {
    stream.write_all(bytes).await.unwrap();
    let mut back = vec![0; bytes.len()];
    timeout(TIMEOUT, stream.read_exact(&mut back))
        .await
        .unwrap()
        .unwrap();
    back
}

async fn is_broken(stream: &mut TcpStream) -> bool {
    let read = timeout(TIMEOUT, stream.read(&mut [0; 64])).await.unwrap();
    read.is_err()
}

async fn is_quiet(stream: &mut TcpStream) -> bool {
    timeout(QUIET, stream.read(&mut [0; 64])).await.is_err()
}

#[tokio::test]
async fn delays_keep_order_and_freezes_lose_nothing() {
    let (proxy, mut stream) = connected().await;
    proxy.set(Faults {
        delay_ms: 20,
        ..Faults::default()
    });
    let bytes: Vec<u8> = (0..100_000).map(|index| (index % 251) as u8).collect();
    assert_eq!(echo(&mut stream, &bytes).await, bytes);
    proxy.set(Faults {
        freeze: true,
        ..Faults::default()
    });
    stream.write_all(b"later").await.unwrap();
    assert!(is_quiet(&mut stream).await);
    proxy.heal();
    let mut back = [0; 5];
    timeout(TIMEOUT, stream.read_exact(&mut back))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&back, b"later");
}

#[tokio::test]
async fn cuts_refuses_and_resets() {
    let (proxy, mut stream) = connected().await;
    proxy.cut();
    assert!(is_broken(&mut stream).await);
    proxy.set(Faults {
        refuse: true,
        ..Faults::default()
    });
    if let Ok(mut refused) = TcpStream::connect(proxy.address).await {
        assert!(is_broken(&mut refused).await);
    }
    proxy.heal();
    proxy.reset_next(2);
    for _ in 0..2 {
        let mut stream = TcpStream::connect(proxy.address).await.unwrap();
        stream.write_all(b"hello").await.unwrap();
        assert!(is_broken(&mut stream).await);
    }
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    assert_eq!(echo(&mut stream, b"again").await, b"again");
}

#[tokio::test]
async fn one_way_faults_drop_bytes_and_reset_when_healed() {
    let swallow_to_target = Faults {
        swallow_to_target: true,
        ..Faults::default()
    };
    let swallow_from_target = Faults {
        swallow_from_target: true,
        ..Faults::default()
    };
    for faults in [swallow_to_target, swallow_from_target] {
        let (proxy, mut stream) = connected().await;
        proxy.set(faults);
        stream.write_all(b"lost").await.unwrap();
        assert!(is_quiet(&mut stream).await);
        proxy.heal();
        assert!(is_broken(&mut stream).await);
        let mut stream = TcpStream::connect(proxy.address).await.unwrap();
        assert_eq!(echo(&mut stream, b"again").await, b"again");
    }
}

#[tokio::test]
async fn cuts_after_bytes() {
    let (proxy, _first) = connected().await;
    proxy.set(Faults {
        cut_after_bytes: Some(3),
        ..Faults::default()
    });
    let mut stream = TcpStream::connect(proxy.address).await.unwrap();
    stream.write_all(b"hello").await.unwrap();
    let mut received = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut received))
        .await
        .unwrap();
    assert!(read.is_err());
    assert!(b"hel".starts_with(&received));
}

#[tokio::test]
async fn new_connections_go_to_a_new_target() {
    let (proxy, mut first) = connected().await;
    proxy.retarget("127.0.0.1:1".parse().unwrap());
    assert_eq!(echo(&mut first, b"still").await, b"still");
    let mut second = TcpStream::connect(proxy.address).await.unwrap();
    assert!(is_broken(&mut second).await);
}
