//! Reads logs from a quorum without fencing their writers.

use std::collections::btree_map::Entry;
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

fn rank(reply: &ReadLogReply) -> (WriterEpoch, bool, u64) {
    let epoch = WriterEpoch::from(&reply.log_epoch);
    (epoch, reply.retired, stored_length(reply))
}

/// Returns the number of entries that the answering replica stores. A replica of an earlier version
/// sends all of them.
pub fn stored_length(reply: &ReadLogReply) -> u64 {
    reply.length.max(reply.entries.len() as u64)
}

/// Collects descriptions of logs by the writers that replicas have promised them to.
///
/// A writer that was refused by a quorum may leave its promise at a minority of the replicas. It
/// then has the newest epoch, while the log still belongs to an earlier writer, which at least one
/// of each quorum describes.
#[derive(Debug, Clone)]
pub struct LogListing {
    quorum: Quorum,
    answered: BTreeSet<u64>,
    /// Descriptions of each log by the promised epoch.
    logs: BTreeMap<String, BTreeMap<WriterEpoch, LogDescription>>,
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
            reply.logs.into_iter().for_each(|log| self.add(log));
        }
        self.quorum.is_met_by(&self.answered)
    }

    /// Returns a description of each log, sorted by name: that of the newest promise, with length and
    /// closure of the log, whichever writer reported them.
    pub fn into_logs(self) -> Vec<LogDescription> {
        let logs = self.logs.into_values();
        logs.filter_map(|writers| newest_first(writers).into_iter().next())
            .collect()
    }

    /// Returns a description of one log for each writer that a replica has promised it to, newest
    /// first. Length and closure are those of the log, whichever writer reported them.
    pub fn into_writers(mut self, log: &str) -> Vec<LogDescription> {
        self.logs.remove(log).map_or_else(Vec::new, newest_first)
    }

    fn add(&mut self, description: LogDescription) {
        let writers = self.logs.entry(description.log.clone()).or_default();
        match writers.entry(WriterEpoch::from(&description.promised)) {
            Entry::Vacant(entry) => {
                entry.insert(description);
            }
            Entry::Occupied(mut entry) => merge(entry.get_mut(), &description),
        }
    }
}

/// Merges the description of the same writer by another replica.
fn merge(known: &mut LogDescription, description: &LogDescription) {
    known.length = known.length.max(description.length);
    known.closed |= description.closed;
    known.owner_silence_ms = shortest_silence(known, description);
}

/// Returns the shortest known silence of a writer, in milliseconds; 0 if it is unknown.
fn shortest_silence(left: &LogDescription, right: &LogDescription) -> u64 {
    let silences = [left.owner_silence_ms, right.owner_silence_ms].into_iter();
    silences.filter(|silence| *silence > 0).min().unwrap_or(0)
}

/// Sorts the writers of one log, and gives each of them the greatest length and the closure. The
/// replica with the newest promise may lack the log, as its writer may have stopped after sealing.
fn newest_first(writers: BTreeMap<WriterEpoch, LogDescription>) -> Vec<LogDescription> {
    let length = writers.values().map(|log| log.length).max();
    let closed = writers.values().any(|log| log.closed);
    let mut writers: Vec<LogDescription> = writers.into_values().rev().collect();
    for writer in &mut writers {
        writer.length = length.unwrap_or_default();
        writer.closed = closed;
    }
    writers
}
