//! The stream of one run: its events become the item's text, until it ends, breaks, or is better taken up elsewhere.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName};
use http_body_util::BodyExt;
use ladderstage_clock::Instant;

use super::events::{Event, EventParser};
use super::pace::Pace;
use super::run_context::RunContext;
use super::run_end::{RunEnd, STALE_WEIGHTS_PAUSE};
use super::text::ItemText;
use crate::backend::{Instance, Reply, keep_alive};

/// Longest wait for a further event.
const NEXT_EVENT_LIMIT: Duration = Duration::from_millis(1_200);

/// Events after which text is kept in the journal. Half as many are lost on average when an owner dies, and a step that is whole
/// after 6.3 s of 8.2 s bears little beside the time until the next owner goes on.
const EVENTS_PER_PROGRESS: u64 = 8;

/// Takes the events of one run into the text.
pub(super) async fn follow_stream(
    context: &RunContext,
    index: usize,
    instance: &Arc<Instance>,
    reply: Reply,
    partial: &mut ItemText,
) -> RunEnd {
    let names = context.codec.headers();
    let (headers, mut body, lease) = reply.into_parts();
    let mut version = read_number(&headers, &names.weight_version);
    let is_framed = headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING);
    let mut parser = EventParser::new(names.weight_version.as_str());
    let mut pace = Pace::default();
    let most_events = context.most_events(index);
    loop {
        let limit = if pace.events == 0 {
            context.first_event_limit()
        } else {
            NEXT_EVENT_LIMIT
        };
        let frame = match tokio::time::timeout(limit, body.frame()).await {
            Err(_) => {
                instance.record_failure(Instant::now());
                return RunEnd::Move("no event in time".to_owned());
            }
            Ok(Some(Err(error))) => {
                instance.record_failure(Instant::now());
                return RunEnd::Broken(format!("cut: {error}"));
            }
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if is_framed && parser.is_at_boundary() => {
                instance.record_success();
                lease.return_to_pool(keep_alive(&headers));
                return RunEnd::Complete;
            }
            Ok(None) => return RunEnd::Broken("ended without an end mark".to_owned()),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = match parser.push(&data) {
            Ok(events) => events,
            Err(error) => {
                instance.record_failure(Instant::now());
                return RunEnd::Move(error.to_string());
            }
        };
        for event in events {
            version = event.version.or(version);
            if let Err(end) = take_event(context, instance, event, version, partial) {
                return end;
            }
            if let Some(begun) = partial.versions().first() {
                context.begun.note(index, *begun);
            }
            pace.note(instance);
        }
        if partial.fresh_events() >= EVENTS_PER_PROGRESS {
            let item = &context.spec.items[index].id;
            if let Some(progress) = partial.take_progress(item) {
                let _ = context.progress.send(progress);
            }
        }
        if let Some(cause) = pace.reason_to_move(context, instance, partial, most_events) {
            return RunEnd::Move(cause);
        }
    }
}

/// Adds one event to the text; an event that does not follow or has unfit weights ends the run.
fn take_event(
    context: &RunContext,
    instance: &Instance,
    event: Event,
    version: Option<u64>,
    partial: &mut ItemText,
) -> Result<(), RunEnd> {
    if partial
        .last_event()
        .is_some_and(|last| event.id != last + 1)
    {
        return Err(RunEnd::Move(format!("event {} does not follow", event.id)));
    }
    let version = version.unwrap_or(0);
    let model = &context.spec.model;
    instance.record_version(model, version);
    if version < context.spec.min_version {
        instance.mark_loading(model, Instant::now() + STALE_WEIGHTS_PAUSE);
        return Err(RunEnd::Move(format!("weight version {version} is too old")));
    }
    if context.single_version
        && partial
            .versions()
            .first()
            .is_some_and(|begun| *begun != version)
    {
        partial.start_over();
        return Err(RunEnd::Move("weight version changed".to_owned()));
    }
    partial.push(&event, version);
    Ok(())
}

fn read_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
