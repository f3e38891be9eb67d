//! Schedules the items of a job on instances.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_wire::messages::{JobSpec, KeptText};

use super::failures::ItemFailures;
use super::migration::remaining_demand;
use super::owner::Owner;
use super::run::run_item;
use super::run_context::RunContext;
use super::run_route::JobRoute;
use super::text::ItemText;
use crate::backend::{Instance, WorkKind};

/// Maximum age of the last majority confirmation at which items are started. With an older one,
/// another owner may run the job, or the job may have ended.
const MAX_START_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);

/// An item counts as long if it is among the longest `1 / LONG_ITEM_DIVISOR` of its job.
const LONG_ITEM_DIVISOR: usize = 8;

impl Owner {
    /// Starts items without a result or a run while instances have free capacity. The items with
    /// the most expected tokens start first and on the fastest instances, because the step waits
    /// for them.
    pub(super) fn start_runs(&mut self) {
        self.has_waiting_items = false;
        if self.queue.has_end() || *self.stop.borrow() || self.context.nodes.is_leaving() {
            return;
        }
        if self.earlier_texts_request.is_some() {
            return;
        }
        let age = self.context.confirmation.age(self.job.opened_at);
        let is_owner = self.job.is_uncontested() && age <= MAX_START_CONFIRMATION_AGE;
        // The roster, which this front uses until it has read the discovery records, lacks
        // instances that run items.
        if !is_owner || !self.context.view.is_usable() {
            self.has_waiting_items = true;
            return;
        }
        let Some(spec) = self.job.state().spec().cloned() else {
            return;
        };
        let startable = self.startable(&spec);
        if startable.is_empty() {
            return;
        }
        let Some(run) = self.run_context(&spec) else {
            self.has_waiting_items = true;
            return;
        };
        let route = run.route.last_known();
        let service = route.pick_service();
        let allowed = run.allowed_regions();
        let long_item_threshold = long_item_threshold(&spec);
        for index in startable {
            let Some(saved) = self.saved_text(&spec, index) else {
                continue;
            };
            if saved.is_complete() {
                self.spawn_run(&run, index, None, saved);
                continue;
            }
            if !saved.failures().may_run(route.max_attempts()) {
                self.terminate_known_failure(&run, index, saved.failures());
                continue;
            }
            let is_long = spec.items[index].expected_tokens >= long_item_threshold;
            let demand = if is_long {
                WorkKind::LongBatch
            } else {
                remaining_demand(saved.events())
            };
            let backends = &self.context.backends;
            let chosen = backends.choose_in_regions(
                service,
                run.required_weights(),
                demand,
                &allowed,
                |_| true,
            );
            let Some(instance) = chosen else {
                self.has_waiting_items = true;
                return;
            };
            self.spawn_run(&run, index, Some(instance), saved);
        }
    }

    /// Terminates an item that failed too often in earlier jobs to run again.
    fn terminate_known_failure(&mut self, run: &RunContext, index: usize, failures: ItemFailures) {
        log::warn!(
            "event=item_not_repeated item={} job={} failed_runs={} unprocessable={}",
            run.spec.items[index].id,
            run.spec.job,
            failures.failed_runs,
            failures.is_unprocessable
        );
        self.terminate(index, failures);
    }

    fn spawn_run(
        &mut self,
        run: &Arc<RunContext>,
        index: usize,
        instance: Option<Arc<Instance>>,
        saved: ItemText,
    ) {
        // Counts the run from now on, although it starts only when its task is first polled.
        let guard = instance.as_ref().map(Instance::track_request);
        let run = Arc::clone(run);
        self.first_versions.remove(index);
        self.earlier_texts.remove(&run.spec.items[index].id);
        let handle = self.runs.spawn(async move {
            drop(guard);
            (index, run_item(run, index, instance, saved).await)
        });
        self.running.insert(index, handle);
    }

