//! Unit tests of the journal: epochs, quorums, replica replies, heartbeats and reads.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::simulated_replica::{Outcome, SimulatedReplica, member_of, new_replica};
use crate::support::{LOG, identity, quorum_of};
use ladderstage::journal::heartbeat::HeartbeatTable;
use ladderstage::journal::parts::{LogPosition, PartAssembler, split};
use ladderstage::journal::read::{LogListing, LogRead};
use ladderstage::journal::replica::{self, EntryChange, LogState, import, omit_known};
use ladderstage::journal::writer::{LogWriterState, ReplicaWrite, SealProgress, Sealing};
use ladderstage::journal::{EpochSource, Quorum, RunningTime, WriterEpoch, replica_set};
use ladderstage_wire::messages::{
    DescribeLogsReply, EntryPart, ExportedLog, KnownLog, LogDescription, LogEntry, OwnedLog,
    ReadLogReply, ReplicaMember, ReplicaSet, Seal, SealReply,
};
use proptest::prelude::*;

fn epoch(round: u64, owner: u64) -> WriterEpoch {
    WriterEpoch { round, owner }
}

fn entry(text: &str) -> LogEntry {
    LogEntry {
        payload: text.as_bytes().to_vec(),
    }
}

fn sealed_writer(epoch: WriterEpoch, replica: &mut SimulatedReplica) -> LogWriterState {
    let mut sealing = Sealing::new(identity(epoch), quorum_of(1..=1));
    let reply = replica.seal(&sealing.request());
    assert_eq!(sealing.on_reply(&reply), SealProgress::Sealed);
    let sealed = sealing.into_sealed();
    let reply = replica.read();
    assert!(sealed.is_empty() || sealed.is_newest(&reply));
    sealed.into_writer(reply.entries)
}

fn write_all(writer: &mut LogWriterState, replica: &mut SimulatedReplica) -> Vec<ReplicaWrite> {
    let mut sent = Vec::new();
    while let Some(write) = writer.next_write(replica.id) {
        let reply = replica.write(&write);
        writer.on_reply(replica.id, &write, &reply);
        sent.push(write);
    }
    sent
}

#[test]
fn epochs_are_ordered_by_round_then_owner_and_never_repeat() {
    assert!(epoch(2, 1) > epoch(1, 9));
    assert!(epoch(1, 2) > epoch(1, 1));
    let mut source = EpochSource::new(7);
    source.observe(epoch(4, 1));
    let first = source.next_epoch().unwrap();
    assert_eq!(first, epoch(5, 7));
    assert!(source.next_epoch().unwrap() > first);
    source.observe(epoch(u64::MAX, 1));
    assert_eq!(source.next_epoch(), None);
}

#[test]
fn joint_replica_set_needs_a_majority_of_the_current_and_the_next_set() {
    let member = |id: u64| ReplicaMember {
        node: "same-name".to_owned(),
        replica_id: id,
    };
    let quorum = Quorum::new(&ReplicaSet {
        version: 2,
        current: [1, 2, 3].map(member).to_vec(),
        next: [1, 2, 4].map(member).to_vec(),
    });
    let met = |ids: &[u64]| quorum.is_met_by(&ids.iter().copied().collect());
    assert!(met(&[1, 2]));
    assert!(!met(&[1, 3]));
    assert!(met(&[1, 3, 4]));
    assert!(!met(&[1, 9, 8]));
    assert!(quorum.is_blocked_by(&BTreeSet::from([1, 4])));
    assert!(!quorum.is_blocked_by(&BTreeSet::from([3, 4])));
    assert!(!Quorum::new(&ReplicaSet::default()).is_met_by(&BTreeSet::from([0, 1])));
}

fn members_of(ids: &[u64]) -> Vec<ReplicaMember> {
    let ids = ids.iter();
    ids.map(|id| member_of(&new_replica(*id))).collect()
}

fn replica_set_of(version: u64, current: &[u64], next: &[u64]) -> ReplicaSet {
    ReplicaSet {
        version,
        current: members_of(current),
        next: members_of(next),
    }
}

fn proposed(set: &ReplicaSet, lost: &[u64], spares: &[u64]) -> Option<ReplicaSet> {
    let lost = lost.iter().copied().collect();
    replica_set::propose_replacement(set, &lost, &members_of(spares))
}

#[test]
fn all_lost_replicas_are_replaced_in_one_change_in_the_order_of_the_set() {
    let set = replica_set_of(4, &[5, 1, 3, 2, 4], &[]);
    let expected = Some(replica_set_of(5, &[5, 1, 3, 2, 4], &[9, 1, 7, 2, 4]));
    assert_eq!(proposed(&set, &[3, 5], &[9, 7, 8]), expected);
    assert_eq!(
        proposed(&set, &[3, 5, 6], &[0, 1, 6, 9, 9, 7]),
        expected,
        "no disk, a member, a lost disk and one listed twice are no spares"
    );
}

