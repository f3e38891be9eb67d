//! Statistics of the trainers' steps, from the log lines of all processes.

use std::collections::{BTreeMap, BTreeSet};

use ladderstage::region::Distance;
use serde::Serialize;

use super::line::LogLine;

/// Progress of a trainer's step, which is a batch job. Times are in seconds from the job's
/// acceptance.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct StepRow {
    /// Id of the job.
    pub job: String,
    /// Name of the trained model.
    pub model: String,
    /// Number of the step.
    pub step: u64,
    /// Time of the job's acceptance since the first log line.
    pub accepted_at: f64,
    /// Oldest weight version that the job allows.
    pub min_version: u64,
    /// Number of submitted items.
    pub items: usize,
    /// Number of items that an earlier job had too.
    pub carried: usize,
    /// Number of complete groups that the trainer requires.
    pub wanted_groups: usize,
    /// Time at which the first item started.
    pub first_start: Option<f64>,
    /// Time at which half of the items were done.
    pub half_done: Option<f64>,
    /// Time at which the required groups were complete.
    pub wanted_done: Option<f64>,
    /// Time at which the job ended.
    pub ended: Option<f64>,
    /// Item that completed the last required group.
    pub last: Option<LastItem>,
    /// Number of times that a node took over the job's log.
    pub owners: usize,
    /// Number of runs that an instance rejected.
    pub refused_starts: usize,
    /// Number of runs that migrated to another instance.
    pub moves: usize,
    /// Number of runs at instances outside the owner's region.
    pub far_runs: usize,
}

/// Item that a step waited for last.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LastItem {
    /// Id of the item.
    pub id: String,
    /// Number of stream events of its generation.
    pub events: u64,
    /// Number of tokens that its client estimated in advance.
    pub guess: u64,
    /// Number of runs.
    pub runs: usize,
    /// Time at which it first started.
    pub started: f64,
    /// Time at which its generation was complete.
    pub whole: f64,
    /// Time at which it was scored, or complete if it is not scored.
    pub done: f64,
    /// Whether an earlier job had it too.
    pub is_carried: bool,
}

/// Progress of an item of a job.
#[derive(Default)]
struct ItemProgress {
    group: String,
    first_start: Option<f64>,
    completed_at: Option<f64>,
    scored_at: Option<f64>,
    has_reward_call: bool,
    events: u64,
    guess: u64,
    runs: usize,
}

impl ItemProgress {
    /// Returns the time at which the item was scored, or complete if it is not scored.
    fn done(&self) -> Option<f64> {
        if self.has_reward_call {
            self.scored_at
        } else {
            self.completed_at
        }
    }
}

#[derive(Default)]
struct JobProgress {
    row: StepRow,
    items: BTreeMap<String, ItemProgress>,
}

/// Returns the steps in the order of their acceptance.
pub fn steps(lines: &[LogLine]) -> Vec<StepRow> {
    let mut lines: Vec<&LogLine> = lines.iter().collect();
    lines.sort_by(|left, right| left.time.total_cmp(&right.time));
    let log_start = lines.first().map_or(0.0, |line| line.time);
    let mut jobs = BTreeMap::<String, JobProgress>::new();
    for line in lines {
        if let Some(job) = line.fields.get("job") {
            let job_progress = jobs.entry(job.clone()).or_default();
            job_progress.record_line(job, line, log_start);
        }
    }
    let mut jobs_progress: Vec<JobProgress> = jobs.into_values().collect();
    jobs_progress.retain(|job_progress| job_progress.row.items > 0);
    jobs_progress.sort_by(|left, right| left.row.accepted_at.total_cmp(&right.row.accepted_at));
    let mut seen = BTreeSet::new();
    let mut rows = Vec::new();
    for job_progress in jobs_progress {
        let carried: BTreeSet<String> = job_progress
            .items
            .keys()
            .filter(|item| seen.contains(*item))
            .cloned()
            .collect();
        seen.extend(job_progress.items.keys().cloned());
        rows.push(job_progress.into_row(&carried));
    }
    rows
}

impl JobProgress {
    fn record_line(&mut self, job: &str, line: &LogLine, log_start: f64) {
        let at = line.time - log_start;
        match line.event.as_str() {
            "job_accepted" => {
                self.row.job = job.to_owned();
                self.row.model = line.fields.get("model").cloned().unwrap_or_default();
                self.row.step = number(line, "step");
                self.row.min_version = number(line, "oldest_version");
                self.row.items = number(line, "items") as usize;
                self.row.wanted_groups = number(line, "desired_groups") as usize;
                self.row.accepted_at = at;
            }
            "job_log_taken" => self.row.owners += 1,
            "job_ended" => {
                self.row.ended.get_or_insert(at);
            }
            "item_run" => self.record_run(line, at),
            "reward_call" => {
                let item = self.item(line);
                item.has_reward_call = true;
                if is_outcome(line, "scored") {
                    item.scored_at.get_or_insert(at);
                }
            }
            _ => {}
        }
    }

