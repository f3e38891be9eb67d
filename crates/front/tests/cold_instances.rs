//! Which instances count as cold, what one node sends them, and that the sum of all nodes stays within the bound.

use std::collections::BTreeSet;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::{
    BackendTable, ColdAllowance, ColdLimit, ColdState, Demand, DiscoveredInstance, HoldReason,
    PERMIT_LIFETIME, SEND_WINDOW, SendShare, WRITE_MARGIN, Warmth,
};
use ladderstage_front::config::{ColdSpec, ServiceSpec, ServingConfig};
use ladderstage_front::orders::{PermitLedger, PERMIT_QUIET_PERIOD};
use ladderstage_front::roster::Roster;
use proptest::prelude::*;

const COLD_TIME: Duration = Duration::from_secs(3);

const SPEC: ColdSpec = ColdSpec {
    time: COLD_TIME,
    requests_per_second: 12.0,
};

const ALLOWANCE: ColdAllowance = ColdAllowance {
    overage: 1.5,
    slack: 5.0,
};

/// Requests that an instance may get in any second: 12 x 1.5 + 5.
const BOUND: u32 = 23;

fn limit() -> ColdLimit {
    ColdLimit::new(&SPEC, ALLOWANCE)
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn word(id: &str, cold_ms: u64) -> DiscoveredInstance {
    DiscoveredInstance {
        id: id.to_owned(),
        service: "service".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".to_owned(),
        is_ready: true,
        slots: 6,
        started_unix_ms: 0,
        cold_ms,
        is_preemptible: false,
        leaves_ms: None,
        versions: Default::default(),
    }
}

/// A table whose service says what its cold instances bear.
fn limited_table() -> BackendTable {
    let table = BackendTable::new("a");
    let mut config = ServingConfig::default();
    let service = ServiceSpec {
        cold: Some(SPEC),
        ..ServiceSpec::default()
    };
    config.services.insert("service".to_owned(), service);
    table.gates().cold.set(&config, ALLOWANCE);
    table
}

#[test]
fn permits_and_two_unaware_nodes_fit_into_the_bound() {
    let limit = limit();
    assert!(limit.dealt > 0 && limit.unaware > 0);
    assert!(limit.dealt + 2 * limit.unaware <= BOUND);
}

#[test]
fn a_cold_instance_is_cold_for_as_long_as_it_told() {
    let now = Instant::now();
    let mut state = ColdState::default();
    assert_eq!(state.warmth(now), Warmth::Warm);
    state.told(ms(2_000), now);
    assert_eq!(state.warmth(now + ms(1_999)), Warmth::Cold);
    assert_eq!(state.warmth(now + ms(2_000)), Warmth::Warm);
    state.told(ms(0), now + ms(500));
    assert_eq!(state.warmth(now + ms(500)), Warmth::Warm, "a later word");
    state.told(ms(3_000), now + ms(600));
    assert_eq!(
        state.warmth(now + ms(3_000)),
        Warmth::Cold,
        "it may turn cold again"
    );
}

#[test]
fn an_instance_that_failed_is_doubtful_until_its_cold_time_after_it_answers() {
    let now = Instant::now();
    let mut state = ColdState::default();
    state.disconnected();
    assert_eq!(state.warmth(now + ms(60_000)), Warmth::Doubtful);
    state.told(ms(0), now);
    assert_eq!(
        state.warmth(now),
        Warmth::Doubtful,
        "the record may be older than the failure"
    );
    state.answered(now + ms(1_000), COLD_TIME);
    state.answered(now + ms(2_000), COLD_TIME);
    assert_eq!(state.warmth(now + ms(3_999)), Warmth::Doubtful);
    assert_eq!(state.warmth(now + ms(4_000)), Warmth::Warm);
    state.disconnected();
    state.told(ms(500), now + ms(5_000));
    assert_eq!(state.warmth(now + ms(5_499)), Warmth::Cold);
    assert_eq!(
        state.warmth(now + ms(5_500)),
        Warmth::Doubtful,
        "the word may be of the start before the failure"
    );
    state.answered(now + ms(6_000), COLD_TIME);
    assert_eq!(state.warmth(now + ms(8_999)), Warmth::Doubtful);
    assert_eq!(state.warmth(now + ms(9_000)), Warmth::Warm);
}

#[test]
fn a_zone_that_is_given_back_is_doubtful() {
    let table = limited_table();
    table.upsert(word("i-1", 0));
    let instance = table.get("i-1").unwrap();
    let now = Instant::now();
    assert!(instance.take_send(now).is_ok());
    let drained = &table.gates().drained;
    drained.set(BTreeSet::from(["a".into(), "b".into()]));
    assert_eq!(instance.take_send(now), Err(HoldReason::ZoneDrained));
    drained.set(BTreeSet::from(["a".into()]));
    assert_eq!(instance.take_send(now), Err(HoldReason::ZoneDrained));
    drained.set(BTreeSet::new());
    assert_eq!(instance.take_send(now), Err(HoldReason::Cold));
    let apart = now + SEND_WINDOW + WRITE_MARGIN + ms(1);
    assert!(
        instance.take_send(apart).is_ok(),
        "one shows whether it runs"
    );
    assert_eq!(instance.take_send(apart), Err(HoldReason::Cold));
    instance.add_permits(1, apart + PERMIT_LIFETIME);
    assert!(instance.take_send(apart).is_ok(), "by a permit");
    let later = Instant::now() + COLD_TIME;
    assert!(instance.take_send(later).is_ok());
    assert!(instance.take_send(later).is_ok(), "it is warm again");
}

#[test]
fn a_start_that_an_instance_tells_of_itself_is_doubtful() {
    let table = limited_table();
    let mut first = word("i-1", 0);
    first.started_unix_ms = 100;
    table.upsert(first);
    let now = Instant::now();
    table.record_incarnation(&table.get("i-1").unwrap(), 200);
    let again = table.get("i-1").unwrap();
    assert!(again.take_send(now).is_ok(), "one shows whether it runs");
    assert_eq!(again.take_send(now), Err(HoldReason::Cold));
}

#[test]
fn a_cold_instance_gets_a_request_for_each_permit_only() {
    let table = limited_table();
    table.upsert(word("i-1", 3_000));
    let instance = table.get("i-1").unwrap();
    let now = Instant::now();
    assert_eq!(instance.take_send(now), Err(HoldReason::Cold));
    instance.add_permits(2, now + PERMIT_LIFETIME);
    let ticket = instance.take_send(now).unwrap();
    assert!(instance.take_send(now).is_ok());
    assert_eq!(instance.take_send(now), Err(HoldReason::Cold));
    instance.give_back_send(ticket);
    assert!(
        instance.take_send(now).is_ok(),
        "the one that did not leave"
    );
    instance.add_permits(1, now + PERMIT_LIFETIME);
    assert_eq!(
        instance.take_send(now + PERMIT_LIFETIME),
        Err(HoldReason::Cold),
        "lapsed"
    );
}

#[test]
fn a_choice_counts_what_it_chose_before() {
    let table = limited_table();
    table.upsert(word("i-1", 3_000));
    let choose = || table.choose("service", "", Demand::Batch, |_| true);
    assert!(choose().is_none());
    let permit_requests = table.gates().permit_requests.drain_pending();
    assert_eq!(permit_requests.get("i-1").map(String::as_str), Some("service"));
    let instance = table.get("i-1").unwrap();
    instance.add_permits(2, Instant::now() + Duration::from_secs(60));
    assert!(choose().is_some() && choose().is_some());
    assert!(choose().is_none(), "two are on their way");
}

#[test]
fn a_warm_instance_gets_so_many_of_one_node_in_a_second() {
    let table = limited_table();
    table.upsert(word("i-1", 0));
    let instance = table.get("i-1").unwrap();
    let now = Instant::now();
    for _ in 0..limit().unaware {
        assert!(instance.take_send(now).is_ok());
    }
    assert_eq!(instance.take_send(now), Err(HoldReason::SendRate));
    let late_write = now + SEND_WINDOW + WRITE_MARGIN;
    assert_eq!(instance.take_send(late_write), Err(HoldReason::SendRate));
    assert!(instance.take_send(late_write + ms(1)).is_ok());
}

/// Three nodes that took it for warm send their shares; with permits on top in the same second it would get more than it bears.
#[test]
fn permits_are_not_used_in_one_window_with_requests_sent_before_coldness_was_known() {
    let mut share = SendShare::default();
    let now = Instant::now();
    for _ in 0..limit().unaware {
        assert!(share.take(Warmth::Warm, &limit(), now).is_some());
    }
    let late_write = now + SEND_WINDOW + WRITE_MARGIN;
    share.add_permits(2, late_write + ms(300));
    assert!(share.take(Warmth::Cold, &limit(), now + ms(10)).is_none());
    assert!(share.take(Warmth::Cold, &limit(), late_write).is_none());
    assert!(
        share
            .take(Warmth::Cold, &limit(), late_write + ms(1))
            .is_some()
    );
}

#[test]
fn without_a_limit_cold_instances_get_any_number() {
    let table = BackendTable::new("a");
    table.upsert(word("i-1", 3_000));
    let instance = table.get("i-1").unwrap();
    for _ in 0..100 {
        assert_eq!(instance.take_send(Instant::now()), Ok(None));
    }
}

#[test]
fn a_roster_is_written_anew_only_when_an_instance_turns_cold_or_warm() {
    let table = limited_table();
    let services = || BTreeSet::from(["service".to_owned()]);
    let roster = |cold_ms| {
        table.upsert(word("i-1", cold_ms));
        Roster::of(&table, services(), 1, None)
    };
    let (cold, less, warm) = (roster(3_000), roster(1_800), roster(0));
    assert!(cold.is_same(&less) && !less.is_same(&warm));
    let reader = limited_table();
    cold.apply(&reader);
    let instance = reader.get("i-1").unwrap();
    assert_eq!(
        instance.take_send(Instant::now()),
        Err(HoldReason::Cold),
        "who goes by the roster knows it"
    );
}

/// One step of a schedule, at a node where that matters.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A node asks; the answer takes so long, or is lost.
    Ask {
        node: usize,
        wanted: u32,
        answer_after: Option<u64>,
    },
    /// A node sends all that it may, up to so many.
    Send { node: usize, most: u32 },
    /// A node is started again: what it was dealt is gone.
    Restart(usize),
    /// Another node holds the lease from now on.
    NextHolder,
}

