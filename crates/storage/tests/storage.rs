//! Tests of a replica's storage: durability, damage and retention.

use std::fs::OpenOptions;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::parts::{LogPosition, PartAssembler, split};
use ladderstage_storage::{DropRule, OpenError, Storage, StorageError, StorageOptions};
use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    Append, Epoch, ExportedLog, Install, KnownLog, LogEntry, ReadLog, ReplicaMember, ReplicaSet,
    Seal, StageEntries,
};

const LOG: &str = "shard/trainer/1/0";

fn open(folder: &Path) -> Result<Storage, OpenError> {
    Storage::open(folder, StorageOptions::default())
}

/// Opens the folder as the only member of replica set 1.
async fn open_replica(folder: &Path, options: StorageOptions) -> Storage {
    let storage = Storage::open(folder, options).expect("folder opens");
    storage
        .put_replica_set(replica_set_of(1, storage.replica_id()))
        .await
        .unwrap();
    storage
}

fn replica_set_of(version: u64, replica_id: u64) -> ReplicaSet {
    let member = ReplicaMember {
        node: "a".to_owned(),
        replica_id,
    };
    ReplicaSet {
        version,
        current: vec![member],
        next: Vec::new(),
    }
}

fn epoch(round: u64) -> WriterEpoch {
    WriterEpoch { round, owner: 1 }
}

fn entries(range: std::ops::Range<usize>) -> Vec<LogEntry> {
    range
        .map(|index| LogEntry {
            payload: format!("entry {index}").into_bytes(),
        })
        .collect()
}

fn seal(log: &str, round: u64) -> Seal {
    Seal {
        replica_set_version: 1,
        log: log.to_owned(),
        epoch: epoch(round).to_wire(),
        owner_node: "a".to_owned(),
        without_entries: false,
        last_promised: None,
    }
}

fn install(log: &str, round: u64, entries: Vec<LogEntry>) -> Install {
    Install {
        replica_set_version: 1,
        log: log.to_owned(),
        epoch: epoch(round).to_wire(),
        owner_node: "a".to_owned(),
        entries,
        ..Install::default()
    }
}

fn append(log: &str, round: u64, first_index: u64, entries: Vec<LogEntry>, closes: bool) -> Append {
    Append {
        replica_set_version: 1,
        log: log.to_owned(),
        epoch: epoch(round).to_wire(),
        first_index,
        entries,
        closes,
        ..Append::default()
    }
}

async fn write_log(storage: &Storage, log: &str, closes: bool) {
    storage.seal(seal(log, 1)).await.unwrap();
    storage
        .install(install(log, 1, entries(0..1)))
        .await
        .unwrap();
    let reply = storage
        .append(append(log, 1, 1, entries(1..3), closes))
        .await
        .unwrap();
    assert_eq!((reply.outcome, reply.length), (Outcome::STORED, 3));
}

#[tokio::test]
async fn a_restart_keeps_everything() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    let replica_id = storage.replica_id();
    write_log(&storage, LOG, false).await;
    storage.seal(seal(LOG, 5)).await.unwrap();
    storage.put_bundle(7, b"seven".to_vec()).await.unwrap();
    storage.put_bundle(6, b"six".to_vec()).await.unwrap();
    drop(storage);

    let storage = open(folder.path()).unwrap();
    assert_eq!(storage.replica_id(), replica_id);
    assert_eq!(storage.replica_set(), Some(replica_set_of(1, replica_id)));
    assert_eq!(storage.bundle_revision(), 7);
    assert_eq!(storage.get_bundle().await.unwrap().unwrap().bytes, b"seven");
    let state = storage.log_state(LOG).unwrap();
    assert_eq!(
        (state.promised, state.log_epoch, state.length),
        (epoch(5), epoch(1), 3)
    );
    let read = storage.read_log(LOG).await.unwrap();
    assert!(read.found);
    assert_eq!(read.entries, entries(0..3));
    let refused = storage
        .append(append(LOG, 1, 3, entries(3..4), false))
        .await
        .unwrap();
    assert_eq!(refused.outcome, Outcome::FENCED);
    assert_eq!(storage.open_logs("shard/"), [LOG]);
    assert_eq!(storage.describe_logs("shard/other").logs, []);
}

