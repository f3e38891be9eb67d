//! Test bench of ladderstage: stand-ins for the surrounding systems, a fault-injecting proxy, and
//! tools that check the results.

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

/// Creates an HTTP client without redirects, proxies and retries.
pub fn http_client() -> reqwest::Client {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .build()
        .expect("a client without TLS can be built")
}
