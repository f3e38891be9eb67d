//! Server side of one connection: reads requests, runs their handlers and writes the responses.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use futures_util::FutureExt;
use ladderstage_wire::frame::encode_frame;
use ladderstage_wire::kind::frame_kind;
use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::{Frame, Refused, Request, Response, mod_Request, mod_Response};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::framing::{ReadError, read_first_frame, read_frame};
use crate::limits::{
    FIRST_REQUEST_TIMEOUT, MAX_QUEUED_RESPONSES, MAX_REQUESTS_IN_FLIGHT, OVERLOADED_RETRY_AFTER,
    SERVER_IDLE_TIMEOUT, WRITE_TIMEOUT,
};
use crate::newcomers::Newcomer;
use crate::server::ResponseHold;
use crate::{Handler, Traffic};

type Responses = mpsc::Sender<QueuedResponse>;

/// Response that waits to be written.
struct QueuedResponse {
    frame: Frame,
    /// What the response occupies until it is written.
    _hold: ResponseHold,
}

impl From<Frame> for QueuedResponse {
    fn from(frame: Frame) -> Self {
        Self {
            frame,
            _hold: ResponseHold::default(),
        }
    }
}

/// State of one server connection.
pub(crate) struct Session {
    peer: SocketAddr,
    handler: Arc<dyn Handler>,
    traffic: Arc<Traffic>,
    in_flight: Arc<Semaphore>,
}

impl Session {
    pub fn new(peer: SocketAddr, handler: Arc<dyn Handler>, traffic: Arc<Traffic>) -> Self {
        Self {
            peer,
            handler,
            traffic,
            in_flight: Arc::new(Semaphore::new(MAX_REQUESTS_IN_FLIGHT)),
        }
    }

    /// Handles requests until the connection closes, fails or receives an invalid frame.
    pub async fn run(self, mut stream: TcpStream, newcomer: Newcomer) {
        // Only affects latency, so an error is ignored.
        let _ = stream.set_nodelay(true);
        let reading = read_first_frame(&mut stream, &self.traffic, &newcomer);
        let first = tokio::select! {
            biased;
            () = newcomer.displaced() => return,
            first = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, reading) => first,
        };
        drop(newcomer);
        let first = match first {
            Ok(Ok(frame)) => frame,
            Ok(Err(error)) => return self.log_end(&self.read_failed(&error)),
            Err(_) => return self.log_end("no request in time"),
        };
        let (reader, writer) = stream.into_split();
        let (responses, queue) = mpsc::channel(MAX_QUEUED_RESPONSES);
        let reason = tokio::select! {
            reason = self.read_requests(first, reader, responses) => reason,
            reason = self.write_responses(writer, queue) => reason,
        };
        self.log_end(&reason);
    }

    fn log_end(&self, reason: &str) {
        log::debug!(
            "event=peer_connection_ended peer={} reason={reason:?}",
            self.peer
        );
    }

    async fn read_requests(
        &self,
        first: Frame,
        reader: OwnedReadHalf,
        responses: Responses,
    ) -> String {
        let mut reader = BufReader::new(reader);
        let mut frame = first;
        loop {
            if let Some(refusal) = self.on_request(frame, &responses)
                && responses.send(refusal.into()).await.is_err()
            {
                return "writer stopped".to_owned();
            }
            frame = match self.next_frame(&mut reader).await {
                Ok(frame) => frame,
                Err(error) => return self.read_failed(&error),
            };
        }
    }

    /// Reads the next frame. Returns `Closed` if the connection is idle for too long.
    async fn next_frame(&self, reader: &mut BufReader<OwnedReadHalf>) -> Result<Frame, ReadError> {
        let reading = read_frame(reader, &self.traffic);
        tokio::pin!(reading);
        loop {
            if let Ok(result) = tokio::time::timeout(SERVER_IDLE_TIMEOUT, &mut reading).await {
                return result;
            }
            if self.in_flight.available_permits() == MAX_REQUESTS_IN_FLIGHT {
                return Err(ReadError::Closed);
            }
        }
    }

    fn read_failed(&self, error: &ReadError) -> String {
        let reason = error.to_string();
        if matches!(error, ReadError::Frame(_) | ReadError::Truncated) {
            log::warn!(
                "event=peer_frame_refused peer={} reason={reason:?}",
                self.peer
            );
        }
        reason
    }

    /// Starts to handle a request, or returns its refusal.
    fn on_request(&self, frame: Frame, responses: &Responses) -> Option<Frame> {
        let call_id = frame.call_id;
        let Some(request) = known_request(frame) else {
            log::warn!(
                "event=peer_frame_refused peer={} reason=\"unknown request\"",
                self.peer
            );
            return Some(refusal(call_id, Reason::MALFORMED, "unknown request"));
        };
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            return Some(refusal(
                call_id,
                Reason::OVERLOADED,
                "too many requests in flight",
            ));
        };
        let handler = Arc::clone(&self.handler);
        let responses = responses.clone();
        tokio::spawn(answer(handler, call_id, request, responses, permit));
        None
    }

    async fn write_responses(
        &self,
        mut writer: OwnedWriteHalf,
        mut queue: mpsc::Receiver<QueuedResponse>,
    ) -> String {
        while let Some(QueuedResponse { frame, _hold }) = queue.recv().await {
            let encoded = match encode_response(&frame) {
                Ok(encoded) => encoded,
                Err(reason) => return reason,
            };
            let writing = writer.write_all(&encoded);
            match tokio::time::timeout(WRITE_TIMEOUT, writing).await {
                Ok(Ok(())) => self.traffic.sent(encoded.len()),
                Ok(Err(error)) => return format!("write failed: {error}"),
                Err(_) => return format!("response not written within {WRITE_TIMEOUT:?}"),
            }
        }
        "reader stopped".to_owned()
    }
}

