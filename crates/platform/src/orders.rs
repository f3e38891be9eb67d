//! Sends fenced orders to engines.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};

use crate::control::{self, ControlError};

/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Order to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderRequest {
    /// Fence; engines reject orders whose fence is below the highest one that they have seen.
    pub fence: u64,
    /// Model to load.
    pub model: String,
    /// Weight version to load.
    pub weight_version: u64,
}

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted the order. Its load report shows when the version is loaded.
    Accepted,
    /// The engine has seen a higher fence and rejected the order.
    Fenced {
        /// Highest fence that the engine has seen.
        fence: u64,
    },
}

#[derive(Deserialize)]
struct FenceBody {
    fence: u64,
}

/// Sends an order without retries.
pub async fn send_order(
    client: &Client,
    address: SocketAddr,
    order: &OrderRequest,
    timeout: Duration,
) -> Result<OrderAnswer, ControlError> {
    let request = client
        .post(format!("http://{address}/v1/orders"))
        .json(order);
    let response = control::send(request, timeout).await?;
    match response.status() {
        StatusCode::ACCEPTED => Ok(OrderAnswer::Accepted),
        StatusCode::CONFLICT => {
            let body = control::read_body(response, MAX_ANSWER_BYTES).await?;
            let body: FenceBody = serde_json::from_slice(&body)
                .map_err(|error| ControlError::Malformed(error.to_string()))?;
            Ok(OrderAnswer::Fenced { fence: body.fence })
        }
        status => Err(ControlError::Status(status.as_u16())),
    }
}
