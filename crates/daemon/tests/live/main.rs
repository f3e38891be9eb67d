//! Live requests over HTTP, with two daemons, three journal replicas and stand-in back ends behind fault proxies.

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
