//! Timeline of the log events about one request, item or job, over all processes.

use std::collections::BTreeSet;

use serde::Serialize;

use super::line::LogLine;

/// Events of a batch job that affect each of its items.
const JOB_EVENTS: [&str; 10] = [
    "job_accepted",
    "job_log_taken",
    "job_log_retaken",
    "job_log_unavailable",
    "append_in_doubt",
    "job_lost",
    "job_hidden_owner_found",
    "job_is_owned",
    "job_without_owner",
    "job_ended",
];

/// Events about a request content.
const CONTENT_EVENTS: [&str; 3] = ["run_broken", "suspect_heard", "suspect_cleared"];

/// Drain events, included for requests that were held back because of drained zones.
const DRAIN_EVENTS: [&str; 2] = ["zone_drain_began", "zone_drain_ended"];

/// Events about lost instances and orders of replacements.
const CAPACITY_EVENTS: [&str; 2] = ["capacity_lost", "capacity_ordered"];

/// Seconds before the first event within which capacity events are included.
const CAPACITY_LOOKBACK_SECONDS: f64 = 15.0;

/// Entry of a timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Seconds since the epoch on the clock of the process that wrote it.
    pub time: f64,
    /// Seconds since the first entry. The clocks of machines may differ.
    pub after: f64,
    /// Node that wrote the line.
    pub node: String,
    /// Event name.
    pub event: String,
    /// The rest of the line after the event name, as written.
    pub details: String,
    /// Whether this is the first failure in the timeline.
    pub is_first_wrong: bool,
}

/// Log events about one request, item or job, in time order.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// Id of the request, item or job.
    pub id: String,
    /// Entries in time order.
    pub steps: Vec<TimelineEntry>,
}

impl Timeline {
    /// Collects the lines about `id` and, in addition:
    ///
    /// - for an item, the lines about its job that affect each item;
    /// - for a request whose content is suspected of crashing instances, the lines about that content;
    /// - for a request held back because of drained zones, the drain events of that node;
    /// - for a timeline with a failure, the lines about lost instances and ordered replacements.
    pub fn build(id: &str, lines: &[LogLine]) -> Self {
        let related = RelatedIds::of(id, lines);
        let mut selected: Vec<&LogLine> =
            lines.iter().filter(|line| related.includes(line)).collect();
        let capacity = capacity_events_around(&selected, lines);
        selected.extend(capacity);
        selected.sort_by(|left, right| left.time.total_cmp(&right.time));
        let first_time = selected.first().map_or(0.0, |line| line.time);
        let first_failure = selected.iter().position(|line| line.is_failure());
        let steps = selected
            .iter()
            .enumerate()
            .map(|(index, line)| TimelineEntry {
                time: line.time,
                after: line.time - first_time,
                node: line.node.clone(),
                event: line.event.clone(),
                details: line.text.clone(),
                is_first_wrong: Some(index) == first_failure,
            });
        Self {
            id: id.to_owned(),
            steps: steps.collect(),
        }
    }
}

/// An id and the jobs, contents and nodes mentioned in its lines.
struct RelatedIds<'a> {
    id: &'a str,
    /// Jobs of the item, if the id is one.
    jobs: BTreeSet<&'a str>,
    /// Content digests of its requests.
    contents: BTreeSet<&'a str>,
    /// Nodes that held it back because of drained zones.
    draining_nodes: BTreeSet<&'a str>,
}

impl<'a> RelatedIds<'a> {
    fn of(id: &'a str, lines: &'a [LogLine]) -> Self {
        let is_item = |line: &&LogLine| line.fields.get("item").is_some_and(|item| item == id);
        let of_item = lines.iter().filter(is_item);
        let about = || lines.iter().filter(|line| line.is_about(id));
        let is_held_back_by_drains = |line: &&LogLine| line.event == "request_held_back";
        Self {
            id,
            jobs: of_item.filter_map(|line| field(line, "job")).collect(),
            contents: about().filter_map(|line| field(line, "content")).collect(),
            draining_nodes: about()
                .filter(is_held_back_by_drains)
                .map(|line| line.node.as_str())
                .collect(),
        }
    }

    /// Returns whether a line belongs to the timeline.
    fn includes(&self, line: &LogLine) -> bool {
        line.is_about(self.id)
            || self.is_job_event_of_item(line)
            || self.is_event_of_content(line)
            || self.is_drain_event(line)
    }

    fn is_job_event_of_item(&self, line: &LogLine) -> bool {
        let job = field(line, "job").or_else(|| field(line, "log"));
        let job = job.map(|job| job.strip_prefix(crate::job::LOG_PREFIX).unwrap_or(job));
        JOB_EVENTS.contains(&line.event.as_str()) && job.is_some_and(|job| self.jobs.contains(job))
    }

    fn is_event_of_content(&self, line: &LogLine) -> bool {
        let content = field(line, "content");
        CONTENT_EVENTS.contains(&line.event.as_str())
            && content.is_some_and(|content| self.contents.contains(content))
    }

    fn is_drain_event(&self, line: &LogLine) -> bool {
        DRAIN_EVENTS.contains(&line.event.as_str())
            && self.draining_nodes.contains(line.node.as_str())
    }
}

fn field<'a>(line: &'a LogLine, name: &str) -> Option<&'a str> {
    line.fields.get(name).map(String::as_str)
}

/// Returns the lines about lost and ordered instances shortly before and during a timeline that
/// contains a failure.
fn capacity_events_around<'a>(selected: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let times = || selected.iter().map(|line| line.time);
    let has_failure = selected.iter().any(|line| line.is_failure());
    let (Some(first_time), Some(end), true) = (
        times().min_by(f64::total_cmp),
        times().max_by(f64::total_cmp),
        has_failure,
    ) else {
        return Vec::new();
    };
    lines
        .iter()
        .filter(|line| CAPACITY_EVENTS.contains(&line.event.as_str()))
        .filter(|line| (first_time - CAPACITY_LOOKBACK_SECONDS..=end).contains(&line.time))
        .collect()
}

impl std::fmt::Display for Timeline {
    /// Writes one line per entry, and marks the first failure with `!`.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for step in &self.steps {
            let mark = if step.is_first_wrong { '!' } else { ' ' };
            let TimelineEntry {
                after,
                node,
                event,
                details,
                ..
            } = step;
            writeln!(
                formatter,
                "{mark} +{after:8.3} s  {node:20} {event:18} {details}"
            )?;
        }
        Ok(())
    }
}
