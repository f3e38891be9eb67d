//! What the journal needs of the other daemons.

use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage::ids::ProcessId;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::{Member, Request, Response};

/// Calls to other daemons by name. Tests put an in-memory network in its place.
pub trait Peers: Send + Sync + 'static {
    /// Members that take work, this node included.
    fn alive(&self) -> Vec<Member>;

    /// Members that may take over logs; by default all that take work.
    fn successors(&self) -> Vec<Member> {
        self.alive()
    }

    /// Members that logs without an owner go to; by default all that may take one.
    fn takeover_candidates(&self) -> Vec<Member> {
        self.successors()
    }

    /// Whether a process is known to be over. A hint: only what is done sooner depends on it.
    fn has_exited(&self, _process: ProcessId) -> bool {
        false
    }

    /// Calls a node.
    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>>;
}