    fn record_run(&mut self, line: &LogLine, at: f64) {
        if is_outcome(line, "not_taken") {
            self.row.refused_starts += 1;
        }
        if is_outcome(line, "moved") {
            self.row.moves += 1;
        }
        let distance = line.fields.get("distance");
        if distance.is_some_and(|distance| distance == Distance::OtherRegion.label()) {
            self.row.far_runs += 1;
        }
        let started = at - number(line, "elapsed_ms") as f64 / 1e3;
        let item = self.item(line);
        item.group = line.fields.get("group").cloned().unwrap_or_default();
        item.guess = number(line, "guess");
        item.events = number(line, "events");
        item.runs += 1;
        if item.events > 0 {
            item.first_start.get_or_insert(started);
        }
        if is_outcome(line, "complete") {
            item.completed_at.get_or_insert(at);
        }
    }

    fn item(&mut self, line: &LogLine) -> &mut ItemProgress {
        let id = line.fields.get("item").cloned().unwrap_or_default();
        self.items.entry(id).or_default()
    }

    fn into_row(self, carried: &BTreeSet<String>) -> StepRow {
        let mut row = self.row;
        let since = |at: f64| at - row.accepted_at;
        row.carried = carried.len();
        let starts = self.items.values().filter_map(|item| item.first_start);
        row.first_start = starts.min_by(f64::total_cmp).map(since);
        let mut done: Vec<f64> = self.items.values().filter_map(ItemProgress::done).collect();
        done.sort_by(f64::total_cmp);
        row.half_done = done.get(row.items / 2).copied().map(since);
        row.ended = row.ended.map(since);
        if let Some((id, item)) = last_required_item(&self.items, carried, row.wanted_groups) {
            let done = item.done().map_or(0.0, since);
            row.wanted_done = Some(done);
            row.last = Some(LastItem {
                id: id.to_owned(),
                events: item.events,
                guess: item.guess,
                runs: item.runs,
                started: item.first_start.map_or(0.0, since),
                whole: item.completed_at.map_or(0.0, since),
                done,
                is_carried: carried.contains(id),
            });
        }
        row
    }
}

/// Returns the item that completed the last required group. All groups with carried items are
/// required; the others count in the order of their completion.
fn last_required_item<'a>(
    items: &'a BTreeMap<String, ItemProgress>,
    carried: &BTreeSet<String>,
    required: usize,
) -> Option<(&'a str, &'a ItemProgress)> {
    let mut groups = BTreeMap::<&str, Vec<(&str, &ItemProgress)>>::new();
    for (id, item) in items {
        groups.entry(&item.group).or_default().push((id, item));
    }
    let is_complete =
        |group: &Vec<(&str, &ItemProgress)>| group.iter().all(|(_, item)| item.done().is_some());
    let last_item = |group: Vec<(&'a str, &'a ItemProgress)>| {
        let by_done = |one: &(&str, &ItemProgress)| one.1.done().unwrap_or(f64::MAX);
        group
            .into_iter()
            .max_by(|one, other| by_done(one).total_cmp(&by_done(other)))
    };
    let is_carried =
        |group: &Vec<(&str, &ItemProgress)>| group.iter().any(|(id, _)| carried.contains(*id));
    let (carried_groups, new_groups): (Vec<_>, Vec<_>) = groups.into_values().partition(is_carried);
    if !carried_groups.iter().all(is_complete) {
        return None;
    }
    let missing_groups = required.saturating_sub(carried_groups.len());
    let mut last_items: Vec<_> = new_groups
        .into_iter()
        .filter(is_complete)
        .filter_map(last_item)
        .collect();
    last_items.sort_by(|one, other| {
        one.1
            .done()
            .unwrap_or(0.0)
            .total_cmp(&other.1.done().unwrap_or(0.0))
    });
    if last_items.len() < missing_groups {
        return None;
    }
    last_items.truncate(missing_groups);
    last_items.extend(carried_groups.into_iter().filter_map(last_item));
    last_items.into_iter().max_by(|one, other| {
        one.1
            .done()
            .unwrap_or(0.0)
            .total_cmp(&other.1.done().unwrap_or(0.0))
    })
}

fn number(line: &LogLine, field: &str) -> u64 {
    let text = line.fields.get(field);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn is_outcome(line: &LogLine, outcome: &str) -> bool {
    line.fields
        .get("outcome")
        .is_some_and(|found| found == outcome)
}

/// Formats the rows as a text table.
pub fn render_table(rows: &[StepRow]) -> String {
    let mut text = String::from(
        "accepted  step  min  items  back  wanted   first    half  wanted   ended  owners  refused  moved    far  last item\n",
    );
    let time = |at: Option<f64>| at.map_or_else(|| "-".to_owned(), |at| format!("{at:.2}"));
    for row in rows {
        let last = row.last.as_ref().map_or_else(String::new, |last| {
            let back = if last.is_carried { " back" } else { "" };
            format!(
                "{}{back} events={} guess={} runs={} {:.2} -> {:.2} -> {:.2}",
                last.id, last.events, last.guess, last.runs, last.started, last.whole, last.done
            )
        });
        text += &format!(
            "{:8.2}  {:4}  {:3}  {:5}  {:4}  {:6}  {:>6}  {:>6}  {:>6}  {:>6}  {:6}  {:7}  {:5}  {:5}  {last}\n",
            row.accepted_at,
            row.step,
            row.min_version,
            row.items,
            row.carried,
            row.wanted_groups,
            time(row.first_start),
            time(row.half_done),
            time(row.wanted_done),
            time(row.ended),
            row.owners,
            row.refused_starts,
            row.moves,
            row.far_runs
        );
    }
    text
}