#[test]
fn with_fewer_spares_than_lost_replicas_the_first_are_replaced() {
    let set = replica_set_of(1, &[1, 2, 3, 4, 5], &[]);
    let one = replica_set_of(2, &[1, 2, 3, 4, 5], &[1, 8, 3, 4, 5]);
    assert_eq!(proposed(&set, &[5, 2], &[8]), Some(one));
    assert_eq!(proposed(&set, &[5, 2], &[]), None);
    assert_eq!(proposed(&set, &[], &[8]), None);
    assert_eq!(proposed(&set, &[7], &[8]), None, "not a member");
}

#[test]
fn all_lost_joining_replicas_are_replaced_in_one_change() {
    let set = replica_set_of(2, &[1, 2, 3, 4, 5], &[1, 6, 3, 7, 8]);
    let expected = replica_set_of(3, &[1, 2, 3, 4, 5], &[1, 9, 3, 7, 10]);
    assert_eq!(proposed(&set, &[8, 6], &[9, 10, 11]), Some(expected));
    assert_eq!(
        proposed(&set, &[2, 4, 5], &[9, 10, 11]),
        None,
        "lost replicas that the change replaces already"
    );
}

#[test]
fn a_replica_lost_during_a_change_becomes_part_of_it() {
    let set = replica_set_of(2, &[1, 2, 3, 4, 5], &[1, 6, 3, 4, 5]);
    let extended = replica_set_of(3, &[1, 2, 3, 4, 5], &[1, 6, 9, 4, 5]);
    assert_eq!(proposed(&set, &[2, 3], &[9, 10]), Some(extended));
    let with_joining = replica_set_of(3, &[1, 2, 3, 4, 5], &[9, 10, 3, 4, 5]);
    assert_eq!(proposed(&set, &[1, 2, 6], &[9, 10]), Some(with_joining));
    assert_eq!(
        proposed(&set, &[2, 3], &[]),
        None,
        "it stays without a spare"
    );
}

/// Guards against a new replica that joins with its copy for a joint set that was rolled back since.
#[test]
fn a_copy_under_an_earlier_joint_set_lacks_later_entries() {
    let mut replicas = [1, 2, 3, 4].map(new_replica);
    let copy = |replicas: &mut [SimulatedReplica; 4]| {
        for source in 0..2 {
            let exported = replicas[source].export();
            assert!(replicas[3].import(&exported));
        }
    };
    let find = |replicas: &mut [SimulatedReplica; 4]| {
        let mut sealing = Sealing::new(identity(epoch(2, 2)), quorum_of([1, 2, 4].into_iter()));
        let request = sealing.request();
        sealing.on_reply(&replicas[0].seal(&request));
        assert_eq!(
            sealing.on_reply(&replicas[3].seal(&request)),
            SealProgress::Sealed
        );
        sealing.into_sealed().sources()
    };
    let joint = replica_set_of(2, &[1, 2, 3], &[1, 2, 4]);
    copy(&mut replicas);
    let copied = BTreeMap::from([(4, joint.version)]);
    // After a rollback, replicas 2 and 3 commit an entry.
    let mut writer = writer_over_three(epoch(1, 1), &mut replicas[..3]);
    writer.add(vec![entry("a")], false);
    for replica in &mut replicas[1..3] {
        write_all(&mut writer, replica);
    }
    assert!(writer.is_committed());
    let again = replica_set_of(4, &[1, 2, 3], &[1, 2, 4]);
    assert!(replica_set::have_all_joined(&joint, &copied));
    assert!(!replica_set::have_all_joined(&again, &copied));
    let without_copy = find(&mut replicas.clone());
    assert_eq!(without_copy, BTreeSet::from([1, 4]), "none holds the entry");
    copy(&mut replicas);
    assert_eq!(find(&mut replicas), BTreeSet::from([4]));
    assert_eq!(replicas[3].entries, [entry("a")]);
}

#[test]
fn a_single_replacement_brings_in_one_replica_at_a_time() {
    let single = |set: &ReplicaSet, lost: &[u64]| {
        let lost = lost.iter().copied().collect();
        replica_set::propose_single_replacement(set, &lost, &members_of(&[8, 9]))
    };
    let set = replica_set_of(1, &[1, 2, 3, 4, 5], &[]);
    let first = replica_set_of(2, &[1, 2, 3, 4, 5], &[1, 8, 3, 4, 5]);
    assert_eq!(single(&set, &[5, 2]), Some(first));
    let joint = replica_set_of(2, &[1, 2, 3, 4, 5], &[1, 6, 3, 4, 5]);
    assert_eq!(single(&joint, &[2, 5]), None, "one change at a time");
    let again = replica_set_of(3, &[1, 2, 3, 4, 5], &[1, 8, 3, 4, 5]);
    assert_eq!(single(&joint, &[2, 5, 6]), Some(again));
    let several = replica_set_of(2, &[1, 2, 3, 4, 5], &[1, 6, 3, 4, 7]);
    let rolled_back = replica_set_of(3, &[1, 2, 3, 4, 5], &[]);
    assert_eq!(replica_set::roll_back_several(&several), Some(rolled_back));
    assert_eq!(replica_set::roll_back_several(&joint), None);
}

