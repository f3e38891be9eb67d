//! Checks the answers that callers received against the back ends' logs.

use std::collections::BTreeMap;

use super::evidence::{BackendLogs, Outcome, Request, RequestKind};
use super::violation::{Guarantee, Violation};
use crate::stand_in::engine::Run;
use crate::text::prompt_digest;

/// Time during which a leaving back end may still receive new work, in milliseconds.
const LEAVING_BOUND_MS: u64 = 6_000;

/// Returns every violation that the back ends' logs show.
pub(super) fn check_all(requests: &[Request], logs: &BackendLogs) -> Vec<Violation> {
    let mut violations = check_leaving(logs);
    let completions = logs.completions();
    let applications = logs.requests();
    violations.extend(check_labels(requests, &completions));
    for request in requests {
        let runs = match request.kind {
            RequestKind::Completion | RequestKind::Streamed => {
                let digest = prompt_digest(&request.content);
                describe_runs(&completions, &digest)
            }
            _ => describe_runs(&applications, &request.content),
        };
        let violated = violated_guarantee(request, runs.len());
        violations.extend(violated.map(|guarantee| Violation {
            guarantee,
            evidence: format!("{request:?}; runs: {runs:?}"),
        }));
    }
    violations
}

/// Formats the runs of a request as evidence.
fn describe_runs<R: std::fmt::Debug>(
    runs: &BTreeMap<&str, Vec<(&str, R)>>,
    content: &str,
) -> Vec<String> {
    let runs = runs.get(content).into_iter().flatten();
    runs.map(|(name, run)| format!("{name}: {run:?}")).collect()
}

/// Returns the guarantee that a request with this number of runs violates.
fn violated_guarantee(request: &Request, runs: usize) -> Option<Guarantee> {
    let is_at_most_once = matches!(request.kind, RequestKind::AtMostOnce | RequestKind::Keyed);
    if is_at_most_once && runs > 1 {
        return Some(Guarantee::AtMostOnce);
    }
    // An earlier attempt may be refused as not run before a later one runs.
    let last = request.tries.last().map(|last| last.outcome);
    if last == Some(Outcome::NotRun) && runs > 0 {
        return Some(Guarantee::NotRun);
    }
    let is_completed = |outcome| outcome == Outcome::Completed;
    let was_completed = request
        .tries
        .iter()
        .any(|attempt| is_completed(attempt.outcome));
    (was_completed && runs == 0).then_some(Guarantee::Ran)
}

/// Finds answers that omit weight versions which their engines named.
fn check_labels(
    requests: &[Request],
    completions: &BTreeMap<&str, Vec<(&str, &Run)>>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in requests.iter().filter(|request| request.lacks_versions) {
        let digest = prompt_digest(&request.content);
        let mut runs = completions.get(digest.as_str()).into_iter().flatten();
        if !runs.any(|(_, run)| run.unnamed_tokens > 0) {
            violations.push(Violation {
                guarantee: Guarantee::WholeAnswer,
                evidence: format!("{request:?} omits versions that its engines named"),
            });
        }
    }
    violations
}

fn check_leaving(logs: &BackendLogs) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (name, log) in &logs.engines {
        let Some(leaving_ms) = log.leaving_ms else {
            continue;
        };
        let is_late = |started_ms| started_ms > leaving_ms + LEAVING_BOUND_MS;
        for run in log.runs.iter().filter(|run| is_late(run.started_ms)) {
            violations.push(Violation {
                guarantee: Guarantee::Leaving,
                evidence: format!("{name} is leaving since {leaving_ms} ms, but received {run:?}"),
            });
        }
    }
    violations
}
