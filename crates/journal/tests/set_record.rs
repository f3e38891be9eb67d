//! Tests of the record of the replica set beside earlier builds, which decode it as a replica set.

use ladderstage_journal::replica_set::{decode_record, encode_record};
use ladderstage_wire::decode;
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

fn members(ids: &[u64]) -> Vec<ReplicaMember> {
    let members = ids.iter().map(|id| ReplicaMember {
        node: format!("store-{id}"),
        replica_id: *id,
    });
    members.collect()
}

fn set(next: &[u64]) -> ReplicaSet {
    ReplicaSet {
        version: 7,
        current: members(&[1, 2, 3, 4, 5]),
        next: members(next),
    }
}

#[test]
fn earlier_builds_read_no_version_of_a_set_in_which_several_replicas_join() {
    let several = set(&[1, 2, 3, 6, 7]);
    let record = encode_record(several.clone());
    assert_eq!(decode_record(&record).unwrap(), several);
    let read_earlier: ReplicaSet = decode(&record).unwrap();
    assert_eq!(read_earlier, ReplicaSet::default());
}

#[test]
fn earlier_builds_read_all_other_sets() {
    for next in [&[][..], &[1, 2, 3, 4, 6], &[1, 2, 3, 4]] {
        let record = encode_record(set(next));
        assert_eq!(decode_record(&record).unwrap(), set(next));
        assert_eq!(decode::<ReplicaSet>(&record).unwrap(), set(next));
    }
}