#[test]
fn spares_are_added_at_once_up_to_the_target_size() {
    let added = |set: &ReplicaSet, spares: &[u64]| {
        replica_set::propose_addition(set, 5, &members_of(spares))
    };
    let set = replica_set_of(4, &[1, 2, 3], &[]);
    let two = replica_set_of(5, &[1, 2, 3], &[1, 2, 3, 7, 8]);
    assert_eq!(added(&set, &[3, 7, 7, 8, 9]), Some(two));
    let one = replica_set_of(5, &[1, 2, 3], &[1, 2, 3, 7]);
    assert_eq!(added(&set, &[7]), Some(one));
    assert_eq!(added(&set, &[]), None);
    assert_eq!(added(&replica_set_of(4, &[1, 2, 3, 4, 5], &[]), &[7]), None);
    assert_eq!(
        added(&replica_set_of(4, &[1, 2, 3], &[1, 2, 6]), &[7]),
        None
    );
}

#[test]
fn a_lost_joining_replica_without_a_spare_gives_its_place_back() {
    let set = replica_set_of(2, &[1, 2, 3, 4, 5], &[1, 6, 3, 7, 8]);
    let two_stay = replica_set_of(3, &[1, 2, 3, 4, 5], &[1, 6, 3, 4, 8]);
    assert_eq!(proposed(&set, &[7, 2, 4, 5], &[]), Some(two_stay));
    let one_spare = replica_set_of(3, &[1, 2, 3, 4, 5], &[1, 9, 3, 7, 5]);
    assert_eq!(proposed(&set, &[8, 6], &[9]), Some(one_spare));
    let rolled_back = replica_set_of(3, &[1, 2, 3, 4, 5], &[]);
    assert_eq!(proposed(&set, &[6, 7, 8], &[]), Some(rolled_back));
}

#[test]
fn an_addition_or_removal_is_rolled_back_if_it_loses_a_replica_without_a_spare() {
    let addition = replica_set_of(7, &[1, 2, 3, 4], &[1, 2, 3, 4, 5]);
    let rolled_back = replica_set_of(8, &[1, 2, 3, 4], &[]);
    assert_eq!(proposed(&addition, &[5], &[]), Some(rolled_back));
    let other = replica_set_of(8, &[1, 2, 3, 4], &[1, 2, 3, 4, 6]);
    assert_eq!(proposed(&addition, &[5], &[6]), Some(other));
    let removal = replica_set_of(7, &[1, 2, 3, 4, 5], &[1, 2, 3, 4]);
    assert_eq!(proposed(&removal, &[5], &[6]), None);
    let rolled_back = replica_set_of(8, &[1, 2, 3, 4, 5], &[]);
    assert_eq!(proposed(&removal, &[4], &[6]), Some(rolled_back));
}

/// Guards against a set that is completed with a replica without its copy.
#[test]
fn a_joint_set_waits_for_the_copies_of_all_joining_replicas_under_its_version() {
    let joined = |set: &ReplicaSet, copied: &[(u64, u64)]| {
        replica_set::have_all_joined(set, &copied.iter().copied().collect())
    };
    let joint = replica_set_of(5, &[1, 2, 3, 4, 5], &[1, 2, 3, 6, 7]);
    assert!(joined(&joint, &[(6, 5), (7, 5)]));
    assert!(!joined(&joint, &[(6, 5)]));
    assert!(!joined(&joint, &[(6, 5), (7, 4)]), "an earlier joint set");
    assert!(!joined(&joint, &[(6, 5), (7, 6)]), "a later joint set");
    assert!(!joined(&joint, &[(6, 5), (8, 5), (1, 5)]), "another disk");
    let removal = replica_set_of(5, &[1, 2, 3], &[1, 2]);
    assert!(!joined(&removal, &[(1, 5), (2, 5)]), "none joins");
    assert!(!joined(&replica_set_of(5, &[1, 2, 3], &[]), &[(1, 5)]));
}

#[test]
fn a_delayed_install_does_not_remove_later_entries() {
    let mut replica = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut replica);
    let install = write_all(&mut writer, &mut replica).remove(0);
    writer.add(vec![entry("a")], false);
    write_all(&mut writer, &mut replica);
    assert!(writer.is_committed());
    assert_eq!(replica.write(&install).outcome, Outcome::STORED);
    assert_eq!(replica.entries, [entry("a")]);
}

