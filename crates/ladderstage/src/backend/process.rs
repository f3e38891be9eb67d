//! Tracks the current process of a back end and the processes that must get no new work.
//!
//! A process that is known to be leaving, or that was replaced by another one, is excluded
//! permanently: process ids are random and never reused.

use std::collections::VecDeque;
use std::time::Duration;

use super::observation::{ObservationInterval, Report};
use crate::ids::ProcessId;

/// Maximum number of excluded processes stored per back end; beyond it, the oldest one that is not
/// the current process is dropped.
const MAX_EXCLUDED: usize = 32;

#[derive(Debug, Clone)]
struct ExcludedProcess {
    process: ProcessId,
    /// Version of the table at which the process was found to be leaving; 0 if it was only
    /// replaced.
    leaving_since_version: u64,
    /// Whether another process was seen after it.
    replaced: bool,
}

/// The current process of a back end, as far as known.
#[derive(Debug, Clone)]
pub(super) struct CurrentProcess {
    pub(super) report: Report,
    /// Latest request time of the applied reports that have a known observation interval.
    pub(super) report_at: Duration,
    /// Observation intervals of the first and the last report.
    pub(super) first: ObservationInterval,
    last: ObservationInterval,
}

/// Effect of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportEffect {
    /// The report is from a replaced process, or it cannot be ordered against the last report of
    /// the current process.
    Ignored,
    /// The report confirms the known process.
    Confirmed,
    /// The report is the first one of a process, which may be the first process seen.
    NewProcess,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Processes {
    current: Option<CurrentProcess>,
    excluded: VecDeque<ExcludedProcess>,
    /// Whether the back end was reported as leaving before any process was known; this applies to
    /// the first process seen.
    first_process_is_leaving: bool,
    /// Request time of the first report of the current process, if it replaced another one.
    replaced_at: Option<Duration>,
}

impl Processes {
    pub(super) fn current(&self) -> Option<&CurrentProcess> {
        self.current.as_ref()
    }

    pub(super) fn current_id(&self) -> Option<ProcessId> {
        self.current.as_ref().map(|current| current.report.process)
    }

    pub(super) fn replaced_at(&self) -> Option<Duration> {
        self.replaced_at
    }

    /// Returns whether the current process is leaving; before any process is known, whether the
    /// first one will be treated as leaving.
    pub(super) fn is_leaving(&self) -> bool {
        match self.current_id() {
            Some(process) => self.is_excluded(process),
            None => self.first_process_is_leaving,
        }
    }

    /// Applies a report with a known observation interval. `version` is recorded if the report
    /// reveals a leaving process.
    pub(super) fn observe(
        &mut self,
        report: &Report,
        observed: ObservationInterval,
        version: u64,
    ) -> ReportEffect {
        let effect = self.classify(report, observed);
        if effect == ReportEffect::NewProcess && std::mem::take(&mut self.first_process_is_leaving)
        {
            self.mark_leaving(report.process, version);
        }
        if report.leaving {
            self.mark_leaving(report.process, version);
        }
        effect
    }

    /// Replaces the current report by one of unknown age, if that is of the same process and has a
    /// higher sequence number.
    pub(super) fn observe_load(&mut self, report: &Report) {
        if let Some(current) = &mut self.current
            && current.report.process == report.process
            && current.report.sequence < report.sequence
        {
            current.report = report.clone();
        }
    }

    /// Marks a process as leaving; returns whether this is new.
    pub(super) fn mark_leaving(&mut self, process: ProcessId, version: u64) -> bool {
        let excluded = self.excluded_entry(process);
        let is_new = excluded.leaving_since_version == 0;
        if is_new {
            excluded.leaving_since_version = version;
        }
        is_new
    }

    /// Marks the current process as leaving; before any process is known, the first one to be seen.
    /// Returns whether this is new.
    pub(super) fn mark_current_leaving(&mut self, version: u64) -> bool {
        match self.current_id() {
            Some(process) => self.mark_leaving(process, version),
            None => !std::mem::replace(&mut self.first_process_is_leaving, true),
        }
    }

    /// Returns the leaving processes learned after `version`.
    pub(super) fn leaving_since(&self, version: u64) -> impl Iterator<Item = ProcessId> + '_ {
        self.excluded
            .iter()
            .filter(move |excluded| excluded.leaving_since_version > version)
            .map(|excluded| excluded.process)
    }

    fn is_excluded(&self, process: ProcessId) -> bool {
        self.excluded
            .iter()
            .any(|excluded| excluded.process == process)
    }

    fn classify(&mut self, report: &Report, observed: ObservationInterval) -> ReportEffect {
        let Some(current) = &mut self.current else {
            self.current = Some(CurrentProcess::new(report, observed));
            return ReportEffect::NewProcess;
        };
        if current.report.process == report.process {
            current.confirm(report, observed);
            return ReportEffect::Confirmed;
        }
        // Only a report requested after the last one of the known process arrived proves a
        // replacement.
        if observed.sent_at <= current.last.received_at || self.is_replaced(report.process) {
            return ReportEffect::Ignored;
        }
        self.replace(report, observed);
        ReportEffect::NewProcess
    }

    fn is_replaced(&self, process: ProcessId) -> bool {
        self.excluded
            .iter()
            .any(|excluded| excluded.process == process && excluded.replaced)
    }

    fn replace(&mut self, report: &Report, observed: ObservationInterval) {
        self.replaced_at = Some(observed.sent_at);
        let previous = self.current.replace(CurrentProcess::new(report, observed));
        if let Some(previous) = previous {
            self.excluded_entry(previous.report.process).replaced = true;
        }
    }

    /// Returns the record of an excluded process, creating it if needed.
    fn excluded_entry(&mut self, process: ProcessId) -> &mut ExcludedProcess {
        let known = self
            .excluded
            .iter()
            .position(|excluded| excluded.process == process);
        let index = known.unwrap_or_else(|| self.push_excluded(process));
        &mut self.excluded[index]
    }

    fn push_excluded(&mut self, process: ProcessId) -> usize {
        if self.excluded.len() == MAX_EXCLUDED {
            self.drop_oldest_excluded();
        }
        self.excluded.push_back(ExcludedProcess {
            process,
            leaving_since_version: 0,
            replaced: false,
        });
        self.excluded.len() - 1
    }

    /// Drops the oldest excluded process that is not the current one.
    fn drop_oldest_excluded(&mut self) {
        let current = self.current_id();
        let oldest = self
            .excluded
            .iter()
            .position(|excluded| Some(excluded.process) != current);
        if let Some(index) = oldest {
            self.excluded.remove(index);
        }
    }
}

impl CurrentProcess {
    fn new(report: &Report, observed: ObservationInterval) -> Self {
        Self {
            report: report.clone(),
            report_at: observed.sent_at,
            first: observed,
            last: observed,
        }
    }

    fn confirm(&mut self, report: &Report, observed: ObservationInterval) {
        if observed.received_at > self.last.received_at {
            self.last = observed;
        }
        if report.sequence >= self.report.sequence {
            self.report = report.clone();
            self.report_at = self.report_at.max(observed.sent_at);
        }
    }
}
