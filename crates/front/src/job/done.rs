//! Finished items: holds their results until they are due for listing, then queues them for the
//! job's log.

use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_JobResult::State as ResultState;
use ladderstage_wire::messages::{JobResult, JobSpec};

use super::failures::ItemFailures;
use super::group_listing::GroupListing;
use super::owner::Owner;
use super::text::ItemText;

/// Outcome of a finished item.
pub(super) enum DoneItem {
    /// The text is complete; `score` is empty for an item without a reward call.
    Completed { text: ItemText, score: String },
    /// The item was terminated without a complete text.
    Terminated(ItemFailures),
}

impl DoneItem {
    fn into_result(self, item: &str) -> JobResult {
        match self {
            Self::Completed { text, score } => text.into_result(item, score),
            Self::Terminated(failures) => JobResult {
                item: item.to_owned(),
                state: ResultState::TERMINATED,
                failed_runs: failures.failed_runs,
                unprocessable: failures.is_unprocessable,
                ..JobResult::default()
            },
        }
    }
}

impl Owner {
    /// Returns the latest time at which the unlisted results are listed.
    pub(super) fn list_at(&self) -> Option<Instant> {
        self.groups.as_ref()?.list_at()
    }

    /// Queues the results that are to be listed now.
    pub(super) fn list_ready(&mut self) {
        let spec = self.job.state().spec().cloned();
        let (Some(spec), Some(groups)) = (spec, &mut self.groups) else {
            return;
        };
        for index in groups.drain_ready(Instant::now()) {
            if let Some(done) = self.unlisted.remove(&index) {
                let result = done.into_result(&spec.items[index].id);
                self.queue.push_result(result);
            }
        }
    }

    /// Returns when the job's results are due, or `None` if this node did not accept the job or its
    /// route sets no deadline.
    fn due(&self, spec: &JobSpec) -> Option<Instant> {
        let config = self.context.config.current()?;
        let route = config.route(&spec.host, &spec.path)?;
        let due = self.job.opened_at + route.result_deadline?;
        self.is_accepted_here.then_some(due)
    }

    /// Holds the result of an item until it is listed. Its text goes to the log at once, so that a
    /// later owner does not generate it again.
    fn hold_result(&mut self, index: usize, done: DoneItem) {
        let Some(spec) = self.job.state().spec().cloned() else {
            return;
        };
        self.finished.insert(index);
        if self.groups.is_none() {
            let due = self.due(&spec);
            let state = self.job.state();
            self.groups = Some(GroupListing::new(&spec, due, |item| state.is_listed(item)));
        }
        self.unlisted.insert(index, done);
        if let Some(groups) = &mut self.groups {
            groups.add_result(index, Instant::now());
        }
        self.list_ready();
        if let Some(DoneItem::Completed { text, .. }) = self.unlisted.get_mut(&index)
            && let Some(progress) = text.finish(&spec.items[index].id)
        {
            self.queue.push_progress(progress);
        }
    }

    /// Accepts the complete and scored text of an item.
    pub(super) fn finish(&mut self, index: usize, text: ItemText, score: String) {
        if self.queue.has_end() {
            self.late_texts.insert(index, (text, score));
            return;
        }
        let Some(spec) = self.job.state().spec().cloned() else {
            return;
        };
        self.context.lengths.record(&spec.model, text.events());
        self.count_run("completed");
        self.hold_result(index, DoneItem::Completed { text, score });
    }

    /// Accepts the end of an item without a complete text.
    pub(super) fn terminate(&mut self, index: usize, failures: ItemFailures) {
        self.count_run("terminated");
        self.record_failures(index, failures);
        self.hold_result(index, DoneItem::Terminated(failures));
    }

    /// Keeps the failures of an item's runs for a later job.
    fn record_failures(&mut self, index: usize, failures: ItemFailures) {
        let spec = self.job.state().spec().cloned();
        if let Some(spec) = spec {
            let item = spec.items[index].id.clone();
            self.failures.entry(item).or_default().merge(failures);
        }
    }

    fn count_run(&self, outcome: &str) {
        let runs = &self.context.metrics.item_runs;
        runs.with_label_values(&[outcome]).inc();
    }
}
