//! Retries appends to a job's log until their outcome is known.

use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_journal::jitter::jittered;
use ladderstage_journal::{JournalError, LogWriter};
use ladderstage_wire::messages::LogEntry;

/// Pause before an append or a takeover of the log is retried.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Result of a finished append, together with its writer.
pub(super) struct AppendDone {
    pub writer: LogWriter,
    pub result: Result<(), JournalError>,
}

/// Appends `entries` after `pause`. `closes_log` marks the last append, after which the log is
/// closed.
pub(super) fn append_after(
    pause: Duration,
    mut writer: LogWriter,
    entries: Vec<LogEntry>,
    closes_log: bool,
) -> BoxFuture<'static, AppendDone> {
    Box::pin(async move {
        tokio::time::sleep(pause).await;
        let result = append_with_retries(&mut writer, entries, closes_log).await;
        AppendDone { writer, result }
    })
}

/// Waits for the append in progress; never completes if there is none.
pub(super) async fn wait_for_append(
    appending: &mut Option<BoxFuture<'static, AppendDone>>,
) -> AppendDone {
    match appending {
        Some(appending) => appending.await,
        None => std::future::pending().await,
    }
}

/// Retries an append until its outcome is known.
async fn append_with_retries(
    writer: &mut LogWriter,
    entries: Vec<LogEntry>,
    closes_log: bool,
) -> Result<(), JournalError> {
    let mut result = writer.append(entries, closes_log).await;
    while let Err(JournalError::NoQuorum(cause)) = result {
        log::warn!(
            "event=append_in_doubt log={} cause=\"{cause}\"",
            writer.log()
        );
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
        result = writer.retry().await;
    }
    result
}
