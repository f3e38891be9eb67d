//! At-most-once claims of idempotency keys through the journal; [`ladderstage::claim`] decides.

use std::time::Duration;

use ladderstage::claim::{
    AppendResult, ClaimRefusal, ClaimState, ClaimStep, Claimant, Settlement, TakeOverResult,
};
use ladderstage_wire::messages::{ClaimEntry, LogEntry};
use ladderstage_wire::{decode, encode};
use tokio::time::{Instant, timeout_at};

use crate::journal::{Journal, JournalError, LogWriter};

/// Maximum random delay before another takeover of a log, multiplied by the number of earlier retries.
const BACKOFF_STEP: Duration = Duration::from_millis(50);

/// Maximum number of attempts at recording an outcome. Without a record later requests with the key are answered
/// `unknown`.
const MAX_SETTLE_ATTEMPTS: u32 = 8;

/// Maximum random delay between attempts at recording an outcome.
const MAX_SETTLE_BACKOFF: Duration = Duration::from_secs(2);

/// Claims of idempotency keys. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Claims {
    journal: Journal,
}

/// Key claimed by one request and committed at a majority. The request may be dispatched once.
#[derive(Debug)]
pub struct HeldClaim {
    journal: Journal,
    log: String,
    claimant: u64,
    /// Writer that committed the claim; `None` once it may be fenced.
    writer: Option<LogWriter>,
}

impl Claims {
    /// Creates claims in a journal.
    pub fn new(journal: Journal) -> Self {
        Self { journal }
    }

    /// Claims a key for one request.
    ///
    /// # Errors
    /// [`ClaimRefusal`] if the request must not be dispatched.
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
                    sleep_up_to(BACKOFF_STEP * claimant.retries()).await;
                    match self.read_state(&mut claimant, &log, deadline).await {
                        ClaimStep::TakeOver => {
                            let (new_writer, result) = self.take_over(&log, deadline).await;
                            writer = new_writer;
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

    /// Reads the log without fencing its writer. If no majority answers, counts as a takeover without a majority,
    /// because a takeover would fail too, but later.
    async fn read_state(&self, claimant: &mut Claimant, log: &str, deadline: Instant) -> ClaimStep {
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
    /// Records the outcome of the request. After `MAX_SETTLE_ATTEMPTS` failures the key stays claimed without outcome.
    pub async fn settle(mut self, settlement: Settlement) {
        let closes = settlement != Settlement::Released;
        let entry = settlement.into_entry();
        for attempt in 0..MAX_SETTLE_ATTEMPTS {
            if attempt > 0 {
                sleep_up_to(MAX_SETTLE_BACKOFF).await;
            }
            if self.try_settle(&entry, closes).await {
                return;
            }
        }
        log::warn!("event=claim_outcome_not_recorded log={}", self.log);
    }

    /// Returns whether the outcome is recorded or no longer needs to be.
    async fn try_settle(&mut self, entry: &ClaimEntry, closes: bool) -> bool {
        let mut writer = match self.writer.take() {
            Some(writer) => writer,
            None => match self.journal.take_over(&self.log).await {
                // The entry of an unanswered append may be committed; then the claim is no longer open.
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

/// Folds the state of a key's log; `None` if an entry cannot be decoded, which makes the state unknown.
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

async fn sleep_up_to(max_delay: Duration) {
    tokio::time::sleep(max_delay.mul_f64(rand::random())).await;
}
