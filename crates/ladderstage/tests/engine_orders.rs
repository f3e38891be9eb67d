//! Orders to engines: contents, retries, fences and waves.

use std::collections::BTreeSet;
use std::time::Duration;

use ladderstage::bundle::Bundle;
use ladderstage::engine_orders::{
    Action, Attempt, AttemptOutcome, EngineView, Order, WAVE_TIMEOUT, next_action,
    order_sender_rank, orders, wave,
};
use proptest::prelude::*;

const BUNDLE: &str = r#"
revision = 7
[[pool]]
name = "lm"
kind = "model"
backends = ["e1", "e2", "e3", "e4", "e5", "e6"]
weight_version = 3
concurrency = 4
[[pool]]
name = "quotes"
kind = "application"
backends = ["p1"]
concurrency = 4
"#;

fn bundle() -> Bundle {
    toml::from_str(BUNDLE).expect("valid bundle")
}

fn view(weight_version: u64, idle: bool) -> EngineView {
    EngineView {
        process: 1,
        weight_version,
        idle,
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn orders_follow_from_the_bundle_alone() {
    let orders = orders(&bundle());
    assert_eq!(orders.len(), 6);
    let first = Order {
        backend: "e1".to_owned(),
        model: "lm".to_owned(),
        weight_version: 3,
        fence: 7,
    };
    assert_eq!(orders[0], first);
}

#[test]
fn an_order_is_repeated_until_the_engine_reports_the_version() {
    let order = &orders(&bundle())[0];
    let accepted = Attempt::record(order, 1, None, AttemptOutcome::Accepted, secs(10), 0.5);
    let act = |engine, last, now| next_action(order, engine, true, last, now);
    assert_eq!(act(None, None, secs(10)), Action::Unreported);
    assert_eq!(act(Some(view(2, false)), None, secs(10)), Action::Send);
    let wait = Action::Wait { until: secs(11) };
    assert_eq!(act(Some(view(2, false)), Some(&accepted), secs(10)), wait);
    assert_eq!(
        act(Some(view(2, false)), Some(&accepted), secs(11)),
        Action::Send
    );
    assert_eq!(
        act(Some(view(3, false)), Some(&accepted), secs(11)),
        Action::Done
    );
    // A new process has not received the order.
    let restarted = EngineView {
        process: 2,
        ..view(2, false)
    };
    assert_eq!(
        act(Some(restarted), Some(&accepted), secs(10)),
        Action::Send
    );
    let again = Attempt::record(
        order,
        1,
        Some(&accepted),
        AttemptOutcome::Failed,
        secs(20),
        0.5,
    );
    assert_eq!((again.count, again.retry_at), (2, secs(22)));
}

#[test]
fn a_newer_fence_supersedes_an_order() {
    let order = &orders(&bundle())[0];
    let outcome = AttemptOutcome::Fenced { fence: 8 };
    let fenced = Attempt::record(order, 1, None, outcome, secs(1), 0.5);
    let engine = Some(view(4, true));
    assert_eq!(
        next_action(order, engine, true, Some(&fenced), secs(99)),
        Action::Superseded
    );
    let newer = Order {
        fence: 8,
        weight_version: 5,
        ..order.clone()
    };
    assert_eq!(
        next_action(&newer, engine, true, Some(&fenced), secs(1)),
        Action::Send
    );
}

#[test]
fn waves_select_a_share_skip_engines_without_reports_and_widen() {
    let orders = orders(&bundle());
    let busy = |_: &str| Some(view(2, false));
    assert_eq!(wave(&orders, busy, secs(0)), BTreeSet::from(["e1", "e2"]));
    assert_eq!(
        wave(&orders, busy, WAVE_TIMEOUT),
        BTreeSet::from(["e1", "e2", "e3", "e4"])
    );
    let mixed = |name: &str| match name {
        "e1" => None,
        "e2" => Some(view(3, false)),
        "e6" => Some(view(2, true)),
        _ => Some(view(2, false)),
    };
    assert_eq!(
        wave(&orders, mixed, secs(0)),
        BTreeSet::from(["e3", "e4", "e6"])
    );
}

#[test]
fn each_engine_has_two_order_senders() {
    let members: Vec<String> = (0..5).map(|index| format!("d{index}")).collect();
    let ranks = members
        .iter()
        .filter_map(|own| order_sender_rank("e1", own, &members));
    assert_eq!(ranks.collect::<BTreeSet<_>>(), BTreeSet::from([0, 1]));
    assert_eq!(order_sender_rank("e1", "d0", &["d0".to_owned()]), Some(0));
}

/// An engine that obeys fences. Swaps may fail, and a restart resets the fence.
#[derive(Default)]
struct Engine {
    process: u64,
    weight_version: u64,
    fence: u64,
}

impl Engine {
    fn apply(&mut self, order: &Order, swap_works: bool) -> AttemptOutcome {
        if order.fence < self.fence {
            return AttemptOutcome::Fenced { fence: self.fence };
        }
        self.fence = order.fence;
        if swap_works {
            self.weight_version = order.weight_version;
        }
        AttemptOutcome::Accepted
    }
}

/// A daemon that sends the engine's orders under the bundle that it knows.
#[derive(Default)]
struct OrderSender {
    revision: u64,
    last: Option<Attempt>,
}

impl OrderSender {
    fn act(&mut self, engine: &mut Engine, now: Duration, swap_works: bool) {
        let known = Bundle {
            revision: self.revision,
            ..bundle()
        };
        let mut order = orders(&known).remove(0);
        order.weight_version = 100 + self.revision;
        let view = EngineView {
            process: engine.process,
            weight_version: engine.weight_version,
            idle: true,
        };
        if next_action(&order, Some(view), true, self.last.as_ref(), now) == Action::Send {
            let outcome = engine.apply(&order, swap_works);
            let last = self.last.as_ref();
            self.last = Some(Attempt::record(
                &order,
                engine.process,
                last,
                outcome,
                now,
                0.5,
            ));
        }
    }
}

proptest! {
    /// Two senders learn of bundles at different times, while swaps fail and engines restart. Once
    /// both know the newest bundle, the engine must hold its version permanently.
    #[test]
    fn disagreeing_order_senders_converge_on_the_newest_bundle(
        events in prop::collection::vec((0..2_usize, 0..6_u64, prop::bool::ANY, 0..8_u8), 0..40),
    ) {
        let mut engine = Engine { process: 1, ..Engine::default() };
        let mut senders = [OrderSender::default(), OrderSender::default()];
        let mut now = Duration::ZERO;
        for (sender_index, revision, swap_works, kind) in events {
            now += Duration::from_millis(700);
            senders[sender_index].revision = senders[sender_index].revision.max(revision);
            if kind == 0 {
                engine = Engine { process: engine.process + 1, ..Engine::default() };
            }
            senders[sender_index].act(&mut engine, now, swap_works);
        }
        for sender in &mut senders {
            sender.revision = 6;
        }
        for round in 0..4 {
            now += secs(60);
            senders[round % 2].act(&mut engine, now, true);
            prop_assert_eq!(engine.weight_version, 106);
        }
    }
}
