//! Tests of calls over working and failing connections.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ScriptedHandler, TEST_TIMEOUT, any_port, echoed, read_log_request, start_server};
use ladderstage_transport::limits::{CLIENT_CONNECTION_SOFT_LIMIT, MAX_CALLS_IN_FLIGHT};
use ladderstage_transport::{CallError, Client};
use ladderstage_wire::frame::{HEADER_BYTES, encode_frame};
use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::{Frame, Request, Response, mod_Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

async fn read_request(stream: &mut TcpStream) -> u64 {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await.expect("header");
    let header = ladderstage_wire::frame::FrameHeader::parse(header).expect("header");
    let mut payload = vec![0; header.length];
    stream.read_exact(&mut payload).await.expect("payload");
    header.decode_payload(&payload).expect("frame").call_id
}

fn done(call_id: u64) -> Vec<u8> {
    let kind = mod_Response::OneOfkind::done(Default::default());
    let body = OneOfbody::response(Response { kind });
    encode_frame(&Frame { call_id, body }).expect("small")
}

#[tokio::test]
async fn answers_come_back_out_of_order_on_one_connection() {
    let handler = Arc::new(ScriptedHandler::default());
    let server = start_server(Arc::clone(&handler)).await;
    let client = Client::new();
    let first = tokio::spawn({
        let (client, address) = (client.clone(), server.address());
        async move {
            client
                .call(address, read_log_request("hold"), TEST_TIMEOUT)
                .await
        }
    });
    handler.held.notified().await;
    let calls = (0..100).map(|number| {
        let (client, address) = (client.clone(), server.address());
        tokio::spawn(async move {
            let text = format!("text {number}");
            let response = client
                .call(address, read_log_request(&text), TEST_TIMEOUT)
                .await;
            assert_eq!(echoed(response.expect("answer")), text);
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("echoed to its own caller");
    }
    assert!(!first.is_finished());
    assert_eq!(client.open_connections(), 1);
    handler.release.notify_one();
    let response = first.await.expect("task").expect("answer");
    assert_eq!(echoed(response), "hold");
    let counted = server.traffic().snapshot();
    assert_eq!((counted.frames_in, counted.frames_out), (101, 101));
    assert_eq!(client.traffic().snapshot().bytes_out, counted.bytes_in);
}

#[tokio::test]
async fn refused_connect_is_not_sent_and_a_later_call_connects() {
    let listener = TcpListener::bind(any_port()).await.expect("listen");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let client = Client::new();
    let result = client
        .call(address, read_log_request("x"), TEST_TIMEOUT)
        .await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    let handler = Arc::new(ScriptedHandler::default());
    let server = ladderstage_transport::Server::start(address, handler).await;
    let _server = server.expect("listen again");
    let response = client
        .call(address, read_log_request("x"), TEST_TIMEOUT)
        .await;
    assert_eq!(echoed(response.expect("answer")), "x");
}

#[tokio::test]
async fn peer_that_closes_fails_every_call_in_flight_at_once() {
    let listener = TcpListener::bind(any_port()).await.expect("listen");
    let address = listener.local_addr().expect("address");
    let client = Client::new();
    let calls = (0..3).map(|_| {
        let client = client.clone();
        tokio::spawn(async move {
            client
                .call(address, read_log_request("x"), Duration::MAX)
                .await
        })
    });
    let calls = calls.collect::<Vec<_>>();
    let (mut stream, _) = listener.accept().await.expect("connection");
    for _ in 0..3 {
        read_request(&mut stream).await;
    }
    drop(stream);
    for call in calls {
        let result = tokio::time::timeout(TEST_TIMEOUT, call)
            .await
            .expect("ends");
        let result = result.expect("task");
        assert!(matches!(result, Err(CallError::Unknown(_))), "{result:?}");
    }
}

#[tokio::test]
async fn silent_peer_times_out_as_unknown_and_its_late_answer_is_dropped() {
    let listener = TcpListener::bind(any_port()).await.expect("listen");
    let address = listener.local_addr().expect("address");
    let client = Client::new();
    let accepting = tokio::spawn(async move { listener.accept().await.expect("connection").0 });
    let result = client
        .call(address, read_log_request("x"), SHORT_TIMEOUT)
        .await;
    assert!(matches!(result, Err(CallError::Unknown(_))), "{result:?}");
    let mut stream = accepting.await.expect("task");
    let late = read_request(&mut stream).await;
    let second = tokio::spawn({
        let client = client.clone();
        async move {
            client
                .call(address, read_log_request("y"), TEST_TIMEOUT)
                .await
        }
    });
    let current = read_request(&mut stream).await;
    stream.write_all(&done(late)).await.expect("write");
    stream.write_all(&done(late)).await.expect("write");
    stream.write_all(&done(current)).await.expect("write");
    second.await.expect("task").expect("answer");
}

#[tokio::test]
async fn silent_connection_is_replaced_after_timeouts_in_a_row() {
    let listener = TcpListener::bind(any_port()).await.expect("listen");
    let address = listener.local_addr().expect("address");
    let client = Client::new();
    let calling = tokio::spawn(async move {
        loop {
            let _ = client
                .call(address, read_log_request("x"), SHORT_TIMEOUT)
                .await;
        }
    });
    let _first = listener.accept().await.expect("connection");
    let second = tokio::time::timeout(TEST_TIMEOUT, listener.accept()).await;
    assert!(second.is_ok(), "no second connection");
    calling.abort();
}

#[tokio::test]
async fn call_that_never_reached_the_socket_is_not_sent() {
    let listener = TcpListener::bind(any_port()).await.expect("listen");
    let address = listener.local_addr().expect("address");
    let client = Client::new();
    // Fills the socket buffers, as the peer reads nothing.
    let blocking = tokio::spawn({
        let client = client.clone();
        let text = "x".repeat(15 * 1024 * 1024);
        async move {
            client
                .call(address, read_log_request(&text), TEST_TIMEOUT)
                .await
        }
    });
    let _stream = listener.accept().await.expect("connection");
    let result = client
        .call(address, read_log_request("y"), SHORT_TIMEOUT)
        .await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    blocking.abort();
}

#[tokio::test]
async fn calls_over_the_limit_are_not_sent() {
    let handler = Arc::new(ScriptedHandler::default());
    let server = start_server(Arc::clone(&handler)).await;
    let client = Client::new();
    let address = server.address();
    let mut calls = JoinSet::new();
    for _ in 0..MAX_CALLS_IN_FLIGHT + 2 {
        let client = client.clone();
        calls.spawn(async move {
            client
                .call(address, read_log_request("hold"), Duration::MAX)
                .await
        });
    }
    for _ in 0..2 {
        let refused = tokio::time::timeout(TEST_TIMEOUT, calls.join_next()).await;
        let refused = refused.expect("ends at once").expect("call").expect("task");
        assert!(matches!(refused, Err(CallError::NotSent(_))), "{refused:?}");
    }
    calls.shutdown().await;
    // Abandoned calls free capacity: at the client immediately, at the server when their handlers
    // end.
    let answered = async {
        loop {
            handler.release.notify_waiters();
            match client
                .call(address, read_log_request("x"), TEST_TIMEOUT)
                .await
            {
                Ok(response) => break echoed(response),
                Err(_) => tokio::task::yield_now().await,
            }
        }
    };
    let answered = tokio::time::timeout(TEST_TIMEOUT, answered).await;
    assert_eq!(answered.expect("free capacity"), "x");
}

#[tokio::test]
async fn refusals_and_failures_of_the_handler_give_different_errors() {
    let server = start_server(Arc::new(ScriptedHandler::default())).await;
    let client = Client::new();
    let call = |request: Request| client.call(server.address(), request, TEST_TIMEOUT);
    let refused = call(read_log_request("refuse")).await;
    assert!(matches!(refused, Err(CallError::Refused(_))), "{refused:?}");
    let malformed = call(Request::default()).await;
    assert!(
        matches!(malformed, Err(CallError::Refused(_))),
        "{malformed:?}"
    );
    // After a panic or an oversized response, the outcome is unknown.
    let panicked = call(read_log_request("panic")).await;
    assert!(
        matches!(panicked, Err(CallError::Unknown(_))),
        "{panicked:?}"
    );
    let too_big = call(read_log_request("big")).await;
    assert!(matches!(too_big, Err(CallError::Unknown(_))), "{too_big:?}");
    let too_big = call(read_log_request(&"x".repeat(17 * 1024 * 1024))).await;
    assert!(matches!(too_big, Err(CallError::NotSent(_))), "{too_big:?}");
    assert_eq!(
        echoed(call(read_log_request("x")).await.expect("answer")),
        "x"
    );
    assert_eq!(client.open_connections(), 1);
}

#[tokio::test]
async fn idle_connections_over_the_limit_are_closed() {
    let client = Client::new();
    let mut servers = Vec::new();
    for _ in 0..CLIENT_CONNECTION_SOFT_LIMIT + 8 {
        let server = start_server(Arc::new(ScriptedHandler::default())).await;
        let response = client
            .call(server.address(), read_log_request("x"), TEST_TIMEOUT)
            .await;
        assert_eq!(echoed(response.expect("answer")), "x");
        servers.push(server);
    }
    assert_eq!(client.open_connections(), CLIENT_CONNECTION_SOFT_LIMIT);
}

#[tokio::test]
async fn dropped_server_closes_its_connections() {
    let server = start_server(Arc::new(ScriptedHandler::default())).await;
    let client = Client::new();
    let address = server.address();
    client
        .call(address, read_log_request("x"), TEST_TIMEOUT)
        .await
        .expect("answer");
    let held = tokio::spawn({
        let client = client.clone();
        async move {
            client
                .call(address, read_log_request("hold"), Duration::MAX)
                .await
        }
    });
    while server.traffic().snapshot().frames_in < 2 {
        tokio::task::yield_now().await;
    }
    drop(server);
    let result = tokio::time::timeout(TEST_TIMEOUT, held)
        .await
        .expect("ends");
    assert!(matches!(result.expect("task"), Err(CallError::Unknown(_))));
}
