//! What happened to one id, in the order of time over all processes.

use std::collections::BTreeSet;

use serde::Serialize;

use super::line::LogLine;

/// Events of a batch job that concern each of its items.
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

/// Events that tell of all requests of one content.
const CONTENT_EVENTS: [&str; 3] = ["run_broken", "suspect_heard", "suspect_cleared"];

/// Events that tell why a node held requests back as drains left no instance.
const DRAIN_EVENTS: [&str; 2] = ["zone_drain_began", "zone_drain_ended"];

/// Events that tell of instances that were lost and ordered anew.
const CAPACITY_EVENTS: [&str; 2] = ["capacity_lost", "capacity_ordered"];

/// How long before a request instances may have been lost that were still missing.
const CAPACITY_SECONDS: f64 = 15.0;

/// One step of a story.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// Seconds since the epoch by the clock of the process that wrote it.
    pub time: f64,
    /// Seconds since the first step; clocks of machines may differ.
    pub after: f64,
    /// Node that wrote it.
    pub node: String,
    /// What happened.
    pub event: String,
    /// The inputs and the outcome as they were written.
    pub details: String,
    /// The first step that went wrong, as far as the lines show it.
    pub is_first_wrong: bool,
}

/// All steps of one id.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Timeline {
    /// The id.
    pub id: String,
    /// Its steps by time.
    pub steps: Vec<Step>,
}

impl Timeline {
    /// Picks the lines about `id`, and with them:
    ///
    /// - for an item, those about its job that concern each item;
    /// - for a request under whose content instances ended, those about that content;
    /// - for a request that drains left no instance, those about drains at the same node;
    /// - if something went wrong, those about instances that were lost and ordered.
    pub fn build(id: &str, lines: &[LogLine]) -> Self {
        let related = Related::of(id, lines);
        let mut picked: Vec<&LogLine> =
            lines.iter().filter(|line| related.includes(line)).collect();
        let capacity = capacity_before(&picked, lines);
        picked.extend(capacity);
        picked.sort_by(|left, right| left.time.total_cmp(&right.time));
        let begin = picked.first().map_or(0.0, |line| line.time);
        let first_wrong = picked.iter().position(|line| line.is_wrong());
        let steps = picked.iter().enumerate().map(|(index, line)| Step {
            time: line.time,
            after: line.time - begin,
            node: line.node.clone(),
            event: line.event.clone(),
            details: line.text.clone(),
            is_first_wrong: Some(index) == first_wrong,
        });
        Self {
            id: id.to_owned(),
            steps: steps.collect(),
        }
    }
}

/// What the lines about an id name: lines about the same belong to its story.
struct Related<'a> {
    id: &'a str,
    /// Jobs of the id, if it is an item's.
    jobs: BTreeSet<&'a str>,
    /// Contents of its requests.
    contents: BTreeSet<&'a str>,
    /// Nodes at which drains left it no instance.
    holding_nodes: BTreeSet<&'a str>,
}

impl<'a> Related<'a> {
    fn of(id: &'a str, lines: &'a [LogLine]) -> Self {
        let is_item = |line: &&LogLine| line.fields.get("item").is_some_and(|item| item == id);
        let of_item = lines.iter().filter(is_item);
        let about = || lines.iter().filter(|line| line.is_about(id));
        let is_held = |line: &&LogLine| line.event == "request_held_back";
        Self {
            id,
            jobs: of_item.filter_map(|line| field(line, "job")).collect(),
            contents: about().filter_map(|line| field(line, "content")).collect(),
            holding_nodes: about()
                .filter(is_held)
                .map(|line| line.node.as_str())
                .collect(),
        }
    }

    /// Whether a line belongs to the story.
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
            && self.holding_nodes.contains(line.node.as_str())
    }
}

fn field<'a>(line: &'a LogLine, name: &str) -> Option<&'a str> {
    line.fields.get(name).map(String::as_str)
}

/// Lines about instances that were lost and ordered shortly before and during a story in which something went wrong.
fn capacity_before<'a>(picked: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let times = || picked.iter().map(|line| line.time);
    let has_wrong = picked.iter().any(|line| line.is_wrong());
    let (Some(begin), Some(end), true) = (
        times().min_by(f64::total_cmp),
        times().max_by(f64::total_cmp),
        has_wrong,
    ) else {
        return Vec::new();
    };
    lines
        .iter()
        .filter(|line| CAPACITY_EVENTS.contains(&line.event.as_str()))
        .filter(|line| (begin - CAPACITY_SECONDS..=end).contains(&line.time))
        .collect()
}

impl std::fmt::Display for Timeline {
    /// A line a step; the first that went wrong is marked with `!`.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for step in &self.steps {
            let mark = if step.is_first_wrong { '!' } else { ' ' };
            let Step {
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
