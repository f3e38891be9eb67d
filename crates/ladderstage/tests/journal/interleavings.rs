//! Several writers and replicas of one log under arbitrary delivery, loss, duplication, pauses and
//! restarts.

use crate::set_changes::{Change, ChangeCounts, ChangeStep, CompletionRule};
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

/// Like [`step`], with losses of disks and changes of the replica set.
fn step_with_changes() -> impl Strategy<Value = Step> {
    let number = any::<usize>;
    prop_oneof![
        10 => step(),
        2 => number().prop_map(|writer| Step::TakeOver { writer }),
        16 => (1usize..60, any::<u64>())
            .prop_map(|(count, seed)| Step::DeliverMany { count, seed }),
        4 => number().prop_map(|writer| Step::Append { writer }),
        2 => Just(Step::Isolate { replicas: 0 }),
        3 => (number(), number())
            .prop_map(|(left, right)| Step::Isolate { replicas: left & right }),
        3 => number().prop_map(|writer| Step::UpdateWriterSet { writer }),
        2 => number().prop_map(|replica| Step::UpdateReplicaSet { replica }),
        30 => change_step().prop_map(Step::Change),
    ]
}

fn change_step() -> impl Strategy<Value = ChangeStep> {
    let number = any::<usize>;
    prop_oneof![
        3 => (number(), 1usize..=3, any::<bool>()).prop_map(|(member, count, come_back)| {
            ChangeStep::LoseDisks { member, count, come_back }
        }),
        1 => (number(), any::<bool>()).prop_map(|(joiner, comes_back)| {
            ChangeStep::LoseJoiner { joiner, comes_back }
        }),
        24 => propose(),
        4 => (number(), number())
            .prop_map(|(coordinator, told)| ChangeStep::Swap { coordinator, told }),
        4 => (number(), number(), mostly()).prop_map(|(replica, source, learns)| {
            ChangeStep::Copy { replica, source, learns }
        }),
        4 => number().prop_map(|replica| ChangeStep::CopyParts { replica }),
        16 => (1usize..40, any::<u64>())
            .prop_map(|(count, seed)| ChangeStep::CopyMany { count, seed }),
        12 => (number(), number()).prop_map(|(report, coordinator)| {
            ChangeStep::DeliverReport { report, coordinator }
        }),
        2 => number().prop_map(|replica| ChangeStep::Push { replica }),
        3 => number().prop_map(|replica| ChangeStep::CompleteRemoval { replica }),
        1 => number().prop_map(|replica| ChangeStep::Restart { replica }),
    ]
}

fn propose() -> impl Strategy<Value = ChangeStep> {
    let number = any::<usize>;
    let change = prop_oneof![
        36 => Just(Change::Replacement),
        6 => number().prop_map(|member| Change::Removal { member }),
        12 => Just(Change::Addition),
        36 => Just(Change::Completion),
        1 => Just(Change::Rollback),
        1 => number().prop_map(|place| Change::Exchange { place }),
    ];
    // Most coordinators see exactly what is lost.
    let missing = prop_oneof![
        30 => Just(0),
        1 => (0usize..10).prop_map(|bit| 1 << bit),
        1 => (number(), number()).prop_map(|(left, right)| left & right),
    ];
    let told = prop::option::weighted(0.8, number());
    (number(), change, mostly(), missing, number(), told).prop_map(
        |(coordinator, change, learns, missing, spares, told)| ChangeStep::Propose {
            coordinator,
            change,
            learns,
            missing,
            spares,
            told,
        },
    )
}

fn mostly() -> impl Strategy<Value = bool> {
    prop::bool::weighted(0.8)
}

/// Like [`step_with_changes`], with logs that end and are retired.
fn step_with_retirement() -> impl Strategy<Value = Step> {
    let number = any::<usize>;
    prop_oneof![
        60 => step_with_changes(),
        1 => number().prop_map(|writer| Step::Close { writer }),
        2 => number().prop_map(|replica| Step::Change(ChangeStep::Retire { replica })),
    ]
}

/// Steps after [`with_entries_at_a_smallest_quorum`]: mostly changes of the replica set.
fn step_of_change() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => step_with_changes(),
        3 => change_step().prop_map(Step::Change),
    ]
}

/// Returns a simulation in which as few replicas as possible hold the last committed entries. As many
/// disks as the set bears are lost, from `lost` on.
fn with_entries_at_a_smallest_quorum(
    replicas: usize,
    part_bytes: usize,
    lost: usize,
    rule: CompletionRule,
) -> Simulation {
    let tolerated = (replicas - 1) / 2;
    let mut simulation = Simulation::new(replicas, 2, part_bytes).with_completion_rule(rule);
    simulation.apply(&Step::TakeOver { writer: 0 });
    send_and_deliver(&mut simulation);
    simulation.apply(&Step::Append { writer: 0 });
    send_and_deliver(&mut simulation);
    let isolated = (1 << tolerated) - 1;
    simulation.apply(&Step::Isolate { replicas: isolated });
    for _ in 0..2 {
        simulation.apply(&Step::Append { writer: 0 });
        send_and_deliver(&mut simulation);
    }
    simulation.apply(&Step::Isolate { replicas: 0 });
    simulation.apply(&Step::Change(ChangeStep::LoseDisks {
        member: lost,
        count: tolerated,
        come_back: false,
    }));
    assert_eq!(simulation.committed.len(), 3);
    simulation
}

