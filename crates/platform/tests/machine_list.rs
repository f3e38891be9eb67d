//! Machine list client: valid, malformed and unexpected answers.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage_platform::control::ControlError;
use ladderstage_platform::machine_list::{MachineList, MachineState, Machines};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that sends the same bytes to every request and closes the connection.
async fn serve(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let _ = connection.read(&mut [0; 4096]).await;
            let _ = connection.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn read(status: &str, body: &str) -> Result<Machines, ControlError> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n");
    let address = serve(format!("{head}\r\n{body}")).await;
    let list = MachineList::new(&format!("http://{address}/"), Duration::from_secs(20));
    list.read().await
}

#[tokio::test]
async fn malformed_entries_are_skipped_and_reported() {
    let body = r#"{"machines":[
        {"name":"e1","address":"10.0.0.1:80","zone":"a","kind":"engine","state":"leaving"},
        {"name":"e2","address":"not-an-ip:80","zone":"a","kind":"engine","state":"live"},
        {"name":"e3"}]}"#;
    let machines = read("200 OK", body).await.expect("an answer");
    assert_eq!(machines.machines.len(), 1);
    assert_eq!(machines.machines[0].state, MachineState::Leaving);
    assert_eq!(machines.findings.len(), 2);
    assert!(
        machines.findings[0].starts_with("machines[1]: "),
        "{:?}",
        machines.findings
    );
}

#[tokio::test]
async fn unexpected_answers_are_errors() {
    let error = read("200 OK", "[]").await.expect_err("not an object");
    assert!(matches!(error, ControlError::Malformed(_)), "{error}");
    let redirect = "302 Found\r\nlocation: http://127.0.0.1:9/";
    assert_eq!(read(redirect, "").await, Err(ControlError::Status(302)));
    let long = " ".repeat(5 * 1024 * 1024);
    let error = read("200 OK", &long).await.expect_err("too long");
    assert!(matches!(error, ControlError::TooLong(_)), "{error}");
}
