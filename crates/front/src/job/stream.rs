//! Reads the event stream of one run into the item's text, until the stream ends, breaks, or the
//! run migrates.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ladderstage_clock::Instant;

use super::events::{Event, EventError, EventParser};
use super::migration::EventIntervals;
use super::run_context::RunContext;
use super::run_end::{RunEnd, STALE_WEIGHTS_PAUSE};
use super::stall_timeout::StallTimeout;
use super::stalled_run::Awaited;
use super::text::ItemText;
use crate::backend::{Instance, Reply, is_framed, keep_alive};

/// Timeout for each event after the first one.
const MAX_EVENT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Maximum size of a text, in bytes. A longer one is no text of an item, but that of a stream without
/// end, and would exhaust the memory of its job's owner.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// Number of events after which partial text is saved in the journal. Half as many are lost on
/// average when an owner dies.
const EVENTS_PER_PROGRESS: u64 = 8;

/// Reads the events of one run into the text.
pub(super) async fn follow_stream(
    context: &RunContext,
    index: usize,
    instance: &Arc<Instance>,
    reply: Reply,
    partial: &mut ItemText,
) -> RunEnd {
    let names = context.codec.headers();
    let (headers, mut body, lease) = reply.into_parts();
    let mut version = parse_number(&headers, &names.weight_version);
    let is_framed = is_framed(&headers);
    let mut parser = EventParser::new(names.weight_version.as_str());
    let mut intervals = EventIntervals::default();
    let max_events = context.max_events(index, instance);
    let stall_timeout = StallTimeout { context, instance };
    loop {
        let limit = match intervals.events {
            0 => context.first_event_timeout(instance),
            _ => MAX_EVENT_INTERVAL,
        };
        let arrival = next_events(instance, &mut body, &mut parser);
        let arrival = stall_timeout.wait(Awaited::Event, limit, partial, arrival);
        let events = match arrival.await {
            Err(stalled) => return RunEnd::TimedOut(stalled),
            Ok(Err(StreamError::Broken(error))) => {
                instance.record_failure(Instant::now());
                return RunEnd::Broken(format!("connection broken: {error}"));
            }
            Ok(Err(StreamError::Malformed(error))) => {
                instance.record_failure(Instant::now());
                return RunEnd::Migrate(error.to_string());
            }
            Ok(Ok(None)) if is_framed && parser.is_at_boundary() => {
                instance.record_success();
                lease.return_to_pool(keep_alive(&headers));
                return RunEnd::Complete;
            }
            Ok(Ok(None)) => return RunEnd::Broken("stream ended without an end marker".to_owned()),
            Ok(Ok(Some(events))) => events,
        };
        for event in events {
            version = event.version.or(version);
            if let Err(end) = append_event(context, instance, event, version, partial) {
                return end;
            }
            if let Some(first_version) = partial.versions().first() {
                context.first_versions.record(index, *first_version);
            }
            intervals.record_arrival(instance);
        }
        if partial.unsaved_events() >= EVENTS_PER_PROGRESS {
            let item = &context.spec.items[index].id;
            if let Some(progress) = partial.drain_progress(item) {
                let _ = context.progress.send(progress);
            }
        }
        if let Some(cause) = intervals.reason_to_migrate(context, instance, partial, max_events) {
            return RunEnd::Migrate(cause);
        }
    }
}

/// Error of reading a stream.
enum StreamError {
    /// The connection broke.
    Broken(hyper::Error),
    /// The bytes form no valid event.
    Malformed(EventError),
}

/// Reads on until at least one event is complete; returns `None` at the end of the stream. Bytes that
/// complete no event are no progress, so that the caller's time limit covers all of them.
async fn next_events(
    instance: &Instance,
    body: &mut Incoming,
    parser: &mut EventParser,
) -> Result<Option<Vec<Event>>, StreamError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(StreamError::Broken)?;
        instance.record_activity(Instant::now());
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = parser.push(&data).map_err(StreamError::Malformed)?;
        if !events.is_empty() {
            return Ok(Some(events));
        }
    }
    Ok(None)
}

/// Appends one event to the text; ends the run if the event is out of sequence, the text gets too long,
/// or its weights are unsuitable.
fn append_event(
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
        return Err(RunEnd::Migrate(format!(
            "event {} is out of sequence",
            event.id
        )));
    }
    if partial.text().len() + event.data.len() > MAX_TEXT_BYTES {
        partial.start_over();
        instance.record_failure(Instant::now());
        return Err(RunEnd::Migrate(format!(
            "text longer than {MAX_TEXT_BYTES} bytes"
        )));
    }
    let version = version.unwrap_or(0);
    let model = &context.spec.model;
    instance.record_version(model, version);
    if version < context.spec.min_version {
        instance.mark_loading(model, Instant::now() + STALE_WEIGHTS_PAUSE);
        return Err(RunEnd::Migrate(format!(
            "weight version {version} is too old"
        )));
    }
    if context.route.last_known().is_single_version()
        && partial
            .versions()
            .first()
            .is_some_and(|first_version| *first_version != version)
    {
        partial.start_over();
        return Err(RunEnd::Migrate("weight version changed".to_owned()));
    }
    partial.push(&event, version);
    Ok(())
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
