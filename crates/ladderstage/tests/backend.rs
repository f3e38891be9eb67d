//! Decision whether back ends may be given new work.

use std::collections::BTreeSet;
use std::time::Duration;

use ladderstage::backend::{
    BackendPolicy, BackendTable, GossipOrigin, ListedBackend, ObservationInterval, Report, Unusable,
};
use ladderstage::bundle::PoolKind;
use ladderstage_wire::messages::BackendReport;
use proptest::prelude::*;

const NAME: &str = "engine-1";
const FRESHNESS: u64 = 2_000;
const LIST_LAG: u64 = 15_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(sent: u64, received: u64) -> ObservationInterval {
    ObservationInterval {
        sent_at: ms(sent),
        received_at: ms(received),
    }
}

fn report(process: u64, sequence: u64, leaving: bool) -> Report {
    Report {
        process,
        sequence,
        leaving,
        capacity: 4,
        ..Report::default()
    }
}

fn gossip(process: u64, leaving: bool, age_ms: u64) -> Vec<BackendReport> {
    vec![BackendReport {
        backend: NAME.to_owned(),
        process,
        leaving,
        age_ms,
        sequence: u64::MAX,
        ..BackendReport::default()
    }]
}

fn listed(leaving: bool) -> Vec<ListedBackend> {
    vec![ListedBackend {
        name: NAME.to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        kind: PoolKind::Model,
        leaving,
    }]
}

/// Returns a table that knows process 1 from a list and a report at time 0.
fn table() -> BackendTable {
    let mut table = BackendTable::new(BackendPolicy::with_freshness(ms(FRESHNESS)));
    table.observe_list(&listed(false), at(0, 1));
    table.observe_report(NAME, &report(1, 1, false), at(0, 1));
    table
}

fn check(table: &BackendTable, now: u64) -> Result<(), Unusable> {
    table.check(NAME, 10, ms(now))
}

#[test]
fn evidence_age_counts_from_its_request() {
    let mut table = table();
    assert_eq!(check(&table, FRESHNESS), Ok(()));
    assert_eq!(check(&table, FRESHNESS + 1), Err(Unusable::Stale));
    table.observe_report(NAME, &report(1, 2, false), at(1_000, 5_000));
    assert_eq!(check(&table, 5_000), Err(Unusable::Stale));
    let dispatch = table.start_request(NAME, ms(6_000));
    table.record_success(NAME);
    table.finish_request(&dispatch);
    assert_eq!(check(&table, 6_000 + FRESHNESS), Ok(()));
}

#[test]
fn pushed_gossip_proves_leaving_but_not_liveness() {
    let mut table = table();
    table.observe_gossip(&gossip(1, false, 0), GossipOrigin::Pushed);
    assert_eq!(check(&table, 3_000), Err(Unusable::Stale));
    table.observe_gossip(
        &gossip(1, false, 500),
        GossipOrigin::Pulled(at(2_900, 3_000)),
    );
    assert_eq!(check(&table, 3_000), Ok(()));
    let mut moved = gossip(1, false, 0);
    moved[0].address = "127.0.0.1:81".to_owned();
    table.observe_gossip(&moved, GossipOrigin::Pulled(at(4_900, 4_901)));
    assert_eq!(check(&table, 4_901), Err(Unusable::Stale));
    table.observe_gossip(&gossip(1, true, u64::MAX), GossipOrigin::Pushed);
    assert_eq!(check(&table, 3_000), Err(Unusable::Leaving));
    assert_eq!(table.leaving_since(0).len(), 1);
    assert!(table.leaving_since(table.version()).is_empty());
}

#[test]
fn a_list_outage_excludes_nothing_but_absence_from_the_list_does() {
    let mut table = table();
    table.observe_report(NAME, &report(1, 2, false), at(60_000, 60_001));
    assert_eq!(check(&table, 60_001), Ok(()));
    table.observe_list(&[], at(60_000, 60_001));
    assert_eq!(check(&table, 60_001), Ok(()));
    table.observe_list(&[], at(63_000, 63_001));
    table.observe_report(NAME, &report(1, 3, false), at(63_000, 63_001));
    assert_eq!(check(&table, 63_001), Err(Unusable::Missing));
}

