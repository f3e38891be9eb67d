//! Weight swaps, one at a time, loaded from the weight store. Streams continue with the held
//! version until a swap is done.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::{Client, StatusCode};

use super::super::lock;
use super::{Engine, Order, SwapFault};

const STORE_RETRY: Duration = Duration::from_millis(50);

/// Executes orders until the engine is dropped. A repeated order retries a failed swap.
pub(super) async fn run(engine: Arc<Engine>) {
    let mut orders = engine.order.subscribe();
    let client = crate::http_client();
    while orders.changed().await.is_ok() {
        let order = orders.borrow_and_update().clone();
        if let Some(order) = order
            && order.weight_version != engine.held_version()
        {
            execute(&engine, &client, &order).await;
        }
    }
}

async fn execute(engine: &Engine, client: &Client, order: &Order) {
    let is_loaded = load(engine, client, order).await;
    tokio::time::sleep(engine.config.swap).await;
    if !is_loaded {
        return;
    }
    let mut state = lock(&engine.state);
    match state.faults.swap {
        SwapFault::None => {
            state.claimed_version = None;
            engine
                .held_version
                .store(order.weight_version, Ordering::SeqCst);
        }
        SwapFault::Fails => {}
        SwapFault::ClaimsDone => state.claimed_version = Some(order.weight_version),
    }
}

/// Loads the weights from the store, waiting while it limits the rate.
async fn load(engine: &Engine, client: &Client, order: &Order) -> bool {
    let Some(store) = &engine.config.weight_store else {
        return true;
    };
    let url = format!(
        "{store}/v1/weights/{}/{}/load",
        order.model, order.weight_version
    );
    loop {
        match client.post(&url).send().await {
            Ok(response) if response.status() == StatusCode::TOO_MANY_REQUESTS => {
                tokio::time::sleep(STORE_RETRY).await;
            }
            Ok(response) => return response.status().is_success(),
            Err(_) => return false,
        }
    }
}
