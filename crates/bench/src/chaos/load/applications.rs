//! Callers of the application: repeatable, at-most-once, and keyed requests that are sent again.

use std::sync::Mutex;
use std::time::Duration;

use futures_util::future::join_all;
use rand::RngExt;
use reqwest::Method;

use super::super::evidence::{Attempt, Outcome, Recorder, Request, RequestKind};
use super::{Task, record_error};
use crate::cluster::APPLICATION_POOL;
use crate::live::Caller;
use crate::stand_in::lock;

const PATH: &str = "price?currency=nok";
const PAUSE_MS: std::ops::Range<u64> = 20..150;
/// Time after which the caller of a keyed request abandons an attempt and sends it again.
const KEYED_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of attempts of a keyed request.
const KEYED_ATTEMPTS: usize = 3;
const KEYED_PAUSE_MS: std::ops::Range<u64> = 1..400;

/// Sends requests until stopped.
pub(super) async fn run(mut task: Task) {
    let mut round = 0;
    while !task.is_stopped() {
        round += 1;
        let content = format!("request {}/{round}", task.number);
        let request = match task.random.random_range(0..4) {
            0 => repeatable(&mut task, content).await,
            1 => at_most_once(&mut task, content).await,
            _ => keyed(&mut task, content).await,
        };
        let recorder = &task.shared.recorder;
        recorder.update(|observations| observations.requests.push(request));
        task.pause(PAUSE_MS).await;
    }
}

async fn repeatable(task: &mut Task, content: String) -> Request {
    let daemon = task.any_daemon();
    let attempt = send(&task.shared.recorder, daemon, Method::PUT, &content, &[]).await;
    Request {
        kind: RequestKind::Repeatable,
        content,
        tries: vec![attempt],
        lacks_versions: false,
    }
}

async fn at_most_once(task: &mut Task, content: String) -> Request {
    let daemon = task.any_daemon();
    let marked: &[(&str, &str)] = &[("Ladderstage-At-Most-Once", "true")];
    // Requests with non-idempotent methods are at-most-once without the header.
    let (method, headers) = match task.random.random() {
        true => (Method::POST, &[] as &[_]),
        false => (Method::PUT, marked),
    };
    let attempt = send(&task.shared.recorder, daemon, method, &content, headers).await;
    Request {
        kind: RequestKind::AtMostOnce,
        content,
        tries: vec![attempt],
        lacks_versions: false,
    }
}

/// Sends a keyed request through several daemons, concurrently or one after another.
async fn keyed(task: &mut Task, content: String) -> Request {
    let tries = Mutex::new(Vec::new());
    if task.random.random_range(0..3) == 0 {
        let daemons = [task.any_daemon(), task.any_daemon()];
        let both =
            daemons.map(|daemon| keyed_attempt(&task.shared.recorder, daemon, &content, &tries));
        join_all(both).await;
    }
    while lock(&tries).len() < KEYED_ATTEMPTS {
        let daemon = task.any_daemon();
        keyed_attempt(&task.shared.recorder, daemon, &content, &tries).await;
        task.pause(KEYED_PAUSE_MS).await;
    }
    Request {
        kind: RequestKind::Keyed,
        content,
        tries: std::mem::take(&mut lock(&tries)),
        lacks_versions: false,
    }
}

async fn keyed_attempt(
    recorder: &Recorder,
    daemon: String,
    content: &str,
    tries: &Mutex<Vec<Attempt>>,
) {
    let key = content.replace(' ', "-");
    let headers = [("Idempotency-Key", key.as_str())];
    let sent = send(recorder, daemon.clone(), Method::POST, content, &headers);
    let attempt = tokio::time::timeout(KEYED_TIMEOUT, sent).await;
    let attempt = attempt.unwrap_or_else(|_| Attempt {
        daemon,
        outcome: Outcome::Broken,
        detail: "abandoned by the caller".to_owned(),
    });
    lock(tries).push(attempt);
}

async fn send(
    recorder: &Recorder,
    daemon: String,
    method: Method,
    content: &str,
    headers: &[(&str, &str)],
) -> Attempt {
    let caller = Caller::new(&daemon);
    let call = caller.application_with(APPLICATION_POOL, method, PATH, content, headers);
    let result = call.await;
    if let Err(error) = &result {
        record_error(recorder, content, error);
    }
    Attempt {
        daemon,
        outcome: Outcome::of(&result),
        detail: result
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default(),
    }
}
