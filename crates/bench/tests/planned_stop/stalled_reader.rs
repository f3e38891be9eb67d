//! A caller that has not read an answer whose last bytes are still in the daemon.

use std::time::{Duration, Instant};

use ladderstage_bench::cluster::Daemon;

use crate::connections::{Body, Connection};

const PATH: &str = "/v1/apps/prisverk/price";
/// Maximum size of the tried requests, and thus of their echoed answers.
const MAX_BYTES: usize = 4_000_000;
/// Maximum size of the part of an answer that remains in the daemon.
const RESOLUTION_BYTES: usize = 16 * 1024;
/// Time for an answer to leave the daemon if nothing blocks it.
const SETTLE: Duration = Duration::from_millis(400);
const POLL: Duration = Duration::from_millis(20);

/// Caller that has read the head of its answer only.
pub struct StalledReader {
    connection: Connection,
    body: Body,
}

impl StalledReader {
    /// Searches for the longest answer that the daemon counts as sent though its caller does not
    /// read: the socket buffers are then full, and the end of the answer is still in the daemon.
    pub async fn with_unsent_end(daemon: &mut Daemon) -> Self {
        let process = daemon.process.as_mut().unwrap();
        let address = process.address("http").await.unwrap();
        let (mut sent_length, mut held_length) = (0, MAX_BYTES);
        let mut longest_sent = None;
        while held_length - sent_length > RESOLUTION_BYTES {
            let middle = (sent_length + held_length) / 2;
            let mut connection = Connection::open_narrow(address).await;
            let request = "x".repeat(middle);
            let body = connection.send("POST", PATH, &request).await;
            if counts_as_sent(daemon).await {
                sent_length = middle;
                longest_sent = Some(Self { connection, body });
            } else {
                held_length = middle;
            }
        }
        longest_sent.expect("no answer fits into the buffers")
    }

    /// Reads the rest of the answer.
    pub async fn read_to_end(&mut self) {
        self.connection.read_to_end(&self.body).await;
    }
}

async fn counts_as_sent(daemon: &Daemon) -> bool {
    let start = Instant::now();
    while start.elapsed() < SETTLE {
        if daemon.status().await.unwrap().in_flight == 0 {
            return true;
        }
        tokio::time::sleep(POLL).await;
    }
    false
}
