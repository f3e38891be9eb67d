//! Unfinished items of an ended job. They are kept because a trainer submits incomplete groups
//! again in a later job, under the same item ids.
//!
//! Their runs continue after the end of the job. Items whose weight version is too old for the
//! later job restart with newer weights. The front that accepts the later job requests the texts
//! from all fronts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{JobItem, JobResult, JobSpec, KeptText};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};

use super::failures::ItemFailures;
use super::job_memory::ItemContent;
use super::kept_texts::{
    are_allowed, best_allowed_text, failures_of, is_allowed, kept_text_from_result,
};
use super::local_job::Job;
use super::owner::Owner;
use super::run::{RunOutcome, run_item};
use super::run_context::{FirstVersions, RunContext, SendWindow};
use super::state::spec_without_items;
use super::text::ItemText;
use crate::backend::WorkKind;
use crate::dialect::item_bytes;

/// Time after the end of a job during which requests may be sent for its items. Platforms forbid
/// requests from some time after the confirmed end on, the strictest after 3 s; the rest of that
/// time is for a request that is slow on its way.
const SEND_GRACE: Duration = Duration::from_millis(2_000);

/// Time for which the texts of an ended job are kept. A trainer submits its next step within 4 s to
/// 8 s of the end.
const RETENTION: Duration = Duration::from_secs(10);

/// Results listed less than this time before the end of the job count as unread.
const TRAINER_READ_INTERVAL: Duration = Duration::from_millis(800);

/// Interval between attempts to run an item while no instance is available.
const NO_INSTANCE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Request of a later job for texts of earlier jobs.
pub(super) struct TextRequest {
    /// Oldest weight version that may have generated the texts.
    pub min_version: u64,
    /// Items of the later job.
    pub items: Arc<HashSet<String>>,
    /// Receives the texts.
    pub answer: oneshot::Sender<Vec<KeptText>>,
}

/// Items of groups that were incomplete at the end of their job, with their runs.
pub(super) struct UnfinishedItems {
    /// Tenant of the job.
    pub tenant: String,
    /// Model of the job.
    pub model: String,
    /// Step of the job.
    pub step: u64,
    /// Oldest weight version that the job allowed.
    pub min_version: u64,
    job: Arc<Job>,
    /// Memory of the items' content, which the runs use.
    pub content: Option<ItemContent>,
    /// Specification of the job.
    spec: Arc<JobSpec>,
    /// Indexes of the items that a later job is likely to repeat.
    candidates: Vec<usize>,
    /// Texts of each item without a result; a restarted item may have several.
    texts: HashMap<String, Vec<KeptText>>,
    runs: JoinSet<(usize, RunOutcome)>,
    /// Items of the runs, by run number.
    runs_by_number: HashMap<usize, RunningItem>,
    stop: watch::Sender<bool>,
    window: SendWindow,
    /// Context for restarted runs; `None` if no route matched when the job ended.
    context: Option<Arc<RunContext>>,
}

/// Run in progress.
struct RunningItem {
    id: String,
    handle: AbortHandle,
    /// Weight version of the first event; `None` before that event.
    first_version: Option<u64>,
}

impl Owner {
    /// Splits off the items that a later job may repeat, with their runs, and aborts all other
    /// runs. Returns `None` for a job that is not a trainer's step, and for one that had already
    /// ended when its log was taken over, because the time of its end is unknown.
    pub(super) fn split_off_unfinished(&mut self) -> Option<UnfinishedItems> {
        let Some(end_requested_at) = self.end_requested_at else {
            self.runs.abort_all();
            return None;
        };
        self.window.close_at(end_requested_at + SEND_GRACE);
        let spec = self.job.state().spec().cloned();
        // Only trainers, whose jobs set `desired_groups`, repeat items.
        let Some(spec) = spec.filter(|spec| spec.desired_groups > 0) else {
            self.runs.abort_all();
            return None;
        };
        let candidates = self.items_of_unread_groups(&spec, end_requested_at);
        let mut runs_by_number = HashMap::new();
        for (index, handle) in &self.running {
            if candidates.contains(index) {
                let id = spec.items[*index].id.clone();
                let handle = handle.clone();
                let first_version = self.first_versions.get(*index);
                runs_by_number.insert(
                    *index,
                    RunningItem {
                        id,
                        handle,
                        first_version,
                    },
                );
            } else {
                handle.abort();
            }
        }
        // Built before `self.stop` is replaced, so that restarted runs stop together with those in
        // progress.
        let context = self.run_context(&spec);
        Some(UnfinishedItems {
            tenant: spec.tenant.clone(),
            model: spec.model.clone(),
            step: spec.train_step,
            min_version: spec.min_version,
            job: Arc::clone(&self.job),
            content: None,
            texts: self.unlisted_texts(&spec, &candidates),
            candidates,
            runs: std::mem::take(&mut self.runs),
            runs_by_number,
            stop: std::mem::replace(&mut self.stop, watch::Sender::new(true)),
            window: self.window.clone(),
            context,
            spec,
        })
    }

