//! Silence of a run's instance, after which the run leaves it.

use std::fmt;
use std::pin::pin;
use std::time::Duration;

use ladderstage_clock::{Instant, Silent, running_timeout};

use super::run_context::RunContext;
use super::run_end::can_continue;
use super::text::ItemText;
use crate::backend::{Instance, WorkKind};

/// Time without anything after which a run migrates even if no other instance is known to be
/// better, as its connection may be broken.
const MAX_STALL: Duration = Duration::from_millis(4_800);

/// Interval between checks whether a stalled run can migrate.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a run waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Awaited {
    /// The head of the response.
    Response,
    /// The next event.
    Event,
}

/// Time without anything from a run's instance.
#[derive(Debug, Clone, Copy, Default)]
struct Silence {
    /// Time for which this node ran meanwhile.
    running: Duration,
    /// Time by the clock, which includes standstills of this node.
    elapsed: Duration,
}

impl Silence {
    /// Adds a further wait without result.
    fn extend(&mut self, silent: Silent) {
        self.running += silent.after;
        self.elapsed += silent.elapsed;
    }
}

/// Another instance that can continue a stalled run.
#[derive(Debug)]
struct Alternative {
    /// Id of the instance.
    id: String,
    /// Time since this node last heard from it.
    silence: Duration,
}

/// Reason why a run left a silent instance.
#[derive(Debug)]
pub(super) struct StalledRun {
    /// What the run waited for.
    awaited: Awaited,
    /// Silence of the run's instance.
    silence: Silence,
    /// The instance that made the run leave; `None` if the time limit did.
    alternative: Option<Alternative>,
}

impl fmt::Display for StalledRun {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let awaited = match self.awaited {
            Awaited::Response => "the first event",
            Awaited::Event => "an event",
        };
        write!(
            formatter,
            "cause=\"timed out waiting for {awaited}\" silent_ms={} ran_ms={}",
            self.silence.elapsed.as_millis(),
            self.silence.running.as_millis()
        )?;
        match &self.alternative {
            Some(other) => write!(
                formatter,
                " other={} other_silent_ms={}",
                other.id,
                other.silence.as_millis()
            ),
            None => write!(formatter, " other=none"),
        }
    }
}

/// Timeout of a run at its instance. A stalled run stays until another instance can continue it, as
/// a migration without one would only repeat the prefill.
pub(super) struct StallTimeout<'a> {
    pub context: &'a RunContext,
    pub instance: &'a Instance,
}

impl StallTimeout<'_> {
    /// Awaits `future`, which completes when something arrives from the instance.
    ///
    /// # Errors
    /// After `limit`, as soon as another instance can continue the text of the run, and after
    /// [`MAX_STALL`] in any case.
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
            match running_timeout(next_check, future.as_mut()).await {
                Ok(output) => return Ok(output),
                Err(silent) => silence.extend(silent),
            }
            let alternative = self.find_alternative(partial);
            if alternative.is_some() || silence.running >= MAX_STALL {
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

    /// Returns another instance that can continue the text of the run and answers its requests.
    fn find_alternative(&self, partial: &ItemText) -> Option<Alternative> {
        let context = self.context;
        let now = Instant::now();
        let other = context.backends.best_in_regions(
            &context.service,
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
