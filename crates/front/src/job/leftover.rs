//! What an ended job leaves behind for a later one: a trainer brings groups that were not whole back under the same ids.
//!
//! Their runs go on past the end of the job, and those whose weights the later job will not allow begin anew under newer ones, so
//! that the later job, wherever it is accepted, starts from what there is by then. Long texts take most of the time of a step.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_JobResult::State as ResultState;
use ladderstage_wire::messages::{JobItem, JobResult, JobSpec, KeptText};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};

use super::owner::Owner;
use super::run::{RunOutcome, run_item};
use super::run_context::{BegunVersions, RunContext, SendWindow};
use super::shared::Job;
use super::text::ItemText;
use crate::backend::Demand;

/// How long requests may be sent for items of an ended job. Platforms forbid it from some time after the end was
/// confirmed, 3 s on the strictest; the rest is for a request that is slow on its way.
const SEND_TIME: Duration = Duration::from_millis(2_000);

/// How long an ended job's texts are kept. A trainer asks for its next step within one step's time of the end, 4 s to 8 s.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// Trainers read about twice a second: what was listed this long before the end may not have been read.
const READ_INTERVAL: Duration = Duration::from_millis(800);

/// Pause before an item that found no instance is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What a later job asks of what earlier ones left behind.
pub(super) struct TakeTexts {
    /// Oldest weight version that may have made the texts.
    pub min_version: u64,
    /// The later job's items.
    pub items: Arc<HashSet<String>>,
    /// Gets the texts.
    pub answer: oneshot::Sender<Vec<KeptText>>,
}

/// Items of groups that were not whole when their job ended, and their runs.
pub(super) struct Leftover {
    /// Tenant of the job.
    pub tenant: String,
    /// Model of the job.
    pub model: String,
    /// Step of the job.
    pub step: u64,
    /// Oldest weight version that the job allowed.
    pub min_version: u64,
    job: Arc<Job>,
    /// Items that are likely to come back.
    likely: Vec<JobItem>,
    /// What there is of each item without a result: of an item that began anew, also what was made of it before.
    texts: HashMap<String, Vec<KeptText>>,
    runs: JoinSet<(usize, RunOutcome)>,
    /// The items of the runs, by the number that a run goes by.
    running: HashMap<usize, RunningItem>,
    stop: watch::Sender<bool>,
    window: SendWindow,
    /// Starts runs anew; `None` while no route takes them.
    context: Option<Arc<RunContext>>,
}

/// A run under way.
struct RunningItem {
    id: String,
    handle: AbortHandle,
    /// Weight version under which its text began; `None` before the first event.
    begun: Option<u64>,
}

impl Owner {
    /// Splits off the items that a later job may have again, with their runs; all other runs are ended. `None` if there are none.
    ///
    /// Nothing is left behind by a job that was found ended, as when its log is taken over to be read: how long ago its end was
    /// confirmed is not known.
    pub(super) fn take_leftover(&mut self) -> Option<Leftover> {
        let Some(end_asked_at) = self.end_asked_at else {
            self.runs.abort_all();
            return None;
        };
        self.window.close_at(end_asked_at + SEND_TIME);
        let spec = self.job.state().spec().cloned();
        // Only trainers, who wait for groups, bring items back.
        let Some(spec) = spec.filter(|spec| spec.desired_groups > 0) else {
            self.runs.abort_all();
            return None;
        };
        let likely = self.items_to_come_back(&spec, end_asked_at);
        let mut running = HashMap::new();
        for (index, handle) in &self.running {
            if likely.contains(index) {
                let id = spec.items[*index].id.clone();
                let handle = handle.clone();
                let begun = self.begun.get(*index);
                running.insert(*index, RunningItem { id, handle, begun });
            } else {
                handle.abort();
            }
        }
        // Made first: new runs stop when those that are under way do.
        let context = self.run_context(&spec);
        let likely_items = likely.iter().map(|index| spec.items[*index].clone());
        Some(Leftover {
            tenant: spec.tenant.clone(),
            model: spec.model.clone(),
            step: spec.train_step,
            min_version: spec.min_version,
            job: Arc::clone(&self.job),
            likely: likely_items.collect(),
            texts: self.unlisted_texts(&spec, &likely),
            runs: std::mem::take(&mut self.runs),
            running,
            stop: std::mem::replace(&mut self.stop, watch::Sender::new(true)),
            window: self.window.clone(),
            context,
        })
    }

