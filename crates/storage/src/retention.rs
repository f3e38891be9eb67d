//! What is dropped after its retention.

use std::collections::BTreeMap;

use crate::open::StorageOptions;
use crate::records::LogRecord;

/// Logs of at-most-once claims.
const CLAIM_PREFIX: &str = "claim/";

/// Most logs that one sweep handles, so that writers wait only shortly behind it.
const LOGS_PER_SWEEP: usize = 256;

/// What one sweep did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Closed logs that lost all entries but the first.
    pub retired: usize,
    /// Claims that were dropped.
    pub dropped: usize,
}

/// Logs whose retention is over.
#[derive(Debug, Default)]
pub(crate) struct Expired {
    pub to_retire: Vec<String>,
    pub to_drop: Vec<String>,
}

/// Finds what is over its retention at `now_ms` on the store's clock.
pub(crate) fn expired(
    logs: &BTreeMap<String, LogRecord>,
    options: &StorageOptions,
    now_ms: u64,
) -> Expired {
    let is_over = |record: &LogRecord, retention: std::time::Duration| {
        u128::from(now_ms.saturating_sub(record.changed_at_ms)) > retention.as_millis()
    };
    let mut expired = Expired::default();
    for (log, record) in logs {
        if expired.to_retire.len() + expired.to_drop.len() >= LOGS_PER_SWEEP {
            break;
        }
        let is_claim = log.starts_with(CLAIM_PREFIX);
        let rules = &options.drop_rules;
        let rule = rules.iter().find(|rule| log.starts_with(&rule.prefix));
        if let Some(rule) = rule {
            if record.state.closed && is_over(record, rule.after) {
                expired.to_drop.push(log.clone());
            }
        } else if is_claim && is_over(record, options.claim_retention) {
            expired.to_drop.push(log.clone());
        } else if !is_claim && can_retire(record) && is_over(record, options.closed_retention) {
            expired.to_retire.push(log.clone());
        }
    }
    expired
}

fn can_retire(record: &LogRecord) -> bool {
    record.state.closed && !record.state.retired
}
