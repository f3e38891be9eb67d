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

/// Instances that were lost so long before a request may still be missing.
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
pub struct Story {
    /// The id.
    pub id: String,
    /// Its steps by time.
    pub steps: Vec<Step>,
}

impl Story {
    /// Picks the lines about `id`, of an item those about its job that concern each item, of a request under whose content instances ended
    /// those about that, of a request that drains left no instance those about drains at that node, and where something went wrong those
    /// about instances that were lost and ordered.
    pub fn tell(id: &str, lines: &[LogLine]) -> Self {
        let jobs: BTreeSet<&str> = lines
            .iter()
            .filter(|line| line.fields.get("item").is_some_and(|item| item == id))
            .filter_map(|line| line.fields.get("job").map(String::as_str))
            .collect();
        let concerns_item = |line: &LogLine| {
            let job = line.fields.get("job").or_else(|| line.fields.get("log"));
            let job = job.map(|job| job.strip_prefix(crate::job::LOG_PREFIX).unwrap_or(job));
            JOB_EVENTS.contains(&line.event.as_str()) && job.is_some_and(|job| jobs.contains(job))
        };
        let contents: BTreeSet<&str> = lines
            .iter()
            .filter(|line| line.is_about(id))
            .filter_map(|line| line.fields.get("content").map(String::as_str))
            .collect();
        let concerns_content = |line: &LogLine| {
            let content = line.fields.get("content");
            CONTENT_EVENTS.contains(&line.event.as_str())
                && content.is_some_and(|content| contents.contains(content.as_str()))
        };
        let holding_nodes: BTreeSet<&str> = lines
            .iter()
            .filter(|line| line.is_about(id) && line.event == "request_held_back")
            .map(|line| line.node.as_str())
            .collect();
        let concerns_drains = |line: &LogLine| {
            DRAIN_EVENTS.contains(&line.event.as_str())
                && holding_nodes.contains(line.node.as_str())
        };
        let is_meant = |line: &LogLine| {
            line.is_about(id)
                || concerns_item(line)
                || concerns_content(line)
                || concerns_drains(line)
        };
        let mut picked: Vec<&LogLine> = lines.iter().filter(|line| is_meant(line)).collect();
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

/// What was lost and ordered before and while something went wrong: a story without a wrong step needs no cause.
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

impl std::fmt::Display for Story {
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
