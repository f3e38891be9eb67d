//! Calls to instances themselves: reports and orders.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use ladderstage::region::AllowedRegions;

use crate::backend::{AnswerIdPolicy, Instance, RequestHead, send};
use crate::dialect::{InstanceCall, InstanceReport, SharedCodec};

/// Longest wait for an answer.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(600);

/// Largest answer that is read.
const ANSWER_LIMIT: usize = 1 << 20;

/// Calls instances.
pub(super) struct InstanceCalls {
    pub codec: SharedCodec,
}

impl InstanceCalls {
    /// Asks an instance for its report.
    pub async fn report(&self, instance: &Arc<Instance>) -> Result<InstanceReport, String> {
        let (status, body) = self.call(instance, self.codec.report_call()).await?;
        if status != StatusCode::OK {
            return Err(format!("status {}", status.as_u16()));
        }
        self.codec.read_report(&body)
    }

    /// Makes one call and reads its whole answer.
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
            uri: call.path.parse().map_err(|_| "path".to_owned())?,
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
            let whole = reply.read_body(ANSWER_LIMIT).await;
            whole
                .map(|(status, _, body)| (status, body))
                .map_err(|error| error.to_string())
        };
        tokio::time::timeout(CALL_LIMIT, exchange)
            .await
            .map_err(|_| "no answer in time".to_owned())?
    }
}
