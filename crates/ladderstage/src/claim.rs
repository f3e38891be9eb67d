//! At-most-once claims: one register per idempotency key, folded from its log in the journal.
//!
//! A claimant takes the log over, appends [`Claimed`], and dispatches only once a majority holds that entry as the
//! first open claim. Taking over fences every earlier writer, so what a take-over returns is certain: an entry that
//! it does not return can never be committed later. Hence a claimant whose append got no answer takes over again
//! and dispatches only if its own claim is there.

use ladderstage_wire::messages::mod_ClaimEntry::OneOfkind;
use ladderstage_wire::messages::{ClaimEntry, ClaimOutcome, Claimed};

/// Take-overs after the first one until a claimant gives up.
const MAX_TAKE_OVER_RETRIES: u32 = 6;

/// `ClaimOutcome::status` of a claim whose request certainly did not run; the key may be claimed again.
const STATUS_RELEASED: u32 = 0;

/// `ClaimOutcome::status` of a claim whose request may have run without an answer. No HTTP status is below 100.
const STATUS_UNKNOWN: u32 = 1;

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Settlement {
    /// It ran and was answered.
    Answered(ClaimOutcome),
    /// It may have run; its answer is lost.
    Unknown,
    /// It certainly did not run and never will under this claim.
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

    /// The log entry that records it.
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

/// What a key's log says.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum ClaimState {
    /// Nobody holds the key.
    #[default]
    Unclaimed,
    /// Claimed; the request may be running, or its claimant is gone.
    Claimed(Claimed),
    /// Claimed and settled for good.
    Settled(Claimed, Settlement),
}

impl ClaimState {
    /// The state after all entries of a log.
    pub fn fold<'a>(entries: impl IntoIterator<Item = &'a ClaimEntry>) -> Self {
        entries.into_iter().fold(Self::default(), Self::apply)
    }

    /// The state after one more entry. An entry that contradicts earlier ones is ignored.
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

    /// Whether `claimant` holds the key and its outcome is still to be recorded.
    pub fn is_open_for(&self, claimant: u64) -> bool {
        matches!(self, Self::Claimed(claimed) if claimed.claimant == claimant)
    }
}

/// What a take-over of the key's log gave.
#[derive(Debug, Clone, PartialEq)]
pub enum TakeOverResult {
    /// The log is ours until fenced; it says this.
    Acquired(ClaimState),
    /// Another writer has a higher epoch.
    Fenced,
    /// The key was settled so long ago that its outcome is no longer kept.
    Retired,
    /// No majority answered in time.
    NoQuorum,
}

/// What appending the claim gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// A majority holds it.
    Committed,
    /// Another writer has taken the log; whether the entry survived is unknown.
    Fenced,
    /// No majority answered in time; whether the entry survives is unknown.
    NoQuorum,
}

/// Final answer to a request that was not dispatched.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimRefusal {
    /// An earlier request of this key was answered: give that answer.
    Replay(ClaimOutcome),
    /// An earlier request of this key may be running or have run, or it is not known who holds the key.
    Unknown,
    /// Nothing was dispatched and nothing was claimed for this request.
    NotRun,
    /// The key was used for a different request.
    KeyReused,
}

/// What a claimant does next.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimStep {
    /// Take over the log, after a jittered back-off if it was tried before, and a look at it if that can be had.
    TakeOver,
    /// Append this entry to the log just taken over.
    Append(ClaimEntry),
    /// The claim is ours and committed: dispatch, once.
    Dispatch,
    /// Answer without dispatching.
    Refuse(ClaimRefusal),
}

/// One request's way to its claim. Feed each result in; each step follows from the last.
#[derive(Debug, Clone)]
pub struct Claimant {
    own: Claimed,
    retries: u32,
    /// An append of our claim was attempted and not confirmed.
    may_have_claimed: bool,
    /// Another writer was met.
    met_rival: bool,
}

impl Claimant {
    /// `id` is random and never used by another request; `request_digest` tells different requests apart.
    /// The first step is [`ClaimStep::TakeOver`].
    pub fn new(id: u64, request_digest: Vec<u8>) -> Self {
        Self {
            own: Claimed {
                claimant: id,
                request_digest,
            },
            retries: 0,
            may_have_claimed: false,
            met_rival: false,
        }
    }

    /// The claimant's id.
    pub fn id(&self) -> u64 {
        self.own.claimant
    }

    /// The step after a look at the log that fenced nobody and may show entries that are not committed.
    ///
    /// Seeing another's claim of the same request is enough to answer `unknown`; taking the log over would only
    /// hinder that claimant. All else needs the certainty of a take-over.
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

    /// How often the log was tried to be taken over again.
    pub fn retries(&self) -> u32 {
        self.retries
    }

    /// The step after a take-over.
    pub fn after_take_over(&mut self, result: TakeOverResult) -> ClaimStep {
        match result {
            TakeOverResult::Acquired(state) => self.after_read(state),
            TakeOverResult::Fenced => {
                self.met_rival = true;
                self.try_again()
            }
            TakeOverResult::Retired => ClaimStep::Refuse(ClaimRefusal::Unknown),
            TakeOverResult::NoQuorum => self.give_up(),
        }
    }

    /// The step after appending the claim.
    pub fn after_append(&mut self, result: AppendResult) -> ClaimStep {
        match result {
            AppendResult::Committed => ClaimStep::Dispatch,
            AppendResult::Fenced => {
                self.met_rival = true;
                self.try_again()
            }
            AppendResult::NoQuorum => self.try_again(),
        }
    }

    fn after_read(&mut self, state: ClaimState) -> ClaimStep {
        match state {
            ClaimState::Unclaimed => {
                self.may_have_claimed = true;
                ClaimStep::Append(ClaimEntry {
                    kind: OneOfkind::claimed(self.own.clone()),
                })
            }
            // The take-over has installed the entry at a majority, and nobody else dispatches under our id.
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

    fn try_again(&mut self) -> ClaimStep {
        if self.retries >= MAX_TAKE_OVER_RETRIES {
            return self.give_up();
        }
        self.retries += 1;
        ClaimStep::TakeOver
    }

    /// Not run is said only where neither we nor a rival we met can hold the key.
    fn give_up(&self) -> ClaimStep {
        let refusal = if self.may_have_claimed || self.met_rival {
            ClaimRefusal::Unknown
        } else {
            ClaimRefusal::NotRun
        };
        ClaimStep::Refuse(refusal)
    }
}