#[test]
fn a_seal_alone_fences_a_paused_writer() {
    let mut replica = new_replica(1);
    let mut paused = sealed_writer(epoch(1, 1), &mut replica);
    write_all(&mut paused, &mut replica);
    sealed_writer(epoch(2, 2), &mut replica);
    paused.add(vec![entry("late")], false);
    write_all(&mut paused, &mut replica);
    assert!(paused.is_fenced());
    assert!(!paused.is_committed());
    assert!(replica.entries.is_empty());
}

#[test]
fn repeated_append_is_acknowledged_but_stored_once() {
    let mut replica = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut replica);
    writer.add(vec![entry("a")], false);
    write_all(&mut writer, &mut replica);
    writer.add(vec![entry("b"), entry("c")], true);
    let sent = write_all(&mut writer, &mut replica);
    assert_eq!(replica.write(&sent[0]).outcome, Outcome::STORED);
    assert_eq!(replica.entries, [entry("a"), entry("b"), entry("c")]);
    assert!(replica.state.closed && !replica.state.needs_owner());
}

#[test]
fn append_after_a_gap_requests_an_install() {
    let mut complete = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut complete);
    write_all(&mut writer, &mut complete);
    let appends: Vec<_> = ["a", "b"]
        .into_iter()
        .flat_map(|text| {
            writer.add(vec![entry(text)], false);
            write_all(&mut writer, &mut complete)
        })
        .collect();
    let mut sealed_only = new_replica(1);
    sealed_writer(epoch(1, 1), &mut sealed_only);
    let reply = sealed_only.write(&appends[0]);
    assert_eq!(
        reply.outcome,
        Outcome::NEEDS_INSTALL,
        "the log was never installed"
    );
    let mut installed = new_replica(1);
    let mut other = sealed_writer(epoch(1, 1), &mut installed);
    write_all(&mut other, &mut installed);
    let reply = installed.write(&appends[1]);
    assert_eq!(reply.outcome, Outcome::NEEDS_INSTALL, "an entry is missing");
}

/// Returns a writer of `epoch` over three replicas, sealed at the first two.
fn writer_over_three(epoch: WriterEpoch, replicas: &mut [SimulatedReplica]) -> LogWriterState {
    let mut sealing = Sealing::new(identity(epoch), quorum_of(1..=3));
    let request = sealing.request();
    for replica in &mut replicas[..2] {
        sealing.on_reply(&replica.seal(&request));
    }
    let sealed = sealing.into_sealed();
    let sources = sealed.sources();
    let mut replies = replicas.iter().map(SimulatedReplica::read);
    let newest = replies.find(|reply| sources.contains(&reply.replica_id));
    let newest = newest.expect("a source replica replied");
    assert!(sealed.is_empty() || sealed.is_newest(&newest));
    sealed.into_writer(newest.entries)
}

fn sent_entries(writes: &[ReplicaWrite]) -> usize {
    let entries = writes.iter().map(|write| match write {
        ReplicaWrite::Install(install) => install.entries.len(),
        ReplicaWrite::Append(append) => append.entries.len(),
        ReplicaWrite::Stage(stage) => stage.parts.len(),
    });
    entries.sum()
}

#[test]
fn a_takeover_sends_a_replica_only_missing_entries() {
    let mut replicas = [1, 2, 3].map(new_replica);
    let mut first = writer_over_three(epoch(1, 1), &mut replicas);
    first.add(vec![entry("a"), entry("b")], false);
    for replica in &mut replicas {
        write_all(&mut first, replica);
    }
    first.add(vec![entry("c")], false);
    write_all(&mut first, &mut replicas[0]);
    let mut second = writer_over_three(epoch(2, 2), &mut replicas);
    assert_eq!(second.entries(), [entry("a"), entry("b"), entry("c")]);
    let sent: Vec<usize> = replicas
        .iter_mut()
        .map(|replica| sent_entries(&write_all(&mut second, replica)))
        .collect();
    assert_eq!(
        sent,
        [0, 1, 3],
        "replica 1 holds all entries, 2 lacks one, 3 was not sealed"
    );
    assert!(second.is_committed());
    for replica in &replicas {
        assert_eq!(replica.entries, second.entries());
        assert_eq!(replica.state.log_epoch, epoch(2, 2));
    }
}

#[test]
fn uncommitted_entries_of_an_older_epoch_are_replaced() {
    let mut replicas = [1, 2, 3].map(new_replica);
    let mut former = writer_over_three(epoch(1, 1), &mut replicas);
    former.add(vec![entry("x"), entry("y")], false);
    write_all(&mut former, &mut replicas[2]);
    let mut writer = writer_over_three(epoch(2, 2), &mut replicas);
    writer.add(vec![entry("a"), entry("b")], false);
    write_all(&mut writer, &mut replicas[0]);
    write_all(&mut writer, &mut replicas[1]);
    let mut next = writer_over_three(epoch(3, 3), &mut replicas);
    write_all(&mut next, &mut replicas[2]);
    assert_eq!(replicas[2].entries, [entry("a"), entry("b")]);
}

