//! Transfers texts from ended jobs to a later job that repeats their items.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use ladderstage_journal::Peers;
use ladderstage_wire::compression::decompress;
use ladderstage_wire::decode;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{JobSpec, KeptText, KeptTexts, Request, TakeKeptTexts};
use tokio::sync::{mpsc, oneshot};

use super::lock::lock;
use super::registry::JobRegistry;
use super::unfinished::{TextRequest, UnfinishedItems};

/// Time for which a new job waits for texts of earlier jobs. Limits the delay that an unresponsive
/// front can cause. The acceptance of the job takes 40 ms to 80 ms by itself.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Unfinished items of an ended job that wait for a later job of the same model.
pub(super) struct UnfinishedEntry {
    tenant: String,
    model: String,
    step: u64,
    requests: mpsc::UnboundedSender<TextRequest>,
}

impl JobRegistry {
    /// Keeps the unfinished items of an ended job until a later job requests them or they expire.
    pub(super) async fn keep_unfinished(&self, unfinished: UnfinishedItems) {
        let (requests, receiver) = mpsc::unbounded_channel();
        let entry = UnfinishedEntry {
            tenant: unfinished.tenant.clone(),
            model: unfinished.model.clone(),
            step: unfinished.step,
            requests,
        };
        lock(&self.shared.unfinished).push(entry);
        let steps = &self.context.steps;
        let min_version = steps.next_min_version(&unfinished.model, unfinished.min_version);
        unfinished.run_until_requested(min_version, receiver).await;
        lock(&self.shared.unfinished).retain(|entry| !entry.requests.is_closed());
    }

    /// Returns the texts of ended jobs at this node for a job that was accepted at any node.
    pub(super) async fn take_kept_texts(&self, request: TakeKeptTexts) -> KeptTexts {
        let TakeKeptTexts {
            model,
            min_version,
            items,
            train_step,
            tenant,
        } = request;
        self.context.steps.record(&model, train_step, min_version);
        let items: Arc<HashSet<String>> = Arc::new(items.into_iter().collect());
        let mut answers = Vec::new();
        lock(&self.shared.unfinished).retain(|entry| {
            let is_same_trainer = entry.tenant == tenant && entry.model == model;
            let is_for_request = is_same_trainer && entry.step < train_step;
            if is_for_request {
                let (answer, texts) = oneshot::channel();
                let items = Arc::clone(&items);
                let _ = entry.requests.send(TextRequest {
                    min_version,
                    items,
                    answer,
                });
                answers.push(texts);
            }
            !is_for_request
        });
        let mut texts = Vec::new();
        for answer in answers {
            // An entry that has just expired drops the request.
            texts.extend(answer.await.unwrap_or_default());
        }
        KeptTexts { texts }
    }

    /// Requests the texts of ended jobs for a new job from the fronts that may have owned them.
    pub(super) fn collect_kept_texts(&self, spec: &JobSpec) -> BoxFuture<'static, Vec<KeptText>> {
        let request = TakeKeptTexts {
            model: spec.model.clone(),
            min_version: spec.min_version,
            // Trainers put repeated items first, and these are at most half of a job.
            items: possibly_repeated_items(spec).map(str::to_owned).collect(),
            train_step: spec.train_step,
            tenant: spec.tenant.clone(),
        };
        let registry = self.clone();
        Box::pin(async move {
            let mut texts = Vec::new();
            let collecting = registry.collect_from_fronts(request, &mut texts);
            let _ = tokio::time::timeout(COLLECT_TIMEOUT, collecting).await;
            texts
        })
    }

    /// Returns the other fronts that may have owned jobs: the strongest ones, to which the others
    /// forward jobs, and the known owners. The text of another owner is generated again.
    fn possible_owners(&self) -> BTreeSet<String> {
        let nodes = &self.context.nodes;
        let strongest = nodes.takeover_candidates().into_iter();
        let mut fronts: BTreeSet<String> = strongest.map(|front| front.node).collect();
        fronts.extend(
            lock(&self.shared.owners)
                .values()
                .map(|(node, _)| node.clone()),
        );
        fronts.remove(&nodes.own().node);
        fronts
    }

    async fn collect_from_fronts(&self, request: TakeKeptTexts, texts: &mut Vec<KeptText>) {
        let nodes = &self.context.nodes;
        let fronts = self.possible_owners();
        let mut calls: FuturesUnordered<_> = fronts
            .iter()
            .map(|front| {
                let kind = RequestKind::take_kept_texts(request.clone());
                nodes.call(front, Request { kind }, COLLECT_TIMEOUT)
            })
            .collect();
        texts.extend(self.take_kept_texts(request.clone()).await.texts);
        while let Some(answer) = calls.next().await {
            if let Ok(ResponseKind::packed_kept_texts(compressed)) =
                answer.map(|response| response.kind)
            {
                texts.extend(decompress_texts(&compressed));
            }
        }
    }
}

/// Decompresses the texts in another front's answer. Returns no texts if the answer is corrupt,
/// because they can be generated again.
fn decompress_texts(compressed: &[u8]) -> Vec<KeptText> {
    let plain = decompress(compressed).map_err(|error| error.to_string());
    let texts =
        plain.and_then(|plain| decode::<KeptTexts>(&plain).map_err(|error| error.to_string()));
    match texts {
        Ok(kept) => kept.texts,
        Err(cause) => {
            log::warn!("event=kept_texts_invalid cause=\"{cause}\"");
            Vec::new()
        }
    }
}

/// Returns the items that may repeat those of an earlier job.
fn possibly_repeated_items(spec: &JobSpec) -> impl Iterator<Item = &str> {
    let half = spec.items.len().div_ceil(2);
    spec.items[..half].iter().map(|item| item.id.as_str())
}
