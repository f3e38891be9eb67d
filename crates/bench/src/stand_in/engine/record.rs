//! Append-only record of the runs of an engine.

use serde::{Deserialize, Serialize};

use super::super::Ending;
use crate::text::Segment;

/// One run of a request. A request that is retried has several runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request id given by the caller.
    pub request_id: String,
    pub model: String,
    /// Digest of the prompt, see [`crate::text::prompt_digest`].
    pub prompt_digest: String,
    /// Position of the first token to generate.
    pub first_token: u64,
    /// Position after the last generated token.
    pub end_token: u64,
    /// Weight versions of the generated tokens, in order.
    pub segments: Vec<Segment>,
    /// Number of tokens sent without their version.
    #[serde(default)]
    pub unnamed_tokens: u64,
    /// State or outcome of the run.
    pub ending: Ending,
    /// Milliseconds from the engine's start to the run's.
    pub started_ms: u64,
}

/// Answer to `GET /control/log`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLog {
    /// Runs ordered by start.
    pub runs: Vec<Run>,
    /// Milliseconds from the engine's start to the order to leave, if any.
    pub leaving_ms: Option<u64>,
}

/// Index of a run in the record.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunIndex(usize);

#[derive(Debug, Default)]
pub(super) struct Record {
    log: EngineLog,
}

impl Record {
    pub(super) fn log(&self) -> &EngineLog {
        &self.log
    }

    pub(super) fn start_run(&mut self, run: Run) -> RunIndex {
        self.log.runs.push(run);
        RunIndex(self.log.runs.len() - 1)
    }

    pub(super) fn record_token(&mut self, index: RunIndex, weight_version: u64, is_named: bool) {
        let run = &mut self.log.runs[index.0];
        run.unnamed_tokens += u64::from(!is_named);
        run.end_token += 1;
        match run.segments.last_mut() {
            Some(segment) if segment.weight_version == weight_version => segment.tokens += 1,
            _ => run.segments.push(Segment {
                weight_version,
                tokens: 1,
            }),
        }
    }

    pub(super) fn finish_run(&mut self, index: RunIndex, ending: Ending) {
        self.log.runs[index.0].ending = ending;
    }

    pub(super) fn record_leaving(&mut self, at_ms: u64) {
        self.log.leaving_ms.get_or_insert(at_ms);
    }
}
