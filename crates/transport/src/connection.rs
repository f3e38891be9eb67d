//! One client connection, which multiplexes many calls over one socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use ladderstage_wire::frame::encode_frame;
use ladderstage_wire::kind::frame_kind;
use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::{Frame, Request};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::calls::{CallResult, Calls, RegisterError};
use crate::driver::{Driver, OutgoingRequest};
use crate::limits::{MAX_CALLS_IN_FLIGHT, TIMEOUTS_BEFORE_REPLACEMENT};
use crate::{CallError, Traffic};

/// Result of an attempt to make a call on a connection.
pub(crate) enum Attempt {
    /// The call ended with this result.
    Ended(CallResult),
    /// The connection was closed before the call was added; nothing was sent.
    Closed(Box<Request>),
}

/// One client connection; its task stops when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    calls: Arc<Calls>,
    last_call_id: AtomicU64,
    outgoing: mpsc::Sender<OutgoingRequest>,
    consecutive_timeouts: Arc<AtomicU32>,
    task: AbortHandle,
}

impl Connection {
    /// Starts to connect. Calls may be made immediately and are sent once the connection is
    /// established.
    pub fn open(address: SocketAddr, traffic: Arc<Traffic>) -> Self {
        let calls = Arc::new(Calls::default());
        let consecutive_timeouts = Arc::new(AtomicU32::new(0));
        let (outgoing, requests) = mpsc::channel(MAX_CALLS_IN_FLIGHT);
        let driver = Driver {
            address,
            calls: Arc::clone(&calls),
            consecutive_timeouts: Arc::clone(&consecutive_timeouts),
            traffic,
        };
        let task = tokio::spawn(driver.run(requests)).abort_handle();
        Self {
            calls,
            last_call_id: AtomicU64::new(0),
            outgoing,
            consecutive_timeouts,
            task,
        }
    }

    /// Returns whether the connection must be replaced: it is closed, or too many consecutive calls
    /// timed out.
    pub fn needs_replacement(&self) -> bool {
        let timeouts = self.consecutive_timeouts.load(Ordering::Relaxed);
        timeouts >= TIMEOUTS_BEFORE_REPLACEMENT || self.calls.is_closed()
    }

    /// Returns whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.calls.is_idle()
    }

    /// Makes a call.
    pub async fn call(&self, request: Request, timeout: Duration) -> Attempt {
        let call_id = self.last_call_id.fetch_add(1, Ordering::Relaxed) + 1;
        let frame = Frame {
            call_id,
            body: OneOfbody::request(request),
        };
        let encoded = match encode_frame(&frame) {
            Ok(encoded) => encoded,
            Err(error) => return not_sent(format!("{}: {error}", frame_kind(&frame))),
        };
        let mut reply = match self.calls.register(call_id, encoded.len()) {
            Ok(reply) => reply,
            Err(RegisterError::Closed) => return closed(frame),
            Err(error) => return not_sent(error.to_string()),
        };
        let _guard = CallGuard {
            calls: &self.calls,
            call_id,
        };
        drop(frame);
        self.enqueue(call_id, encoded);
        match tokio::time::timeout(timeout, &mut reply).await {
            Ok(Ok(result)) => Attempt::Ended(result),
            Ok(Err(_)) => not_sent("request queue is full".to_owned()),
            Err(_) => Attempt::Ended(self.timed_out(call_id, timeout, reply)),
        }
    }

    /// Queues an encoded request. If the queue is full, abandons the call, which drops the sender
    /// of its reply.
    fn enqueue(&self, call_id: u64, encoded: Vec<u8>) {
        let bytes = encoded.len();
        let request = OutgoingRequest { call_id, encoded };
        if self.outgoing.try_send(request).is_err() {
            self.calls.release_queued(bytes);
            self.calls.abandon(call_id);
        }
    }

    fn timed_out(
        &self,
        call_id: u64,
        timeout: Duration,
        mut reply: oneshot::Receiver<CallResult>,
    ) -> CallResult {
        match self.calls.abandon(call_id) {
            Some(true) => {
                self.consecutive_timeouts.fetch_add(1, Ordering::Relaxed);
                Err(CallError::Unknown(format!(
                    "no response within {timeout:?}"
                )))
            }
            Some(false) => Err(CallError::NotSent(format!("not sent within {timeout:?}"))),
            // The call ended at the same moment.
            None => reply
                .try_recv()
                .unwrap_or_else(|_| Err(CallError::Unknown("response lost".to_owned()))),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn not_sent(reason: String) -> Attempt {
    Attempt::Ended(Err(CallError::NotSent(reason)))
}

fn closed(frame: Frame) -> Attempt {
    match frame.body {
        OneOfbody::request(request) => Attempt::Closed(Box::new(request)),
        _ => not_sent("connection closed".to_owned()),
    }
}

/// Guard that abandons the call when its caller stops waiting, including when the caller's future
/// is dropped.
struct CallGuard<'a> {
    calls: &'a Calls,
    call_id: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.calls.abandon(self.call_id);
    }
}