    /// Items of groups that the trainer has not read as whole, as far as that can be told: they lack a result, or the last one was
    /// listed just before the end.
    fn items_to_come_back(&self, spec: &JobSpec, end_asked_at: Instant) -> Vec<usize> {
        let state = self.job.state();
        let cutoff = end_asked_at.checked_sub(READ_INTERVAL);
        let read = cutoff.map_or(0, |cutoff| self.listing.listed_before(cutoff));
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

    /// Texts without a result: whole too late to be listed, or kept in the log.
    fn unlisted_texts(&self, spec: &JobSpec, items: &[usize]) -> HashMap<String, Vec<KeptText>> {
        let state = self.job.state();
        let text_of = |index: &usize| {
            let item = &spec.items[*index];
            match self.late.get(index) {
                Some((text, score)) => text.to_kept(item, score),
                None => state.kept(&item.id).to_kept(item, ""),
            }
        };
        let texts = items.iter().filter_map(text_of);
        texts.map(|text| (text.item.clone(), vec![text])).collect()
    }
}

/// How many results there were at which time.
#[derive(Debug, Default)]
pub(super) struct Listing {
    counts: Vec<(Instant, usize)>,
}

impl Listing {
    /// Notes the number of results now.
    pub fn note(&mut self, results: usize) {
        if self.counts.last().is_none_or(|(_, last)| *last < results) {
            self.counts.push((Instant::now(), results));
        }
    }

    /// Results that were listed by `time`.
    pub fn listed_before(&self, time: Instant) -> usize {
        let before = self.counts.iter().take_while(|(at, _)| *at <= time);
        before.last().map_or(0, |(_, results)| *results)
    }
}

/// The text of a listed result; its lines stand for its events, as nothing goes on after it.
fn kept_of_result(item: &JobItem, result: &JobResult) -> Option<KeptText> {
    if result.state != ResultState::COMPLETED {
        return None;
    }
    let lines = result.text.split('\n').count() as u64;
    Some(KeptText {
        item: item.id.clone(),
        text: result.text.clone(),
        events: lines,
        last_event: lines,
        weight_versions: result.weight_versions.clone(),
        is_whole: true,
        reward_call: item
            .reward_call
            .as_ref()
            .map(|call| call.id.clone())
            .unwrap_or_default(),
        score: result.score.clone(),
    })
}

/// Whether a text may be used where `min_version` is the oldest allowed.
fn is_allowed(text: &KeptText, min_version: u64) -> bool {
    are_allowed(&text.weight_versions, min_version)
}

fn are_allowed(versions: &[u64], min_version: u64) -> bool {
    versions.iter().all(|version| *version >= min_version)
}

/// The text that is the furthest of those that may be used.
fn best_of(texts: Vec<KeptText>, min_version: u64) -> Option<KeptText> {
    let allowed = texts
        .into_iter()
        .filter(|text| is_allowed(text, min_version));
    allowed.max_by_key(|text| (!text.score.is_empty(), text.is_whole, text.events))
}

impl Leftover {
    /// Goes on until a later job takes the texts, or for the time that they are kept. That job is expected to allow `min_version`
    /// and newer weights.
    pub async fn linger(
        mut self,
        min_version: u64,
        mut takers: mpsc::UnboundedReceiver<TakeTexts>,
    ) {
        self.begin_anew(min_version);
        let deadline = tokio::time::sleep(KEEP_TIME);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                Some(ended) = self.runs.join_next() => {
                    if let Ok((index, outcome)) = ended {
                        self.take_run(index, outcome);
                    }
                }
                taker = takers.recv() => {
                    if let Some(taker) = taker {
                        self.hand_over(taker).await;
                    }
                    return;
                }
                () = &mut deadline => return,
            }
        }
    }

    /// Begins items anew whose text the later job will not allow, and those that have none.
    fn begin_anew(&mut self, min_version: u64) {
        let Some(context) = &self.context else {
            return;
        };
        let likely = self.likely.iter();
        let anew: Vec<JobItem> = likely
            .filter(|item| !self.has_allowed(&item.id, min_version))
            .cloned()
            .collect();
        log::info!(
            "event=unfinished_items_kept job={} step={} items={} anew={} min_version={min_version}",
            context.spec.job,
            self.step,
            self.likely.len(),
            anew.len()
        );
        let spec = JobSpec {
            min_version,
            items: anew,
            ..about_job(&context.spec)
        };
        let context = Arc::new(RunContext {
            spec: Arc::new(spec),
            begun: BegunVersions::default(),
            ..context.as_ref().clone()
        });
        // Numbers of the new runs follow those of the job's items.
        let first = self.running.keys().max().map_or(0, |number| number + 1);
        for (index, item) in context.spec.items.iter().enumerate() {
            self.stop_run_of(&item.id);
            let context = Arc::clone(&context);
            let number = first + index;
            let run = async move { (number, run_from_begin(context, index).await) };
            let handle = self.runs.spawn(run);
            let id = item.id.clone();
            let begun = None;
            self.running
                .insert(number, RunningItem { id, handle, begun });
        }
    }

    fn has_allowed(&self, item: &str, min_version: u64) -> bool {
        let mut runs = self.running.values();
        if let Some(run) = runs.find(|run| run.id == item) {
            return run.begun.is_some_and(|version| version >= min_version);
        }
        let state = self.job.state();
        let listed = state.results().iter().find(|result| result.item == item);
        if listed.is_some_and(|result| are_allowed(&result.weight_versions, min_version)) {
            return true;
        }
        let texts = self.texts.get(item);
        texts.is_some_and(|texts| texts.iter().any(|text| is_allowed(text, min_version)))
    }

    fn stop_run_of(&mut self, item: &str) {
        self.running.retain(|_, run| {
            let is_other = run.id != item;
            if !is_other {
                run.handle.abort();
            }
            is_other
        });
    }

    fn take_run(&mut self, index: usize, outcome: RunOutcome) {
        let Some(RunningItem { id, .. }) = self.running.remove(&index) else {
            return;
        };
        let Some(item) = self.likely.iter().find(|item| item.id == id) else {
            return;
        };
        let kept = match &outcome {
            RunOutcome::Completed { text, score } => text.to_kept(item, score),
            RunOutcome::Stopped(text) => text.to_kept(item, ""),
            RunOutcome::Terminated | RunOutcome::NotStarted => None,
        };
        if let Some(kept) = kept {
            self.texts.entry(id).or_default().push(kept);
        }
    }

    /// Stops all runs and hands the texts over that the taker may use.
    async fn hand_over(mut self, taker: TakeTexts) {
        self.stop.send_replace(true);
        self.window.close_at(Instant::now());
        while let Some(ended) = self.runs.join_next().await {
            if let Ok((index, outcome)) = ended {
                self.take_run(index, outcome);
            }
        }
        let texts = self.texts_for(&taker);
        log::info!(
            "event=unfinished_items_received step={} texts={} min_version={}",
            self.step,
            texts.len(),
            taker.min_version
        );
        let _ = taker.answer.send(texts);
    }
}

