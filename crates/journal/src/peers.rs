//! The journal's interface to the other nodes.

use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage::ids::ProcessId;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::{Member, Request, Response};

/// Membership of the cluster, and calls to other nodes by name. Tests use an in-memory network.
pub trait Peers: Send + Sync + 'static {
    /// Returns the members that accept work, including this node.
    fn alive(&self) -> Vec<Member>;

    /// Returns the members that may take over logs; by default all alive members.
    fn successors(&self) -> Vec<Member> {
        self.alive()
    }

    /// Returns the members to which orphaned logs are assigned; by default all successors.
    fn takeover_candidates(&self) -> Vec<Member> {
        self.successors()
    }

    /// Returns whether all nodes with a disk wait for each other when several replicas join at once.
    /// Earlier builds complete a change as soon as they have copied the logs themselves; beside them
    /// replicas join one at a time.
    fn replicas_join_together(&self) -> bool {
        false
    }

    /// Returns whether a node with a disk is known that does not wait for the others when several replicas
    /// join at once.
    fn knows_earlier_builds(&self) -> bool {
        false
    }

    /// Returns whether a process is known to have exited. This is a hint that only speeds up the
    /// take-over of its logs.
    fn has_exited(&self, _process: ProcessId) -> bool {
        false
    }

    /// Sends a request to a node and waits for the response, at most for `timeout`.
    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>>;
}
