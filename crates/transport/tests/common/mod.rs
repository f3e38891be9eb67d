//! Test handler whose response depends on the request, and helpers for requests.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_transport::{Handler, Server};
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::{
    LogEntry, ReadLog, ReadLogReply, Refused, Request, Response, mod_Request, mod_Response,
};
use tokio::sync::Notify;

/// Timeout of waits that should end much earlier.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Handler of `ReadLog` requests, by log name: "hold" waits for `release`, "panic" panics, "refuse"
/// is refused, "big" returns a response over the frame limit, any other name is echoed.
#[derive(Default)]
pub struct ScriptedHandler {
    pub held: Notify,
    pub release: Notify,
}

impl Handler for ScriptedHandler {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send + '_>> {
        Box::pin(async move {
            let mod_Request::OneOfkind::read_log(request) = request.kind else {
                return refused(Reason::NOT_READY);
            };
            match request.log.as_str() {
                "hold" => {
                    self.held.notify_one();
                    self.release.notified().await;
                    echo(b"hold".to_vec())
                }
                "panic" => panic!("requested by the test"),
                "refuse" => refused(Reason::LEAVING),
                "big" => echo(vec![0; 17 * 1024 * 1024]),
                log => echo(log.as_bytes().to_vec()),
            }
        })
    }
}

fn refused(reason: Reason) -> Response {
    let refused = Refused {
        reason,
        ..Refused::default()
    };
    Response {
        kind: mod_Response::OneOfkind::refused(refused),
    }
}

fn echo(payload: Vec<u8>) -> Response {
    let reply = ReadLogReply {
        found: true,
        entries: vec![LogEntry { payload }],
        ..ReadLogReply::default()
    };
    Response {
        kind: mod_Response::OneOfkind::read_log(reply),
    }
}

pub fn read_log_request(log: &str) -> Request {
    let kind = mod_Request::OneOfkind::read_log(ReadLog {
        log: log.to_owned(),
        ..ReadLog::default()
    });
    Request { kind }
}

/// Returns the text that [`ScriptedHandler`] echoed.
pub fn echoed(response: Response) -> String {
    let mod_Response::OneOfkind::read_log(mut reply) = response.kind else {
        panic!("unexpected response {response:?}");
    };
    String::from_utf8(reply.entries.remove(0).payload).expect("text")
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub async fn start_server(handler: Arc<ScriptedHandler>) -> Server {
    Server::start(any_port(), handler).await.expect("listen")
}