#[tokio::test]
async fn concurrent_requests_are_all_stored() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    let tasks: Vec<_> = (0..500)
        .map(|number| {
            let storage = storage.clone();
            tokio::spawn(
                async move { write_log(&storage, &format!("shard/t/{number}/0"), false).await },
            )
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    let mut exported: Vec<String> = Vec::new();
    loop {
        let after = exported.last().cloned().unwrap_or_default();
        let page = storage.export_logs(&after, 64, 0).await.unwrap();
        assert!(page.logs.iter().all(|log| log.entries == entries(0..3)));
        exported.extend(page.logs.into_iter().map(|log| log.log));
        if !page.more {
            break;
        }
    }
    assert_eq!(exported.len(), 500);
}

#[tokio::test]
async fn requests_with_a_stale_replica_set_or_to_a_non_member_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open(folder.path()).unwrap();
    assert_eq!(
        storage.seal(seal(LOG, 1)).await,
        Err(StorageError::NoReplicaSet)
    );
    storage
        .put_replica_set(replica_set_of(1, storage.replica_id()))
        .await
        .unwrap();
    write_log(&storage, LOG, false).await;
    storage
        .put_replica_set(replica_set_of(2, storage.replica_id()))
        .await
        .unwrap();
    let stale = StorageError::StaleReplicaSet { asked: 1, known: 2 };
    assert_eq!(
        storage
            .append(append(LOG, 1, 3, entries(3..4), false))
            .await,
        Err(stale)
    );
    storage
        .put_replica_set(replica_set_of(1, storage.replica_id()))
        .await
        .unwrap();
    assert_eq!(storage.replica_set().unwrap().version, 2);
    storage.put_replica_set(replica_set_of(3, 1)).await.unwrap();
    let newest = Seal {
        replica_set_version: 3,
        ..seal(LOG, 9)
    };
    assert_eq!(
        storage.seal(newest).await,
        Err(StorageError::NotAReplica { version: 3 })
    );
}

#[tokio::test]
async fn an_import_raises_the_promised_epoch_and_keeps_a_newer_log() {
    let (from, to) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let source = open_replica(from.path(), StorageOptions::default()).await;
    write_log(&source, LOG, true).await;
    source.seal(seal(LOG, 4)).await.unwrap();
    let exported = source.export_logs("", 10, 0).await.unwrap().logs;
    let target = open_replica(to.path(), StorageOptions::default()).await;
    target.import_logs(1, exported.clone()).await.unwrap();
    assert_eq!(target.log_state(LOG), source.log_state(LOG));
    target
        .install(install(LOG, 5, entries(0..5)))
        .await
        .unwrap();
    target.import_logs(1, exported).await.unwrap();
    assert_eq!(target.read_log(LOG).await.unwrap().entries, entries(0..5));
}

#[tokio::test]
async fn retention_keeps_the_first_entry_of_closed_logs_and_deletes_claims() {
    let folder = tempfile::tempdir().unwrap();
    let options = StorageOptions {
        closed_retention: Duration::ZERO,
        claim_retention: Duration::ZERO,
        ..StorageOptions::default()
    };
    let storage = open_replica(folder.path(), options).await;
    write_log(&storage, LOG, true).await;
    write_log(&storage, "shard/open", false).await;
    write_log(&storage, "claim/pool/key", false).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    let report = storage.sweep().await.unwrap();
    assert_eq!((report.retired, report.dropped), (1, 1));
    let reply = storage.seal(seal(LOG, 2)).await.unwrap();
    assert!(reply.retired);
    assert_eq!(reply.entries, entries(0..1));
    assert_eq!(
        storage.read_log("shard/open").await.unwrap().entries,
        entries(0..3)
    );
    assert!(!storage.read_log("claim/pool/key").await.unwrap().found);
}