    /// Returns the items of all groups that the trainer has probably not read completely. These are
    /// the groups in which any item has no result or one that was listed shortly before the end.
    fn items_of_unread_groups(&self, spec: &JobSpec, end_requested_at: Instant) -> Vec<usize> {
        let state = self.job.state();
        let cutoff = end_requested_at.checked_sub(TRAINER_READ_INTERVAL);
        let read = cutoff.map_or(0, |cutoff| self.listing_history.listed_by(cutoff));
        let read_items: HashSet<&str> = state.results()[..read.min(state.results().len())]
            .iter()
            .map(|result| result.item.as_str())
            .collect();
        let mut groups = BTreeMap::<&str, Vec<usize>>::new();
        for (index, item) in spec.items.iter().enumerate() {
            groups.entry(&item.group).or_default().push(index);
        }
        let is_unread = |group: &Vec<usize>| {
            let mut items = group.iter().map(|index| &spec.items[*index]);
            items.any(|item| !read_items.contains(item.id.as_str()))
        };
        groups.into_values().filter(is_unread).flatten().collect()
    }

    /// Returns the texts and failures of items without a result. They were either completed too late
    /// to be listed, or are partial texts from the log.
    fn unlisted_texts(&self, spec: &JobSpec, items: &[usize]) -> HashMap<String, Vec<KeptText>> {
        let state = self.job.state();
        let text_of = |index: &usize| {
            let item = &spec.items[*index];
            match self.late_texts.get(index) {
                Some((text, score)) => text.for_later_job(item, score),
                None => {
                    let mut text = state.partial_text(&item.id);
                    text.merge_failures(self.failures_of(&item.id));
                    text.for_later_job(item, "")
                }
            }
        };
        let texts = items.iter().filter_map(text_of);
        texts.map(|text| (text.item.clone(), vec![text])).collect()
    }
}

/// Number of committed results over time.
#[derive(Debug, Default)]
pub(super) struct ListingHistory {
    counts: Vec<(Instant, usize)>,
}

impl ListingHistory {
    /// Records the current number of results.
    pub fn record(&mut self, results: usize) {
        if self.counts.last().is_none_or(|(_, last)| *last < results) {
            self.counts.push((Instant::now(), results));
        }
    }

    /// Returns the number of results that were committed by `time`.
    pub fn listed_by(&self, time: Instant) -> usize {
        let before = self.counts.iter().take_while(|(at, _)| *at <= time);
        before.last().map_or(0, |(_, results)| *results)
    }
}