impl Leftover {
    /// What there is of each of the taker's items that this job had too.
    fn texts_for(&mut self, taker: &TakeTexts) -> Vec<KeptText> {
        let job = Arc::clone(&self.job);
        let state = job.state();
        let results: HashMap<&str, &JobResult> = state
            .results()
            .iter()
            .map(|result| (result.item.as_str(), result))
            .collect();
        let items = taker.items.iter().filter_map(|id| state.item(id));
        items
            .filter_map(|item| {
                let mut texts = self.texts.remove(&item.id).unwrap_or_default();
                let result = results.get(item.id.as_str());
                texts.extend(result.and_then(|result| kept_of_result(item, result)));
                best_of(texts, taker.min_version)
            })
            .collect()
    }
}

/// A job without its items.
fn about_job(spec: &JobSpec) -> JobSpec {
    JobSpec {
        job: spec.job.clone(),
        host: spec.host.clone(),
        path: spec.path.clone(),
        model: spec.model.clone(),
        train_step: spec.train_step,
        min_version: spec.min_version,
        desired_groups: spec.desired_groups,
        items: Vec::new(),
        tenant: spec.tenant.clone(),
    }
}

/// Runs an item on the first instance that has room and weights that are new enough.
async fn run_from_begin(context: Arc<RunContext>, index: usize) -> RunOutcome {
    let mut stop = context.stop.clone();
    while context.window.is_open() && !*stop.borrow() {
        let fits = |instance: &crate::backend::Instance| {
            instance.version(&context.spec.model) >= context.spec.min_version
        };
        let backends = &context.backends;
        let chosen = backends.choose_within(
            &context.service,
            &context.spec.model,
            Demand::LongBatch,
            &context.allowed_regions(),
            fits,
        );
        if let Some(instance) = chosen {
            let text = ItemText::default();
            match run_item(Arc::clone(&context), index, Some(instance), text).await {
                RunOutcome::NotStarted => {}
                outcome => return outcome,
            }
        }
        let _ = tokio::time::timeout(RETRY_PAUSE, stop.changed()).await;
    }
    RunOutcome::NotStarted
}
