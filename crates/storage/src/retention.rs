//! Retention of closed logs and claims.

use std::collections::BTreeMap;

use crate::open::StorageOptions;
use crate::records::LogRecord;

/// Prefix of the names of logs of at-most-once claims.
const CLAIM_PREFIX: &str = "claim/";

/// Maximum number of logs handled in one sweep, so that writers do not wait long for it.
const LOGS_PER_SWEEP: usize = 256;

/// Time after which staged parts that no write has named are removed, in milliseconds. Their writer has
/// stopped: it stages a log without pauses.
const STAGED_RETENTION_MS: u64 = 10 * 60 * 1000;

/// Result of one sweep.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Number of closed logs that were retired: all entries but the first were deleted.
    pub retired: usize,
    /// Number of claims and closed logs that were deleted.
    pub dropped: usize,
}

/// Names of logs whose retention has passed.
#[derive(Debug, Default)]
pub(crate) struct Expired {
    pub to_retire: Vec<String>,
    pub to_delete: Vec<String>,
    /// Logs whose staged parts are outdated.
    pub to_unstage: Vec<String>,
}

/// Finds logs whose retention has passed at `now_ms` on the store's clock. `staged_at` has the time at
/// which parts of each log were last staged.
pub(crate) fn expired(
    logs: &BTreeMap<String, LogRecord>,
    staged_at: &BTreeMap<String, u64>,
    options: &StorageOptions,
    now_ms: u64,
) -> Expired {
    let is_expired = |record: &LogRecord, retention: std::time::Duration| {
        u128::from(now_ms.saturating_sub(record.changed_at_ms)) > retention.as_millis()
    };
    let is_outdated = |at: u64| now_ms.saturating_sub(at) > STAGED_RETENTION_MS;
    let outdated = staged_at.iter().filter(|(_, at)| is_outdated(**at));
    let mut expired = Expired {
        to_unstage: outdated.map(|(log, _)| log.clone()).collect(),
        ..Expired::default()
    };
    for (log, record) in logs {
        if expired.to_retire.len() + expired.to_delete.len() >= LOGS_PER_SWEEP {
            break;
        }
        let is_claim = log.starts_with(CLAIM_PREFIX);
        let rules = &options.drop_rules;
        let rule = rules.iter().find(|rule| log.starts_with(&rule.prefix));
        if let Some(rule) = rule {
            if record.state.closed && is_expired(record, rule.after) {
                expired.to_delete.push(log.clone());
            }
        } else if is_claim && is_expired(record, options.claim_retention) {
            expired.to_delete.push(log.clone());
        } else if !is_claim && can_retire(record) && is_expired(record, options.closed_retention) {
            expired.to_retire.push(log.clone());
        }
    }
    expired
}

fn can_retire(record: &LogRecord) -> bool {
    record.state.closed && !record.state.retired
}
