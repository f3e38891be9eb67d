//! Items that are done: their results are held until they are to be listed, then queued for the job's log.

use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_JobResult::State as ResultState;
use ladderstage_wire::messages::{JobResult, JobSpec};

use super::group_listing::GroupListing;
use super::owner::Owner;
use super::text::ItemText;

/// What an item came to.
pub(super) enum DoneItem {
    /// Its text is whole; the score is empty where nothing scores it.
    Whole { text: ItemText, score: String },
    /// It is given up.
    GivenUp,
}

impl DoneItem {
    fn into_result(self, item: &str) -> JobResult {
        match self {
            Self::Whole { text, score } => text.into_result(item, score),
            Self::GivenUp => JobResult {
                item: item.to_owned(),
                state: ResultState::TERMINATED,
                ..JobResult::default()
            },
        }
    }
}

impl Owner {
    /// When results that are held are to be listed at the latest.
    pub(super) fn list_at(&self) -> Option<Instant> {
        self.groups.as_ref()?.list_at()
    }

    /// Queues the results that are to be listed now.
    pub(super) fn list_ready(&mut self) {
        let spec = self.job.state().spec().cloned();
        let (Some(spec), Some(groups)) = (spec, &mut self.groups) else {
            return;
        };
        for index in groups.take_ready(Instant::now()) {
            if let Some(done) = self.held.remove(&index) {
                let result = done.into_result(&spec.items[index].id);
                self.queue.result(result);
            }
        }
    }

    /// When the results of the job are due; `None` if that is not known here.
    fn due(&self, spec: &JobSpec) -> Option<Instant> {
        let config = self.context.config.current()?;
        let route = config.route(&spec.host, &spec.path)?;
        let due = self.job.opened_at + route.result_deadline?;
        self.is_accepted_here.then_some(due)
    }

    /// Takes the result of an item, and holds it until it is to be listed. Its text is kept in the log meanwhile: whoever owns the job
    /// next needs not make it again.
    fn take_done(&mut self, index: usize, done: DoneItem) {
        let Some(spec) = self.job.state().spec().cloned() else {
            return;
        };
        self.finished.insert(index);
        if self.groups.is_none() {
            let due = self.due(&spec);
            let state = self.job.state();
            self.groups = Some(GroupListing::new(&spec, due, |item| state.is_listed(item)));
        }
        self.held.insert(index, done);
        if let Some(groups) = &mut self.groups {
            groups.finish(index, Instant::now());
        }
        self.list_ready();
        if let Some(DoneItem::Whole { text, .. }) = self.held.get_mut(&index)
            && let Some(progress) = text.end(&spec.items[index].id)
        {
            self.queue.progress(progress);
        }
    }

    /// Takes an item whose text is whole and scored.
    pub(super) fn finish(&mut self, index: usize, text: ItemText, score: String) {
        if self.queue.has_end() {
            self.late.insert(index, (text, score));
            return;
        }
        let Some(spec) = self.job.state().spec().cloned() else {
            return;
        };
        self.context.lengths.note(&spec.model, text.events());
        self.count_run("completed");
        self.take_done(index, DoneItem::Whole { text, score });
    }

    pub(super) fn give_up(&mut self, index: usize) {
        self.count_run("terminated");
        self.take_done(index, DoneItem::GivenUp);
    }

    fn count_run(&self, outcome: &str) {
        let runs = &self.context.metrics.item_runs;
        runs.with_label_values(&[outcome]).inc();
    }
}
