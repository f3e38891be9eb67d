//! Cold status of instances, and the bound on the requests that all nodes together send to a cold
//! one.

use std::collections::BTreeSet;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::{
    BackendTable, ColdAllowance, ColdLimit, ColdState, ColdStatus, DiscoveredInstance, HoldReason,
    PERMIT_LIFETIME, RequiredWeights, SEND_WINDOW, SendBudget, WRITE_MARGIN, WorkKind,
};
use ladderstage_front::config::{ColdSpec, ServiceSpec, ServingConfig};
use ladderstage_front::orders::{PERMIT_QUIET_PERIOD, PermitLedger};
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

/// Maximum number of requests to one instance in any second: 12 x 1.5 + 5.
const BOUND: u32 = 23;

fn limit() -> ColdLimit {
    ColdLimit::new(&SPEC, ALLOWANCE)
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn record(id: &str, cold_ms: u64) -> DiscoveredInstance {
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

/// Returns a table whose service limits the requests to its cold instances.
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
fn permits_and_the_shares_of_two_nodes_without_permits_fit_into_the_bound() {
    let limit = limit();
    assert!(limit.permits_per_second > 0 && limit.rate_without_permits > 0);
    assert!(limit.permits_per_second + 2 * limit.rate_without_permits <= BOUND);
}

#[test]
fn an_instance_is_cold_for_the_time_in_its_record() {
    let now = Instant::now();
    let mut state = ColdState::default();
    assert_eq!(state.cold_status(now), ColdStatus::Warm);
    state.apply_discovery_record(ms(2_000), now);
    assert_eq!(state.cold_status(now + ms(1_999)), ColdStatus::Cold);
    assert_eq!(state.cold_status(now + ms(2_000)), ColdStatus::Warm);
    state.apply_discovery_record(ms(0), now + ms(500));
    assert_eq!(
        state.cold_status(now + ms(500)),
        ColdStatus::Warm,
        "a later record"
    );
    state.apply_discovery_record(ms(3_000), now + ms(600));
    assert_eq!(
        state.cold_status(now + ms(3_000)),
        ColdStatus::Cold,
        "it may become cold again"
    );
}

#[test]
fn after_a_failure_the_status_is_uncertain_until_the_cold_time_after_a_response() {
    let now = Instant::now();
    let mut state = ColdState::default();
    state.record_disconnect();
    assert_eq!(state.cold_status(now + ms(60_000)), ColdStatus::Uncertain);
    state.apply_discovery_record(ms(0), now);
    assert_eq!(
        state.cold_status(now),
        ColdStatus::Uncertain,
        "the record may be older than the failure"
    );
    state.record_response(now + ms(1_000), COLD_TIME);
    state.record_response(now + ms(2_000), COLD_TIME);
    assert_eq!(state.cold_status(now + ms(3_999)), ColdStatus::Uncertain);
    assert_eq!(state.cold_status(now + ms(4_000)), ColdStatus::Warm);
    state.record_disconnect();
    state.apply_discovery_record(ms(500), now + ms(5_000));
    assert_eq!(state.cold_status(now + ms(5_499)), ColdStatus::Cold);
    assert_eq!(
        state.cold_status(now + ms(5_500)),
        ColdStatus::Uncertain,
        "the record may describe the incarnation before the failure"
    );
    state.record_response(now + ms(6_000), COLD_TIME);
    assert_eq!(state.cold_status(now + ms(8_999)), ColdStatus::Uncertain);
    assert_eq!(state.cold_status(now + ms(9_000)), ColdStatus::Warm);
}

#[test]
fn instances_are_uncertain_after_a_drain_of_their_zone() {
    let table = limited_table();
    table.upsert(record("i-1", 0));
    let instance = table.get("i-1").unwrap();
    let now = Instant::now();
    assert!(instance.acquire_send(now).is_ok());
    let drained = &table.gates().drained;
    drained.set(BTreeSet::from(["a".into(), "b".into()]));
    assert_eq!(instance.acquire_send(now), Err(HoldReason::ZoneDrained));
    drained.set(BTreeSet::from(["a".into()]));
    assert_eq!(instance.acquire_send(now), Err(HoldReason::ZoneDrained));
    drained.set(BTreeSet::new());
    assert_eq!(instance.acquire_send(now), Err(HoldReason::Cold));
    let after_window = now + SEND_WINDOW + WRITE_MARGIN + ms(1);
    assert!(
        instance.acquire_send(after_window).is_ok(),
        "one request shows whether it is running"
    );
    assert_eq!(instance.acquire_send(after_window), Err(HoldReason::Cold));
    instance.add_permits(1, after_window + PERMIT_LIFETIME);
    assert!(instance.acquire_send(after_window).is_ok(), "with a permit");
    let later = Instant::now() + COLD_TIME;
    assert!(instance.acquire_send(later).is_ok());
    assert!(instance.acquire_send(later).is_ok(), "it is warm again");
}

#[test]
fn an_incarnation_that_an_instance_reported_itself_is_uncertain() {
    let table = limited_table();
    let mut first = record("i-1", 0);
    first.started_unix_ms = 100;
    table.upsert(first);
    let now = Instant::now();
    table.record_incarnation(&table.get("i-1").unwrap(), 200);
    let restarted = table.get("i-1").unwrap();
    assert!(
        restarted.acquire_send(now).is_ok(),
        "one request shows whether it is running"
    );
    assert_eq!(restarted.acquire_send(now), Err(HoldReason::Cold));
}

#[test]
fn a_cold_instance_gets_one_request_per_permit() {
    let table = limited_table();
    table.upsert(record("i-1", 3_000));
    let instance = table.get("i-1").unwrap();
    let now = Instant::now();
    assert_eq!(instance.acquire_send(now), Err(HoldReason::Cold));
    instance.add_permits(2, now + PERMIT_LIFETIME);
    let ticket = instance.acquire_send(now).unwrap();
    assert!(instance.acquire_send(now).is_ok());
    assert_eq!(instance.acquire_send(now), Err(HoldReason::Cold));
    instance.release_send(ticket);
    assert!(
        instance.acquire_send(now).is_ok(),
        "the permit of the unsent request"
    );
    instance.add_permits(1, now + PERMIT_LIFETIME);
    assert_eq!(
        instance.acquire_send(now + PERMIT_LIFETIME),
        Err(HoldReason::Cold),
        "expired permit"
    );
}

#[test]
fn a_choice_counts_earlier_reservations() {
    let table = limited_table();
    table.upsert(record("i-1", 3_000));
    let choose = || table.choose("service", RequiredWeights::ANY, WorkKind::Batch, |_| true);
    assert!(choose().is_none());
    let permit_requests = table.gates().permit_requests.drain_pending();
    assert_eq!(
        permit_requests.get("i-1").map(String::as_str),
        Some("service")
    );
    let instance = table.get("i-1").unwrap();
    instance.add_permits(2, Instant::now() + Duration::from_secs(60));
    assert!(choose().is_some() && choose().is_some());
    assert!(choose().is_none(), "two reservations use up the permits");
}

#[test]
fn requests_of_one_node_to_a_warm_instance_are_limited_per_second() {
    let table = limited_table();
    table.upsert(record("i-1", 0));
    let instance = table.get("i-1").unwrap();
    let now = Instant::now();
    for _ in 0..limit().rate_without_permits {
        assert!(instance.acquire_send(now).is_ok());
    }
    assert_eq!(instance.acquire_send(now), Err(HoldReason::SendRate));
    let late_write = now + SEND_WINDOW + WRITE_MARGIN;
    assert_eq!(instance.acquire_send(late_write), Err(HoldReason::SendRate));
    assert!(instance.acquire_send(late_write + ms(1)).is_ok());
}

/// All nodes may have sent their shares without permits, and permits in the same window would
/// exceed the bound.
#[test]
fn permits_are_unusable_within_a_window_of_requests_sent_while_considered_warm() {
    let mut budget = SendBudget::default();
    let now = Instant::now();
    for _ in 0..limit().rate_without_permits {
        assert!(budget.acquire(ColdStatus::Warm, &limit(), now).is_some());
    }
    let late_write = now + SEND_WINDOW + WRITE_MARGIN;
    budget.add_permits(2, late_write + ms(300));
    assert!(
        budget
            .acquire(ColdStatus::Cold, &limit(), now + ms(10))
            .is_none()
    );
    assert!(
        budget
            .acquire(ColdStatus::Cold, &limit(), late_write)
            .is_none()
    );
    assert!(
        budget
            .acquire(ColdStatus::Cold, &limit(), late_write + ms(1))
            .is_some()
    );
}

#[test]
fn without_a_limit_cold_instances_get_any_number_of_requests() {
    let table = BackendTable::new("a");
    table.upsert(record("i-1", 3_000));
    let instance = table.get("i-1").unwrap();
    for _ in 0..100 {
        assert_eq!(instance.acquire_send(Instant::now()), Ok(None));
    }
}

#[test]
fn a_roster_changes_only_when_an_instance_becomes_cold_or_warm() {
    let table = limited_table();
    let services = || BTreeSet::from(["service".to_owned()]);
    let roster = |cold_ms| {
        table.upsert(record("i-1", cold_ms));
        Roster::from_table(&table, services(), 1, None)
    };
    let (cold, still_cold, warm) = (roster(3_000), roster(1_800), roster(0));
    assert!(cold.is_equivalent(&still_cold) && !still_cold.is_equivalent(&warm));
    let reader = limited_table();
    cold.apply(&reader);
    let instance = reader.get("i-1").unwrap();
    assert_eq!(
        instance.acquire_send(Instant::now()),
        Err(HoldReason::Cold),
        "a reader of the roster knows the cold status"
    );
}

/// A step of a random schedule.
#[derive(Debug, Clone)]
enum Step {
    /// Time in milliseconds passes.
    Elapse(u64),
    /// A node requests permits; the response takes this many milliseconds, or is lost.
    RequestPermits {
        node: usize,
        requested: u32,
        answer_after: Option<u64>,
    },
    /// A node sends as many requests as it may, up to `max_sent`.
    Send { node: usize, max_sent: u32 },
    /// A node restarts and loses its permits.
    Restart(usize),
    /// Another node becomes the order leader.
    ChangeLeader,
}

const NODES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    // Delays beyond a permit's lifetime stand for frozen nodes and links.
    let answer_after = prop_oneof![
        6 => (0..20u64).prop_map(Some),
        2 => (0..400u64).prop_map(Some),
        1 => (400..3_000u64).prop_map(Some),
        1 => Just(None),
    ];
    prop_oneof![
        6 => (0..120u64).prop_map(Step::Elapse),
        3 => (200..400u64).prop_map(Step::Elapse),
        3 => (500..1_700u64).prop_map(Step::Elapse),
        8 => (node.clone(), 4..30u32, answer_after)
            .prop_map(|(node, requested, answer_after)| Step::RequestPermits { node, requested, answer_after }),
        8 => (node.clone(), 4..30u32).prop_map(|(node, max_sent)| Step::Send { node, max_sent }),
        1 => node.prop_map(Step::Restart),
        1 => Just(Step::ChangeLeader),
    ]
}

/// Returns the maximum number of requests in any second.
fn max_in_a_second(sent: &[Instant]) -> usize {
    let counts = sent.iter().enumerate().map(|(index, first)| {
        let within = |at: &&Instant| at.saturating_duration_since(*first) <= SEND_WINDOW;
        sent[index..].iter().take_while(within).count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn permits_that_may_be_used_late_delay_further_permits() {
    let limit = limit();
    let held_since = Instant::now();
    let mut ledger = PermitLedger::new(held_since);
    let first = held_since + PERMIT_QUIET_PERIOD;
    assert_eq!(
        ledger.issue("i-1", 100, limit.permits_per_second, first),
        limit.permits_per_second
    );
    let used_late = first + PERMIT_LIFETIME - ms(1);
    let within_a_second = used_late + SEND_WINDOW;
    assert_eq!(
        ledger.issue("i-1", 100, limit.permits_per_second, within_a_second),
        0
    );
    let other_instance = ledger.issue("i-2", 100, limit.permits_per_second, within_a_second);
    assert_eq!(
        other_instance, limit.permits_per_second,
        "limits are per instance"
    );
    let later = first + PERMIT_QUIET_PERIOD + ms(1);
    assert_eq!(
        ledger.issue("i-1", 100, limit.permits_per_second, later),
        limit.permits_per_second
    );
}

proptest! {
    /// A cold instance gets no more requests than permits are issued, with delays, losses, restarts
    /// and changes of the order leader.
    #[test]
    fn no_schedule_sends_a_cold_instance_more_requests_than_permits(steps in prop::collection::vec(step(), 1..300)) {
        let limit = limit();
        let mut now = Instant::now();
        let mut ledger = PermitLedger::new(now);
        now += PERMIT_QUIET_PERIOD;
        let mut budgets = vec![SendBudget::default(); NODES];
        let mut in_transit = Vec::new();
        let mut sent = Vec::new();
        for step in steps {
            match step {
                Step::Elapse(time) => now += ms(time),
                Step::RequestPermits { node, requested, answer_after } => {
                    let count = ledger.issue("i-1", requested, limit.permits_per_second, now);
                    if let Some(after) = answer_after {
                        in_transit.push((now + ms(after), node, count, now + PERMIT_LIFETIME));
                    }
                }
                Step::Send { node, max_sent } => {
                    for _ in 0..max_sent {
                        if budgets[node].acquire(ColdStatus::Cold, &limit, now).is_some() {
                            sent.push(now);
                        }
                    }
                }
                Step::Restart(node) => {
                    budgets[node] = SendBudget::default();
                    in_transit.retain(|(_, requester, ..)| *requester != node);
                }
                Step::ChangeLeader => ledger = PermitLedger::new(now),
            }
            in_transit.retain(|(at, node, count, until)| {
                if *at <= now {
                    budgets[*node].add_permits(*count, *until);
                }
                *at > now
            });
        }
        prop_assert!(max_in_a_second(&sent) <= limit.permits_per_second as usize);
    }

    /// Without permits one node sends at most its own share in any second, and one request to an
    /// instance in uncertain state. Requests that were not sent do not count.
    #[test]
    fn one_node_sends_its_own_share_without_permits(
        is_uncertain in any::<bool>(),
        steps in prop::collection::vec((0..400u64, any::<bool>(), any::<bool>()), 1..200),
    ) {
        let limit = limit();
        let (cold_status, max_sent) = if is_uncertain {
            (ColdStatus::Uncertain, 1)
        } else {
            (ColdStatus::Warm, limit.rate_without_permits as usize)
        };
        let mut budget = SendBudget::default();
        let mut now = Instant::now();
        let mut sent = Vec::new();
        for (pause, is_chosen_first, is_sent) in steps {
            now += ms(pause);
            if is_chosen_first && budget.has_capacity(cold_status, &limit, now) {
                budget.reserve(now);
            }
            match budget.acquire(cold_status, &limit, now) {
                Some(_) if is_sent => sent.push(now),
                Some(ticket) => budget.release(ticket),
                None => {}
            }
        }
        prop_assert!(max_in_a_second(&sent) <= max_sent);
    }
}
