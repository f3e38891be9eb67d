//! Runs one item of a batch job until its text is complete and scored. Migrates the item to another
//! instance when its event stream breaks or is slow.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use ladderstage_clock::Instant;

use super::failures::ItemFailures;
use super::run_context::{RunContext, exclusion_after_rejection, sleep_until};
use super::run_end::{RunEnd, STALE_WEIGHTS_PAUSE, can_continue};
use super::run_route::RunRoute;
use super::scoring::{ScoreEnd, score};
use super::stall_timeout::StallTimeout;
use super::stalled_run::Awaited;
use super::stream::follow_stream;
use super::text::ItemText;
use crate::backend::{AnswerIdPolicy, ExchangeError, Instance, RequestHead, WorkKind, send};
use crate::tenant::set_tenant;

/// Pause before instances are checked again when none has free capacity.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(25);

/// Time for which a partial text that requires a single weight version waits for an instance with
/// that version before it restarts.
const VERSION_WAIT: Duration = Duration::from_millis(500);

/// Time without an instance after which the wait of an interrupted item is logged.
const LOGGED_WAIT: Duration = Duration::from_secs(1);

/// Outcome of running an item.
pub enum RunOutcome {
    /// The text is complete.
    Completed {
        /// Generated text.
        text: ItemText,
        /// Score of the text; empty for an item without a reward call.
        score: String,
    },
    /// The item was terminated without a complete text.
    Terminated(ItemFailures),
    /// The instance did not start the item; the job's owner schedules it again.
    NotStarted,
    /// The run was stopped or may send no more requests. Its partial text was sent to be saved.
    Stopped(ItemText),
}

/// Outcome of processing an item until it is finished.
enum ItemEnd {
    /// The text is complete; `score` is empty for an item without a reward call.
    Completed { score: String },
    /// The item was terminated.
    Terminated,
    /// No more requests may be sent for the item.
    Closed,
}

/// Runs the item at `index` until it has a result, resuming from `partial`. The first run uses the
/// instance `first`; it is `None` for a complete text that only lacks its score.
pub async fn run_item(
    context: Arc<RunContext>,
    index: usize,
    first: Option<Arc<Instance>>,
    mut partial: ItemText,
) -> RunOutcome {
    let item = context.spec.items[index].id.clone();
    let mut stop = context.stop.clone();
    let run = run_with_deadline(&context, index, first, &mut partial);
    let ended = tokio::select! {
        ended = run => ended,
        _ = stop.wait_for(|stop| *stop) => {
            return stop_run(&context, &item, partial);
        }
    };
    match ended {
        None => RunOutcome::NotStarted,
        Some(ItemEnd::Completed { score }) => RunOutcome::Completed {
            text: partial,
            score,
        },
        Some(ItemEnd::Terminated) => RunOutcome::Terminated(partial.failures()),
        Some(ItemEnd::Closed) => stop_run(&context, &item, partial),
    }
}

/// Sends the partial text to be saved.
fn stop_run(context: &RunContext, item: &str, mut partial: ItemText) -> RunOutcome {
    if let Some(progress) = partial.drain_progress(item) {
        let _ = context.progress.send(progress);
    }
    RunOutcome::Stopped(partial)
}

/// Runs the item until it is finished or its deadline passes; returns `None` if it was not started.
async fn run_with_deadline(
    context: &RunContext,
    index: usize,
    first: Option<Arc<Instance>>,
    partial: &mut ItemText,
) -> Option<ItemEnd> {
    let mut config_changed = context.config.watch();
    let mut run = pin!(run_until_done(context, index, first, partial));
    loop {
        let deadline = context.item_deadline();
        tokio::select! {
            ended = &mut run => return ended,
            () = sleep_until(deadline) => {
                log::warn!(
                    "event=item_abandoned item={} job={} reason=age",
                    context.spec.items[index].id,
                    context.spec.job
                );
                return Some(ItemEnd::Terminated);
            }
            // The change may have moved the deadline.
            _ = config_changed.changed() => {}
        }
    }
}

/// Generates the text and has it scored; returns `None` if the first instance did not start the
/// item.
async fn run_until_done(
    context: &RunContext,
    index: usize,
    first: Option<Arc<Instance>>,
    partial: &mut ItemText,
) -> Option<ItemEnd> {
    if !partial.is_complete()
        && let Some(first) = first
    {
        match generate_text(context, index, first, partial).await? {
            TextEnd::Complete => {}
            TextEnd::Unprocessable => return Some(ItemEnd::Terminated),
            TextEnd::Closed => return Some(ItemEnd::Closed),
        }
    }
    let item = &context.spec.items[index];
    let Some(reward) = &item.reward_call else {
        partial.mark_complete();
        let score = String::new();
        return Some(ItemEnd::Completed { score });
    };
    if !partial.is_complete()
        && let Some(progress) = partial.finish(&item.id)
    {
        let _ = context.progress.send(progress);
    }
    match score(context, index, reward).await {
        ScoreEnd::Scored(score) => Some(ItemEnd::Completed { score }),
        ScoreEnd::Failed | ScoreEnd::Unprocessable => Some(ItemEnd::Terminated),
        ScoreEnd::Closed => Some(ItemEnd::Closed),
    }
}

