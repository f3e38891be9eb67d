//! Replay of long job logs. Guards against a node that sends no heartbeats while it replays a log, so
//! that another node takes the job over and replays it in turn.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ladderstage_front::job::{JobState, LogDigest, encode_entry, replay_log};
use ladderstage_wire::messages::mod_JobEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::{JobItem, JobProgress, JobResult, JobSpec, LogEntry};

/// Number of items, each with one entry of text.
const ITEMS: usize = 256;

/// Size of each text, in bytes.
const TEXT_BYTES: usize = 16 * 1024;

/// Maximum size of the entries that are replayed between two turns of another task, in bytes.
const MAX_BYTES_PER_TURN: usize = 128 * 1024;

/// Returns the log of a complete job. Texts are random, as compressed texts could be short.
fn long_log() -> Vec<LogEntry> {
    let id = |item: usize| format!("item-{item}");
    let items = (0..ITEMS).map(|item| JobItem {
        id: id(item),
        ..JobItem::default()
    });
    let spec = JobSpec {
        job: "job".to_owned(),
        items: items.collect(),
        ..JobSpec::default()
    };
    let mut log = vec![encode_entry(EntryKind::accepted(spec))];
    for item in 0..ITEMS {
        let text: String = (0..TEXT_BYTES)
            .map(|_| rand::random_range('a'..='z'))
            .collect();
        let progress = JobProgress {
            item: id(item),
            text,
            events: 1,
            ..JobProgress::default()
        };
        let result = JobResult {
            item: id(item),
            ..JobResult::default()
        };
        log.push(encode_entry(EntryKind::progress(progress)));
        log.push(encode_entry(EntryKind::result(result)));
    }
    log
}

#[tokio::test]
async fn other_tasks_run_while_a_long_log_is_replayed() {
    let log = long_log();
    let bytes: usize = log.iter().map(|entry| entry.payload.len()).sum();
    let turns = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&turns);
    let other_task = tokio::spawn(async move {
        loop {
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::task::yield_now().await;
        }
    });
    let replayed = replay_log(&log).await.unwrap();
    let turns = turns.load(Ordering::Relaxed);
    other_task.abort();
    assert!(
        turns >= bytes / MAX_BYTES_PER_TURN,
        "{turns} turns in {bytes} bytes"
    );
    assert_eq!(replayed.digest, LogDigest::of(&log));
    let state = JobState::replay(&log).unwrap();
    assert_eq!(replayed.state.results(), state.results());
    assert_eq!(replayed.state.results().len(), ITEMS);
}
