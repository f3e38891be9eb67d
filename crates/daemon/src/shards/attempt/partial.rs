//! Tokens that an attempt has generated so far.

use std::time::{Duration, Instant};

use ladderstage::staleness::append_tokens;
use ladderstage_platform::engine::CompletionChunk;
use ladderstage_wire::messages::Segment;

/// Size limit of the text of one sample.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// Text generated so far, with the weight version of each chunk.
#[derive(Debug, Default)]
pub(super) struct PartialSample {
    pub(super) text: String,
    pub(super) segments: Vec<Segment>,
    /// Engines that generated the text, in order.
    pub(super) engines: Vec<String>,
    pub(super) first_token_at: Option<Instant>,
}

impl PartialSample {
    /// Returns the number of tokens generated so far.
    pub(super) fn tokens(&self) -> u32 {
        self.segments
            .iter()
            .fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// Returns the time since the first token.
    pub(super) fn age(&self) -> Option<Duration> {
        Some(self.first_token_at?.elapsed())
    }

    /// Returns whether the text stays within its limit with another chunk.
    pub(super) fn fits(&self, chunk: &CompletionChunk) -> bool {
        self.text.len() + chunk.text.len() <= MAX_TEXT_BYTES
    }

    /// Appends a chunk that the engine generated with this weight version.
    pub(super) fn push(&mut self, chunk: &CompletionChunk, weight_version: u64, engine: &str) {
        self.first_token_at.get_or_insert_with(Instant::now);
        append_tokens(&mut self.segments, weight_version, chunk.tokens);
        self.text.push_str(&chunk.text);
        if self.engines.last().is_none_or(|last| last != engine) {
            self.engines.push(engine.to_owned());
        }
    }
}
