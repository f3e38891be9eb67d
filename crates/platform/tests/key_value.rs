//! Key-value client against a service with lost answers, broken connections and rate limits.

#[path = "support/key_value_server.rs"]
mod key_value_server;

use std::time::Duration;

use key_value_server::{Fault, KeyValueServer};
use ladderstage_platform::key_value::{KeyValue, KeyValueError, SwapOutcome};

/// Long enough not to expire on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

fn client(servers: &[&str]) -> KeyValue {
    let urls = servers.iter().map(|url| (*url).to_owned()).collect();
    KeyValue::new(urls, TIMEOUT)
}

/// Returns a base URL that refuses connections. Its port is bound but does not listen.
fn closed_url() -> (tokio::net::TcpSocket, String) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let url = format!("http://{}", socket.local_addr().unwrap());
    (socket, url)
}

#[tokio::test]
async fn swaps_require_the_expected_revision() {
    let server = KeyValueServer::start().await;
    let client = client(&[&server.url]);
    assert_eq!(client.get("a/head").await, Ok(None));
    let won = client.compare_and_swap("a/head", 0, b"one".to_vec()).await;
    assert_eq!(won, Ok(SwapOutcome::Won { mod_revision: 1 }));
    let lost = client.compare_and_swap("a/head", 0, b"two".to_vec()).await;
    let Ok(SwapOutcome::Lost(Some(entry))) = lost else {
        panic!("{lost:?}");
    };
    assert_eq!(
        (entry.value.as_slice(), entry.mod_revision),
        (&b"one"[..], 1)
    );
    assert_eq!(client.get_linearizable("a/head").await, Ok(Some(entry)));
    assert_eq!(client.get_linearizable("none").await, Ok(None));
    client.put("a/other", vec![0, 255]).await.unwrap();
    client.put("b", vec![]).await.unwrap();
    let listed = client.list("a/").await.unwrap();
    let keys: Vec<&str> = listed.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["a/head", "a/other"]);
    assert_eq!(listed[1].1.value, [0, 255]);
}

#[tokio::test]
async fn an_unknown_swap_is_not_sent_to_a_second_url() {
    for fault in [Fault::CutBefore, Fault::CutAfter, Fault::Garbage] {
        let (first, second) = (KeyValueServer::start().await, KeyValueServer::start().await);
        first.queue_write_fault(fault);
        let client = client(&[&first.url, &second.url]);
        let outcome = client.compare_and_swap("k", 0, b"v".to_vec()).await;
        assert!(
            matches!(outcome, Err(KeyValueError::Unknown(_))),
            "{fault:?}: {outcome:?}"
        );
        assert_eq!(
            (first.write_count(), second.write_count()),
            (1, 0),
            "{fault:?}"
        );
    }
}

#[tokio::test]
async fn an_unsent_swap_is_retried_at_the_next_url() {
    let server = KeyValueServer::start().await;
    let (_socket, closed) = closed_url();
    let outcome = client(&[&closed, &server.url])
        .compare_and_swap("k", 0, b"v".to_vec())
        .await;
    assert_eq!(outcome, Ok(SwapOutcome::Won { mod_revision: 1 }));
    let outcome = client(&[&closed]).put("k", b"v".to_vec()).await;
    assert!(
        matches!(outcome, Err(KeyValueError::NotSent(_))),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn reads_fail_over_and_rate_limits_are_reported() {
    let (first, second) = (KeyValueServer::start().await, KeyValueServer::start().await);
    let client = client(&[&first.url, &second.url]);
    for fault in [Fault::CutBefore, Fault::Garbage] {
        first.set_fault(Some(fault));
        assert_eq!(client.get("k").await, Ok(None), "{fault:?}");
    }
    second.set_fault(Some(Fault::RateLimited));
    assert_eq!(client.get("k").await, Err(KeyValueError::RateLimited));
    let outcome = client.put("k", vec![]).await;
    assert_eq!(outcome, Err(KeyValueError::RateLimited));
}
