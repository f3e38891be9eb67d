//! Client of the weight store, which lists the existing weight versions.

use std::collections::BTreeSet;
use std::time::Duration;

use reqwest::Client;
use serde::Deserialize;

use crate::control::{self, ControlError};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Client of the weight store. Cheap to clone.
#[derive(Debug, Clone)]
pub struct WeightStore {
    client: Client,
    base_url: String,
}

#[derive(Deserialize)]
struct VersionsBody {
    versions: BTreeSet<u64>,
}

impl WeightStore {
    /// Creates a client of the weight store at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: control::client(),
            base_url: base_url.trim_end_matches('/').to_owned(),
        }
    }

    /// Returns all weight versions of a model in the store.
    pub async fn versions(&self, model: &str) -> Result<BTreeSet<u64>, ControlError> {
        let request = self
            .client
            .get(format!("{}/v1/weights/{model}", self.base_url));
        let body: VersionsBody = control::read_json(request, TIMEOUT, MAX_ANSWER_BYTES).await?;
        Ok(body.versions)
    }
}
