//! Timeline of the log events about one id, over all processes.

use std::collections::BTreeSet;

use serde::Serialize;

use super::line::LogLine;

/// Events of a batch job that affect each of its items.
const JOB_EVENTS: [&str; 8] = [
    "job_accepted",
    "job_log_taken",
    "job_log_retaken",
    "job_log_unavailable",
    "append_in_doubt",
    "job_lost",
    "job_is_owned",
    "job_ended",
];

/// Events about all requests with the same fingerprint.
const CONTENT_EVENTS: [&str; 3] = ["run_broken", "suspect_heard", "suspect_cleared"];

/// Events that explain why a node held back requests because drains left no instance.
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
    /// Node that wrote it.
    pub node: String,
    /// Event name.
    pub event: String,
    /// The fields as written.
    pub details: String,
    /// Whether this is the first failure in the timeline.
    pub is_first_wrong: bool,
}

/// Timeline of one id.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// The id.
    pub id: String,
    /// Entries, by time.
    pub steps: Vec<TimelineEntry>,
}

impl Timeline {
    /// Collects the lines about `id` and, in addition:
    ///
    /// - for an item, the lines about its job that affect each item;
    /// - for a request with a suspected fingerprint, the lines about that fingerprint;
    /// - for a request to which drains left no instance, the lines about drains at the same node;
    /// - if there was a failure, the lines about lost instances and ordered replacements.
    pub fn build(id: &str, lines: &[LogLine]) -> Self {
        let related = RelatedIds::of(id, lines);
        let mut picked: Vec<&LogLine> =
            lines.iter().filter(|line| related.includes(line)).collect();
        let capacity = capacity_before(&picked, lines);
        picked.extend(capacity);
        picked.sort_by(|left, right| left.time.total_cmp(&right.time));
        let begin = picked.first().map_or(0.0, |line| line.time);
        let first_failure = picked.iter().position(|line| line.is_failure());
        let steps = picked
            .iter()
            .enumerate()
            .map(|(index, line)| TimelineEntry {
                time: line.time,
                after: line.time - begin,
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

/// Ids that the lines about an id refer to.
struct RelatedIds<'a> {
    id: &'a str,
    /// Jobs of the id, if it is an item.
    jobs: BTreeSet<&'a str>,
    /// Fingerprints of its requests.
    contents: BTreeSet<&'a str>,
    /// Nodes at which drains left it no instance.
    held_back_at: BTreeSet<&'a str>,
}

impl<'a> RelatedIds<'a> {
    fn of(id: &'a str, lines: &'a [LogLine]) -> Self {
        let is_item = |line: &&LogLine| line.fields.get("item").is_some_and(|item| item == id);
        let of_item = lines.iter().filter(is_item);
        let about = || lines.iter().filter(|line| line.is_about(id));
        let is_held_back = |line: &&LogLine| line.event == "request_held_back";
        Self {
            id,
            jobs: of_item.filter_map(|line| field(line, "job")).collect(),
            contents: about().filter_map(|line| field(line, "content")).collect(),
            held_back_at: about()
                .filter(is_held_back)
                .map(|line| line.node.as_str())
                .collect(),
        }
    }

    /// Returns whether a line belongs to the timeline.
    fn includes(&self, line: &LogLine) -> bool {
        line.is_about(self.id)
            || self.concerns_item(line)
            || self.concerns_content(line)
            || self.concerns_drains(line)
    }

    fn concerns_item(&self, line: &LogLine) -> bool {
        let job = field(line, "job").or_else(|| field(line, "log"));
        let job = job.map(|job| job.strip_prefix(crate::job::LOG_PREFIX).unwrap_or(job));
        JOB_EVENTS.contains(&line.event.as_str()) && job.is_some_and(|job| self.jobs.contains(job))
    }

    fn concerns_content(&self, line: &LogLine) -> bool {
        let content = field(line, "content");
        CONTENT_EVENTS.contains(&line.event.as_str())
            && content.is_some_and(|content| self.contents.contains(content))
    }

    fn concerns_drains(&self, line: &LogLine) -> bool {
        DRAIN_EVENTS.contains(&line.event.as_str())
            && self.held_back_at.contains(line.node.as_str())
    }
}

fn field<'a>(line: &'a LogLine, name: &str) -> Option<&'a str> {
    line.fields.get(name).map(String::as_str)
}

/// Returns the lines about lost and ordered instances shortly before and during a timeline that
/// contains a failure.
fn capacity_before<'a>(picked: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let times = || picked.iter().map(|line| line.time);
    let has_failure = picked.iter().any(|line| line.is_failure());
    let (Some(begin), Some(end), true) = (
        times().min_by(f64::total_cmp),
        times().max_by(f64::total_cmp),
        has_failure,
    ) else {
        return Vec::new();
    };
    lines
        .iter()
        .filter(|line| CAPACITY_EVENTS.contains(&line.event.as_str()))
        .filter(|line| (begin - CAPACITY_LOOKBACK_SECONDS..=end).contains(&line.time))
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