fn known_request(frame: Frame) -> Option<Request> {
    match frame.body {
        OneOfbody::request(request) if request.kind != mod_Request::OneOfkind::None => {
            Some(request)
        }
        _ => None,
    }
}

/// Runs the handler to completion and queues its response, unless the connection has closed.
async fn answer(
    handler: Arc<dyn Handler>,
    call_id: u64,
    request: Request,
    responses: Responses,
    _permit: OwnedSemaphorePermit,
) {
    let handling = async { handler.handle_held(request).await };
    let queued = match AssertUnwindSafe(handling).catch_unwind().await {
        Ok(handled) => {
            let (response, hold) = handled.into_parts();
            QueuedResponse {
                frame: Frame {
                    call_id,
                    body: OneOfbody::response(response),
                },
                _hold: hold,
            }
        }
        Err(_) => {
            log::error!("event=peer_request_panicked call={call_id}");
            refusal(call_id, Reason::INTERNAL, "handler panicked").into()
        }
    };
    let _ = responses.send(queued).await;
}

/// Encodes a response. One that exceeds the frame limit is replaced by `INTERNAL`, so that the
/// outcome is unknown to the caller.
fn encode_response(frame: &Frame) -> Result<Vec<u8>, String> {
    match encode_frame(frame) {
        Ok(encoded) => Ok(encoded),
        Err(error) => {
            let detail = error.to_string();
            let kind = frame_kind(frame);
            log::error!("event=peer_response_refused response={kind} reason={detail:?}");
            encode_frame(&refusal(frame.call_id, Reason::INTERNAL, &detail))
                .map_err(|error| error.to_string())
        }
    }
}

fn refusal(call_id: u64, reason: Reason, detail: &str) -> Frame {
    let retry_after = match reason {
        Reason::OVERLOADED => OVERLOADED_RETRY_AFTER.as_millis() as u64,
        _ => 0,
    };
    let refused = Refused {
        reason,
        detail: detail.to_owned(),
        retry_after_ms: retry_after,
    };
    let kind = mod_Response::OneOfkind::refused(refused);
    Frame {
        call_id,
        body: OneOfbody::response(Response { kind }),
    }
}