/// Outcome of generating a text.
enum TextEnd {
    /// The text is complete.
    Complete,
    /// The item can never be processed, or failed as often as the route allows.
    Unprocessable,
    /// No more requests may be sent for the item.
    Closed,
}

/// Runs the item at one instance after the other; returns `None` if the first one did not start it.
async fn generate_text(
    context: &RunContext,
    index: usize,
    first: Arc<Instance>,
    partial: &mut ItemText,
) -> Option<TextEnd> {
    let mut failures = 0;
    let mut instance = first;
    loop {
        if !context.window.is_open() {
            return Some(TextEnd::Closed);
        }
        match run_until_ended(context, index, &instance, partial).await {
            RunEnd::Complete => return Some(TextEnd::Complete),
            RunEnd::Unprocessable => {
                partial.mark_unprocessable();
                return Some(TextEnd::Unprocessable);
            }
            RunEnd::Failed => {
                failures += 1;
                partial.record_failed_run();
                let max_attempts = context.route.last_known().max_attempts().max(1);
                if failures >= max_attempts || !partial.failures().may_run(max_attempts) {
                    return Some(TextEnd::Unprocessable);
                }
            }
            RunEnd::NotStarted(_) if partial.events() == 0 && failures == 0 => return None,
            RunEnd::NotStarted(_)
            | RunEnd::Migrate(_)
            | RunEnd::TimedOut(_)
            | RunEnd::Broken(_) => {}
        }
        let Some(next) = next_instance(context, index, &instance, partial).await else {
            return Some(TextEnd::Closed);
        };
        instance = next;
    }
}

/// Runs the item at one instance until the run ends or the instance restarts.
async fn run_until_ended(
    context: &RunContext,
    index: usize,
    instance: &Arc<Instance>,
    partial: &mut ItemText,
) -> RunEnd {
    let started = Instant::now();
    let end = tokio::select! {
        end = run_once(context, index, instance, partial) => end,
        // Detects a restart even if a network partition keeps the connection open without events.
        () = instance.wait_until_ended() => RunEnd::Broken("the instance was restarted".to_owned()),
    };
    log_run(context, index, instance, partial, started, &end);
    context.metrics.record_sent("item", instance.distance());
    end
}

fn log_run(
    context: &RunContext,
    index: usize,
    instance: &Instance,
    partial: &ItemText,
    started: Instant,
    end: &RunEnd,
) {
    let outcome = match end {
        RunEnd::Complete => "complete".to_owned(),
        RunEnd::Unprocessable => "impossible".to_owned(),
        RunEnd::Failed => "failed".to_owned(),
        RunEnd::NotStarted(cause) => format!("not_taken cause=\"{cause}\""),
        RunEnd::Migrate(cause) | RunEnd::Broken(cause) => format!("moved cause=\"{cause}\""),
        RunEnd::TimedOut(stalled) => format!("moved {stalled}"),
    };
    log::info!(
        "event=item_run item={} job={} group={} instance={} service={} distance={} started={} tokens={} guess={} events={} versions={:?} epoch={} elapsed_ms={} outcome={outcome}",
        context.spec.items[index].id,
        context.spec.job,
        context.spec.items[index].group,
        instance.id(),
        instance.service(),
        instance.distance(),
        instance.started_unix_ms(),
        context.spec.items[index].tokens,
        context.spec.items[index].expected_tokens,
        partial.events(),
        partial.versions(),
        context.owner_round,
        started.elapsed().as_millis()
    );
}

/// Waits for an instance with free capacity and suitable weights, preferring one other than `last`.
/// The instance belongs to a service of the route in force, which may have left the service of `last`;
/// without a route, the item waits for one.
///
/// Restarts a text that requires a single weight version if no instance has that version any more.
/// Returns `None` once no more requests may be sent.
async fn next_instance(
    context: &RunContext,
    index: usize,
    last: &Arc<Instance>,
    partial: &mut ItemText,
) -> Option<Arc<Instance>> {
    let mut table_changed = context.backends.watch();
    let last_service = last.service();
    let started = Instant::now();
    let mut is_logged = false;
    while context.window.is_open() {
        let route = context.route.current();
        if let Some(route) = &route {
            let service = route.service_after(&last_service);
            if let Some(instance) = choose_instance(context, service, last, partial) {
                return Some(instance);
            }
            let has_waited = started.elapsed() > VERSION_WAIT;
            if route.is_single_version() && partial.events() > 0 && has_waited {
                partial.start_over();
            }
        }
        if !is_logged && started.elapsed() > LOGGED_WAIT {
            is_logged = true;
            log_wait(context, index, &last_service, route.as_deref());
        }
        let _ = tokio::time::timeout(NO_CAPACITY_PAUSE, table_changed.changed()).await;
    }
    None
}

