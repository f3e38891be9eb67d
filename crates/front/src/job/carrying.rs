//! Texts on their way from ended jobs to a later one that has their items again.

use std::collections::HashSet;
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

use super::leftover::{Leftover, TakeTexts};
use super::lock::lock;
use super::registry::JobRegistry;

/// How long a new job waits for texts of earlier ones. Its own acceptance takes 40 ms to 80 ms; a front that does not answer
/// must not hold the job up for longer.
const GATHER_LIMIT: Duration = Duration::from_millis(120);

/// What waits for a later job of its model.
pub(super) struct LeftoverEntry {
    tenant: String,
    model: String,
    step: u64,
    takers: mpsc::UnboundedSender<TakeTexts>,
}

impl JobRegistry {
    /// Keeps what an ended job left behind until a later job takes it or its time is over.
    pub(super) async fn keep_leftover(&self, leftover: Leftover) {
        let (takers, receiver) = mpsc::unbounded_channel();
        let entry = LeftoverEntry {
            tenant: leftover.tenant.clone(),
            model: leftover.model.clone(),
            step: leftover.step,
            takers,
        };
        lock(&self.shared.leftovers).push(entry);
        let steps = &self.context.steps;
        let min_version = steps.next_min_version(&leftover.model, leftover.min_version);
        leftover.linger(min_version, receiver).await;
        lock(&self.shared.leftovers).retain(|entry| !entry.takers.is_closed());
    }

    /// The texts that earlier jobs left behind here for a job that was accepted somewhere.
    pub(super) async fn take_kept_texts(&self, request: TakeKeptTexts) -> KeptTexts {
        let TakeKeptTexts {
            model,
            min_version,
            items,
            train_step,
            tenant,
        } = request;
        self.context.steps.note(&model, train_step, min_version);
        let items: Arc<HashSet<String>> = Arc::new(items.into_iter().collect());
        let mut answers = Vec::new();
        lock(&self.shared.leftovers).retain(|entry| {
            let is_of_trainer = entry.tenant == tenant && entry.model == model;
            let is_for_it = is_of_trainer && entry.step < train_step;
            if is_for_it {
                let (answer, texts) = oneshot::channel();
                let items = Arc::clone(&items);
                let _ = entry.takers.send(TakeTexts {
                    min_version,
                    items,
                    answer,
                });
                answers.push(texts);
            }
            !is_for_it
        });
        let mut texts = Vec::new();
        for answer in answers {
            // An entry whose time was just over answers nothing.
            texts.extend(answer.await.unwrap_or_default());
        }
        KeptTexts { texts }
    }

    /// Asks all fronts for the texts that earlier jobs left behind for a new one.
    pub(super) fn gather_kept_texts(&self, spec: &JobSpec) -> BoxFuture<'static, Vec<KeptText>> {
        let request = TakeKeptTexts {
            model: spec.model.clone(),
            min_version: spec.min_version,
            // The trainer puts what comes back first, and it is half of the job at most.
            items: carried_part(spec).map(str::to_owned).collect(),
            train_step: spec.train_step,
            tenant: spec.tenant.clone(),
        };
        let registry = self.clone();
        Box::pin(async move {
            let mut texts = Vec::new();
            let gathering = registry.gather(request, &mut texts);
            let _ = tokio::time::timeout(GATHER_LIMIT, gathering).await;
            texts
        })
    }

    async fn gather(&self, request: TakeKeptTexts, texts: &mut Vec<KeptText>) {
        let nodes = &self.context.nodes;
        let own = nodes.own().node;
        let mut fronts = nodes.successors();
        fronts.retain(|front| front.node != own);
        let mut calls: FuturesUnordered<_> = fronts
            .iter()
            .map(|front| {
                let kind = RequestKind::take_kept_texts(request.clone());
                nodes.call(&front.node, Request { kind }, GATHER_LIMIT)
            })
            .collect();
        texts.extend(self.take_kept_texts(request.clone()).await.texts);
        while let Some(answer) = calls.next().await {
            if let Ok(ResponseKind::packed_kept_texts(packed)) = answer.map(|one| one.kind) {
                texts.extend(unpack(&packed));
            }
        }
    }
}

/// Texts out of another front's answer; none if it is damaged, as they can be made again.
fn unpack(packed: &[u8]) -> Vec<KeptText> {
    let plain = decompress(packed).map_err(|error| error.to_string());
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

/// Items that may have come back from an earlier job.
fn carried_part(spec: &JobSpec) -> impl Iterator<Item = &str> {
    let half = spec.items.len().div_ceil(2);
    spec.items[..half].iter().map(|item| item.id.as_str())
}
