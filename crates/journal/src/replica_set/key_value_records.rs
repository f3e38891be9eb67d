//! Implements [`SetRecords`] on the key-value service.

use futures_util::future::BoxFuture;
use ladderstage_platform::key_value::{KeyValue, KeyValueError, SwapOutcome};
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};
use ladderstage_wire::{decode, encode};

use super::records::{RecordError, RecordedSet, SetRecords, decode_record, encode_record};

/// Key of the record of the current set.
const SET_KEY: &str = "ladderstage/replicas/set";

/// Key prefix of the candidates' records; the node's name follows.
const CANDIDATE_PREFIX: &str = "ladderstage/replicas/candidate/";

impl From<KeyValueError> for RecordError {
    fn from(error: KeyValueError) -> Self {
        Self::Service(error.to_string())
    }
}

impl SetRecords for KeyValue {
    fn read(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        Box::pin(async move {
            let Some(entry) = self.get(SET_KEY).await? else {
                return Ok(None);
            };
            Ok(Some(RecordedSet {
                set: decode_record(&entry.value)?,
                mod_revision: entry.mod_revision,
            }))
        })
    }

    fn swap(
        &self,
        expected: u64,
        set: ReplicaSet,
    ) -> BoxFuture<'_, Result<Option<ReplicaSet>, RecordError>> {
        Box::pin(async move {
            let value = encode_record(set.clone());
            match self.compare_and_swap(SET_KEY, expected, value).await? {
                SwapOutcome::Won { .. } => Ok(Some(set)),
                SwapOutcome::Lost(Some(entry)) => Ok(Some(decode_record(&entry.value)?)),
                SwapOutcome::Lost(None) => Ok(None),
            }
        })
    }

    fn put_candidate<'a>(
        &'a self,
        own: &'a ReplicaMember,
    ) -> BoxFuture<'a, Result<(), RecordError>> {
        Box::pin(async move {
            let key = format!("{CANDIDATE_PREFIX}{}", own.node);
            Ok(self.put(&key, encode(own)).await?)
        })
    }

    fn candidates(&self) -> BoxFuture<'_, Result<Vec<ReplicaMember>, RecordError>> {
        Box::pin(async move {
            let entries = self.list(CANDIDATE_PREFIX).await?;
            let members = entries.into_iter().filter_map(|(key, entry)| {
                let member: ReplicaMember = decode(&entry.value).ok()?;
                (key.strip_prefix(CANDIDATE_PREFIX) == Some(member.node.as_str())).then_some(member)
            });
            Ok(members.collect())
        })
    }
}
