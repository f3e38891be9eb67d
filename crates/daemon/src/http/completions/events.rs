//! Completions as server-sent events. A complete stream ends with `data: [DONE]`, a failed one with `event: error`.

use std::io::Cursor;

use bytes::Bytes;
use futures_util::stream;
use ladderstage_platform::engine::CompletionChunk;
use reqwest::header::HeaderMap;

use super::model::CompletionObject;
use crate::drain::DrainGuard;
use crate::http::outcome::{LiveAnswer, Refusal, RequestRecord};
use crate::live::{Completion, LiveError, Outcome, Progress, REASON_ANSWERED, RecordedAnswer};

const DONE_EVENT: &str = "data: [DONE]\n\n";

/// State of a streamed answer.
struct StreamState {
    completion: Completion,
    model: String,
    id: String,
    /// The first chunk, read before the headers were sent.
    first: Option<CompletionChunk>,
    guard: DrainGuard,
    end: RequestRecord,
}

/// Streams a completion. The headers are sent after the first chunk arrives, so that earlier errors set the status.
pub(super) async fn stream(
    mut completion: Completion,
    model: String,
    guard: DrainGuard,
    end: RequestRecord,
) -> LiveAnswer {
    let id = end.id().caller_id().to_owned();
    let first = match completion.next().await {
        Ok(Some(chunk)) => chunk,
        Ok(None) => {
            let answer = complete_answer(completion.progress(), &model, &id);
            return LiveAnswer::complete(answer, guard, end);
        }
        Err(error) => return LiveAnswer::refused(error, end),
    };
    let versions = completion.progress().named_versions().to_vec();
    let state = StreamState {
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

/// Returns a complete answer as events.
pub(super) fn complete_answer(progress: &Progress, model: &str, id: &str) -> RecordedAnswer {
    let chunk = CompletionObject::chunk(id, model, &progress.text, progress.tokens, None);
    let text = event(&chunk) + &final_events(progress, model, id);
    RecordedAnswer {
        status: 200,
        content_type: "text/event-stream".to_owned(),
        headers: HeaderMap::new(),
        body: text.into(),
        weight_versions: progress.named_versions().to_vec(),
    }
}

async fn next_event(state: Option<StreamState>) -> Option<(Cursor<Bytes>, Option<StreamState>)> {
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

impl StreamState {
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
        let text = final_events(self.completion.progress(), &self.model, &self.id);
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

fn final_events(progress: &Progress, model: &str, id: &str) -> String {
    event(&CompletionObject::end(id, model, "", progress)) + DONE_EVENT
}

/// Formats an event. The JSON has no line breaks, so one data line is enough.
fn event(object: &CompletionObject<'_>) -> String {
    format!("data: {}\n\n", object.to_json())
}