#[test]
fn log_sealed_by_a_later_writer_is_not_adopted() {
    let mut replica = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut replica);
    writer.add(vec![entry("a")], false);
    write_all(&mut writer, &mut replica);
    let mut sealing = Sealing::new(identity(epoch(2, 2)), quorum_of(1..=1));
    sealing.on_reply(&replica.seal(&sealing.request()));
    let sealed = sealing.into_sealed();
    assert!(sealed.is_newest(&replica.read()));
    sealed_writer(epoch(3, 3), &mut replica);
    assert!(!sealed.is_newest(&replica.read()));
}

#[test]
fn reply_with_another_replica_id_is_ignored() {
    let mut replica = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut replica);
    let write = writer.next_write(1).unwrap();
    replica.id = 2;
    let reply = replica.write(&write);
    writer.on_reply(1, &write, &reply);
    assert!(!writer.is_committed());
}

#[test]
fn retired_log_wins_over_a_longer_unretired_copy() {
    let mut sealing = Sealing::new(identity(epoch(9, 1)), quorum_of(1..=3));
    let reply = |replica_id, retired, entries: &[&str]| SealReply {
        replica_id,
        accepted: true,
        log_epoch: epoch(3, 1).to_wire(),
        entries: entries.iter().copied().map(entry).collect(),
        retired,
        ..Default::default()
    };
    sealing.on_reply(&reply(1, true, &["opened"]));
    assert_eq!(
        sealing.on_reply(&reply(2, false, &["opened", "a", "b"])),
        SealProgress::Sealed
    );
    assert!(sealing.is_retired());
}

#[test]
fn logs_without_heartbeats_are_orphaned() {
    let timeout = Duration::from_secs(2);
    let at = Duration::from_secs;
    let state = LogState {
        promised: epoch(5, 1),
        ..Default::default()
    };
    let owned = |owner| OwnedLog {
        log: LOG.to_owned(),
        epoch: epoch(5, owner).to_wire(),
    };
    let open = || [LOG.to_owned()];
    let mut table = HeartbeatTable::default();
    assert!(
        table.orphaned(open(), at(100), timeout).is_empty(),
        "owners get a full timeout after the replica restarts"
    );
    assert!(!table.record(&owned(1), Some(&state), at(101)));
    assert!(table.orphaned(open(), at(102), timeout).is_empty());
    assert!(
        table.record(&owned(0), Some(&state), at(103)),
        "a lower epoch is reported as fenced"
    );
    assert_eq!(table.orphaned(open(), at(103), timeout), [LOG]);
    assert!(table.orphaned([], at(103), timeout).is_empty());
}

#[test]
fn resumed_replica_waits_a_full_timeout_before_reporting_orphans() {
    let timeout = Duration::from_secs(2);
    let at = Duration::from_secs;
    let open = || [LOG.to_owned()];
    let mut table = HeartbeatTable::default();
    table.record_activity(LOG, at(100));
    assert!(table.orphaned(open(), at(101), timeout).is_empty());
    assert!(
        table.orphaned(open(), at(160), timeout).is_empty(),
        "the replica was paused from 101 to 160 and received no heartbeats"
    );
    assert!(table.orphaned(open(), at(161), timeout).is_empty());
    assert_eq!(table.orphaned(open(), at(162), timeout), [LOG]);
}

/// Guards against a replica that takes its own standstill, in which heartbeats wait unread, for the
/// silence of an owner, and against one that then finds a dead owner too late.
#[test]
fn a_standstill_of_the_replica_is_no_silence_of_the_owner() {
    let timeout = Duration::from_millis(1_200);
    let at = Duration::from_millis;
    let open = || [LOG.to_owned()];
    let (mut table, mut time) = (HeartbeatTable::default(), RunningTime::default());
    let mut orphaned_at = |table: &mut HeartbeatTable, now| {
        time.tick(at(now));
        let is_orphaned = !table.orphaned(open(), time.at(at(now)), timeout).is_empty();
        (is_orphaned, time.at(at(now)))
    };
    for now in (0..=1_000).step_by(100) {
        let (is_orphaned, running) = orphaned_at(&mut table, now);
        assert!(!is_orphaned);
        table.record_activity(LOG, running);
    }
    assert!(!orphaned_at(&mut table, 1_300).0);
    // Stands still for 1.1 s, less than the timeout. The heartbeats of this time are read next.
    let (is_orphaned, running) = orphaned_at(&mut table, 2_400);
    assert!(!is_orphaned, "the replica stood still");
    assert!(table.silence(LOG, running).unwrap() <= timeout / 2);
    // The owner is silent from now on.
    table.record_activity(LOG, running);
    for now in (2_500..3_600).step_by(100) {
        assert!(!orphaned_at(&mut table, now).0);
    }
    assert!(orphaned_at(&mut table, 3_600).0, "noticed in time");
}

