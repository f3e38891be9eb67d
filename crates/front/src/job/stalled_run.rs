//! Why a run left a silent instance, as the log tells it.

use std::fmt;
use std::time::Duration;

use ladderstage_clock::Silent;

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
pub(super) struct Silence {
    /// Time for which this node ran meanwhile.
    pub running: Duration,
    /// Time by the clock, which includes standstills of this node.
    pub elapsed: Duration,
}

impl Silence {
    /// Adds a further wait without result.
    pub fn extend(&mut self, silent: Silent) {
        self.running += silent.after;
        self.elapsed += silent.elapsed;
    }
}

/// Another instance that can continue a stalled run.
#[derive(Debug)]
pub(super) struct Alternative {
    /// Id of the instance.
    pub id: String,
    /// Time since this node last heard from it.
    pub silence: Duration,
}

/// Reason why a run left a silent instance.
#[derive(Debug)]
pub(super) struct StalledRun {
    /// What the run waited for.
    pub awaited: Awaited,
    /// Silence of the run's instance.
    pub silence: Silence,
    /// The instance that made the run leave; `None` if the run's own instance did, which answers
    /// other requests, or one at which the text has to restart.
    pub alternative: Option<Alternative>,
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
