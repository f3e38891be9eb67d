//! Timeout of a run whose instance is silent.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::{Instant, Silent, running_timeout};

use super::run_context::RunContext;
use super::run_end::can_continue;
use super::stalled_run::{Alternative, Awaited, Silence, StalledRun};
use super::text::ItemText;
use crate::backend::{Instance, WorkKind};
use crate::orders::InstanceCalls;

/// Time without anything after which a run leaves an instance that answers other requests, as its
/// connection may be broken, and one for which the text would have to restart elsewhere.
const MAX_STALL: Duration = Duration::from_millis(4_800);

/// Interval between checks whether a stalled run can migrate.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a silent instance has to answer a probe, and to go on with its streams after that.
const PROBE_TIME: Duration = Duration::from_millis(400);

/// Timeout of a run at its instance. A stalled run stays until another instance can continue it, as
/// a migration without one would only repeat the prefill. It stays at an instance that answers
/// nothing at all, since a second run would have to wait for the same instance.
pub(super) struct StallTimeout<'a> {
    pub context: &'a RunContext,
    pub instance: &'a Arc<Instance>,
}

impl StallTimeout<'_> {
    /// Awaits `future`, which completes when something arrives from the instance.
    ///
    /// # Errors
    /// After `limit`, as soon as another instance can continue the text of the run; after
    /// [`MAX_STALL`] also if another can restart it or this instance answers other requests.
    pub async fn wait<F: Future>(
        &self,
        awaited: Awaited,
        limit: Duration,
        partial: &ItemText,
        future: F,
    ) -> Result<F::Output, StalledRun> {
        let mut future = pin!(future);
        let mut silence = Silence::default();
        let mut next_check = limit;
        loop {
            match self.wait_once(&silence, next_check, future.as_mut()).await {
                Ok(output) => return Ok(output),
                Err(silent) => silence.extend(silent),
            }
            let alternative = self.find_alternative(partial);
            if alternative.is_some() || self.is_given_up(&silence) {
                self.instance.record_unanswered(Instant::now());
                return Err(StalledRun {
                    awaited,
                    silence,
                    alternative,
                });
            }
            next_check = STALL_POLL_INTERVAL;
        }
    }

    /// Awaits `future` for `time`. Probes the instance meanwhile if it has been silent for long.
    async fn wait_once<F: Future>(
        &self,
        silence: &Silence,
        time: Duration,
        future: Pin<&mut F>,
    ) -> Result<F::Output, Silent> {
        if silence.running < MAX_STALL || !self.instance.start_probe(Instant::now()) {
            return running_timeout(time, future).await;
        }
        tokio::select! {
            biased;
            waited = running_timeout(PROBE_TIME, future) => waited,
            never = self.probe() => match never {},
        }
    }

    /// Asks the instance for its report, which records any answer. Never completes.
    async fn probe(&self) -> Infallible {
        let codec = Arc::clone(&self.context.codec);
        let call = codec.report_call();
        let outcome = match (InstanceCalls { codec }).call(self.instance, call).await {
            Ok((status, _)) => format!("answered status={}", status.as_u16()),
            Err(error) => format!("failed cause=\"{error}\""),
        };
        let id = self.instance.id();
        log::info!("event=silent_instance_probed instance={id} outcome={outcome}");
        std::future::pending().await
    }

    /// Returns whether the run leaves although no other instance can continue its text.
    fn is_given_up(&self, silence: &Silence) -> bool {
        let can_restart = || self.find_alternative(&ItemText::default()).is_some();
        silence.running >= MAX_STALL
            && (self.instance.is_answering(Instant::now()) || can_restart())
    }

    /// Returns another instance that can continue the text of the run and answers its requests.
    fn find_alternative(&self, partial: &ItemText) -> Option<Alternative> {
        let context = self.context;
        let now = Instant::now();
        let service = self.instance.service();
        let route = context.route.current()?;
        let other = context.backends.best_in_regions(
            route.service_after(&service),
            context.required_weights(),
            WorkKind::InterruptedBatch,
            &context.allowed_regions(),
            |other| {
                other.id() != self.instance.id()
                    && can_continue(context, partial, other)
                    && other.is_answering(now)
            },
        )?;
        Some(Alternative {
            id: other.id().to_owned(),
            silence: other.silence(now),
        })
    }
}
