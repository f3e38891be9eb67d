//! Interface to the other daemons.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use ladderstage_transport::CallError;
use ladderstage_wire::messages::{Request, Response};

use crate::members::Members;

/// Future of the response to a call.
pub type PendingCall<'a> = Pin<Box<dyn Future<Output = Result<Response, CallError>> + Send + 'a>>;

/// Connections to the other daemons.
pub trait Peers: Debug + Send + Sync + 'static {
    /// Returns the name of this node.
    fn own(&self) -> String;

    /// Returns the names of the members that accept work, including this node.
    fn alive(&self) -> Vec<String>;

    /// Calls a member by name.
    fn call<'a>(&'a self, node: &'a str, request: Request, timeout: Duration) -> PendingCall<'a>;
}

impl Peers for Members {
    fn own(&self) -> String {
        Members::own(self).node
    }

    fn alive(&self) -> Vec<String> {
        let alive = Members::alive(self);
        alive.into_iter().map(|member| member.node).collect()
    }

    fn call<'a>(&'a self, node: &'a str, request: Request, timeout: Duration) -> PendingCall<'a> {
        Box::pin(Members::call(self, node, request, timeout))
    }
}
