//! Several writers and replicas of one log under arbitrary delivery, loss, duplication, pauses and
//! restarts.

use crate::support::{Simulation, Step};
use proptest::prelude::*;
use proptest::strategy::ValueTree;

fn step() -> impl Strategy<Value = Step> {
    let number = any::<usize>;
    prop_oneof![
        2 => number().prop_map(|writer| Step::TakeOver { writer }),
        6 => number().prop_map(|writer| Step::Append { writer }),
        6 => (number(), number()).prop_map(|(writer, replica)| Step::Send { writer, replica }),
        60 => number().prop_map(|message| Step::Deliver { message }),
        6 => number().prop_map(|message| Step::DeliverCopy { message }),
        3 => number().prop_map(|message| Step::Lose { message }),
        1 => number().prop_map(|replica| Step::DropMessagesOfReplica { replica }),
    ]
}

/// Like [`step`], with replacements of replicas.
fn step_with_replacement() -> impl Strategy<Value = Step> {
    let number = any::<usize>;
    prop_oneof![
        30 => step(),
        1 => (number(), any::<bool>()).prop_map(|(member, is_lost)| Step::Replace { member, is_lost }),
        4 => number().prop_map(|writer| Step::UpdateWriterSet { writer }),
        2 => number().prop_map(|replica| Step::UpdateReplicaSet { replica }),
        4 => number().prop_map(|source| Step::Copy { source }),
        8 => Just(Step::CopyParts),
        2 => Just(Step::CompleteReplacement),
    ]
}

/// Maximum size of the entries in one message: from one that splits most writes to one that splits none.
fn part_bytes() -> impl Strategy<Value = usize> {
    prop_oneof![Just(4), Just(12), Just(50), Just(200), Just(usize::MAX)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn committed_entries_are_never_lost_reordered_or_doubled(
        replicas in 3usize..=5,
        writers in 2usize..=4,
        part_bytes in part_bytes(),
        steps in prop::collection::vec(step(), 50..400),
    ) {
        let mut simulation = Simulation::new(replicas, writers, part_bytes);
        for step in &steps {
            simulation.apply(step);
        }
        simulation.check_every_quorum();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn replacing_replicas_loses_reorders_and_doubles_nothing(
        replicas in prop::sample::select(vec![3usize, 5]),
        writers in 2usize..=3,
        part_bytes in part_bytes(),
        steps in prop::collection::vec(step_with_replacement(), 100..500),
    ) {
        let mut simulation = Simulation::new(replicas, writers, part_bytes);
        for step in &steps {
            simulation.apply(step);
        }
        simulation.check_every_quorum();
    }
}

/// Guards against interleavings that exercise nothing: most must commit entries, and many with
/// replacements must commit after one has completed.
#[test]
fn interleavings_commit_and_replace() {
    let (committing, replacing) = count_committing_and_replacing(usize::MAX, 500);
    assert!(
        committing > 50,
        "{committing} of 100 committed at least two entries"
    );
    assert!(
        replacing > 20,
        "{replacing} of 100 committed after a replacement"
    );
}

/// As above, where every entry is sent in parts, each of which can be lost.
#[test]
fn interleavings_with_parts_commit_and_replace() {
    let (committing, replacing) = count_committing_and_replacing(12, 1_000);
    assert!(
        committing > 20,
        "{committing} of 100 committed at least two entries"
    );
    assert!(
        replacing > 5,
        "{replacing} of 100 committed after a replacement"
    );
}

/// Returns how many of 100 interleavings of `steps` steps commit two entries and commit after a replacement.
fn count_committing_and_replacing(part_bytes: usize, steps: usize) -> (usize, usize) {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = prop::collection::vec(step_with_replacement(), steps);
    let (mut committing, mut replacing) = (0, 0);
    for _ in 0..100 {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a sequence")
            .current();
        let mut simulation = Simulation::new(3, 2, part_bytes);
        let mut before_replacement = usize::MAX;
        for step in &steps {
            simulation.apply(step);
            if simulation.set.version >= 3 {
                before_replacement = before_replacement.min(simulation.committed.len());
            }
        }
        committing += usize::from(simulation.committed.len() >= 2);
        replacing += usize::from(simulation.committed.len() > before_replacement);
    }
    (committing, replacing)
}
