//! Tests the comparison of a log that was taken over again with its owner's digest.

use ladderstage_front::job::{FoundLog, LogDigest};
use ladderstage_wire::messages::LogEntry;
use proptest::prelude::*;

fn entries(payloads: &[Vec<u8>]) -> Vec<LogEntry> {
    let entries = payloads.iter().cloned();
    entries.map(|payload| LogEntry { payload }).collect()
}

#[test]
fn an_append_with_unknown_outcome_is_detected_in_the_log() {
    let known = entries(&[b"accepted".to_vec(), b"progress".to_vec()]);
    let pending = entries(&[b"result".to_vec(), b"more".to_vec()]);
    let digest = LogDigest::of(&known);
    assert_eq!(
        digest.compare(LogDigest::of(&known), &pending),
        FoundLog::WithoutAppend
    );
    let both = [known.clone(), pending.clone()].concat();
    assert_eq!(
        digest.compare(LogDigest::of(&both), &pending),
        FoundLog::WithAppend
    );
    let half = [known.clone(), pending[..1].to_vec()].concat();
    assert_eq!(
        digest.compare(LogDigest::of(&half), &pending),
        FoundLog::Other
    );
    assert_eq!(
        digest.compare(LogDigest::of(&known[..1]), &pending),
        FoundLog::Other
    );
}

proptest! {
    /// A log with entries of another owner is never mistaken for the known one.
    #[test]
    fn a_log_with_another_owners_entries_is_recognized(
        known in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..4), 0..5),
        pending in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..4), 0..3),
        found in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..4), 0..8),
    ) {
        let digest = LogDigest::of(&entries(&known));
        let appended = [known.clone(), pending.clone()].concat();
        let expected = if found == known {
            FoundLog::WithoutAppend
        } else if found == appended {
            FoundLog::WithAppend
        } else {
            FoundLog::Other
        };
        prop_assert_eq!(digest.compare(LogDigest::of(&entries(&found)), &entries(&pending)), expected);
    }
}
