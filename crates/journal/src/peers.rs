//! What the journal needs of the other daemons.

use std::time::Duration;

use futures_util::future::BoxFuture;
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

    /// Calls a node.
    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>>;
}