    /// Returns the saved text of an item, from this job's log or from an earlier job. Returns
    /// `None` if the text completes the item.
    fn saved_text(&mut self, spec: &JobSpec, index: usize) -> Option<ItemText> {
        let item = &spec.items[index];
        let mut saved = self.job.state().partial_text(&item.id);
        saved.merge_failures(self.failures_of(&item.id));
        if saved.events() > 0 {
            return Some(saved);
        }
        let Some(earlier) = self.earlier_texts.get(&item.id).cloned() else {
            return Some(saved);
        };
        let reward_call = item.reward_call.as_ref().map_or("", |call| &call.id);
        let is_scored = reward_call.is_empty() || !earlier.score.is_empty();
        let is_done = earlier.is_whole && is_scored && earlier.reward_call == reward_call;
        log::info!(
            "event=text_reused item={} job={} events={} versions={:?} whole={} scored={is_scored}",
            item.id,
            spec.job,
            earlier.events,
            earlier.weight_versions,
            earlier.is_whole
        );
        if !is_done {
            return Some(ItemText::from_earlier_job(earlier));
        }
        let score = earlier.score.clone();
        self.finish(index, ItemText::from_earlier_job(earlier), score);
        None
    }

    /// Returns the known failures of an item's runs, without those of a run in progress.
    pub(super) fn failures_of(&self, item: &str) -> ItemFailures {
        self.failures.get(item).copied().unwrap_or_default()
    }

    /// Keeps the texts and failures that earlier jobs have for the items of this one.
    pub(super) fn accept_earlier_texts(&mut self, texts: Vec<KeptText>) {
        for text in texts {
            let failures = self.failures.entry(text.item.clone()).or_default();
            failures.merge(ItemFailures::from(&text));
            if text.events > 0 {
                self.earlier_texts.insert(text.item.clone(), text);
            }
        }
    }

    fn startable(&self, spec: &JobSpec) -> Vec<usize> {
        let state = self.job.state();
        let mut startable: Vec<usize> = (0..spec.items.len())
            .filter(|index| !self.running.contains_key(index) && !self.finished.contains(index))
            .filter(|index| !state.is_listed(&spec.items[*index].id))
            .collect();
        startable.sort_by_key(|index| std::cmp::Reverse(spec.items[*index].expected_tokens));
        startable
    }

    /// Builds the context of runs from the current configuration; returns `None` while no route
    /// matches.
    pub(super) fn run_context(&self, spec: &Arc<JobSpec>) -> Option<Arc<RunContext>> {
        let config = &self.context.config;
        let route = JobRoute::new(config, spec)?;
        let initial_allowed_regions = config
            .allowed_regions(&spec.host, &spec.path, &spec.tenant)
            .unwrap_or_default();
        Some(Arc::new(RunContext {
            backends: self.context.backends.clone(),
            codec: Arc::clone(&self.context.codec),
            config: self.context.config.clone(),
            metrics: Arc::clone(&self.context.metrics),
            memory: self.context.memory.clone(),
            spec: Arc::clone(spec),
            owner_round: self.job.epoch().round,
            route,
            opened_at: self.job.opened_at,
            initial_allowed_regions,
            progress: self.progress.0.clone(),
            stop: self.stop.subscribe(),
            window: self.window.clone(),
            first_versions: self.first_versions.clone(),
            learned_load_limit: self.context.learned_load_limit.clone(),
        }))
    }
}

/// Returns the minimum number of expected tokens at which an item counts as long.
fn long_item_threshold(spec: &JobSpec) -> u64 {
    let mut expected: Vec<u64> = spec.items.iter().map(|item| item.expected_tokens).collect();
    expected.sort_unstable();
    let index = expected.len() - expected.len() / LONG_ITEM_DIVISOR;
    expected
        .get(index)
        .copied()
        .filter(|tokens| *tokens > 0)
        .unwrap_or(u64::MAX)
}