#[test]
fn each_log_has_its_own_heartbeat_timeout() {
    let max_timeout = Duration::from_secs(3);
    let at = Duration::from_secs;
    let open = || [("a".to_owned(), at(1)), ("b".to_owned(), max_timeout)];
    let mut table = HeartbeatTable::default();
    assert!(
        table
            .orphaned_by_timeout(open(), at(100), max_timeout)
            .is_empty()
    );
    assert_eq!(
        table.orphaned_by_timeout(open(), at(101), max_timeout),
        ["a"]
    );
    table.record_activity("a", at(101));
    assert!(
        table
            .orphaned_by_timeout(open(), at(101), max_timeout)
            .is_empty()
    );
    assert_eq!(
        table.orphaned_by_timeout(open(), at(103), max_timeout),
        ["a", "b"]
    );
}

#[test]
fn a_read_returns_the_newest_log_of_a_quorum() {
    let reply = |replica_id, round, entries: &[&str]| ReadLogReply {
        replica_id,
        found: round > 0,
        log_epoch: epoch(round, 1).to_wire(),
        entries: entries.iter().copied().map(entry).collect(),
        ..Default::default()
    };
    let mut read = LogRead::new(quorum_of(1..=3));
    assert!(!read.on_reply(reply(1, 1, &["a", "b"])));
    assert!(!read.on_reply(reply(9, 7, &["foreign"])));
    assert!(read.on_reply(reply(2, 2, &["a"])));
    assert_eq!(read.into_newest().unwrap().entries, [entry("a")]);
    let mut unknown = LogRead::new(quorum_of(1..=3));
    unknown.on_reply(reply(1, 0, &[]));
    assert!(unknown.on_reply(reply(2, 0, &[])));
    assert!(unknown.into_newest().is_none());
}

/// Guards against a seal that is sent again and then counts as one of another writer.
#[test]
fn a_conditional_seal_is_refused_only_after_a_promise_to_another_writer() {
    let seal = |round, owner, last: Option<WriterEpoch>| Seal {
        epoch: epoch(round, owner).to_wire(),
        last_promised: last.and_then(WriterEpoch::to_wire),
        ..Seal::default()
    };
    let promised = |round, owner| LogState {
        promised: epoch(round, owner),
        ..LogState::default()
    };
    let outcome = |state: &LogState, request: &Seal| replica::seal(state, request).outcome;
    let conditional = seal(5, 2, Some(epoch(4, 1)));
    assert_eq!(outcome(&promised(4, 1), &conditional), Outcome::STORED);
    assert_eq!(outcome(&promised(3, 9), &conditional), Outcome::STORED);
    assert_eq!(outcome(&promised(5, 1), &conditional), Outcome::FENCED);
    assert_eq!(
        outcome(&promised(5, 2), &conditional),
        Outcome::STORED,
        "again"
    );
    let unconditional = seal(5, 2, None);
    assert_eq!(outcome(&promised(5, 1), &unconditional), Outcome::STORED);
}

/// Guards against a refused writer that counts as a sign of the silent owner, and against a new
/// writer that counts as silent because its predecessor was.
#[test]
fn a_refused_write_leaves_the_silence_of_the_writer_unchanged() {
    let at = Duration::from_millis;
    let mut table = HeartbeatTable::default();
    assert_eq!(table.silence(LOG, at(100)), None);
    table.record_activity(LOG, at(100));
    assert_eq!(table.silence(LOG, at(900)), Some(at(800)));
    let before = table.record_activity(LOG, at(900));
    table.restore_activity(LOG, at(900), before);
    assert_eq!(table.silence(LOG, at(1_000)), Some(at(900)), "refused");
    let before = table.record_activity(LOG, at(1_000));
    table.record_activity(LOG, at(1_100));
    table.restore_activity(LOG, at(1_000), before);
    assert_eq!(
        table.silence(LOG, at(1_200)),
        Some(at(100)),
        "a later one was stored"
    );
}

/// Guards against an owner that counts as silent although another replica hears from it.
#[test]
fn a_listing_names_the_shortest_silence_of_the_newest_writer() {
    let silence_of = |replies: &[(u64, u64, u64)]| {
        let mut listing = LogListing::new(quorum_of(1..=3));
        for (replica_id, round, owner_silence_ms) in replies.iter().copied() {
            let description = LogDescription {
                log: LOG.to_owned(),
                promised: epoch(round, 1).to_wire(),
                length: replica_id,
                owner_silence_ms,
                ..LogDescription::default()
            };
            listing.on_reply(DescribeLogsReply {
                replica_id,
                logs: vec![description],
            });
        }
        listing.into_logs()[0].owner_silence_ms
    };
    assert_eq!(silence_of(&[(1, 2, 900), (2, 2, 40)]), 40);
    assert_eq!(silence_of(&[(2, 2, 40), (1, 2, 900)]), 40);
    assert_eq!(silence_of(&[(1, 2, 0), (2, 2, 700)]), 700, "unknown at one");
    assert_eq!(
        silence_of(&[(1, 1, 40), (2, 2, 900)]),
        900,
        "of an earlier writer"
    );
    assert_eq!(
        silence_of(&[(2, 2, 900), (1, 1, 40)]),
        900,
        "of an earlier writer"
    );
}

