//! A batch job as its log tells it: a pure fold over the entries.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use ladderstage_wire::compression::{compress, decompress};
use ladderstage_wire::messages::mod_JobEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::{JobEntry, JobItem, JobProgress, JobResult, JobSpec, LogEntry};
use ladderstage_wire::{DecodeError, decode, encode};

use super::text::ItemText;

/// State of one job. Entries that contradict earlier ones are ignored: the first wins.
#[derive(Debug, Clone, Default)]
pub struct JobState {
    spec: Option<Arc<JobSpec>>,
    indexes: HashMap<String, usize>,
    results: Vec<JobResult>,
    listed: HashSet<String>,
    /// Text kept of items that have no result yet.
    partial_texts: HashMap<String, ItemText>,
    is_ended: bool,
}

/// Entries from this size on are compressed_entry, in bytes; a smaller one hardly gets smaller.
const MIN_COMPRESSED_BYTES: usize = 512;

/// One entry as bytes of the log, compressed_entry if it is large: it is copied to several replicas, read at each change of the owner, and
/// kept in memory by all of them.
pub fn encode_entry(kind: EntryKind) -> LogEntry {
    let plain = encode(&JobEntry { kind });
    if plain.len() < MIN_COMPRESSED_BYTES {
        return LogEntry { payload: plain };
    }
    let kind = EntryKind::compressed(compress(&plain));
    let payload = encode(&JobEntry { kind });
    LogEntry { payload }
}

/// Reads an entry of the log.
fn decode_entry(entry: &LogEntry) -> Result<EntryKind, DecodeError> {
    let entry: JobEntry = decode(&entry.payload)?;
    let EntryKind::compressed(compressed_entry) = entry.kind else {
        return Ok(entry.kind);
    };
    let plain = decompress(&compressed_entry).map_err(|error| DecodeError {
        message: "JobEntry",
        detail: error.to_string(),
    })?;
    let entry: JobEntry = decode(&plain)?;
    Ok(entry.kind)
}

impl JobState {
    /// The state after all entries.
    ///
    /// # Errors
    /// If an entry is not one of a job's log.
    pub fn replay(entries: &[LogEntry]) -> Result<Self, DecodeError> {
        let mut state = Self::default();
        for entry in entries {
            state.apply(entry)?;
        }
        Ok(state)
    }

    /// Takes one committed entry.
    ///
    /// # Errors
    /// If it is not one of a job's log.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), DecodeError> {
        match decode_entry(entry)? {
            EntryKind::accepted(spec) => self.accept(spec),
            EntryKind::result(result) => self.add_result(result),
            EntryKind::progress(progress) => self.add_progress(&progress),
            EntryKind::ended(_) => self.is_ended = true,
            EntryKind::compressed(_) => {
                return Err(DecodeError {
                    message: "JobEntry",
                    detail: "compressed_entry twice".to_owned(),
                });
            }
            EntryKind::None => {}
        }
        Ok(())
    }

    /// The job as it was handed in; `None` before that is committed.
    pub fn spec(&self) -> Option<&Arc<JobSpec>> {
        self.spec.as_ref()
    }

    /// Whether the job was ended by its client.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Results in the order of their positions.
    pub fn results(&self) -> &[JobResult] {
        &self.results
    }

    /// Whether an item has a result.
    pub fn is_listed(&self, item: &str) -> bool {
        self.listed.contains(item)
    }

    /// Whether every item has a result.
    pub fn is_complete(&self) -> bool {
        let total = self.spec.as_ref().map_or(0, |spec| spec.items.len());
        self.spec.is_some() && self.listed.len() >= total
    }

    /// An item by its id.
    pub fn item(&self, id: &str) -> Option<&JobItem> {
        let index = *self.indexes.get(id)?;
        self.spec.as_ref()?.items.get(index)
    }

    /// Text kept of an item that has no result yet.
    pub fn partial_text(&self, item: &str) -> ItemText {
        self.partial_texts.get(item).cloned().unwrap_or_default()
    }

    /// Drops the bodies of items, which are not asked for once a job has ended.
    pub fn drop_bodies(&mut self) {
        if let Some(spec) = &self.spec {
            let mut spec = spec.as_ref().clone();
            for item in &mut spec.items {
                item.body = Vec::new();
                item.headers = Vec::new();
            }
            self.spec = Some(Arc::new(spec));
        }
    }

    fn accept(&mut self, spec: JobSpec) {
        if self.spec.is_some() {
            return;
        }
        let items = spec.items.iter().enumerate();
        self.indexes = items
            .map(|(index, item)| (item.id.clone(), index))
            .collect();
        self.spec = Some(Arc::new(spec));
    }

    fn add_result(&mut self, result: JobResult) {
        let is_known = self.indexes.contains_key(&result.item);
        if is_known && self.listed.insert(result.item.clone()) {
            let kept = self.partial_texts.remove(&result.item).unwrap_or_default();
            self.results.push(kept.complete_result(result));
        }
    }

    fn add_progress(&mut self, progress: &JobProgress) {
        let is_open = self.indexes.contains_key(&progress.item) && !self.is_listed(&progress.item);
        if is_open {
            self.partial_texts
                .entry(progress.item.clone())
                .or_default()
                .apply(progress);
        }
    }
}
