//! State of a batch job, computed from the entries of its log.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use ladderstage_wire::compressed_fields::CompressedFields;
use ladderstage_wire::compression::{
    CompressionError, compress, decompress, encode_compressed, only_field,
};
use ladderstage_wire::messages::mod_JobEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::{JobEntry, JobItem, JobProgress, JobResult, JobSpec, LogEntry};
use ladderstage_wire::{DecodeError, MessageWrite, decode, encode};

use super::text::ItemText;

/// State of one job. Of several entries for the acceptance or for the result of an item, the first
/// takes effect.
#[derive(Debug, Clone, Default)]
pub struct JobState {
    spec: Option<Arc<JobSpec>>,
    indexes: HashMap<String, usize>,
    results: Vec<JobResult>,
    listed: HashSet<String>,
    /// Partial texts of items without a result.
    partial_texts: HashMap<String, ItemText>,
    is_ended: bool,
}

/// Tag of [`JobEntry`]'s field for the acceptance of a job: its number, and that it has a length.
const ACCEPTED_TAG: u32 = 1 << 3 | 2;

/// Tag of [`JobEntry`]'s field for a compressed entry.
const COMPRESSED_TAG: u32 = 5 << 3 | 2;

/// Tag of [`JobSpec`]'s field for an item.
const ITEM_TAG: u32 = 8 << 3 | 2;

/// Bytes of a large item by which it is decided whether a job can be compressed.
const SAMPLE_BYTES: usize = 16 * 1024;

/// Minimum size of an entry to be compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 512;

/// Encodes a log entry, compressed if it is large, because all replicas store it and each new owner
/// reads it.
pub fn encode_entry(kind: EntryKind) -> LogEntry {
    let plain = encode(&JobEntry { kind });
    if plain.len() < MIN_COMPRESSED_BYTES {
        return LogEntry { payload: plain };
    }
    let kind = EntryKind::compressed(compress(&plain));
    let payload = encode(&JobEntry { kind });
    LogEntry { payload }
}

/// Encodes the entry for the acceptance of a job, like [`encode_entry`]. Jobs may be large, so that no
/// second form of the job is made.
pub fn encode_accepted(spec: &JobSpec) -> LogEntry {
    if spec.get_size() < MIN_COMPRESSED_BYTES {
        return encode_entry(EntryKind::accepted(spec.clone()));
    }
    let largest = spec.items.iter().map(|item| item.body.as_slice());
    let largest = largest.max_by_key(|body| body.len()).unwrap_or_default();
    let sample = match largest.len() {
        0..SAMPLE_BYTES => &[],
        _ => &largest[..SAMPLE_BYTES],
    };
    LogEntry {
        payload: encode_compressed(COMPRESSED_TAG, ACCEPTED_TAG, spec, sample),
    }
}

/// Decodes a log entry.
fn decode_entry(entry: &LogEntry) -> Result<EntryKind, DecodeError> {
    let Some(compressed) = only_field(&entry.payload, COMPRESSED_TAG) else {
        let entry: JobEntry = decode(&entry.payload)?;
        return Ok(entry.kind);
    };
    if let Some(fields) = CompressedFields::open(compressed, ACCEPTED_TAG).map_err(damaged)? {
        return decode_accepted(fields).map(EntryKind::accepted);
    }
    let plain = decompress(compressed).map_err(damaged)?;
    let entry: JobEntry = decode(&plain)?;
    Ok(entry.kind)
}

/// Decodes the acceptance of a job item by item, as jobs may be large.
fn decode_accepted(mut fields: CompressedFields<'_>) -> Result<JobSpec, DecodeError> {
    let (mut items, mut other_fields) = (Vec::new(), Vec::new());
    while let Some(field) = fields.next_field().map_err(damaged)? {
        if field.tag == ITEM_TAG {
            items.push(decode(&field.content)?);
        } else {
            other_fields.extend(field.encode());
        }
    }
    let spec: JobSpec = decode(&other_fields)?;
    Ok(JobSpec { items, ..spec })
}

fn damaged(error: CompressionError) -> DecodeError {
    DecodeError {
        message: "JobEntry",
        detail: error.to_string(),
    }
}

