//! Trainer cursor over all shards of a step.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

/// Length of the checksum in a cursor, in bytes.
const CHECKSUM_BYTES: usize = 6;

/// Maximum length of an accepted cursor, in bytes.
const MAX_CURSOR_BYTES: usize = 16 * 1024;

/// The last answer that the trainer received from each shard; shards without one are omitted.
///
/// The text form is opaque to trainers: `shard-answer` pairs and a checksum that binds them to the
/// step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepCursor {
    positions: BTreeMap<u32, u64>,
}

/// Reason why a text is not a cursor of the step.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CursorError {
    /// The text exceeds the maximum length.
    #[error("cursor of {0} bytes is over the limit of {MAX_CURSOR_BYTES}")]
    TooLong(usize),
    /// The checksum is missing, wrong, or that of another step's cursor.
    #[error("cursor is damaged or belongs to another step")]
    Checksum,
    /// A pair is not `shard-answer`, or a shard occurs twice.
    #[error("cursor has a malformed position `{0}`")]
    Position(String),
}

impl StepCursor {
    /// Returns the last answer received from a shard; 0 means none.
    pub fn position(&self, shard: u32) -> u64 {
        self.positions.get(&shard).copied().unwrap_or(0)
    }

    /// Sets the last answer that the trainer received from a shard; 0 changes nothing.
    pub fn advance(&mut self, shard: u32, answer: u64) {
        if answer > 0 {
            self.positions.insert(shard, answer);
        }
    }

    /// Returns the text form; empty before the first answer.
    pub fn encode(&self, trainer: &str, step: u64) -> String {
        if self.positions.is_empty() {
            return String::new();
        }
        let pairs: Vec<String> = self
            .positions
            .iter()
            .map(|(shard, answer)| format!("{shard}-{answer}"))
            .collect();
        let body = pairs.join("_");
        let checksum = checksum(trainer, step, &body);
        format!("{body}.{checksum}")
    }

    /// Parses the text form; the empty text is the start of the step.
    ///
    /// # Errors
    /// [`CursorError`] if the text is not a cursor of this trainer's step.
    pub fn parse(trainer: &str, step: u64, text: &str) -> Result<Self, CursorError> {
        if text.is_empty() {
            return Ok(Self::default());
        }
        if text.len() > MAX_CURSOR_BYTES {
            return Err(CursorError::TooLong(text.len()));
        }
        let (body, found) = text.rsplit_once('.').ok_or(CursorError::Checksum)?;
        if checksum(trainer, step, body) != found {
            return Err(CursorError::Checksum);
        }
        let mut positions = BTreeMap::new();
        for pair in body.split('_') {
            let position = parse_pair(pair).filter(|(shard, _)| !positions.contains_key(shard));
            let (shard, answer) = position.ok_or_else(|| CursorError::Position(pair.to_owned()))?;
            positions.insert(shard, answer);
        }
        Ok(Self { positions })
    }
}

fn parse_pair(pair: &str) -> Option<(u32, u64)> {
    let (shard, answer) = pair.split_once('-')?;
    Some((shard.parse().ok()?, answer.parse().ok()?))
}

fn checksum(trainer: &str, step: u64, body: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update((trainer.len() as u64).to_be_bytes());
    hasher.update(trainer.as_bytes());
    hasher.update(step.to_be_bytes());
    hasher.update(body.as_bytes());
    hex::encode(&hasher.finalize()[..CHECKSUM_BYTES])
}
