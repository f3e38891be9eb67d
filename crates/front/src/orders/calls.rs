//! HTTP calls to instances: load reports and load orders.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use ladderstage::region::AllowedRegions;

use crate::backend::{AnswerIdPolicy, Instance, RequestHead, send};
use crate::dialect::{InstanceCall, InstanceReport, SharedCodec};

/// Timeout of one call, including its answer.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum size of an answer in bytes. A report has a few hundred bytes for each model and run.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Client for calls to instances.
pub(crate) struct InstanceCalls {
    pub codec: SharedCodec,
}

impl InstanceCalls {
    /// Requests an instance's report.
    ///
    /// # Errors
    /// When the call fails, the status is not 200 or the report is malformed.
    pub async fn report(&self, instance: &Arc<Instance>) -> Result<InstanceReport, String> {
        let (status, body) = self.call(instance, self.codec.report_call()).await?;
        if status != StatusCode::OK {
            return Err(format!("status {}", status.as_u16()));
        }
        self.codec.read_report(&body)
    }

    /// Makes one call and reads the complete answer.
    ///
    /// # Errors
    /// When the request cannot be built or sent, or the answer exceeds its size limit or
    /// [`CALL_TIMEOUT`].
    pub async fn call(
        &self,
        instance: &Arc<Instance>,
        call: InstanceCall,
    ) -> Result<(StatusCode, Bytes), String> {
        let names = self.codec.headers();
        let id = format!("{:016x}", rand::random::<u64>());
        let attempt_id = HeaderValue::from_str(&id).map_err(|error| error.to_string())?;
        let mut headers = HeaderMap::new();
        let host = instance.address().to_string();
        let host = HeaderValue::from_str(&host).map_err(|error| error.to_string())?;
        headers.insert(http::header::HOST, host);
        headers.insert(names.attempt_id.clone(), attempt_id.clone());
        let expected = HeaderValue::from_str(instance.id()).map_err(|error| error.to_string())?;
        headers.insert(names.expect_instance.clone(), expected);
        if !call.body.is_empty() {
            let json = HeaderValue::from_static("application/json");
            headers.insert(http::header::CONTENT_TYPE, json);
        }
        let head = RequestHead {
            method: call.method,
            uri: call
                .path
                .parse()
                .map_err(|_| "invalid request path".to_owned())?,
            headers,
            allowed: AllowedRegions::default(),
        };
        let exchange = async {
            let sent = send(
                instance,
                names,
                &head,
                &call.body,
                &attempt_id,
                AnswerIdPolicy::Optional,
            )
            .await;
            let reply = sent.map_err(|error| error.to_string())?;
            let answer = reply.read_body(MAX_ANSWER_BYTES).await;
            answer
                .map(|(status, _, body)| (status, body))
                .map_err(|error| error.to_string())
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| "call timed out".to_owned())?
    }
}
