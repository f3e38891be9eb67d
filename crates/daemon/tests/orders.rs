//! Orders to engines to load weight versions, with stand-in engines over HTTP.

mod standin;

use std::sync::{Arc, Mutex};

use ladderstage_daemon::backends::Backends;
use ladderstage_daemon::orders::{OrderDescription, Orders};
use standin::{
    InForce, OnePeer, SharedEngine, bundle, engine, in_force, machine_list, settings, wait_until,
};
use tokio::sync::watch;

const ENGINE: &str = "engine-1";

struct Daemon {
    orders: Orders,
    bundle: watch::Sender<InForce>,
}

/// Starts the only daemon of one engine with an initial bundle.
async fn start(first: InForce) -> (Daemon, SharedEngine) {
    let (engine, address) = engine(ENGINE).await;
    let up = Arc::new(Mutex::new(true));
    let list = machine_list(vec![(ENGINE.to_owned(), address)], up).await;
    let (sender, receiver) = in_force(first);
    let peers = OnePeer::new("a", &["a".to_owned()]);
    let client = ladderstage_platform::control::client();
    let settings = settings("a", list);
    let backends = Backends::start_with(&settings, peers.clone(), receiver.clone(), client.clone());
    let orders = Orders::start_with(peers, receiver, backends, client);
    (
        Daemon {
            orders,
            bundle: sender,
        },
        engine,
    )
}

impl Daemon {
    fn state(&self) -> Option<OrderDescription> {
        self.orders.describe().pop()
    }

    async fn wait_for(&self, state: &str) -> OrderDescription {
        wait_until(state, || {
            self.state().is_some_and(|order| order.state == state)
        })
        .await;
        self.state().expect("described")
    }
}

#[tokio::test]
async fn engines_follow_each_bundle() {
    let (daemon, engine) = start(bundle(1, 1, &[ENGINE])).await;
    let order = daemon.wait_for("done").await;
    assert_eq!(
        (order.wanted, order.reported, order.attempts),
        (1, Some(1), 0)
    );
    assert_eq!(engine.lock().unwrap().orders_seen, 0);
    daemon.bundle.send_replace(bundle(2, 5, &[ENGINE]));
    wait_until("version 5 is reported", || {
        let order = daemon.state().expect("described");
        order.state == "done" && order.reported == Some(5)
    })
    .await;
    assert_eq!(engine.lock().unwrap().highest_fence, 2);
}

#[tokio::test]
async fn an_engine_that_accepts_an_order_without_swapping_is_ordered_again() {
    let (daemon, engine) = start(None).await;
    engine.lock().unwrap().applies_orders = false;
    daemon.bundle.send_replace(bundle(1, 2, &[ENGINE]));
    wait_until("the engine was ordered again", || {
        engine.lock().unwrap().orders_seen >= 2
    })
    .await;
    let order = daemon.state().expect("described");
    assert_ne!(order.state, "done");
    assert_eq!(order.reported, Some(1));
    engine.lock().unwrap().applies_orders = true;
    assert_eq!(daemon.wait_for("done").await.reported, Some(2));
}

#[tokio::test]
async fn a_failed_swap_is_retried() {
    let (daemon, engine) = start(None).await;
    engine.lock().unwrap().failures_left = 2;
    daemon.bundle.send_replace(bundle(1, 2, &[ENGINE]));
    wait_until("the third attempt is done", || {
        let order = daemon.state();
        order.is_some_and(|order| order.state == "done" && order.attempts == 3)
    })
    .await;
    assert_eq!(engine.lock().unwrap().orders_seen, 3);
}

#[tokio::test]
async fn an_order_of_an_older_bundle_is_stopped_by_the_engines_fence() {
    let (daemon, engine) = start(None).await;
    engine.lock().unwrap().highest_fence = 9;
    daemon.bundle.send_replace(bundle(2, 2, &[ENGINE]));
    let order = daemon.wait_for("superseded by a newer bundle").await;
    assert_eq!((order.reported, order.attempts), (Some(1), 1));
    daemon.bundle.send_replace(bundle(10, 3, &[ENGINE]));
    assert_eq!(daemon.wait_for("done").await.reported, Some(3));
}
