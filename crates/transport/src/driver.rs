//! The task of one client connection: connects, writes requests and reads responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use ladderstage_wire::messages::mod_Frame::OneOfbody;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Response::OneOfkind;
use ladderstage_wire::messages::{Frame, Response};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::calls::{CallResult, Calls};
use crate::framing::{ReadError, read_frame};
use crate::limits::CONNECT_TIMEOUT;
use crate::{CallError, Traffic};

/// Encoded request that waits to be written.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub call_id: u64,
    pub encoded: Vec<u8>,
}

/// Task of a client connection.
#[derive(Debug)]
pub(crate) struct Driver {
    pub address: SocketAddr,
    pub calls: Arc<Calls>,
    pub consecutive_timeouts: Arc<AtomicU32>,
    pub traffic: Arc<Traffic>,
}

impl Driver {
    /// Runs the connection until it fails, then fails all calls in flight.
    pub async fn run(self, requests: mpsc::Receiver<OutgoingRequest>) {
        let reason = match self.connect().await {
            Ok(stream) => self.exchange(stream, requests).await,
            Err(reason) => reason,
        };
        log::debug!(
            "event=peer_connection_ended peer={} reason={reason:?}",
            self.address
        );
        self.calls.close(&reason);
    }

    async fn connect(&self) -> Result<TcpStream, String> {
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| format!("connect timed out after {CONNECT_TIMEOUT:?}"))?
            .map_err(|error| format!("connect failed: {error}"))?;
        // Only affects latency, so an error is ignored.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        requests: mpsc::Receiver<OutgoingRequest>,
    ) -> String {
        let (reader, writer) = stream.into_split();
        tokio::select! {
            reason = self.write_requests(writer, requests) => reason,
            reason = self.read_responses(reader) => reason,
        }
    }

    async fn write_requests(
        &self,
        mut writer: OwnedWriteHalf,
        mut requests: mpsc::Receiver<OutgoingRequest>,
    ) -> String {
        while let Some(request) = requests.recv().await {
            let bytes = request.encoded.len();
            self.calls.release_queued(bytes);
            if !self.calls.mark_sent(request.call_id) {
                continue;
            }
            if let Err(error) = writer.write_all(&request.encoded).await {
                return format!("write failed: {error}");
            }
            self.traffic.sent(bytes);
        }
        "connection dropped".to_owned()
    }

    async fn read_responses(&self, reader: OwnedReadHalf) -> String {
        let mut reader = BufReader::new(reader);
        loop {
            let frame = match read_frame(&mut reader, &self.traffic).await {
                Ok(frame) => frame,
                Err(error) => return self.read_failed(&error),
            };
            self.consecutive_timeouts.store(0, Ordering::Relaxed);
            if let Err(reason) = self.on_response(frame) {
                log::warn!(
                    "event=peer_frame_refused peer={} reason={reason:?}",
                    self.address
                );
                return reason;
            }
        }
    }

    fn read_failed(&self, error: &ReadError) -> String {
        if let ReadError::Frame(frame_error) = error {
            log::warn!(
                "event=peer_frame_refused peer={} reason={:?}",
                self.address,
                frame_error.to_string()
            );
        }
        error.to_string()
    }

    fn on_response(&self, frame: Frame) -> Result<(), String> {
        let OneOfbody::response(response) = frame.body else {
            return Err("frame is not a response".to_owned());
        };
        if !self.calls.complete(frame.call_id, call_result(response)) {
            log::debug!("event=late_response_dropped peer={}", self.address);
        }
        Ok(())
    }
}

/// Converts a response to the result of its call. A response of an unknown kind and `INTERNAL` leave
/// the outcome unknown: the handler may have failed after it took effect.
fn call_result(response: Response) -> CallResult {
    match response.kind {
        OneOfkind::None => Err(CallError::Unknown("unknown kind of response".to_owned())),
        OneOfkind::refused(refused) if refused.reason == Reason::INTERNAL => Err(
            CallError::Unknown(format!("peer failed: {}", refused.detail)),
        ),
        OneOfkind::refused(refused) => Err(CallError::Refused(refused)),
        kind => Ok(Response { kind }),
    }
}