impl UnfinishedItems {
    /// Continues the runs until a later job requests the texts or they expire. That job is expected
    /// to allow weights from `min_version` on.
    pub async fn run_until_requested(
        mut self,
        min_version: u64,
        mut requests: mpsc::UnboundedReceiver<TextRequest>,
    ) {
        self.restart_outdated(min_version);
        let deadline = tokio::time::sleep(RETENTION);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                Some(ended) = self.runs.join_next() => {
                    if let Ok((number, outcome)) = ended {
                        self.record_run_end(number, outcome);
                    }
                }
                request = requests.recv() => {
                    if let Some(request) = request {
                        self.hand_over(request).await;
                    }
                    return;
                }
                () = &mut deadline => return,
            }
        }
    }

    /// Returns the items that a later job is likely to repeat.
    fn candidates(&self) -> impl Iterator<Item = &JobItem> {
        self.candidates.iter().map(|index| &self.spec.items[*index])
    }

    /// Restarts items that have no text with weight versions of at least `min_version`.
    fn restart_outdated(&mut self, min_version: u64) {
        let Some(context) = &self.context else {
            return;
        };
        let max_attempts = context.route.last_known().max_attempts();
        let outdated: Vec<&JobItem> = self
            .candidates()
            .filter(|item| !self.has_usable_text(&item.id, min_version))
            .filter(|item| self.failures_of(&item.id).may_run(max_attempts))
            .collect();
        let bytes = outdated.iter().map(|item| item_bytes(item)).sum();
        let reserved = self.content.as_ref().map(|content| content.grow(bytes));
        if let Some(Err(cause)) = reserved {
            log::warn!(
                "event=unfinished_items_not_restarted job={} items={} cause=\"{cause}\"",
                context.spec.job,
                outdated.len()
            );
            return;
        }
        let outdated: Vec<JobItem> = outdated.into_iter().cloned().collect();
        let failures: Vec<ItemFailures> = outdated
            .iter()
            .map(|item| self.failures_of(&item.id))
            .collect();
        log::info!(
            "event=unfinished_items_kept job={} step={} items={} anew={} min_version={min_version}",
            context.spec.job,
            self.step,
            self.candidates.len(),
            outdated.len()
        );
        let spec = JobSpec {
            min_version,
            items: outdated,
            ..spec_without_items(&context.spec)
        };
        let context = Arc::new(RunContext {
            spec: Arc::new(spec),
            first_versions: FirstVersions::default(),
            ..context.as_ref().clone()
        });
        // The numbers of restarted runs follow those of the runs in progress.
        let first = self
            .runs_by_number
            .keys()
            .max()
            .map_or(0, |number| number + 1);
        for (index, item) in context.spec.items.iter().enumerate() {
            self.abort_run(&item.id);
            let context = Arc::clone(&context);
            let number = first + index;
            let text = ItemText::with_failures(failures[index]);
            let run = async move { (number, run_when_available(context, index, text).await) };
            let handle = self.runs.spawn(run);
            let id = item.id.clone();
            let first_version = None;
            self.runs_by_number.insert(
                number,
                RunningItem {
                    id,
                    handle,
                    first_version,
                },
            );
        }
    }

    /// Returns the known failures of an item's runs, without those of a run in progress.
    fn failures_of(&self, item: &str) -> ItemFailures {
        let mut failures = self
            .texts
            .get(item)
            .map_or_else(ItemFailures::default, |texts| failures_of(texts));
        let state = self.job.state();
        let listed = state.results().iter().find(|result| result.item == item);
        failures.merge(listed.map_or_else(ItemFailures::default, ItemFailures::from));
        failures
    }

    fn has_usable_text(&self, item: &str, min_version: u64) -> bool {
        let mut runs = self.runs_by_number.values();
        if let Some(run) = runs.find(|run| run.id == item) {
            return run
                .first_version
                .is_some_and(|version| version >= min_version);
        }
        let state = self.job.state();
        let listed = state.results().iter().find(|result| result.item == item);
        if listed.is_some_and(|result| are_allowed(&result.weight_versions, min_version)) {
            return true;
        }
        let texts = self.texts.get(item);
        let is_usable = |text: &KeptText| text.events > 0 && is_allowed(text, min_version);
        texts.is_some_and(|texts| texts.iter().any(is_usable))
    }

    fn abort_run(&mut self, item: &str) {
        self.runs_by_number.retain(|_, run| {
            let is_other = run.id != item;
            if !is_other {
                run.handle.abort();
            }
            is_other
        });
    }

    fn record_run_end(&mut self, number: usize, outcome: RunOutcome) {
        let Some(RunningItem { id, .. }) = self.runs_by_number.remove(&number) else {
            return;
        };
        let Some(item) = self.candidates().find(|item| item.id == id) else {
            return;
        };
        let kept = match &outcome {
            RunOutcome::Completed { text, score } => text.for_later_job(item, score),
            RunOutcome::Stopped(text) => text.for_later_job(item, ""),
            RunOutcome::Terminated(failures) => {
                ItemText::with_failures(*failures).for_later_job(item, "")
            }
            RunOutcome::NotStarted => None,
        };
        if let Some(kept) = kept {
            self.texts.entry(id).or_default().push(kept);
        }
    }

    /// Stops all runs and sends the texts that the later job can use.
    async fn hand_over(mut self, request: TextRequest) {
        self.stop.send_replace(true);
        self.window.close_at(Instant::now());
        while let Some(ended) = self.runs.join_next().await {
            if let Ok((number, outcome)) = ended {
                self.record_run_end(number, outcome);
            }
        }
        let texts = self.texts_for(&request);
        log::info!(
            "event=unfinished_items_received step={} texts={} min_version={}",
            self.step,
            texts.len(),
            request.min_version
        );
        let _ = request.answer.send(texts);
    }
}

impl UnfinishedItems {
    /// Returns the best text of each requested item that this job has.
    fn texts_for(&mut self, request: &TextRequest) -> Vec<KeptText> {
        let job = Arc::clone(&self.job);
        let state = job.state();
        let results: HashMap<&str, &JobResult> = state
            .results()
            .iter()
            .map(|result| (result.item.as_str(), result))
            .collect();
        let items = request.items.iter().filter_map(|id| state.item(id));
        items
            .filter_map(|item| {
                let mut texts = self.texts.remove(&item.id).unwrap_or_default();
                let result = results.get(item.id.as_str());
                texts.extend(result.and_then(|result| kept_text_from_result(item, result)));
                best_allowed_text(item, texts, request.min_version)
            })
            .collect()
    }
}

/// Runs an item on the first instance with free capacity and weights that are new enough. Retries
/// until the send window closes or the runs are stopped.
async fn run_when_available(context: Arc<RunContext>, index: usize, text: ItemText) -> RunOutcome {
    let mut stop = context.stop.clone();
    while context.window.is_open() && !*stop.borrow() {
        let route = context.route.current();
        let chosen = route.and_then(|route| {
            context.backends.choose_in_regions(
                route.pick_service(),
                context.required_weights(),
                WorkKind::LongBatch,
                &context.allowed_regions(),
                |_| true,
            )
        });
        if let Some(instance) = chosen {
            let text = text.clone();
            match run_item(Arc::clone(&context), index, Some(instance), text).await {
                RunOutcome::NotStarted => {}
                outcome => return outcome,
            }
        }
        let _ = tokio::time::timeout(NO_INSTANCE_RETRY_INTERVAL, stop.changed()).await;
    }
    RunOutcome::NotStarted
}
