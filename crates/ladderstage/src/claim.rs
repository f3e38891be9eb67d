//! At-most-once claims: one register per idempotency key, computed from the key's log in the
//! journal.
//!
//! A claimant takes over the log, appends [`Claimed`], and dispatches only once a majority stores
//! that entry as the first open claim. A takeover fences every earlier writer, so its result is
//! final: an entry that it does not return can never be committed later. A claimant whose append
//! got no answer therefore takes over again and dispatches only if the log then contains its own
//! claim.

use ladderstage_wire::messages::mod_ClaimEntry::OneOfkind;
use ladderstage_wire::messages::{ClaimEntry, ClaimOutcome, Claimed};

/// Maximum number of takeovers after the first one before the request is refused.
const MAX_TAKE_OVER_RETRIES: u32 = 6;

/// `ClaimOutcome::status` of a claim whose request did not run; the key may be claimed again.
const STATUS_RELEASED: u32 = 0;

/// `ClaimOutcome::status` of a claim whose request may have run without an answer. Distinct from
/// every HTTP status, which are 100 or higher.
const STATUS_UNKNOWN: u32 = 1;

/// Final outcome of a claimed request.
#[derive(Debug, Clone, PartialEq)]
pub enum Settlement {
    /// The request ran and was answered.
    Answered(ClaimOutcome),
    /// The request may have run; its answer is lost.
    Unknown,
    /// The request did not run and never will under this claim.
    Released,
}

impl Settlement {
    fn from_entry(outcome: &ClaimOutcome) -> Self {
        match outcome.status {
            STATUS_RELEASED => Self::Released,
            STATUS_UNKNOWN => Self::Unknown,
            _ => Self::Answered(outcome.clone()),
        }
    }

    /// Returns the log entry that records the outcome.
    pub fn into_entry(self) -> ClaimEntry {
        let with_status = |status| ClaimOutcome {
            status,
            ..ClaimOutcome::default()
        };
        let outcome = match self {
            Self::Answered(outcome) => outcome,
            Self::Unknown => with_status(STATUS_UNKNOWN),
            Self::Released => with_status(STATUS_RELEASED),
        };
        ClaimEntry {
            kind: OneOfkind::outcome(outcome),
        }
    }
}

/// State of a key, computed from its log.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum ClaimState {
    /// No claim is open or settled.
    #[default]
    Unclaimed,
    /// Claimed; the request may be running, or its claimant may have crashed.
    Claimed(Claimed),
    /// Claimed, with a final outcome.
    Settled(Claimed, Settlement),
}

impl ClaimState {
    /// Returns the state after all entries of a log.
    pub fn fold<'a>(entries: impl IntoIterator<Item = &'a ClaimEntry>) -> Self {
        entries.into_iter().fold(Self::default(), Self::apply)
    }

    /// Returns the state after one more entry. An entry that contradicts earlier ones is ignored.
    fn apply(self, entry: &ClaimEntry) -> Self {
        match (self, &entry.kind) {
            (Self::Unclaimed, OneOfkind::claimed(claimed)) => Self::Claimed(claimed.clone()),
            (Self::Claimed(claimed), OneOfkind::outcome(outcome)) => {
                match Settlement::from_entry(outcome) {
                    Settlement::Released => Self::Unclaimed,
                    settlement => Self::Settled(claimed, settlement),
                }
            }
            (state, _) => state,
        }
    }

    /// Returns whether `claimant` holds the key and its outcome is not recorded yet.
    pub fn is_open_for(&self, claimant: u64) -> bool {
        matches!(self, Self::Claimed(claimed) if claimed.claimant == claimant)
    }
}

/// Result of taking over a key's log.
#[derive(Debug, Clone, PartialEq)]
pub enum TakeOverResult {
    /// The log is owned until another writer fences it; holds the state read from it.
    Acquired(ClaimState),
    /// Another writer has a higher epoch.
    Fenced,
    /// The key was settled long ago and its outcome has been dropped.
    Retired,
    /// No majority answered in time.
    NoQuorum,
}

/// Result of appending the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// A majority has stored the entry.
    Committed,
    /// Another writer has taken over the log; the entry may or may not survive.
    Fenced,
    /// No majority answered in time; the entry may or may not survive.
    NoQuorum,
}

/// Final answer to a request that is not dispatched.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimRefusal {
    /// An earlier request with this key was answered: repeat that answer.
    Replay(ClaimOutcome),
    /// An earlier request with this key may be running or have run, or the key's holder is unknown.
    Unknown,
    /// Nothing was dispatched and the key was not claimed for this request.
    NotRun,
    /// The key was used for a different request.
    KeyReused,
}