/// A replica without the log may have promised a higher epoch to a writer that stopped after
/// sealing.
#[test]
fn a_promise_to_another_writer_does_not_hide_a_log() {
    let reply = |replica_id, round, length| DescribeLogsReply {
        replica_id,
        logs: vec![LogDescription {
            log: LOG.to_owned(),
            promised: epoch(round, 1).to_wire(),
            owner_node: format!("node-{round}"),
            length,
            closed: false,
            owner_silence_ms: 0,
        }],
    };
    for replies in [
        [reply(1, 9, 0), reply(2, 3, 5)],
        [reply(2, 3, 5), reply(1, 9, 0)],
    ] {
        let mut listing = LogListing::new(quorum_of(1..=3));
        replies.into_iter().for_each(|reply| {
            listing.on_reply(reply);
        });
        let found = listing.into_logs();
        assert_eq!(
            (found[0].length, found[0].owner_node.as_str()),
            (5, "node-9")
        );
    }
}

/// Guards against an owner that is taken for gone because a refused writer has left a newer promise
/// at one replica.
#[test]
fn a_listing_names_the_owner_behind_a_promise_to_a_refused_writer() {
    let reply = |replica_id, round, owner_silence_ms, closed| DescribeLogsReply {
        replica_id,
        logs: vec![LogDescription {
            log: LOG.to_owned(),
            promised: epoch(round, 1).to_wire(),
            owner_node: format!("node-{round}"),
            length: replica_id,
            closed,
            owner_silence_ms,
        }],
    };
    let replies = [
        reply(1, 3, 700, false),
        reply(2, 9, 40, false),
        reply(3, 3, 60, true),
    ];
    for first in 0..replies.len() {
        let mut listing = LogListing::new(quorum_of(1..=3));
        for offset in 0..replies.len() {
            listing.on_reply(replies[(first + offset) % replies.len()].clone());
        }
        let found = listing.into_writers(LOG);
        let writers: Vec<_> = found
            .iter()
            .map(|log| (log.owner_node.as_str(), log.owner_silence_ms))
            .collect();
        assert_eq!(writers, [("node-9", 40), ("node-3", 60)]);
        assert!(found.iter().all(|log| log.length == 3 && log.closed));
    }
}

#[test]
fn export_omits_entries_the_receiver_holds_and_import_keeps_newer_ones() {
    let exported = |round, entries: u64| ExportedLog {
        log: LOG.to_owned(),
        promised: epoch(9, 1).to_wire(),
        log_epoch: epoch(round, 1).to_wire(),
        length: entries,
        entries: (0..entries).map(|_| LogEntry::default()).collect(),
        ..ExportedLog::default()
    };
    let known = KnownLog {
        log: LOG.to_owned(),
        log_epoch: epoch(5, 1).to_wire(),
        length: 2,
        retired: false,
    };
    let state = LogState {
        promised: epoch(5, 1),
        log_epoch: epoch(5, 1),
        length: 2,
        ..LogState::default()
    };
    for (round, entries, is_newer) in [(5, 2, false), (4, 7, false), (5, 3, true), (6, 1, true)] {
        let mut copy = exported(round, entries);
        omit_known(&mut copy, &known);
        assert_eq!(copy.entries.is_empty(), !is_newer, "{round} {entries}");
        let decision = import(&state, &copy);
        assert_eq!(decision.entries == EntryChange::Replace, is_newer);
        assert_eq!(decision.state.promised, epoch(9, 1), "promises are copied");
    }
    let mut without_entries = exported(5, 2);
    omit_known(&mut without_entries, &known);
    let decision = import(&LogState::default(), &without_entries);
    assert_eq!(
        decision.entries,
        EntryChange::Keep,
        "a copy whose entries were omitted replaces nothing"
    );
}

/// Size of parts that splits the entries of a test.
const SMALL_PART_BYTES: usize = 3;

fn staged_parts(writes: &[ReplicaWrite]) -> usize {
    let stages = |write: &&ReplicaWrite| matches!(write, ReplicaWrite::Stage(_));
    writes.iter().filter(stages).count()
}

