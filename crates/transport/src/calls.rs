//! Table of the calls in flight on one client connection.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use ladderstage_wire::messages::Response;
use tokio::sync::oneshot;

use crate::CallError;
use crate::limits::{MAX_CALLS_IN_FLIGHT, MAX_QUEUED_REQUEST_BYTES};

/// Result of a call.
pub(crate) type CallResult = Result<Response, CallError>;

/// Reason why a call cannot be added to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RegisterError {
    #[error("connection closed")]
    Closed,
    #[error("limit of {MAX_CALLS_IN_FLIGHT} calls in flight reached")]
    TooManyCalls,
    #[error("limit of {MAX_QUEUED_REQUEST_BYTES} bytes of queued requests reached")]
    TooManyBytes,
}

#[derive(Debug)]
struct Call {
    reply: oneshot::Sender<CallResult>,
    /// Set before the first byte is written to the socket.
    handed_to_socket: bool,
}

/// Calls in flight. Each ends exactly once: completed, abandoned by its caller, or failed with the
/// connection.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    queued_bytes: usize,
    calls: HashMap<u64, Call>,
}

impl Calls {
    /// Adds a call whose encoded request of `bytes` bytes is about to be queued; returns the
    /// receiver of its result.
    ///
    /// # Errors
    ///
    /// If the connection is closed or a limit is reached.
    pub fn register(
        &self,
        call_id: u64,
        bytes: usize,
    ) -> Result<oneshot::Receiver<CallResult>, RegisterError> {
        let mut state = self.lock();
        if state.closed {
            return Err(RegisterError::Closed);
        }
        if state.calls.len() >= MAX_CALLS_IN_FLIGHT {
            return Err(RegisterError::TooManyCalls);
        }
        if state.queued_bytes > 0 && state.queued_bytes + bytes > MAX_QUEUED_REQUEST_BYTES {
            return Err(RegisterError::TooManyBytes);
        }
        state.queued_bytes += bytes;
        let (sender, reply) = oneshot::channel();
        let call = Call {
            reply: sender,
            handed_to_socket: false,
        };
        state.calls.insert(call_id, call);
        Ok(reply)
    }

    /// Releases the queue capacity of a request of `bytes` bytes that has left the queue.
    pub fn release_queued(&self, bytes: usize) {
        let mut state = self.lock();
        state.queued_bytes = state.queued_bytes.saturating_sub(bytes);
    }

    /// Marks a call as about to be written to the socket. Returns false if its caller has abandoned
    /// it; it must not be sent then.
    pub fn mark_sent(&self, call_id: u64) -> bool {
        let mut state = self.lock();
        match state.calls.get_mut(&call_id) {
            Some(call) => {
                call.handed_to_socket = true;
                true
            }
            None => false,
        }
    }

    /// Ends a call with its result. Returns false if its caller no longer waits.
    pub fn complete(&self, call_id: u64, result: CallResult) -> bool {
        let call = self.lock().calls.remove(&call_id);
        match call {
            Some(call) => call.reply.send(result).is_ok(),
            None => false,
        }
    }

    /// Ends a call without a response. Returns whether its request may have been written to the
    /// socket; `None` if the call had already ended.
    pub fn abandon(&self, call_id: u64) -> Option<bool> {
        let call = self.lock().calls.remove(&call_id)?;
        Some(call.handed_to_socket)
    }

    /// Fails all calls and refuses further ones.
    pub fn close(&self, reason: &str) {
        let calls = {
            let mut state = self.lock();
            state.closed = true;
            std::mem::take(&mut state.calls)
        };
        for call in calls.into_values() {
            let error = match call.handed_to_socket {
                true => CallError::Unknown(reason.to_owned()),
                false => CallError::NotSent(reason.to_owned()),
            };
            let _ = call.reply.send(Err(error));
        }
    }

    /// Returns whether further calls are refused.
    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Returns whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.lock().calls.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is harmless: no code that holds it can panic during a change.
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