/// Next step of a claimant.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimStep {
    /// Take over the log. On a retry, back off with jitter first; if possible, read the log without
    /// fencing before taking it over.
    TakeOver,
    /// Append this entry to the log that was just taken over.
    Append(ClaimEntry),
    /// The claim is committed: dispatch the request, once.
    Dispatch,
    /// Answer without dispatching.
    Refuse(ClaimRefusal),
}

/// State machine by which one request claims its key. The caller performs each step and passes in
/// its result.
#[derive(Debug, Clone)]
pub struct Claimant {
    own: Claimed,
    retries: u32,
    /// An append of this claimant's entry was attempted and not confirmed.
    may_have_claimed: bool,
    /// Another writer has fenced this one.
    saw_other_writer: bool,
}

impl Claimant {
    /// Creates a claimant whose first step is [`ClaimStep::TakeOver`].
    ///
    /// `id` is random and unique among requests; `request_digest` distinguishes different requests
    /// with one key.
    pub fn new(id: u64, request_digest: Vec<u8>) -> Self {
        Self {
            own: Claimed {
                claimant: id,
                request_digest,
            },
            retries: 0,
            may_have_claimed: false,
            saw_other_writer: false,
        }
    }

    /// Returns the claimant's id.
    pub fn id(&self) -> u64 {
        self.own.claimant
    }

    /// Returns the step after reading the log without fencing its writer, which may show
    /// uncommitted entries.
    ///
    /// Another request's claim of the same content is enough to answer `unknown`: a takeover would
    /// only disturb that claimant. All other states need the certainty of a takeover.
    pub fn after_unfenced_read(&self, state: &ClaimState) -> ClaimStep {
        match state {
            ClaimState::Claimed(claimed)
                if claimed.claimant != self.own.claimant
                    && claimed.request_digest == self.own.request_digest =>
            {
                ClaimStep::Refuse(ClaimRefusal::Unknown)
            }
            _ => ClaimStep::TakeOver,
        }
    }

    /// Returns the number of takeovers after the first one.
    pub fn retries(&self) -> u32 {
        self.retries
    }

    /// Returns the step after a takeover.
    pub fn after_take_over(&mut self, result: TakeOverResult) -> ClaimStep {
        match result {
            TakeOverResult::Acquired(state) => self.after_acquired(state),
            TakeOverResult::Fenced => {
                self.saw_other_writer = true;
                self.retry()
            }
            TakeOverResult::Retired => ClaimStep::Refuse(ClaimRefusal::Unknown),
            TakeOverResult::NoQuorum => self.refuse(),
        }
    }

    /// Returns the step after appending the claim.
    pub fn after_append(&mut self, result: AppendResult) -> ClaimStep {
        match result {
            AppendResult::Committed => ClaimStep::Dispatch,
            AppendResult::Fenced => {
                self.saw_other_writer = true;
                self.retry()
            }
            AppendResult::NoQuorum => self.retry(),
        }
    }

    fn after_acquired(&mut self, state: ClaimState) -> ClaimStep {
        match state {
            ClaimState::Unclaimed => {
                self.may_have_claimed = true;
                ClaimStep::Append(ClaimEntry {
                    kind: OneOfkind::claimed(self.own.clone()),
                })
            }
            // The takeover has stored the entry at a majority, and no other request uses this id.
            ClaimState::Claimed(claimed) if claimed.claimant == self.own.claimant => {
                ClaimStep::Dispatch
            }
            ClaimState::Claimed(claimed) | ClaimState::Settled(claimed, _)
                if claimed.request_digest != self.own.request_digest =>
            {
                ClaimStep::Refuse(ClaimRefusal::KeyReused)
            }
            ClaimState::Settled(_, Settlement::Answered(outcome)) => {
                ClaimStep::Refuse(ClaimRefusal::Replay(outcome))
            }
            ClaimState::Claimed(_) | ClaimState::Settled(..) => {
                ClaimStep::Refuse(ClaimRefusal::Unknown)
            }
        }
    }

    fn retry(&mut self) -> ClaimStep {
        if self.retries >= MAX_TAKE_OVER_RETRIES {
            return self.refuse();
        }
        self.retries += 1;
        ClaimStep::TakeOver
    }

    /// Refuses the request. `NotRun` is allowed only if neither this claimant nor another writer
    /// may hold the key.
    fn refuse(&self) -> ClaimStep {
        let refusal = if self.may_have_claimed || self.saw_other_writer {
            ClaimRefusal::Unknown
        } else {
            ClaimRefusal::NotRun
        };
        ClaimStep::Refuse(refusal)
    }
}
