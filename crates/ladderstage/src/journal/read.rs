//! Reads logs from a quorum without fencing their writers.

use std::collections::{BTreeMap, BTreeSet};

use ladderstage_wire::messages::{DescribeLogsReply, LogDescription, ReadLogReply};

use super::epoch::WriterEpoch;
use super::quorum::Quorum;

/// Collects the answers to a read of one log.
#[derive(Debug, Clone)]
pub struct LogRead {
    quorum: Quorum,
    answered: BTreeSet<u64>,
    newest: Option<ReadLogReply>,
}

impl LogRead {
    /// Creates a read from the replicas of `quorum`.
    pub fn new(quorum: Quorum) -> Self {
        Self {
            quorum,
            answered: BTreeSet::new(),
            newest: None,
        }
    }

    /// Adds an answer; returns whether a quorum has answered.
    pub fn on_reply(&mut self, reply: ReadLogReply) -> bool {
        if self.quorum.contains(reply.replica_id) && self.answered.insert(reply.replica_id) {
            self.keep_newest(reply);
        }
        self.quorum.is_met_by(&self.answered)
    }

    /// Returns the newest log among the answers; `None` if no replica has it.
    pub fn into_newest(self) -> Option<ReadLogReply> {
        self.newest
    }

    fn keep_newest(&mut self, reply: ReadLogReply) {
        if !reply.found {
            return;
        }
        let is_newer = match &self.newest {
            Some(newest) => rank(&reply) > rank(newest),
            None => true,
        };
        if is_newer {
            self.newest = Some(reply);
        }
    }
}

fn rank(reply: &ReadLogReply) -> (WriterEpoch, bool, usize) {
    let epoch = WriterEpoch::from(&reply.log_epoch);
    (epoch, reply.retired, reply.entries.len())
}

/// Collects descriptions of logs: for each log, that of the newest promise, the greatest length,
/// whether any replica reports it closed, and the shortest silence of the newest promise's writer.
#[derive(Debug, Clone)]
pub struct LogListing {
    quorum: Quorum,
    answered: BTreeSet<u64>,
    logs: BTreeMap<String, LogDescription>,
}

impl LogListing {
    /// Creates a listing from the replicas of `quorum`.
    pub fn new(quorum: Quorum) -> Self {
        Self {
            quorum,
            answered: BTreeSet::new(),
            logs: BTreeMap::new(),
        }
    }

    /// Adds an answer; returns whether a quorum has answered.
    pub fn on_reply(&mut self, reply: DescribeLogsReply) -> bool {
        if self.quorum.contains(reply.replica_id) && self.answered.insert(reply.replica_id) {
            reply.logs.into_iter().for_each(|log| self.keep_newest(log));
        }
        self.quorum.is_met_by(&self.answered)
    }

    /// Returns the newest description of each log, sorted by name.
    pub fn into_logs(self) -> Vec<LogDescription> {
        self.logs.into_values().collect()
    }

    fn keep_newest(&mut self, description: LogDescription) {
        let rank = |log: &LogDescription| {
            let epoch = WriterEpoch::from(&log.promised);
            (epoch, log.closed, log.length)
        };
        let Some(known) = self.logs.get_mut(&description.log) else {
            self.logs.insert(description.log.clone(), description);
            return;
        };
        // The replica with the newest promise may lack the log, as its writer may have stopped
        // after sealing.
        let length = known.length.max(description.length);
        let closed = known.closed || description.closed;
        let silence = owner_silence(known, &description);
        if rank(&description) > rank(known) {
            *known = description;
        }
        known.length = length;
        known.closed = closed;
        known.owner_silence_ms = silence;
    }
}

/// Returns the shortest known silence of the newest writer, in milliseconds; 0 if it is unknown.
fn owner_silence(left: &LogDescription, right: &LogDescription) -> u64 {
    let promised = |log: &LogDescription| WriterEpoch::from(&log.promised);
    let newest = promised(left).max(promised(right));
    let of_newest = [left, right].into_iter();
    of_newest
        .filter(|log| promised(log) == newest && log.owner_silence_ms > 0)
        .map(|log| log.owner_silence_ms)
        .min()
        .unwrap_or(0)
}
