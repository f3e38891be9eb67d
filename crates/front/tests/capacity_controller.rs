//! Tests the capacity controller against an in-memory store and a receiver that fails on demand.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_front::backend::{BackendTable, DiscoveredInstance};
use ladderstage_front::capacity::{
    CapacityController, CapacityOrder, CapacityOrderError, CapacitySink, InstanceKind,
};
use ladderstage_front::config::{CurrentConfig, ScalingSpec, ServiceSpec, ServingConfig};
use ladderstage_front::metrics::Metrics;
use ladderstage_front::orders::OrdersLease;
use ladderstage_front::roster::DiscoveryView;
use support::memory_store::{MemoryStore, NodeFaults};

const SERVICE: &str = "model";
const ZONES: [&str; 3] = ["a", "b", "c"];
const DESIRED_CAPACITY_KEY: &str = "ladderstage/capacity/wanted";

/// Timeout for events that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Duration of several checks of the fleet.
const SEVERAL_CHECKS: Duration = Duration::from_millis(1_200);

/// Capacity sink that accepts orders, or fails them as configured.
#[derive(Default)]
struct Receiver {
    orders: Mutex<Vec<(CapacityOrder, &'static str)>>,
    /// Outcomes of the next orders.
    failures: Mutex<VecDeque<CapacityOrderError>>,
    /// Zones without available capacity.
    unavailable_zones: BTreeSet<&'static str>,
    /// Whether orders are recorded, but never answered.
    never_answers: bool,
}

impl Receiver {
    fn of(failures: impl IntoIterator<Item = CapacityOrderError>) -> Self {
        Self {
            failures: Mutex::new(failures.into_iter().collect()),
            ..Self::default()
        }
    }

    fn orders(&self) -> Vec<(CapacityOrder, &'static str)> {
        self.orders.lock().unwrap().clone()
    }

    /// Returns the latest accepted order for a zone.
    fn accepted(&self, zone: &str) -> Option<CapacityOrder> {
        let orders = self.orders().into_iter().rev();
        let mut accepted = orders.filter(|(_, outcome)| *outcome == "taken");
        accepted
            .find(|(order, _)| order.pool.zone.as_ref() == zone)
            .map(|(order, _)| order)
    }

    fn outcome(&self, order: &CapacityOrder) -> Result<(), CapacityOrderError> {
        if let Some(failure) = self.failures.lock().unwrap().pop_front() {
            return Err(failure);
        }
        if self.unavailable_zones.contains(order.pool.zone.as_ref()) {
            return Err(CapacityOrderError::Unavailable);
        }
        Ok(())
    }
}

impl CapacitySink for Receiver {
    fn order<'a>(
        &'a self,
        order: &'a CapacityOrder,
    ) -> BoxFuture<'a, Result<(), CapacityOrderError>> {
        Box::pin(async move {
            let outcome = self.outcome(order);
            let label = outcome
                .as_ref()
                .map_or_else(|error| error.label(), |()| "taken");
            self.orders.lock().unwrap().push((order.clone(), label));
            if self.never_answers {
                std::future::pending::<()>().await;
            }
            outcome
        })
    }
}

