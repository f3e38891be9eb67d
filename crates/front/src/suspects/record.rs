//! Records of suspects in the coordination store, for nodes that start or missed updates.

use serde::{Deserialize, Serialize};

use super::content::ContentDigest;
use crate::coordination::{LeaseId, Record};

/// Key prefix, followed by the content digest.
pub const PREFIX: &str = "ladderstage/suspect/";

/// Maximum number of crashes in a record; this many already cause the longest hold.
const MAX_RECORDED_CRASHES: usize = 64;

/// Record of one suspected content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Names of the incarnations that crashed during runs of it.
    pub ends: Vec<String>,
    /// Lease that the record is attached to.
    pub lease: LeaseId,
}

impl SuspectRecord {
    /// Returns the key of a content's record.
    pub fn key(content: ContentDigest) -> String {
        format!("{PREFIX}{content}")
    }

    /// Parses a record.
    ///
    /// # Errors
    /// Returns the reason if the key or the value is malformed.
    pub fn read(record: &Record) -> Result<(ContentDigest, Self), String> {
        let digits = record.key.strip_prefix(PREFIX).unwrap_or(&record.key);
        let bits = u64::from_str_radix(digits, 16).map_err(|error| format!("key: {error}"))?;
        let body: Self =
            serde_json::from_slice(&record.value).map_err(|error| error.to_string())?;
        Ok((ContentDigest::from_bits(bits), body))
    }

    /// Adds crashes; returns whether any is new.
    pub fn add(&mut self, ends: impl IntoIterator<Item = String>) -> bool {
        let mut is_changed = false;
        for end in ends {
            if !self.ends.contains(&end) && self.ends.len() < MAX_RECORDED_CRASHES {
                self.ends.push(end);
                is_changed = true;
            }
        }
        is_changed
    }
}