/// A damaged file either opens with all acknowledged entries or is refused.
#[tokio::test]
async fn a_damaged_file_is_recovered_or_refused() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    for number in 0..50 {
        write_log(&storage, &format!("shard/t/{number}/0"), false).await;
    }
    let replica_id = storage.replica_id();
    drop(storage);
    let file = folder.path().join("journal.redb");
    let original = std::fs::read(&file).unwrap();
    let mut refused = 0;
    for damage in 0..24 {
        std::fs::write(&file, damaged(&original, damage)).unwrap();
        match open(folder.path()) {
            Ok(storage) => {
                assert_eq!(storage.replica_id(), replica_id);
                for number in 0..50 {
                    let read = storage
                        .read_log(&format!("shard/t/{number}/0"))
                        .await
                        .unwrap();
                    assert_eq!(read.entries, entries(0..3), "damage {damage}, log {number}");
                }
            }
            Err(error) => {
                refused += 1;
                assert!(error.to_string().contains("journal.redb: "), "{error}");
            }
        }
    }
    assert!(refused >= 8, "{refused} of 24 refused");
}

/// Returns `original` with damage number `damage`: 0 to 7 truncate it, 8 to 15 overwrite blocks, and
/// 16 to 23 append garbage.
fn damaged(original: &[u8], damage: usize) -> Vec<u8> {
    let mut bytes = original.to_vec();
    let share = damage % 8 + 1;
    match damage / 8 {
        0 => bytes.truncate(original.len() - original.len() * share / 8),
        1 => {
            for position in 0..share {
                let start = original.len() * (2 * position + 1) / 20;
                bytes[start..start + 4096].fill(0xA5);
            }
        }
        _ => bytes.extend(std::iter::repeat_n(0x5A, share * 1000)),
    }
    bytes
}

#[tokio::test]
async fn a_database_rolled_back_to_an_earlier_commit_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    drop(storage);
    let file = folder.path().join("journal.redb");
    let earlier = std::fs::read(&file).unwrap();
    let storage = open(folder.path()).unwrap();
    write_log(&storage, LOG, false).await;
    drop(storage);
    std::fs::write(&file, earlier).unwrap();
    let error = open(folder.path()).unwrap_err();
    assert!(matches!(error, OpenError::LostCommits { .. }), "{error}");
}

#[tokio::test]
async fn a_missing_file_is_refused_and_an_empty_folder_gets_a_new_id() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    let first = storage.replica_id();
    assert!(matches!(open(folder.path()), Err(OpenError::InUse { .. })));
    drop(storage);
    std::fs::remove_file(folder.path().join("journal.redb")).unwrap();
    assert!(matches!(
        open(folder.path()),
        Err(OpenError::Missing { .. })
    ));
    std::fs::remove_file(folder.path().join("journal.commits")).unwrap();
    let second = open(folder.path()).unwrap();
    assert_ne!(second.replica_id(), first);
    drop(second);
    std::fs::remove_file(folder.path().join("journal.commits")).unwrap();
    assert!(matches!(
        open(folder.path()),
        Err(OpenError::Missing { .. })
    ));
}

#[tokio::test]
async fn a_folder_with_one_torn_watermark_slot_opens() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    write_log(&storage, LOG, false).await;
    drop(storage);
    let path = folder.path().join("journal.commits");
    for slot in [0, 4096] {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&path)
            .unwrap();
        let mut kept = [0; 20];
        file.read_exact_at(&mut kept, slot).unwrap();
        file.write_all_at(&[0xFF; 9], slot).unwrap();
        assert_eq!(
            open(folder.path())
                .unwrap()
                .read_log(LOG)
                .await
                .unwrap()
                .entries,
            entries(0..3)
        );
        file.write_all_at(&kept, slot).unwrap();
    }
}