/// Guards against a replica that counts a part of a long log as a newer log than the complete one
/// that it holds.
#[test]
fn parts_of_a_long_log_become_visible_together() {
    let mut replica = new_replica(1);
    let mut first = sealed_writer(epoch(1, 1), &mut replica);
    first.add(vec![entry("committed"), entry("entries")], false);
    write_all(&mut first, &mut replica);

    let mut second = sealed_writer(epoch(2, 2), &mut replica).with_part_bytes(SMALL_PART_BYTES);
    second.on_complete_log_needed(1);
    while let Some(write @ ReplicaWrite::Stage(_)) = second.next_write(1) {
        let reply = replica.write(&write);
        second.on_reply(1, &write, &reply);
        assert_eq!(replica.state.log_epoch, epoch(1, 1));
        assert_eq!(replica.entries, first.entries());
        assert!(!second.is_committed());
    }
    let writes = write_all(&mut second, &mut replica);
    assert_eq!((writes.len(), staged_parts(&writes)), (1, 0));
    assert!(second.is_committed());
    assert_eq!(replica.state.log_epoch, epoch(2, 2));
    assert_eq!(replica.entries, second.entries());
    assert!(replica.staged.is_empty());
}

/// Guards against results of one group of which only some are found after a takeover: entries that are
/// appended together become visible together, however long they are.
#[test]
fn a_long_append_is_stored_completely_or_not_at_all() {
    let mut replica = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut replica).with_part_bytes(SMALL_PART_BYTES);
    writer.add(vec![entry("a")], false);
    write_all(&mut writer, &mut replica);
    writer.add(vec![entry("one group"), entry("of results")], true);
    while let Some(write @ ReplicaWrite::Stage(_)) = writer.next_write(1) {
        let reply = replica.write(&write);
        writer.on_reply(1, &write, &reply);
        assert_eq!(replica.state.length, 1);
    }
    write_all(&mut writer, &mut replica);
    assert!(writer.is_committed() && replica.state.closed);
    assert_eq!(replica.entries, writer.entries());
}

/// Guards against a log with missing entries after a replica has lost staged parts.
#[test]
fn a_write_whose_staged_parts_are_missing_is_repeated() {
    let mut replica = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut replica).with_part_bytes(SMALL_PART_BYTES);
    writer.add(vec![entry("long"), entry("entries")], false);
    while let Some(write @ ReplicaWrite::Stage(_)) = writer.next_write(1) {
        let reply = replica.write(&write);
        writer.on_reply(1, &write, &reply);
    }
    replica.staged.pop_first();
    let write = writer.next_write(1).expect("a staged install");
    let reply = replica.write(&write);
    assert_eq!(reply.outcome, Outcome::NEEDS_INSTALL);
    assert!(replica.entries.is_empty());
    writer.on_reply(1, &write, &reply);
    let writes = write_all(&mut writer, &mut replica);
    assert!(staged_parts(&writes) > 0);
    assert_eq!(replica.entries, writer.entries());
}

/// Guards against long logs that a replica of an earlier version refuses while they still fit into one
/// message.
#[test]
fn a_replica_that_takes_no_parts_gets_the_complete_log() {
    let mut replica = new_replica(1);
    let mut writer = sealed_writer(epoch(1, 1), &mut replica).with_part_bytes(SMALL_PART_BYTES);
    writer.add(vec![entry("long"), entry("entries")], false);
    let refused = writer.next_write(1).expect("parts");
    writer.on_unknown_request(1, &refused);
    let writes = write_all(&mut writer, &mut replica);
    assert_eq!((writes.len(), staged_parts(&writes)), (1, 0));
    assert_eq!(replica.entries, writer.entries());
    // The replica may have been replaced by the present version.
    writer.on_unreachable(1);
    writer.add(vec![entry("more entries")], false);
    assert!(staged_parts(&write_all(&mut writer, &mut replica)) > 0);
}

/// Guards against a panic on parts of one entry that contradict each other.
#[test]
fn a_part_that_ends_an_entry_too_early_adds_nothing() {
    let part = |offset, payload: &str, ends_entry| EntryPart {
        index: 0,
        offset,
        payload: payload.as_bytes().to_vec(),
        ends_entry,
    };
    let mut assembler = PartAssembler::new(0);
    assert_eq!(assembler.push(&part(0, "long entry", false)), Ok(None));
    let completed = assembler.push(&part(0, "long", true));
    assert_eq!(completed, Ok(Some(entry("long entry"))));
}

proptest! {
    /// Guards against entries that are damaged where parts of different sizes overlap.
    #[test]
    fn parts_of_any_sizes_combine_to_the_same_entries(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..90), 0..12),
        sizes in prop::collection::vec(1usize..120, 1..4),
    ) {
        let entries: Vec<LogEntry> =
            payloads.into_iter().map(|payload| LogEntry { payload }).collect();
        let end = entries.len() as u64;
        let mut parts = BTreeMap::new();
        for size in sizes {
            let mut position = LogPosition::default();
            while position.index < end {
                let message = split(&entries, position, end, size);
                position = LogPosition::end_of(message.last().expect("progress"));
                parts.extend(message.into_iter().map(|part| (LogPosition::start_of(&part), part)));
            }
        }
        let mut assembler = PartAssembler::new(0);
        let mut combined = Vec::new();
        for part in parts.values() {
            combined.extend(assembler.push(part).expect("no gap"));
        }
        prop_assert_eq!(combined, entries);
    }
}
