//! Which items of a job start now, and where.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_wire::messages::JobSpec;

use super::owner::Owner;
use super::pace::rest_demand;
use super::run::run_item;
use super::run_context::RunContext;
use super::text::ItemText;
use crate::backend::{Demand, Instance};
use crate::config::Route;

/// Items are started for this long after a majority of replicas last confirmed this owner: another one may run the job, or
/// it may have been ended.
const START_TRUST: Duration = Duration::from_millis(1_500);

/// One of so many items counts as long.
const LONG_SHARE: usize = 8;

impl Owner {
    /// Starts items that have neither a result nor a run while instances have room: those that are expected to be the longest
    /// first, and on the fastest instances, as the step waits for them.
    pub(super) fn start_runs(&mut self) {
        self.has_waiting_items = false;
        if self.queue.has_end() || *self.stop.borrow() || self.context.nodes.is_leaving() {
            return;
        }
        if self.gathering.is_some() {
            return;
        }
        let age = self.context.confirmation.age(self.job.opened_at);
        let is_owner = self.job.is_uncontested() && age <= START_TRUST;
        // This front may have gone by the roster, which does not name these instances, until the job came.
        if !is_owner || !self.context.view.is_usable() {
            self.has_waiting_items = true;
            return;
        }
        let Some(spec) = self.job.state().spec().cloned() else {
            return;
        };
        let Some(run) = self.run_context(&spec) else {
            self.has_waiting_items = true;
            return;
        };
        let allowed = run.allowed_regions();
        let startable = self.startable(&spec);
        let long_from = long_from(&spec);
        for index in startable {
            let Some(kept) = self.kept_text(&spec, index) else {
                continue;
            };
            if kept.is_whole() {
                self.spawn_run(&run, index, None, kept);
                continue;
            }
            if self.is_held_back(&run, index) {
                continue;
            }
            let is_long = spec.items[index].expected_tokens >= long_from;
            let demand = if is_long {
                Demand::LongBatch
            } else {
                rest_demand(kept.events())
            };
            let fits = |instance: &Instance| instance.version(&spec.model) >= spec.min_version;
            let backends = &self.context.backends;
            let chosen = backends.choose_within(&run.service, &spec.model, demand, &allowed, fits);
            let Some(instance) = chosen else {
                self.has_waiting_items = true;
                return;
            };
            self.spawn_run(&run, index, Some(instance), kept);
        }
    }

    /// Whether instances have ended under others of the item's content. It stays without a run and without a result: only its age or the end
    /// of the job ends it.
    fn is_held_back(&mut self, run: &RunContext, index: usize) -> bool {
        let contents = &mut self.contents;
        let content = || {
            *contents
                .entry(index)
                .or_insert_with(|| run.item_content(index))
        };
        let held = run.current_hold(index, content);
        // Others of its content are under way, and the next of them to end decides.
        self.has_waiting_items |= held.is_some_and(|held| held.is_concurrency_hold());
        held.is_some()
    }

    fn spawn_run(
        &mut self,
        run: &Arc<RunContext>,
        index: usize,
        instance: Option<Arc<Instance>>,
        kept: ItemText,
    ) {
        // The run begins with its first poll; the guard counts it from now on.
        let guard = instance.as_ref().map(Instance::track_request);
        let run = Arc::clone(run);
        self.begun.forget(index);
        self.carried.remove(&run.spec.items[index].id);
        let handle = self.runs.spawn(async move {
            drop(guard);
            (index, run_item(run, index, instance, kept).await)
        });
        self.running.insert(index, handle);
    }

    /// What there is of an item's text: in this job's log, else of an earlier job. `None` if that gave its result.
    fn kept_text(&mut self, spec: &JobSpec, index: usize) -> Option<ItemText> {
        let item = &spec.items[index];
        let kept = self.job.state().kept(&item.id);
        if kept.events() > 0 {
            return Some(kept);
        }
        let carried = self.carried.get(&item.id).filter(|text| text.events > 0);
        let Some(carried) = carried.cloned() else {
            return Some(kept);
        };
        let reward_call = item.reward_call.as_ref().map_or("", |call| &call.id);
        let is_scored = reward_call.is_empty() || !carried.score.is_empty();
        let is_done = carried.is_whole && is_scored && carried.reward_call == reward_call;
        log::info!(
            "event=text_reused item={} job={} events={} versions={:?} whole={} scored={is_scored}",
            item.id,
            spec.job,
            carried.events,
            carried.weight_versions,
            carried.is_whole
        );
        if !is_done {
            return Some(ItemText::from_kept(carried));
        }
        let score = carried.score.clone();
        self.finish(index, ItemText::from_kept(carried), score);
        None
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

    /// How items run under the configuration in force; `None` while no route takes them.
    pub(super) fn run_context(&self, spec: &Arc<JobSpec>) -> Option<Arc<RunContext>> {
        let config = self.context.config.current()?;
        let route: &Route = config.route(&spec.host, &spec.path)?;
        let tenant = config.tenant(&spec.tenant);
        let service = route.pick_service(rand::random());
        let tokens_per_event = config
            .services
            .get(service)
            .map_or(0, |one| one.tokens_per_event);
        Some(Arc::new(RunContext {
            backends: self.context.backends.clone(),
            codec: Arc::clone(&self.context.codec),
            config: self.context.config.clone(),
            metrics: Arc::clone(&self.context.metrics),
            spec: Arc::clone(spec),
            service: service.to_owned(),
            priority_header: route.priority_header(tenant.map(AsRef::as_ref)),
            allowed_at_begin: route.allowed_regions_for(tenant.map(AsRef::as_ref)),
            max_attempts: route.max_attempts,
            single_version: route.single_version,
            progress: self.progress.0.clone(),
            stop: self.stop.subscribe(),
            window: self.window.clone(),
            begun: self.begun.clone(),
            tokens_per_event,
            learned_load_limit: self.context.learned_load_limit.clone(),
            suspects: self.context.suspects.clone(),
            give_up_at: route.max_queue_time.map(|age| self.job.opened_at + age),
        }))
    }
}

/// Expected tokens from which an item is among the longest eighth of its job.
fn long_from(spec: &JobSpec) -> u64 {
    let mut expected: Vec<u64> = spec.items.iter().map(|item| item.expected_tokens).collect();
    expected.sort_unstable();
    let index = expected.len() - expected.len() / LONG_SHARE;
    expected
        .get(index)
        .copied()
        .filter(|tokens| *tokens > 0)
        .unwrap_or(u64::MAX)
}
