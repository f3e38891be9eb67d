//! At-most-once claims through the journal; the decisions are [`ladderstage::claim`]'s.

use std::time::Duration;

use ladderstage::claim::{
    AppendResult, ClaimRefusal, ClaimState, ClaimStep, Claimant, Settlement, TakeOverResult,
};
use ladderstage_wire::messages::{ClaimEntry, LogEntry};
use ladderstage_wire::{decode, encode};
use tokio::time::{Instant, timeout_at};

use crate::journal::{Journal, JournalError, LogWriter};

/// Longest wait before a log is taken over again, times the take-overs before; the wait is random up to it.
const BACK_OFF: Duration = Duration::from_millis(50);

/// How often an outcome is tried to be recorded. Without a record, later requests of the key are told `unknown`.
const SETTLE_TRIES: u32 = 8;

/// Longest wait between two tries to record; the wait is random up to it.
const SETTLE_BACK_OFF: Duration = Duration::from_secs(2);

/// Claims keys. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Claims {
    journal: Journal,
}

/// A key claimed by one request, committed at a majority. Its request may be dispatched once.
#[derive(Debug)]
pub struct HeldClaim {
    journal: Journal,
    log: String,
    claimant: u64,
    /// The writer that the claim was committed with, while not known to be fenced.
    writer: Option<LogWriter>,
}

impl Claims {
    /// Claims through this journal.
    pub fn new(journal: Journal) -> Self {
        Self { journal }
    }

    /// Claims a key for one request.
    ///
    /// # Errors
    /// [`ClaimRefusal`]: the request must not be dispatched.
    pub async fn claim(
        &self,
        log: String,
        request_digest: Vec<u8>,
        deadline: Instant,
    ) -> Result<HeldClaim, ClaimRefusal> {
        let mut claimant = Claimant::new(rand::random(), request_digest);
        let mut writer = None;
        let mut step = ClaimStep::TakeOver;
        loop {
            step = match step {
                ClaimStep::TakeOver => {
                    back_off(BACK_OFF * claimant.retries()).await;
                    match self.look(&mut claimant, &log, deadline).await {
                        ClaimStep::TakeOver => {
                            let (taken, result) = self.take_over(&log, deadline).await;
                            writer = taken;
                            claimant.after_take_over(result)
                        }
                        other => other,
                    }
                }
                ClaimStep::Append(entry) => {
                    let result = append(writer.as_mut(), &entry, false, deadline).await;
                    claimant.after_append(result)
                }
                ClaimStep::Dispatch => {
                    return Ok(HeldClaim {
                        journal: self.journal.clone(),
                        log,
                        claimant: claimant.id(),
                        writer,
                    });
                }
                ClaimStep::Refuse(refusal) => return Err(refusal),
            };
        }
    }

    /// Looks at the log without fencing its writer. Without a majority the take-over would only fail as well, later.
    async fn look(&self, claimant: &mut Claimant, log: &str, deadline: Instant) -> ClaimStep {
        match timeout_at(deadline, self.journal.read(log)).await {
            Ok(Ok(Some(entries))) => match fold(log, &entries) {
                Some(state) => claimant.after_unfenced_read(&state),
                None => ClaimStep::TakeOver,
            },
            Ok(Err(JournalError::NoQuorum(detail))) => {
                log::warn!("event=claim_log_unavailable log={log} error=\"{detail}\"");
                claimant.after_take_over(TakeOverResult::NoQuorum)
            }
            Err(_) => claimant.after_take_over(TakeOverResult::NoQuorum),
            Ok(_) => ClaimStep::TakeOver,
        }
    }

    async fn take_over(&self, log: &str, deadline: Instant) -> (Option<LogWriter>, TakeOverResult) {
        match timeout_at(deadline, self.journal.take_over(log)).await {
            Ok(Ok((writer, entries))) => match fold(log, &entries) {
                Some(state) => (Some(writer), TakeOverResult::Acquired(state)),
                None => (None, TakeOverResult::NoQuorum),
            },
            Ok(Err(JournalError::Fenced)) => (None, TakeOverResult::Fenced),
            Ok(Err(JournalError::Retired)) => (None, TakeOverResult::Retired),
            Ok(Err(error)) => {
                log::warn!("event=claim_log_unavailable log={log} error=\"{error}\"");
                (None, TakeOverResult::NoQuorum)
            }
            Err(_) => (None, TakeOverResult::NoQuorum),
        }
    }
}

impl HeldClaim {
    /// Records how the request ended. Gives up after some tries; the key then reads as claimed without an outcome.
    pub async fn settle(mut self, settlement: Settlement) {
        let closes = settlement != Settlement::Released;
        let entry = settlement.into_entry();
        for attempt in 0..SETTLE_TRIES {
            if attempt > 0 {
                back_off(SETTLE_BACK_OFF).await;
            }
            if self.try_settle(&entry, closes).await {
                return;
            }
        }
        log::warn!("event=claim_outcome_not_recorded log={}", self.log);
    }

    /// Whether the outcome is recorded, or need not be any more.
    async fn try_settle(&mut self, entry: &ClaimEntry, closes: bool) -> bool {
        let mut writer = match self.writer.take() {
            Some(writer) => writer,
            None => match self.journal.take_over(&self.log).await {
                // After an append without answer the entry may be there: then the claim is no longer open.
                Ok((writer, entries)) => match fold(&self.log, &entries) {
                    Some(state) if state.is_open_for(self.claimant) => writer,
                    _ => return true,
                },
                Err(_) => return false,
            },
        };
        writer.append(vec![log_entry(entry)], closes).await.is_ok()
    }
}

async fn append(
    writer: Option<&mut LogWriter>,
    entry: &ClaimEntry,
    closes: bool,
    deadline: Instant,
) -> AppendResult {
    let Some(writer) = writer else {
        return AppendResult::Fenced;
    };
    let appended = writer.append(vec![log_entry(entry)], closes);
    match timeout_at(deadline, appended).await {
        Ok(Ok(())) => AppendResult::Committed,
        Ok(Err(JournalError::Fenced)) => AppendResult::Fenced,
        Ok(Err(_)) | Err(_) => AppendResult::NoQuorum,
    }
}

/// The state of a key's log; `None` if an entry cannot be read, in which case nothing may be concluded from it.
fn fold(log: &str, entries: &[LogEntry]) -> Option<ClaimState> {
    let decoded: Result<Vec<ClaimEntry>, _> =
        entries.iter().map(|entry| decode(&entry.payload)).collect();
    match decoded {
        Ok(decoded) => Some(ClaimState::fold(&decoded)),
        Err(error) => {
            log::error!("event=claim_unreadable log={log} error=\"{error}\"");
            None
        }
    }
}

fn log_entry(entry: &ClaimEntry) -> LogEntry {
    LogEntry {
        payload: encode(entry),
    }
}

async fn back_off(longest: Duration) {
    tokio::time::sleep(longest.mul_f64(rand::random())).await;
}
