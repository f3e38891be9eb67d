//! The holder's part of ordering capacity, before a store in memory and a receiver that fails.

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
const WANTED: &str = "ladderstage/capacity/wanted";

/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(30);

/// Some looks of a holder.
const SOME_LOOKS: Duration = Duration::from_millis(1_200);

/// Takes orders, or fails those of some zones.
#[derive(Default)]
struct Receiver {
    orders: Mutex<Vec<(CapacityOrder, &'static str)>>,
    /// What becomes of the next orders.
    failures: Mutex<VecDeque<CapacityOrderError>>,
    /// Zones in which none can be had.
    empty_zones: BTreeSet<&'static str>,
    /// No order is answered.
    is_silent: bool,
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

    /// The order for a zone that was taken last.
    fn taken(&self, zone: &str) -> Option<CapacityOrder> {
        let orders = self.orders().into_iter().rev();
        let mut taken = orders.filter(|(_, outcome)| *outcome == "taken");
        taken
            .find(|(order, _)| order.pool.zone.as_ref() == zone)
            .map(|(order, _)| order)
    }

    fn outcome(&self, order: &CapacityOrder) -> Result<(), CapacityOrderError> {
        if let Some(failure) = self.failures.lock().unwrap().pop_front() {
            return Err(failure);
        }
        if self.empty_zones.contains(order.pool.zone.as_ref()) {
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
            if self.is_silent {
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

/// One node with a fleet of two instances in each of three zones, the store as it sees it, and a receiver.
struct Node {
    duty: CapacityController,
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
        let duty = CapacityController {
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
            duty,
            lease,
            receiver,
        }
    }

    /// Holds the lease until something was seen, and then ends like a process that is killed.
    async fn hold_until<T>(&self, seen: impl Future<Output = T>) -> T {
        let held = loop {
            if let Some(held) = self.lease.acquire().await.unwrap() {
                break held;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        tokio::select! {
            seen = tokio::time::timeout(PATIENCE, seen) => seen.expect("seen in time"),
            loss = self.lease.renew_until_lost(&held) => panic!("the lease is lost: {loss}"),
            () = self.duty.run(&self.lease, &held) => panic!("the duty ended"),
        }
    }

    fn drain(&self, zone: &str) {
        let gates = self.duty.backends.gates();
        gates.drained.set(BTreeSet::from([zone.into()]));
    }
}

async fn eventually<T>(look: impl Fn() -> Option<T>) -> T {
    loop {
        if let Some(found) = look() {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn fixed(store: &MemoryStore) -> Option<String> {
    let value = store.read(WANTED)?;
    Some(String::from_utf8(value).unwrap())
}

#[tokio::test]
async fn what_a_drained_zone_had_is_ordered_in_the_others() {
    let store = MemoryStore::default();
    let node = Node::new("one", &store, Receiver::default());
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    let order = node.hold_until(eventually(|| receiver.taken("a"))).await;
    assert_eq!(order.pool.kind, InstanceKind::Preemptible);
    assert_eq!((order.desired, order.holder.as_str()), (1, "one"));
    let other = node.hold_until(eventually(|| receiver.taken("c"))).await;
    assert_eq!(other.desired, 1);
    assert!(receiver.taken("b").is_none());
}

#[tokio::test]
async fn what_one_holder_fixed_and_did_not_send_the_next_one_sends_under_a_higher_fence() {
    let store = MemoryStore::default();
    let silent = Receiver {
        is_silent: true,
        ..Receiver::default()
    };
    let first = Node::new("one", &store, silent);
    first.drain("b");
    first
        .hold_until(eventually(|| first.receiver.orders().pop()))
        .await;
    let before = fixed(&store).unwrap();
    let second = Node::new("two", &store, Receiver::default());
    second.drain("b");
    let order = second
        .hold_until(eventually(|| second.receiver.taken("a")))
        .await;
    let earlier = first.receiver.orders();
    assert!(
        earlier
            .iter()
            .all(|(earlier, _)| earlier.fence < order.fence)
    );
    assert!(earlier.iter().any(|(earlier, _)| {
        earlier.pool == order.pool && earlier.desired == order.desired
    }));
    assert_eq!(
        fixed(&store).unwrap(),
        before,
        "nothing was to be fixed anew"
    );
}

#[tokio::test]
async fn an_order_whose_answer_was_lost_is_sent_again_with_the_same_count() {
    let store = MemoryStore::default();
    let lost = || CapacityOrderError::Unknown("no answer".to_owned());
    let refused = CapacityOrderError::Refused("status 429".to_owned());
    let node = Node::new("one", &store, Receiver::of([lost(), lost(), refused]));
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    node.hold_until(eventually(|| receiver.taken("a").zip(receiver.taken("c"))))
        .await;
    let orders = receiver.orders();
    assert!(orders.len() >= 5, "{orders:?}");
    assert!(orders.iter().all(|(order, _)| order.desired == 1));
}

#[tokio::test]
async fn a_zone_with_none_to_be_had_is_passed_by() {
    let store = MemoryStore::default();
    let empty = Receiver {
        empty_zones: BTreeSet::from(["a"]),
        ..Receiver::default()
    };
    let node = Node::new("one", &store, empty);
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    let moved = || receiver.taken("c").filter(|order| order.desired == 2);
    node.hold_until(eventually(moved)).await;
}

#[tokio::test]
async fn nothing_is_ordered_that_the_store_did_not_take() {
    let store = MemoryStore::default();
    let node = Node::new("one", &store, Receiver::default());
    let receiver = Arc::clone(&node.receiver);
    let is_found = || fixed(&store).filter(|text| text.contains("\"found\":2"));
    node.hold_until(async {
        eventually(is_found).await;
        // The lease is renewed; only this record cannot be written.
        store.set_faults(
            "one",
            NodeFaults {
                refused_prefixes: BTreeSet::from([WANTED.to_owned()]),
                ..NodeFaults::default()
            },
        );
        node.drain("b");
        tokio::time::sleep(SOME_LOOKS).await;
        assert!(receiver.orders().is_empty());
        store.set_faults("one", NodeFaults::default());
        eventually(|| receiver.taken("a")).await;
    })
    .await;
    assert!(fixed(&store).unwrap().contains("\"extra\":1"));
}

#[tokio::test]
async fn a_swap_without_an_answer_is_read_again_before_anything_is_sent() {
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
        eventually(|| receiver.taken("a")).await
    };
    let order = node.hold_until(seen).await;
    let wanted = fixed(&store).unwrap();
    assert!(wanted.contains("\"extra\":1"), "{wanted}");
    assert_eq!(order.desired, 1);
    assert!(store.calls("one", "get", WANTED) >= 2);
}

#[tokio::test]
async fn an_old_listing_orders_nothing() {
    let store = MemoryStore::default();
    let node = Node::new("one", &store, Receiver::default());
    node.duty.view.mark_unavailable();
    node.drain("b");
    let receiver = Arc::clone(&node.receiver);
    node.hold_until(async {
        eventually(|| (store.calls("one", "get", WANTED) > 0).then_some(())).await;
        // Longer than counts must be known before they are used.
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert!(receiver.orders().is_empty());
        assert_eq!(fixed(&store), None);
        node.duty.view.set_known(2);
        eventually(|| receiver.taken("a")).await;
    })
    .await;
}

#[tokio::test]
async fn a_new_holder_waits_for_its_turn_although_the_last_one_told_its_end() {
    let store = MemoryStore::default();
    let first = Node::new("one", &store, Receiver::default());
    first.drain("b");
    first
        .hold_until(eventually(|| first.receiver.taken("a")))
        .await;
    let mut second = Node::new("two", &store, Receiver::default());
    second.duty.quiet_period = Duration::from_secs(3_600);
    second.drain("c");
    let before = fixed(&store);
    second
        .hold_until(async {
            // What is lost is written down meanwhile.
            eventually(|| (fixed(&store) != before).then_some(())).await;
            tokio::time::sleep(SOME_LOOKS).await;
        })
        .await;
    assert!(second.receiver.orders().is_empty());
}

#[tokio::test]
async fn without_bounds_the_store_is_not_called() {
    let store = MemoryStore::default();
    let mut node = Node::new("one", &store, Receiver::default());
    node.duty.config = config(false);
    node.drain("b");
    node.hold_until(tokio::time::sleep(SOME_LOOKS)).await;
    assert_eq!(store.calls("one", "get", WANTED), 0);
    assert!(node.receiver.orders().is_empty());
}