/// Sends and delivers what the first writer has to send, in parts if necessary.
fn send_and_deliver(simulation: &mut Simulation) {
    for round in 0..10 {
        for replica in 0..simulation.replicas.len() {
            simulation.apply(&Step::Send { writer: 0, replica });
        }
        simulation.apply(&Step::DeliverMany {
            count: 100,
            seed: round,
        });
    }
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
        replicas in prop::sample::select(vec![3usize, 5, 7]),
        writers in 2usize..=3,
        part_bytes in part_bytes(),
        steps in prop::collection::vec(step_with_changes(), 50..400),
    ) {
        let mut simulation = Simulation::new(replicas, writers, part_bytes);
        for step in &steps {
            simulation.apply(step);
        }
        simulation.check_every_quorum();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 250, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn replacing_replicas_of_a_retired_log_loses_nothing(
        replicas in prop::sample::select(vec![3usize, 5, 7]),
        writers in 2usize..=3,
        part_bytes in part_bytes(),
        steps in prop::collection::vec(step_with_retirement(), 50..400),
    ) {
        let mut simulation = Simulation::new(replicas, writers, part_bytes);
        for step in &steps {
            simulation.apply(step);
        }
        simulation.check_every_quorum();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn replacing_replicas_that_hold_the_only_copies_loses_nothing(
        replicas in prop::sample::select(vec![3usize, 5, 7]),
        lost in any::<usize>(),
        part_bytes in part_bytes(),
        steps in prop::collection::vec(step_of_change(), 20..200),
    ) {
        let rule = CompletionRule::EveryJoiner;
        let mut simulation = with_entries_at_a_smallest_quorum(replicas, part_bytes, lost, rule);
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
    let strategy = prop::collection::vec(step_with_changes(), steps);
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
            if simulation.changes.counts.replacements() > 0 {
                before_replacement = before_replacement.min(simulation.committed.len());
            }
        }
        committing += usize::from(simulation.committed.len() >= 2);
        replacing += usize::from(simulation.committed.len() > before_replacement);
    }
    (committing, replacing)
}

/// Returns `count` interleavings of `steps` steps with sets of 3, 5 and 7 replicas.
fn play(count: usize, steps: usize) -> Vec<Simulation> {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = prop::collection::vec(step_with_retirement(), steps);
    let play = |number: usize| {
        let steps = strategy.new_tree(&mut runner).expect("a sequence");
        let replicas = [3, 5, 7][number % 3];
        let mut simulation = Simulation::new(replicas, 2, 50);
        for step in &steps.current() {
            simulation.apply(step);
        }
        simulation.check_smallest_quorums();
        simulation
    };
    (0..count).map(play).collect()
}

/// Guards against interleavings in which some kind of change never happens.
#[test]
fn interleavings_replace_several_replicas_and_lose_some_meanwhile() {
    let played = play(400, 300);
    let total = |count: fn(&ChangeCounts) -> usize| -> usize {
        let counts = played.iter().map(|simulation| simulation.changes.counts);
        counts.map(|counts| count(&counts)).sum()
    };
    let totals = [
        ("lost", total(|counts| counts.lost)),
        ("lost_while_joint", total(|counts| counts.lost_while_joint)),
        ("lost_joiners", total(|counts| counts.lost_joiners)),
        ("refused_swaps", total(|counts| counts.refused_swaps)),
        ("completed_by_one", total(|counts| counts.completed_by_one)),
        (
            "completed_by_several",
            total(|counts| counts.completed_by_several),
        ),
        ("removals", total(|counts| counts.removals)),
        (
            "changed_joint_sets",
            total(|counts| counts.changed_joint_sets),
        ),
        ("rolled_back", total(|counts| counts.rolled_back)),
        ("late_reports", total(|counts| counts.late_reports)),
        (
            "lost_after_report",
            total(|counts| counts.lost_after_report),
        ),
        ("forgotten_copies", total(|counts| counts.forgotten_copies)),
        ("retired", total(|counts| counts.retired)),
    ];
    for simulation in &played {
        assert_eq!(simulation.violation, None);
    }
    for (name, total) in totals {
        assert!(total >= 20, "{name}: {total}, of {totals:?}");
    }
}

/// Guards against a group in which one node completes a joint set as soon as it alone has copied: the
/// model finds the loss.
#[test]
fn completing_before_every_joiner_has_copied_loses_entries() {
    assert!(count_losses(CompletionRule::FirstJoiner, 200) > 0);
    assert_eq!(count_losses(CompletionRule::EveryJoiner, 200), 0);
}

/// Returns how many of `count` interleavings lose an entry or a promise.
fn count_losses(rule: CompletionRule, count: usize) -> usize {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = prop::collection::vec(step_of_change(), 100);
    let violates = |number: &usize| {
        let steps = strategy.new_tree(&mut runner).expect("a sequence");
        let replicas = [5, 7][number % 2];
        let mut simulation = with_entries_at_a_smallest_quorum(replicas, 50, *number, rule);
        for step in &steps.current() {
            simulation.apply(step);
        }
        simulation.check_smallest_quorums();
        simulation.violation.is_some()
    };
    (0..count).filter(violates).count()
}