#[test]
fn a_lagging_list_excludes_an_old_process_and_only_withholds_a_younger_one() {
    let mut table = table();
    table.observe_list(&listed(true), at(LIST_LAG + 1, LIST_LAG + 2));
    table.observe_list(&listed(false), at(LIST_LAG + 3, LIST_LAG + 4));
    table.observe_report(NAME, &report(1, 2, false), at(LIST_LAG + 5, LIST_LAG + 6));
    assert_eq!(check(&table, LIST_LAG + 6), Err(Unusable::Leaving));

    // The next process starts, and the lagging list reports the first one as leaving again.
    table.observe_report(NAME, &report(2, 1, false), at(20_000, 20_001));
    table.observe_list(&listed(false), at(20_002, 20_003));
    assert_eq!(check(&table, 20_003), Ok(()));
    table.observe_list(&listed(true), at(21_000, 21_001));
    assert_eq!(check(&table, 21_001), Err(Unusable::Withheld));
    table.observe_list(&listed(false), at(22_000, 22_001));
    assert_eq!(check(&table, 22_001), Err(Unusable::Withheld));
    table.observe_list(&listed(false), at(22_000 + LIST_LAG, 22_001 + LIST_LAG));
    table.observe_report(
        NAME,
        &report(2, 2, false),
        at(22_000 + LIST_LAG, 22_001 + LIST_LAG),
    );
    assert_eq!(check(&table, 22_001 + LIST_LAG), Ok(()));
}

#[test]
fn a_new_process_is_accepted_only_if_reported_after_the_previous_one() {
    let mut table = table();
    table.record_leaving(NAME, ms(5));
    table.observe_report(NAME, &report(2, 1, false), at(1, 10));
    assert_eq!(check(&table, 10), Err(Unusable::Leaving));
    table.observe_report(NAME, &report(2, 2, false), at(11, 12));
    assert_eq!(check(&table, 12), Ok(()));
    table.observe_report(NAME, &report(1, 9, false), at(13, 14));
    assert_eq!(table.describe(ms(14))[0].process, 2);
}

#[test]
fn consecutive_failures_eject_and_then_allow_one_trial_request() {
    let mut table = table();
    for _ in 0..3 {
        assert_eq!(check(&table, 10), Ok(()));
        table.record_failure(NAME, ms(10), 0.5);
    }
    assert_eq!(check(&table, 509), Err(Unusable::Ejected));
    let trial = table
        .try_start_request(NAME, 10, ms(510))
        .expect("ejection is over");
    assert_eq!(check(&table, 510), Err(Unusable::OnTrial));
    table.record_failure(NAME, ms(510), 0.5);
    table.finish_request(&trial);
    assert_eq!(check(&table, 1_509), Err(Unusable::Ejected));
    let trial = table
        .try_start_request(NAME, 10, ms(1_510))
        .expect("the second ejection, twice as long, is over");
    table.record_success(NAME);
    table.finish_request(&trial);
    assert_eq!(check(&table, 1_511), Ok(()));
}

#[test]
fn own_requests_are_limited_and_counted_since_the_report() {
    let mut table = table();
    let first = table.try_start_request(NAME, 2, ms(10)).expect("free");
    table.observe_report(NAME, &report(1, 2, false), at(20, 21));
    table
        .try_start_request(NAME, 2, ms(30))
        .expect("one slot left");
    assert_eq!(
        table.try_start_request(NAME, 2, ms(30)),
        Err(Unusable::Busy)
    );
    table.finish_request(&first);
    let candidates = table.candidates(&[NAME.to_owned()], 2, ms(40));
    assert_eq!(candidates[0].own_in_flight, 1);
    assert_eq!(candidates[0].dispatched_since_report, 1);
}

#[derive(Debug, Clone)]
enum Event {
    OwnReport {
        process: u64,
        leaving: bool,
        delay: u64,
    },
    Pushed {
        process: u64,
        leaving: bool,
        age: u64,
    },
    Pulled {
        process: u64,
        leaving: bool,
        age: u64,
        delay: u64,
    },
    List {
        state: Option<bool>,
        delay: u64,
    },
    RefusedLeaving,
    RefusedFull,
    Succeeded,
    Failed,
}

