//! Live requests over HTTP: two daemons on a journal of three replicas, stand-in back ends behind fault proxies.

mod applications;
mod completions;
mod fixture;
mod keys;
#[path = "../journal/network.rs"]
#[allow(dead_code)]
mod network;
#[path = "../standin/mod.rs"]
mod standin;
mod stop;
mod unread_bodies;