/// An install may omit entries that the replica holds at the named epoch. The replica rejects the
/// install if it does not hold them.
#[tokio::test]
async fn an_install_may_omit_entries_that_the_replica_holds() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    storage
        .install(install(LOG, 1, entries(0..4)))
        .await
        .unwrap();
    let sealed = Seal {
        without_entries: true,
        ..seal(LOG, 2)
    };
    let found = storage.seal(sealed).await.unwrap();
    assert_eq!((found.length, found.entries.len()), (4, 0));
    let install_rest = |kept_length, kept_round| Install {
        kept_length,
        kept_epoch: epoch(kept_round).to_wire(),
        ..install(LOG, 2, entries(10..12))
    };
    for refused in [install_rest(3, 7), install_rest(5, 1)] {
        let reply = storage.install(refused).await.unwrap();
        assert_eq!(reply.outcome, Outcome::NEEDS_INSTALL);
    }
    let reply = storage.install(install_rest(3, 1)).await.unwrap();
    assert_eq!((reply.outcome, reply.length), (Outcome::STORED, 5));
    let expected: Vec<LogEntry> = entries(0..3).into_iter().chain(entries(10..12)).collect();
    drop(storage);
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    assert_eq!(storage.read_log(LOG).await.unwrap().entries, expected);
}

/// After a temporary disk failure the folder reopens without a restart of the process and without
/// data loss.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_folder_is_reopened_after_a_failed_commit() {
    let folder = tempfile::tempdir().unwrap();
    let options = StorageOptions::default();
    let faults = options.faults.clone();
    let storage = open_replica(folder.path(), options).await;
    let install = |log: &str| Install {
        replica_set_version: 1,
        log: log.to_owned(),
        epoch: Some(Epoch { round: 1, owner: 7 }),
        owner_node: "own".to_owned(),
        entries: vec![LogEntry {
            payload: b"entry".to_vec(),
        }],
        ..Install::default()
    };
    storage.install(install("kept")).await.unwrap();
    faults.fail_commits(1);
    assert!(storage.install(install("refused")).await.is_err());
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while storage.failure().is_some() || storage.read_log("kept").await.is_err() {
        assert!(std::time::Instant::now() < deadline, "not reopened");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert!(storage.read_log("kept").await.unwrap().found);
    assert!(!storage.read_log("refused").await.unwrap().found);
    storage.install(install("after")).await.unwrap();
    assert!(storage.read_log("after").await.unwrap().found);
}

/// Guards against a drop rule that deletes open logs or logs with another prefix.
#[tokio::test]
async fn a_drop_rule_deletes_only_closed_logs_with_its_prefix() {
    let folder = tempfile::tempdir().unwrap();
    let options = StorageOptions {
        drop_rules: vec![DropRule {
            prefix: "job/".to_owned(),
            after: Duration::from_millis(1),
        }],
        ..StorageOptions::default()
    };
    let storage = open_replica(folder.path(), options).await;
    let epoch = Some(Epoch { round: 1, owner: 7 });
    for (log, closes) in [
        ("job/ended", true),
        ("job/open", false),
        ("other/ended", true),
    ] {
        let install = Install {
            replica_set_version: 1,
            log: log.to_owned(),
            epoch: epoch.clone(),
            owner_node: "own".to_owned(),
            entries: Vec::new(),
            ..Install::default()
        };
        storage.install(install).await.unwrap();
        let append = Append {
            replica_set_version: 1,
            log: log.to_owned(),
            epoch: epoch.clone(),
            first_index: 0,
            entries: vec![LogEntry {
                payload: b"entry".to_vec(),
            }],
            closes,
            ..Append::default()
        };
        storage.append(append).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(storage.sweep().await.unwrap().dropped, 1);
    let found = |log: &'static str| {
        let storage = storage.clone();
        async move { storage.read_log(log).await.unwrap().found }
    };
    assert!(!found("job/ended").await);
    assert!(found("job/open").await);
    assert!(found("other/ended").await);
}

