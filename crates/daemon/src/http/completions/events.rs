//! Completions as server-sent events. A whole one ends in `data: [DONE]`; one that is given up ends in an
//! `event: error` with the refusal, never in the end mark.

use std::io::Cursor;

use bytes::Bytes;
use futures_util::stream;
use ladderstage_platform::engine::CompletionChunk;
use reqwest::header::HeaderMap;

use super::model::CompletionObject;
use crate::drain::DrainGuard;
use crate::http::outcome::{LiveAnswer, Refusal, RequestEnd};
use crate::live::{Completion, LiveError, Outcome, Progress, REASON_ANSWERED, RecordedAnswer};

const END_MARK: &str = "data: [DONE]\n\n";

/// A streamed answer under way.
struct Streamed {
    completion: Completion,
    model: String,
    id: String,
    /// The first chunk, read before the headers were sent.
    first: Option<CompletionChunk>,
    guard: DrainGuard,
    end: RequestEnd,
}

/// Streams a completion. Nothing is sent before its first chunk, so a refusal until then has its own status.
pub(super) async fn stream(
    mut completion: Completion,
    model: String,
    guard: DrainGuard,
    end: RequestEnd,
) -> LiveAnswer {
    let id = end.id().caller_id().to_owned();
    let first = match completion.next().await {
        Ok(Some(chunk)) => chunk,
        Ok(None) => {
            let answer = whole(completion.progress(), &model, &id);
            return LiveAnswer::whole(answer, guard, end);
        }
        Err(error) => return LiveAnswer::refused(error, end),
    };
    let versions = completion.progress().named_versions().to_vec();
    let state = Streamed {
        completion,
        model,
        id: id.clone(),
        first: Some(first),
        guard,
        end,
    };
    let events = stream::unfold(Some(state), next_event);
    LiveAnswer::events(&id, &versions, Box::pin(events))
}

/// A whole completion as events.
pub(super) fn whole(progress: &Progress, model: &str, id: &str) -> RecordedAnswer {
    let chunk = CompletionObject::chunk(id, model, &progress.text, progress.tokens, None);
    let text = event(&chunk) + &last_events(progress, model, id);
    RecordedAnswer {
        status: 200,
        content_type: "text/event-stream".to_owned(),
        headers: HeaderMap::new(),
        body: text.into(),
        weight_versions: progress.named_versions().to_vec(),
    }
}

async fn next_event(state: Option<Streamed>) -> Option<(Cursor<Bytes>, Option<Streamed>)> {
    let mut state = state?;
    let next = match state.first.take() {
        Some(first) => Ok(Some(first)),
        None => state.completion.next().await,
    };
    match next {
        Ok(Some(chunk)) => {
            let text = state.chunk(&chunk);
            Some((Cursor::new(text.into()), Some(state)))
        }
        Ok(None) => Some((Cursor::new(state.finish().into()), None)),
        Err(error) => Some((Cursor::new(state.fail(error).into()), None)),
    }
}

impl Streamed {
    fn chunk(&self, chunk: &CompletionChunk) -> String {
        let object = CompletionObject::chunk(
            &self.id,
            &self.model,
            &chunk.text,
            chunk.tokens,
            chunk.weight_version,
        );
        event(&object)
    }

    fn finish(self) -> String {
        let text = last_events(self.completion.progress(), &self.model, &self.id);
        self.end.record(Outcome::Completed, REASON_ANSWERED);
        drop(self.guard);
        text
    }

    fn fail(self, error: LiveError) -> String {
        self.end.record(error.outcome(), error.code());
        let refusal = Refusal::Live(error);
        format!(
            "event: error\ndata: {}\n\n",
            refusal.to_json(&self.id, false)
        )
    }
}

fn last_events(progress: &Progress, model: &str, id: &str) -> String {
    event(&CompletionObject::end(id, model, "", progress)) + END_MARK
}

/// JSON holds no line breaks, so it is one data line.
fn event(object: &CompletionObject<'_>) -> String {
    format!("data: {}\n\n", object.to_json())
}