/// Logs an item that has been at no instance for [`LOGGED_WAIT`].
fn log_wait(context: &RunContext, index: usize, last_service: &str, route: Option<&RunRoute>) {
    log::info!(
        "event=item_waiting item={} job={} last_service={last_service} service={} waited_ms={}",
        context.spec.items[index].id,
        context.spec.job,
        route.map_or("none", |route| route.service_after(last_service)),
        LOGGED_WAIT.as_millis()
    );
}

/// Prefers instances that answer, then any other than `last`.
fn choose_instance(
    context: &RunContext,
    service: &str,
    last: &Arc<Instance>,
    partial: &ItemText,
) -> Option<Arc<Instance>> {
    let backends = &context.backends;
    let now = Instant::now();
    let choose = |fits: fn(&Instance, &Instance, Instant) -> bool| {
        backends.choose_in_regions(
            service,
            context.required_weights(),
            WorkKind::InterruptedBatch,
            &context.allowed_regions(),
            |instance| fits(instance, last, now) && can_continue(context, partial, instance),
        )
    };
    choose(|instance, last, now| instance.id() != last.id() && instance.is_answering(now))
        .or_else(|| choose(|instance, last, _| instance.id() != last.id()))
        .or_else(|| choose(|_, _, _| true))
}

async fn run_once(
    context: &RunContext,
    index: usize,
    instance: &Arc<Instance>,
    partial: &mut ItemText,
) -> RunEnd {
    let _guard = instance.track_request();
    let names = context.codec.headers();
    let item = &context.spec.items[index];
    let Ok(attempt_id) = HeaderValue::from_str(&item.id) else {
        return RunEnd::Unprocessable;
    };
    let Some(head) = request_head(context, index, instance, &attempt_id, partial) else {
        return RunEnd::Unprocessable;
    };
    let body = Bytes::copy_from_slice(&item.body);
    let sending = send(
        instance,
        names,
        &head,
        &body,
        &attempt_id,
        AnswerIdPolicy::Required,
    );
    let limit = context.first_event_timeout(instance);
    let stall_timeout = StallTimeout { context, instance };
    let sent = stall_timeout.wait(Awaited::Response, limit, partial, sending);
    let reply = match sent.await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => return on_exchange_error(context, instance, &error),
        Err(stalled) => return RunEnd::TimedOut(stalled),
    };
    match reply.status {
        StatusCode::OK => follow_stream(context, index, instance, reply, partial).await,
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Unprocessable,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        status => {
            instance.record_failure(Instant::now());
            RunEnd::Migrate(format!("status {}", status.as_u16()))
        }
    }
}

fn on_exchange_error(
    context: &RunContext,
    instance: &Arc<Instance>,
    error: &ExchangeError,
) -> RunEnd {
    let now = Instant::now();
    match error {
        ExchangeError::NotRun(_) => {
            let typical_load = context
                .learned_load_limit
                .get()
                .and_then(|limit| limit.typical_load_time());
            let pause = exclusion_after_rejection(instance.has_free_slot(), typical_load);
            instance.mark_loading(&context.spec.model, now + pause);
        }
        ExchangeError::Misdirected {
            is_other_instance: false,
        } => {
            instance.mark_loading(&context.spec.model, now + STALE_WEIGHTS_PAUSE);
        }
        ExchangeError::HeldBack(reason) => context.metrics.record_held_back(*reason),
        ExchangeError::Misdirected { .. }
        | ExchangeError::NotSent(_)
        | ExchangeError::Broken(_) => {
            instance.record_failure(now);
        }
    }
    if error.is_not_run() {
        RunEnd::NotStarted(error.to_string())
    } else {
        RunEnd::Broken(error.to_string())
    }
}

fn request_head(
    context: &RunContext,
    index: usize,
    instance: &Instance,
    attempt_id: &HeaderValue,
    partial: &ItemText,
) -> Option<RequestHead> {
    let names = context.codec.headers();
    let item = &context.spec.items[index];
    let mut headers = HeaderMap::new();
    for header in &item.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(&header.value).ok()?);
    }
    headers.insert(
        http::header::HOST,
        HeaderValue::from_str(&context.spec.host).ok()?,
    );
    headers.remove(&names.tenant);
    if !context.spec.tenant.is_empty() {
        set_tenant(&mut headers, &names.tenant, &context.spec.tenant);
    }
    headers.insert(names.attempt_id.clone(), attempt_id.clone());
    headers.insert(
        names.request_priority.clone(),
        context.route.last_known().priority_header.clone(),
    );
    let expected = HeaderValue::from_str(instance.id()).ok()?;
    headers.insert(names.expect_instance.clone(), expected);
    if let Some(last) = partial.last_event() {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
    }
    Some(RequestHead {
        method: Method::POST,
        uri: item.path.parse::<Uri>().ok()?,
        headers,
        allowed: context.allowed_regions(),
    })
}