/// Guards against a commit for a promise that the replica has made before, for which a writer that
/// repeats a round would wait.
#[tokio::test]
async fn a_repeated_promise_is_not_committed_again() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    let first = storage.seal(seal(LOG, 1)).await.unwrap();
    let watermark = || std::fs::read(folder.path().join("journal.commits")).unwrap();
    let before = watermark();
    let repeated = storage.seal(seal(LOG, 1)).await.unwrap();
    assert!(repeated.accepted);
    assert_eq!(repeated, first);
    assert_eq!(watermark(), before, "no commit was made");
    storage.seal(seal(LOG, 2)).await.unwrap();
    assert_ne!(watermark(), before, "a new promise is committed");
}

/// Maximum size of the parts in one message, in bytes; splits the entries of a test.
const SMALL_PART_BYTES: usize = 4;

/// Stages entries of a writer, the first of which has index 0.
async fn stage(storage: &Storage, log: &str, round: u64, entries: &[LogEntry]) {
    let end = entries.len() as u64;
    let mut position = LogPosition::default();
    while position.index < end {
        let parts = split(entries, position, end, SMALL_PART_BYTES);
        position = LogPosition::end_of(parts.last().unwrap());
        let request = StageEntries {
            replica_set_version: 1,
            log: log.to_owned(),
            epoch: epoch(round).to_wire(),
            parts,
        };
        storage.stage(request).await.unwrap();
    }
}

fn staged_install(log: &str, round: u64, length: u64) -> Install {
    Install {
        staged_length: length,
        ..install(log, round, Vec::new())
    }
}

/// Guards against committed entries that are lost when a takeover ends in the middle of a long install.
#[tokio::test]
async fn staged_entries_become_visible_with_the_write_that_names_them() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    write_log(&storage, LOG, false).await;
    let before = storage.log_state(LOG);
    stage(&storage, LOG, 2, &entries(0..6)).await;
    assert_eq!(storage.log_state(LOG), before);
    assert_eq!(storage.read_log(LOG).await.unwrap().entries, entries(0..3));
    let reply = storage.install(staged_install(LOG, 2, 6)).await.unwrap();
    assert_eq!((reply.outcome, reply.length), (Outcome::STORED, 6));
    assert_eq!(storage.read_log(LOG).await.unwrap().entries, entries(0..6));
    // Staged entries are used once, and an append takes the place of the following ones.
    let append = Append {
        staged_length: 8,
        ..append(LOG, 2, 0, Vec::new(), true)
    };
    let reply = storage.append(append.clone()).await.unwrap();
    assert_eq!(reply.outcome, Outcome::NEEDS_INSTALL);
    stage(&storage, LOG, 2, &entries(0..8)).await;
    let reply = storage.append(append).await.unwrap();
    assert_eq!((reply.outcome, reply.length), (Outcome::STORED, 8));
    assert_eq!(storage.read_log(LOG).await.unwrap().entries, entries(0..8));
}

/// Guards against logs with gaps: a write must not be stored unless all its staged entries are there.
#[tokio::test]
async fn a_write_with_missing_staged_entries_stores_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    write_log(&storage, LOG, false).await;
    stage(&storage, LOG, 2, &entries(0..4)).await;
    let missing = [
        staged_install(LOG, 2, 5),
        staged_install(LOG, 3, 4),
        Install {
            kept_length: 4,
            kept_epoch: epoch(1).to_wire(),
            ..staged_install(LOG, 2, 1)
        },
    ];
    for install in missing {
        let reply = storage.install(install).await.unwrap();
        assert_eq!(reply.outcome, Outcome::NEEDS_INSTALL);
    }
    let import = ExportedLog {
        log: LOG.to_owned(),
        log_epoch: epoch(2).to_wire(),
        length: 5,
        staged_length: 5,
        ..ExportedLog::default()
    };
    let missing = StorageError::PartsMissing {
        log: LOG.to_owned(),
    };
    let imported = storage.import_logs(1, vec![import]).await;
    assert_eq!(imported, Err(missing));
    assert_eq!(storage.log_state(LOG).unwrap().log_epoch, epoch(1));
    assert_eq!(storage.read_log(LOG).await.unwrap().entries, entries(0..3));
}