fn event() -> impl Strategy<Value = Event> {
    let process = 1..5_u64;
    let leaving = prop::bool::weighted(0.2);
    let delay = 0..3_000_u64;
    let age = 0..4_000_u64;
    prop_oneof![
        4 => (process.clone(), leaving, delay.clone())
            .prop_map(|(process, leaving, delay)| Event::OwnReport { process, leaving, delay }),
        2 => (process.clone(), leaving, age.clone())
            .prop_map(|(process, leaving, age)| Event::Pushed { process, leaving, age }),
        2 => (process, leaving, age, delay.clone())
            .prop_map(|(process, leaving, age, delay)| Event::Pulled { process, leaving, age, delay }),
        2 => (prop::option::weighted(0.8, leaving), delay)
            .prop_map(|(state, delay)| Event::List { state, delay }),
        1 => Just(Event::RefusedLeaving),
        1 => Just(Event::RefusedFull),
        1 => Just(Event::Succeeded),
        1 => Just(Event::Failed),
    ]
}

/// Everything that the events prove; the table must not conclude more.
#[derive(Default)]
struct ModelKnowledge {
    leaving: BTreeSet<u64>,
    newest_evidence: Option<u64>,
}

impl ModelKnowledge {
    fn observe_leaving(&mut self, process: u64, leaving: bool) {
        if leaving {
            self.leaving.insert(process);
        }
    }

    fn evidence(&mut self, sent_at: u64) {
        self.newest_evidence = self.newest_evidence.max(Some(sent_at));
    }
}

fn apply(
    table: &mut BackendTable,
    knowledge: &mut ModelKnowledge,
    event: &Event,
    now: u64,
    step: u64,
) {
    match *event {
        Event::OwnReport {
            process,
            leaving,
            delay,
        } => {
            let sent = now.saturating_sub(delay);
            table.observe_report(NAME, &report(process, step, leaving), at(sent, now));
            knowledge.observe_leaving(process, leaving);
            knowledge.evidence(sent);
        }
        Event::Pushed {
            process,
            leaving,
            age,
        } => {
            table.observe_gossip(&gossip(process, leaving, age), GossipOrigin::Pushed);
            knowledge.observe_leaving(process, leaving);
        }
        Event::Pulled {
            process,
            leaving,
            age,
            delay,
        } => {
            let sent = now.saturating_sub(delay);
            let origin = GossipOrigin::Pulled(at(sent, now));
            table.observe_gossip(&gossip(process, leaving, age), origin);
            knowledge.observe_leaving(process, leaving);
            if sent >= age {
                knowledge.evidence(sent - age);
            }
        }
        Event::List { state, delay } => {
            let machines = state.map(listed).unwrap_or_default();
            table.observe_list(&machines, at(now.saturating_sub(delay), now));
        }
        Event::RefusedLeaving => {
            table.record_leaving(NAME, ms(now));
            let described = table.describe(ms(now));
            if let Some(current) = described.first().filter(|backend| backend.process != 0) {
                knowledge.leaving.insert(current.process);
            }
        }
        Event::RefusedFull => table.record_refusal(NAME, ms(now), 0.5),
        Event::Succeeded => {
            let dispatch = table.start_request(NAME, ms(now));
            table.record_success(NAME);
            table.finish_request(&dispatch);
            knowledge.evidence(now);
        }
        Event::Failed => table.record_failure(NAME, ms(now), 0.5),
    }
}

proptest! {
    /// Guards against late or reordered observations that make a leaving process usable again, or
    /// keep a back end usable beyond the freshness bound.
    #[test]
    fn no_interleaving_uses_a_leaving_process_or_stale_evidence(
        events in prop::collection::vec((event(), 0..1_500_u64), 1..60),
    ) {
        let mut table = BackendTable::new(BackendPolicy::with_freshness(ms(FRESHNESS)));
        let mut knowledge = ModelKnowledge::default();
        let mut now = 1_000;
        for (step, (event, pause)) in events.iter().enumerate() {
            apply(&mut table, &mut knowledge, event, now, step as u64);
            for later in [now, now + pause] {
                let usable = table.candidates(&[NAME.to_owned()], 10, ms(later));
                for candidate in usable {
                    prop_assert!(!knowledge.leaving.contains(&candidate.process));
                    let evidence = knowledge.newest_evidence.expect("usable back end has evidence");
                    prop_assert!(later.saturating_sub(evidence) <= FRESHNESS);
                }
            }
            now += pause;
        }
    }
}
