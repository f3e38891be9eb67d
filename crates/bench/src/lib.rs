//! Test bench of ladderstage: stand-ins for the systems around it, a fault-injecting proxy, and tools that judge it.

pub mod chaos;
pub mod cluster;
pub mod command_line;
pub mod demo;
pub mod http_server;
pub mod live;
pub mod load;
pub mod processes;
pub mod proxy;
pub mod stand_in;
pub mod text;
pub mod trainer;
pub mod waiting;

/// A client that follows no redirects, uses no proxy and retries nothing.
pub fn http_client() -> reqwest::Client {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .build()
        .expect("a client without TLS can be built")
}
