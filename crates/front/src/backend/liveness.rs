//! Whether an instance answers this node's requests.

use std::time::Duration;

use ladderstage_clock::Instant;

/// Maximum time between two answers of an instance that answers.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(600);

/// Time from the first to the last answer of an instance after a gap from which it answers again.
/// Instances whose network or machine stood still together do not resume at the same moment.
const RESUME_TIME: Duration = Duration::from_millis(300);

/// Minimum time between two unanswered probes of an instance, however many runs wait for it.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Answers of one instance. An answer is a response or an event of a stream.
#[derive(Debug, Clone)]
pub struct Liveness {
    /// Time of the last answer, or of the first request in flight if that is later.
    heard_at: Instant,
    /// Start of the current period of answers without a gap.
    answering_since: Instant,
    /// Whether a request was given up without an answer, and none was received since.
    is_unanswered: bool,
    /// Start of the last probe.
    probed_at: Option<Instant>,
}

impl Liveness {
    /// Creates the state of an instance without requests. It counts as answering.
    pub fn new(now: Instant) -> Self {
        Self {
            heard_at: now,
            answering_since: now - RESUME_TIME,
            is_unanswered: false,
            probed_at: None,
        }
    }

    /// Records a request while no other is in flight. An unanswered instance stays so.
    pub fn record_first_request(&mut self, now: Instant) {
        if !self.is_unanswered {
            self.heard_at = now;
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Instant) {
        if now.saturating_duration_since(self.heard_at) > MAX_ANSWER_GAP {
            self.answering_since = now;
        }
        self.heard_at = now;
        self.is_unanswered = false;
    }

    /// Records that a request was given up because the instance was silent.
    pub fn record_unanswered(&mut self) {
        self.is_unanswered = true;
    }

    /// Returns whether the caller may probe the instance now, which is recorded as a probe. An
    /// answered probe is followed by another one, as a single answer is not enough.
    pub fn start_probe(&mut self, now: Instant) -> bool {
        let is_due = self.probed_at.is_none_or(|at| {
            let is_answered = self.heard_at > at;
            let interval = if is_answered {
                RESUME_TIME
            } else {
                PROBE_INTERVAL
            };
            now.saturating_duration_since(at) >= interval
        });
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Returns for how long requests have had no answer; zero if none is expected.
    pub fn silence(&self, in_flight: u32, now: Instant) -> Duration {
        if in_flight == 0 && !self.is_unanswered {
            return Duration::ZERO;
        }
        now.saturating_duration_since(self.heard_at)
    }

    /// Returns whether the instance answers its requests, and has done so for a while. One without
    /// requests does, unless it left the last one unanswered.
    pub fn is_answering(&self, in_flight: u32, now: Instant) -> bool {
        let answering_for = self
            .heard_at
            .saturating_duration_since(self.answering_since);
        self.silence(in_flight, now) <= MAX_ANSWER_GAP && answering_for >= RESUME_TIME
    }
}