const NODES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    // Delays beyond a permit's life stand for nodes and links that are frozen.
    let answer_after = prop_oneof![
        6 => (0..20u64).prop_map(Some),
        2 => (0..400u64).prop_map(Some),
        1 => (400..3_000u64).prop_map(Some),
        1 => Just(None),
    ];
    prop_oneof![
        6 => (0..120u64).prop_map(Step::Pass),
        3 => (200..400u64).prop_map(Step::Pass),
        3 => (500..1_700u64).prop_map(Step::Pass),
        8 => (node.clone(), 4..30u32, answer_after)
            .prop_map(|(node, wanted, answer_after)| Step::Ask { node, wanted, answer_after }),
        8 => (node.clone(), 4..30u32).prop_map(|(node, most)| Step::Send { node, most }),
        1 => node.prop_map(Step::Restart),
        1 => Just(Step::NextHolder),
    ]
}

/// Most of some moments within any second.
fn most_in_a_second(sent: &[Instant]) -> usize {
    let counts = sent.iter().enumerate().map(|(index, first)| {
        let within = |at: &&Instant| at.saturating_duration_since(*first) <= SEND_WINDOW;
        sent[index..].iter().take_while(within).count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn permits_that_are_used_late_leave_none_to_those_that_are_used_at_once() {
    let limit = limit();
    let held_from = Instant::now();
    let mut ledger = PermitLedger::new(held_from);
    let first = held_from + PERMIT_QUIET_PERIOD;
    assert_eq!(ledger.issue("i-1", 100, limit.dealt, first), limit.dealt);
    let used_late = first + PERMIT_LIFETIME - ms(1);
    let within_a_second = used_late + SEND_WINDOW;
    assert_eq!(ledger.issue("i-1", 100, limit.dealt, within_a_second), 0);
    let another = ledger.issue("i-2", 100, limit.dealt, within_a_second);
    assert_eq!(another, limit.dealt, "each instance has its own");
    let later = first + PERMIT_QUIET_PERIOD + ms(1);
    assert_eq!(ledger.issue("i-1", 100, limit.dealt, later), limit.dealt);
}

proptest! {
    /// Whatever is late or lost, whoever restarts or freezes, and whoever holds the lease: a cold instance gets no more than is dealt.
    #[test]
    fn no_schedule_sends_a_cold_instance_more_than_is_dealt(steps in prop::collection::vec(step(), 1..300)) {
        let limit = limit();
        let mut now = Instant::now();
        let mut ledger = PermitLedger::new(now);
        now += PERMIT_QUIET_PERIOD;
        let mut shares = vec![SendShare::default(); NODES];
        let mut on_the_way = Vec::new();
        let mut sent = Vec::new();
        for step in steps {
            match step {
                Step::Pass(time) => now += ms(time),
                Step::Ask { node, wanted, answer_after } => {
                    let count = ledger.issue("i-1", wanted, limit.dealt, now);
                    if let Some(after) = answer_after {
                        on_the_way.push((now + ms(after), node, count, now + PERMIT_LIFETIME));
                    }
                }
                Step::Send { node, most } => {
                    for _ in 0..most {
                        if shares[node].take(Warmth::Cold, &limit, now).is_some() {
                            sent.push(now);
                        }
                    }
                }
                Step::Restart(node) => {
                    shares[node] = SendShare::default();
                    on_the_way.retain(|(_, asker, ..)| *asker != node);
                }
                Step::NextHolder => ledger = PermitLedger::new(now),
            }
            on_the_way.retain(|(at, node, count, until)| {
                if *at <= now {
                    shares[*node].add_permits(*count, *until);
                }
                *at > now
            });
        }
        prop_assert!(most_in_a_second(&sent) <= limit.dealt as usize);
    }

    /// Without permits one node sends no more than its own share in any second, and to a doubtful instance one request; what did not
    /// leave is not counted.
    #[test]
    fn one_node_sends_its_own_share_without_permits(
        is_doubtful in any::<bool>(),
        steps in prop::collection::vec((0..400u64, any::<bool>(), any::<bool>()), 1..200),
    ) {
        let limit = limit();
        let (warmth, most) = if is_doubtful {
            (Warmth::Doubtful, 1)
        } else {
            (Warmth::Warm, limit.unaware as usize)
        };
        let mut share = SendShare::default();
        let mut now = Instant::now();
        let mut sent = Vec::new();
        for (pause, is_chosen_first, has_left) in steps {
            now += ms(pause);
            if is_chosen_first && share.has_room(warmth, &limit, now) {
                share.reserve(now);
            }
            match share.take(warmth, &limit, now) {
                Some(_) if has_left => sent.push(now),
                Some(ticket) => share.give_back(ticket),
                None => {}
            }
        }
        prop_assert!(most_in_a_second(&sent) <= most);
    }
}