/// Copies a job's specification without its items.
pub(super) fn spec_without_items(spec: &JobSpec) -> JobSpec {
    JobSpec {
        job: spec.job.clone(),
        host: spec.host.clone(),
        path: spec.path.clone(),
        model: spec.model.clone(),
        train_step: spec.train_step,
        min_version: spec.min_version,
        desired_groups: spec.desired_groups,
        items: Vec::new(),
        tenant: spec.tenant.clone(),
    }
}

impl JobState {
    /// Computes the state after all entries.
    ///
    /// # Errors
    /// Fails if an entry cannot be decoded.
    pub fn replay(entries: &[LogEntry]) -> Result<Self, DecodeError> {
        let mut state = Self::default();
        for entry in entries {
            state.apply(entry)?;
        }
        Ok(state)
    }

    /// Applies one committed entry.
    ///
    /// # Errors
    /// Fails if the entry cannot be decoded.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), DecodeError> {
        match decode_entry(entry)? {
            EntryKind::accepted(spec) => self.accept(Arc::new(spec)),
            EntryKind::result(result) => self.add_result(result),
            EntryKind::progress(progress) => self.add_progress(&progress),
            EntryKind::ended(_) => self.is_ended = true,
            EntryKind::compressed(_) => {
                return Err(DecodeError {
                    message: "JobEntry",
                    detail: "entry is compressed twice".to_owned(),
                });
            }
            // Earlier builds record crashes under items, which this one does not hold back.
            EntryKind::suspect_run(_) | EntryKind::None => {}
        }
        Ok(())
    }

    /// Returns the job as submitted, or `None` before its acceptance is committed.
    pub fn spec(&self) -> Option<&Arc<JobSpec>> {
        self.spec.as_ref()
    }

    /// Returns whether the client has ended the job.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns the results in the order in which they were committed.
    pub fn results(&self) -> &[JobResult] {
        &self.results
    }

    /// Returns whether an item has a result.
    pub fn is_listed(&self, item: &str) -> bool {
        self.listed.contains(item)
    }

    /// Returns whether every item has a result.
    pub fn is_complete(&self) -> bool {
        let total = self.spec.as_ref().map_or(0, |spec| spec.items.len());
        self.spec.is_some() && self.listed.len() >= total
    }

    /// Returns the item with the given id.
    pub fn item(&self, id: &str) -> Option<&JobItem> {
        let index = *self.indexes.get(id)?;
        self.spec.as_ref()?.items.get(index)
    }

    /// Returns the partial text of an item without a result.
    pub fn partial_text(&self, item: &str) -> ItemText {
        self.partial_texts.get(item).cloned().unwrap_or_default()
    }

    /// Drops the bodies and headers of items, which an ended job no longer needs.
    pub fn drop_bodies(&mut self) {
        let Some(spec) = self.spec.take() else {
            return;
        };
        let items = spec.items.iter().map(|item| JobItem {
            id: item.id.clone(),
            path: item.path.clone(),
            headers: Vec::new(),
            body: Vec::new(),
            tokens: item.tokens,
            group: item.group.clone(),
            expected_tokens: item.expected_tokens,
            reward_call: item.reward_call.clone(),
        });
        self.spec = Some(Arc::new(JobSpec {
            items: items.collect(),
            ..spec_without_items(&spec)
        }));
    }

    /// Applies the acceptance of a job, unless another one has taken effect.
    pub(super) fn accept(&mut self, spec: Arc<JobSpec>) {
        if self.spec.is_some() {
            return;
        }
        let items = spec.items.iter().enumerate();
        self.indexes = items
            .map(|(index, item)| (item.id.clone(), index))
            .collect();
        self.spec = Some(spec);
    }

    fn add_result(&mut self, result: JobResult) {
        let is_known = self.indexes.contains_key(&result.item);
        if is_known && self.listed.insert(result.item.clone()) {
            let kept = self.partial_texts.remove(&result.item).unwrap_or_default();
            self.results.push(kept.complete_result(result));
        }
    }

    fn is_open(&self, item: &str) -> bool {
        self.indexes.contains_key(item) && !self.is_listed(item)
    }

    fn add_progress(&mut self, progress: &JobProgress) {
        if self.is_open(&progress.item) {
            self.partial_texts
                .entry(progress.item.clone())
                .or_default()
                .apply(progress);
        }
    }
}
