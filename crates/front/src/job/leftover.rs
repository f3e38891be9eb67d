//! What an ended job leaves behind for a later one: a trainer brings groups that were not whole back under the same ids.
//!
//! Their runs go on past the end of the job, and those whose weights the later job will not allow begin anew under newer ones, so
//! that the later job, wherever it is accepted, starts from what there is by then. Long texts take most of the time of a step.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage_wire::messages::mod_JobResult::State as ResultState;
use ladderstage_wire::messages::{JobItem, JobResult, JobSpec, KeptText};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};

use super::owner::Owner;
use super::run::{RunContext, RunOutcome, SendWindow, run_item};
use super::text::ItemText;
use crate::backend::Demand;

/// How long requests may be sent for items of an ended job. Platforms forbid it from some time after the end was
/// confirmed, 3 s on the strictest; the rest is for a request that is slow on its way.
const SEND_TIME: Duration = Duration::from_millis(2_000);

/// How long an ended job's texts are kept. A trainer asks for its next step within one step's time of the end, 4 s to 8 s.
const KEEP_TIME: Duration = Duration::from_secs(10);

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
    /// Model of the job.
    pub model: String,
    /// Step of the job.
    pub step: u64,
    /// Oldest weight version that the job allowed.
    min_version: u64,
    items: Vec<JobItem>,
    /// What there is of each item: of an item that began anew, also what was made of it before.
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
        let open = spec.as_ref().map(|spec| self.items_of_open_groups(spec));
        let (Some(spec), Some(open)) = (spec, open.filter(|open| !open.is_empty())) else {
            self.runs.abort_all();
            return None;
        };
        let mut running = HashMap::new();
        for (index, handle) in &self.running {
            if open.contains(index) {
                let id = spec.items[*index].id.clone();
                let handle = handle.clone();
                running.insert(*index, RunningItem { id, handle });
            } else {
                handle.abort();
            }
        }
        let texts = self.texts_of(&spec, &open);
        // Made first: new runs stop when those that are under way do.
        let context = self.run_context(&spec);
        Some(Leftover {
            model: spec.model.clone(),
            step: spec.train_step,
            min_version: spec.min_version,
            items: open
                .iter()
                .map(|index| spec.items[*index].clone())
                .collect(),
            texts,
            runs: std::mem::take(&mut self.runs),
            running,
            stop: std::mem::replace(&mut self.stop, watch::Sender::new(true)),
            window: self.window.clone(),
            context,
        })
    }

    /// Items of groups that lack a result.
    fn items_of_open_groups(&self, spec: &JobSpec) -> Vec<usize> {
        let state = self.job.state();
        let mut groups = BTreeMap::<&str, Vec<usize>>::new();
        for (index, item) in spec.items.iter().enumerate() {
            groups.entry(&item.group).or_default().push(index);
        }
        let is_open = |group: &Vec<usize>| {
            let mut items = group.iter().map(|index| &spec.items[*index]);
            items.any(|item| !state.is_listed(&item.id))
        };
        groups.into_values().filter(is_open).flatten().collect()
    }

    /// Texts of items without a run: listed, whole too late to be listed, or kept in the log.
    fn texts_of(&self, spec: &JobSpec, open: &[usize]) -> HashMap<String, Vec<KeptText>> {
        let state = self.job.state();
        let listed: HashMap<&str, &JobResult> = state
            .results()
            .iter()
            .map(|result| (result.item.as_str(), result))
            .collect();
        let text_of = |index: &usize| {
            let item = &spec.items[*index];
            if let Some(result) = listed.get(item.id.as_str()) {
                return kept_of_result(item, result);
            }
            match self.late.get(index) {
                Some((text, score)) => text.to_kept(item, score),
                None => state.kept(&item.id).to_kept(item, ""),
            }
        };
        let texts = open.iter().filter_map(text_of);
        texts.map(|text| (text.item.clone(), vec![text])).collect()
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
    text.weight_versions
        .iter()
        .all(|version| *version >= min_version)
}

/// The text that is the furthest of those that may be used.
fn best_of(texts: Vec<KeptText>, min_version: u64) -> Option<KeptText> {
    let allowed = texts
        .into_iter()
        .filter(|text| is_allowed(text, min_version));
    allowed.max_by_key(|text| (!text.score.is_empty(), text.is_whole, text.events))
}

impl Leftover {
    /// Goes on until a later job takes the texts, or for the time that they are kept. `next_step` is the step whose job will have
    /// the items again.
    pub async fn linger(mut self, next_step: u64, mut takers: mpsc::UnboundedReceiver<TakeTexts>) {
        let later = next_step.saturating_sub(self.step);
        self.begin_anew(self.min_version + later);
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
        let items = self.items.iter();
        let anew: Vec<JobItem> = items
            .filter(|item| !self.has_allowed(&item.id, min_version))
            .cloned()
            .collect();
        log::info!(
            "event=leftover_kept job={} step={} items={} anew={} min_version={min_version}",
            context.spec.job,
            self.step,
            self.items.len(),
            anew.len()
        );
        let spec = JobSpec {
            min_version,
            items: anew,
            ..about_job(&context.spec)
        };
        let context = Arc::new(RunContext {
            spec: Arc::new(spec),
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
            self.running.insert(number, RunningItem { id, handle });
        }
    }

    fn has_allowed(&self, item: &str, min_version: u64) -> bool {
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
        let Some(item) = self.items.iter().find(|item| item.id == id) else {
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
        let wanted = self
            .texts
            .into_iter()
            .filter(|(item, _)| taker.items.contains(item));
        let texts: Vec<KeptText> = wanted
            .filter_map(|(_, texts)| best_of(texts, taker.min_version))
            .collect();
        log::info!(
            "event=leftover_taken step={} texts={} min_version={}",
            self.step,
            texts.len(),
            taker.min_version
        );
        let _ = taker.answer.send(texts);
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
        let chosen = backends.choose(
            &context.service,
            &context.spec.model,
            Demand::LongBatch,
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