fn instance(zone: &str, index: usize) -> DiscoveredInstance {
    DiscoveredInstance {
        id: format!("{zone}-{index}"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.to_owned(),
        is_ready: true,
        slots: 6,
        started_unix_ms: 0,
        cold_ms: 0,
        is_preemptible: false,
        leaves_ms: None,
        versions: BTreeMap::new(),
    }
}

fn config(has_bounds: bool) -> CurrentConfig {
    let scaling = ScalingSpec {
        min_per_zone: 1,
        max_per_zone: 8,
        boot_time: Duration::from_secs(4),
        preemptible_price: Some(0.2),
        zone_prices: BTreeMap::new(),
    };
    let service = ServiceSpec {
        scaling: has_bounds.then_some(scaling),
        ..ServiceSpec::default()
    };
    let config = CurrentConfig::default();
    config.apply_if_newer(ServingConfig {
        version: 1,
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
        ..ServingConfig::default()
    });
    config
}

/// Node with a fleet of two instances in each of three zones, its view of the store, and a
/// receiver.
struct Node {
    controller: CapacityController,
    lease: OrdersLease,
    receiver: Arc<Receiver>,
}

impl Node {
    fn new(name: &str, store: &MemoryStore, receiver: Receiver) -> Self {
        let coordination = Arc::new(store.of(name));
        let receiver = Arc::new(receiver);
        let backends = BackendTable::new("a");
        for zone in ZONES {
            (0..2).for_each(|index| backends.upsert(instance(zone, index)));
        }
        let view = DiscoveryView::default();
        view.set_known(1);
        let controller = CapacityController {
            coordination: coordination.clone(),
            node: name.to_owned(),
            backends,
            view,
            config: config(true),
            sink: receiver.clone(),
            quiet_period: Duration::ZERO,
            metrics: Arc::new(Metrics::new()),
        };
        let lease = OrdersLease {
            coordination,
            node: name.to_owned(),
            quiet_period: Duration::ZERO,
        };
        Self {
            controller,
            lease,
            receiver,
        }
    }

    /// Holds the lease until `seen` resolves, and then stops without a release, like a killed
    /// process.
    async fn hold_until<T>(&self, seen: impl Future<Output = T>) -> T {
        let held = loop {
            if let Some(held) = self.lease.acquire().await.unwrap() {
                break held;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        tokio::select! {
            seen = tokio::time::timeout(EVENT_TIMEOUT, seen) => seen.expect("the expected event within the timeout"),
            loss = self.lease.renew_until_lost(&held) => panic!("lease lost: {loss}"),
            () = self.controller.run(&self.lease, &held) => panic!("the controller stopped"),
        }
    }

    fn drain(&self, zone: &str) {
        let gates = self.controller.backends.gates();
        gates.drained.set(BTreeSet::from([zone.into()]));
    }
}

async fn eventually<T>(probe: impl Fn() -> Option<T>) -> T {
    loop {
        if let Some(found) = probe() {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn persisted(store: &MemoryStore) -> Option<String> {
    let value = store.read(DESIRED_CAPACITY_KEY)?;
    Some(String::from_utf8(value).unwrap())
}

#[tokio::test]
async fn instances_of_a_drained_zone_are_ordered_in_other_zones() {
    let store = MemoryStore::default();
    let node = Node::new("one", &store, Receiver::default());
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    let order = node.hold_until(eventually(|| receiver.accepted("a"))).await;
    assert_eq!(order.pool.kind, InstanceKind::Preemptible);
    assert_eq!((order.desired, order.holder.as_str()), (1, "one"));
    let other = node.hold_until(eventually(|| receiver.accepted("c"))).await;
    assert_eq!(other.desired, 1);
    assert!(receiver.accepted("b").is_none());
}

#[tokio::test]
async fn a_new_holder_sends_persisted_orders_with_a_higher_fence() {
    let store = MemoryStore::default();
    let silent = Receiver {
        never_answers: true,
        ..Receiver::default()
    };
    let first = Node::new("one", &store, silent);
    first.drain("b");
    first
        .hold_until(eventually(|| first.receiver.orders().pop()))
        .await;
    let before = persisted(&store).unwrap();
    let second = Node::new("two", &store, Receiver::default());
    second.drain("b");
    let order = second
        .hold_until(eventually(|| second.receiver.accepted("a")))
        .await;
    let earlier = first.receiver.orders();
    assert!(
        earlier
            .iter()
            .all(|(earlier, _)| earlier.fence < order.fence)
    );
    assert!(
        earlier
            .iter()
            .any(|(earlier, _)| { earlier.pool == order.pool && earlier.desired == order.desired })
    );
    assert_eq!(
        persisted(&store).unwrap(),
        before,
        "the persisted capacity is unchanged"
    );
}

#[tokio::test]
async fn an_order_whose_answer_was_lost_is_sent_again_with_the_same_count() {
    let store = MemoryStore::default();
    let lost = || CapacityOrderError::Unknown("no answer".to_owned());
    let refused = CapacityOrderError::Rejected("status 429".to_owned());
    let node = Node::new("one", &store, Receiver::of([lost(), lost(), refused]));
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    node.hold_until(eventually(|| {
        receiver.accepted("a").zip(receiver.accepted("c"))
    }))
    .await;
    let orders = receiver.orders();
    assert!(orders.len() >= 5, "{orders:?}");
    assert!(orders.iter().all(|(order, _)| order.desired == 1));
}

#[tokio::test]
async fn a_zone_without_available_capacity_is_skipped() {
    let store = MemoryStore::default();
    let empty = Receiver {
        unavailable_zones: BTreeSet::from(["a"]),
        ..Receiver::default()
    };
    let node = Node::new("one", &store, empty);
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    let moved = || receiver.accepted("c").filter(|order| order.desired == 2);
    node.hold_until(eventually(moved)).await;
}

#[tokio::test]
async fn orders_are_sent_only_after_they_are_persisted() {
    let store = MemoryStore::default();
    let node = Node::new("one", &store, Receiver::default());
    let receiver = Arc::clone(&node.receiver);
    let is_found = || persisted(&store).filter(|text| text.contains("\"found\":2"));
    node.hold_until(async {
        eventually(is_found).await;
        // The lease can be renewed; only this record cannot be written.
        store.set_faults(
            "one",
            NodeFaults {
                rejected_keys: BTreeSet::from([DESIRED_CAPACITY_KEY.to_owned()]),
                ..NodeFaults::default()
            },
        );
        node.drain("b");
        tokio::time::sleep(SEVERAL_CHECKS).await;
        assert!(receiver.orders().is_empty());
        store.set_faults("one", NodeFaults::default());
        eventually(|| receiver.accepted("a")).await;
    })
    .await;
    assert!(persisted(&store).unwrap().contains("\"extra\":1"));
}

#[tokio::test]
async fn a_swap_with_unknown_outcome_is_read_back_before_orders_are_sent() {
    let store = MemoryStore::default();
    let node = Node::new("one", &store, Receiver::default());
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    let seen = async {
        store.set_faults(
            "one",
            NodeFaults {
                delayed_swap: Some(Duration::ZERO),
                ..NodeFaults::default()
            },
        );
        eventually(|| receiver.accepted("a")).await
    };
    let order = node.hold_until(seen).await;
    let stored = persisted(&store).unwrap();
    assert!(stored.contains("\"extra\":1"), "{stored}");
    assert_eq!(order.desired, 1);
    assert!(store.calls("one", "get", DESIRED_CAPACITY_KEY) >= 2);
}

#[tokio::test]
async fn no_orders_are_sent_while_the_instance_list_is_outdated() {
    let store = MemoryStore::default();
    let node = Node::new("one", &store, Receiver::default());
    node.controller.view.mark_unavailable();
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    node.hold_until(async {
        eventually(|| (store.calls("one", "get", DESIRED_CAPACITY_KEY) > 0).then_some(())).await;
        // Exceeds every grace period of the planner.
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert!(receiver.orders().is_empty());
        assert_eq!(persisted(&store), None);
        node.controller.view.set_known(2);
        eventually(|| receiver.accepted("a")).await;
    })
    .await;
}

#[tokio::test]
async fn an_announced_end_does_not_shorten_the_quiet_period_of_capacity_orders() {
    let store = MemoryStore::default();
    let first = Node::new("one", &store, Receiver::default());
    first.drain("b");
    first
        .hold_until(eventually(|| first.receiver.accepted("a")))
        .await;
    let mut second = Node::new("two", &store, Receiver::default());
    second.controller.quiet_period = Duration::from_secs(3_600);
    second.drain("c");
    let before = persisted(&store);
    second
        .hold_until(async {
            // Losses are persisted during the quiet period.
            eventually(|| (persisted(&store) != before).then_some(())).await;
            tokio::time::sleep(SEVERAL_CHECKS).await;
        })
        .await;
    assert!(second.receiver.orders().is_empty());
}

#[tokio::test]
async fn the_store_is_not_called_without_scaling_bounds() {
    let store = MemoryStore::default();
    let mut node = Node::new("one", &store, Receiver::default());
    node.controller.config = config(false);
    node.drain("b");
    node.hold_until(tokio::time::sleep(SEVERAL_CHECKS)).await;
    assert_eq!(store.calls("one", "get", DESIRED_CAPACITY_KEY), 0);
    assert!(node.receiver.orders().is_empty());
}
