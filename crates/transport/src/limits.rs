//! Limits and timeouts of connections and calls.

use std::time::Duration;

/// Number of connections above which a client closes idle ones, least recently used first.
pub const CLIENT_CONNECTION_SOFT_LIMIT: usize = 64;

/// Maximum number of open connections of a client. Above [`CLIENT_CONNECTION_SOFT_LIMIT`] only busy ones stay
/// open.
pub const MAX_CLIENT_CONNECTIONS: usize = 256;

/// Maximum number of calls in flight on one client connection; further calls
/// fail with `NotSent`.
pub const MAX_CALLS_IN_FLIGHT: usize = 1024;

/// Maximum size of the requests queued for one client connection, in bytes; a request that would
/// exceed it fails with `NotSent`. A request is always accepted if the queue is empty.
pub const MAX_QUEUED_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// Timeout of an attempt to connect; calls with shorter timeouts end earlier.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of consecutive timeouts after which a client connection is replaced.
pub const TIMEOUTS_BEFORE_REPLACEMENT: u32 = 3;

/// Time without calls after which a client connection is not used again. Shorter than
/// [`SERVER_IDLE_TIMEOUT`], so that the server does not close a connection while a request is being
/// sent.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Time without received data after which a server closes a connection that has no request in
/// flight.
pub const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Time in which a new connection has to send its first request. Clients open a connection for a
/// request, of at most 16 MiB.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of connections of a server; further ones are closed immediately.
pub const MAX_SERVER_CONNECTIONS: usize = 4096;

/// Maximum number of requests in flight on one server connection; further ones are refused as
/// `OVERLOADED`.
pub const MAX_REQUESTS_IN_FLIGHT: usize = 1024;

/// Maximum number of queued responses of one server connection; handlers wait while the queue is
/// full.
pub const MAX_QUEUED_RESPONSES: usize = 64;

/// Timeout of writing one response.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a caller that was refused as `OVERLOADED` should retry.
pub const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(100);
