//! Calls between ladderstage processes over TCP: one multiplexed connection to each peer, typed
//! requests and responses, and errors that distinguish whether the peer may have received the
//! request.

mod calls;
mod client;
mod connection;
mod driver;
mod error;
mod framing;
pub mod limits;
mod newcomers;
mod server;
mod session;
mod traffic;

pub use client::Client;
pub use error::CallError;
pub use newcomers::NewcomerLimits;
pub use server::{Handler, HeldResponse, Server};
pub use traffic::{Traffic, TrafficSnapshot};