/// Guards against disks that fill up with the parts of writers that have stopped.
#[tokio::test]
async fn staged_parts_are_gone_after_a_restart_and_after_a_later_install() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    stage(&storage, LOG, 2, &entries(0..4)).await;
    drop(storage);
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    let reply = storage.install(staged_install(LOG, 2, 4)).await.unwrap();
    assert_eq!(reply.outcome, Outcome::NEEDS_INSTALL);
    stage(&storage, LOG, 2, &entries(0..4)).await;
    let later = storage.install(install(LOG, 3, entries(0..1))).await;
    assert_eq!(later.unwrap().outcome, Outcome::STORED);
    let import = ExportedLog {
        log: "shard/other".to_owned(),
        log_epoch: epoch(2).to_wire(),
        length: 4,
        staged_length: 4,
        ..ExportedLog::default()
    };
    stage(&storage, "shard/other", 2, &entries(0..4)).await;
    storage.import_logs(1, vec![import]).await.unwrap();
    let reply = storage.read_log("shard/other").await.unwrap();
    assert_eq!(reply.entries, entries(0..4));
}

/// Guards against exports and reads that exceed the frame limit because one log does.
#[tokio::test]
async fn long_logs_are_exported_without_entries_and_read_in_parts() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    storage
        .install(install(LOG, 1, entries(0..5)))
        .await
        .unwrap();
    write_log(&storage, "shard/short", true).await;
    let page = storage.export_logs("", 10, 30).await.unwrap();
    let sizes = page.logs.iter().map(|log| (log.is_long, log.entries.len()));
    assert_eq!(sizes.collect::<Vec<_>>(), [(false, 3), (true, 0)]);
    assert_eq!(page.logs[1].length, 5);
    let mut assembler = PartAssembler::new(0);
    let mut found = Vec::new();
    while assembler.position().index < 5 {
        let reply = storage.read_log_parts(ReadLog {
            log: LOG.to_owned(),
            max_bytes: SMALL_PART_BYTES as u64,
            first_index: assembler.position().index,
            first_offset: assembler.position().offset,
        });
        let reply = reply.await.unwrap();
        assert_eq!((reply.length, reply.entries.len()), (5, 0));
        for part in &reply.parts {
            found.extend(assembler.push(part).unwrap());
        }
    }
    assert_eq!(found, entries(0..5));
}

/// Guards against a copy that reads entries which the new replica has, and against one that omits
/// entries which it lacks.
#[tokio::test]
async fn an_export_has_the_entries_of_logs_that_are_newer_than_known() {
    let folder = tempfile::tempdir().unwrap();
    let storage = open_replica(folder.path(), StorageOptions::default()).await;
    for log in [
        "shard/equal",
        "shard/longer",
        "shard/newer",
        "shard/unknown",
    ] {
        write_log(&storage, log, true).await;
    }
    let state = storage.log_state("shard/equal").unwrap();
    let known = |log: &str, length, epoch: WriterEpoch| KnownLog {
        log: log.to_owned(),
        log_epoch: epoch.to_wire(),
        length,
        retired: false,
    };
    let older = WriterEpoch {
        round: state.log_epoch.round - 1,
        ..state.log_epoch
    };
    let known = vec![
        known("shard/equal", state.length, state.log_epoch),
        known("shard/longer", state.length - 1, state.log_epoch),
        known("shard/newer", state.length + 1, older),
    ];
    let exporting = storage.export_unknown_logs("", 10, 1 << 20, known);
    let page = exporting.await.unwrap();
    let logs = page.logs.iter();
    let found: Vec<_> = logs
        .map(|log| (log.log.as_str(), log.entries.len() as u64, log.is_long))
        .collect();
    let length = state.length;
    let expected = [
        ("shard/equal", 0, false),
        ("shard/longer", length, false),
        ("shard/newer", length, false),
        ("shard/unknown", length, false),
    ];
    assert_eq!(found, expected);
    assert!(!page.more);
}
