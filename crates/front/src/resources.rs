//! Division of a machine's memory and descriptors among the parts of a front.

use std::time::Duration;

use ladderstage::journal::DEFAULT_PART_BYTES;
use ladderstage_transport::NewcomerLimits;

use crate::memory::BudgetSize;

/// Memory of a machine whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1_000_000;

/// Descriptors of a machine whose settings name none.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Smallest part of the memory for code and the state of the system, in bytes.
const MIN_STATE_BYTES: usize = 14 * 1_000_000;

/// Part of the memory for code and the state of the system on larger machines.
const STATE_SHARE: usize = 8;

/// Part of the memory for connections of clients.
const CONNECTIONS_SHARE: usize = 8;

/// Part of the memory that only small requests may use.
const SMALL_REQUESTS_SHARE: usize = 22;

/// Part of the memory for the entries in one message to a replica.
const PARTS_SHARE: usize = 256;

/// Part of the memory for the first requests of other nodes' connections.
const NEWCOMERS_SHARE: usize = 16;

/// Memory of a connection whose head arrives slowly: its buffers and its task, in bytes.
const CONNECTION_BYTES: usize = 32 * 1024;

/// Maximum connections to the readiness endpoint, and to the metrics endpoint.
pub(crate) const MAX_CHECK_CONNECTIONS: usize = 64;

/// Idle time of a connection to the readiness or metrics endpoint.
pub(crate) const CHECK_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum time for the head of a request to the readiness or metrics endpoint.
pub(crate) const CHECK_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Memory and descriptors of the machine, as far as the settings name them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineResources {
    /// Memory of this process, in bytes.
    pub memory_bytes: Option<usize>,
    /// Descriptors of this process.
    pub descriptors: Option<usize>,
    /// Maximum connections of clients in place of the one that follows from memory and descriptors.
    pub client_connections: Option<usize>,
    /// Bytes of requests in place of those that follow from the memory.
    pub request_bytes: Option<usize>,
}

impl MachineResources {
    /// Returns the budget of bytes for requests.
    pub fn budget(&self) -> BudgetSize {
        let memory = self.memory();
        let small_requests = memory / SMALL_REQUESTS_SHARE;
        let state = (memory / STATE_SHARE).max(MIN_STATE_BYTES);
        let other = state + memory / CONNECTIONS_SHARE + small_requests;
        BudgetSize {
            shared: self.request_bytes.unwrap_or(memory.saturating_sub(other)),
            small_requests,
        }
    }

    /// Returns the maximum number of connections of clients. Half of the descriptors stay free for
    /// instances, other nodes, the store and checks.
    pub fn client_connections(&self) -> usize {
        let by_memory = self.memory() / CONNECTIONS_SHARE / CONNECTION_BYTES;
        let by_descriptors = self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS) / 2;
        self.client_connections
            .unwrap_or(by_memory)
            .min(by_descriptors)
    }

    /// Returns the limits of connections to the address for other nodes that have not sent a request yet.
    /// All nodes may connect at once after a restart, and stay below a quarter of the descriptors.
    pub fn newcomers(&self) -> NewcomerLimits {
        NewcomerLimits {
            connections: self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS) / 4,
            bytes: self.memory() / NEWCOMERS_SHARE,
        }
    }

    /// Returns the maximum size of the entries in one message to a replica, in bytes. Some copies of a
    /// message exist for each replica.
    pub fn part_bytes(&self) -> usize {
        (self.memory() / PARTS_SHARE).min(DEFAULT_PART_BYTES)
    }

    fn memory(&self) -> usize {
        self.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES)
    }
}
