//! Which process a back end is, and which of its processes must get no new work.
//!
//! A process that was once learned to be leaving, or that another one replaced, is barred for good: process ids are
//! random and never used twice.

use std::collections::VecDeque;
use std::time::Duration;

use super::observation::{ObservationInterval, Report};
use crate::ids::ProcessId;

/// Barred processes remembered for one back end. An older one has been replaced this many times over.
const MAX_BARRED: usize = 32;

#[derive(Debug, Clone)]
struct BarredProcess {
    process: ProcessId,
    /// Version of the table at which it was learned that it is leaving; 0: it was only replaced.
    leaving_since_version: u64,
    /// Another process was seen after it.
    replaced: bool,
}

/// The process that a back end is now, as far as known.
#[derive(Debug, Clone)]
pub(super) struct CurrentProcess {
    pub(super) report: Report,
    /// When the report with the highest sequence was asked for.
    pub(super) report_at: Duration,
    /// Spans of the first and the last report.
    pub(super) first: ObservationInterval,
    last: ObservationInterval,
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportEffect {
    /// It comes from a process that was replaced, or its place in time is unclear.
    Ignored,
    /// It confirms the process that was known.
    Confirmed,
    /// It is the first of a new process.
    Replaced,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Processes {
    current: Option<CurrentProcess>,
    barred: VecDeque<BarredProcess>,
    /// Leaving was learned before any process was: the first one seen is meant.
    unnamed_leaving: bool,
    /// When the first report of a process that replaced another was asked for.
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

    /// Whether the present process is leaving, or the unknown one is.
    pub(super) fn is_leaving(&self) -> bool {
        match self.current_id() {
            Some(process) => self.is_barred(process),
            None => self.unnamed_leaving,
        }
    }

    /// Takes in a report whose place in time is known. `version` is recorded if it tells of a new leaving process.
    pub(super) fn observe(
        &mut self,
        report: &Report,
        observed: ObservationInterval,
        version: u64,
    ) -> ReportEffect {
        let effect = self.place(report, observed);
        if effect == ReportEffect::Replaced && std::mem::take(&mut self.unnamed_leaving) {
            self.bar_leaving(report.process, version);
        }
        if report.leaving {
            self.bar_leaving(report.process, version);
        }
        effect
    }

    /// Takes the load of a report that may have been long on its way: it must be newer by its sequence.
    pub(super) fn observe_load(&mut self, report: &Report) {
        if let Some(current) = &mut self.current
            && current.report.process == report.process
            && current.report.sequence < report.sequence
        {
            current.report = report.clone();
        }
    }

    /// Bars a process as leaving; answers whether that is news.
    pub(super) fn bar_leaving(&mut self, process: ProcessId, version: u64) -> bool {
        let barred = self.barred_entry(process);
        let news = barred.leaving_since_version == 0;
        if news {
            barred.leaving_since_version = version;
        }
        news
    }

    /// Bars the present process as leaving, or the first one to be seen.
    pub(super) fn bar_current(&mut self, version: u64) -> bool {
        match self.current_id() {
            Some(process) => self.bar_leaving(process, version),
            None => !std::mem::replace(&mut self.unnamed_leaving, true),
        }
    }

    /// Leaving processes learned after `version`.
    pub(super) fn leaving_since(&self, version: u64) -> impl Iterator<Item = ProcessId> + '_ {
        self.barred
            .iter()
            .filter(move |barred| barred.leaving_since_version > version)
            .map(|barred| barred.process)
    }

    fn is_barred(&self, process: ProcessId) -> bool {
        self.barred.iter().any(|barred| barred.process == process)
    }

    fn place(&mut self, report: &Report, observed: ObservationInterval) -> ReportEffect {
        let Some(current) = &mut self.current else {
            self.current = Some(CurrentProcess::new(report, observed));
            return ReportEffect::Replaced;
        };
        if current.report.process == report.process {
            current.confirm(report, observed);
            return ReportEffect::Confirmed;
        }
        // Only an answer certainly given after the last one of the known process shows that it was replaced.
        if observed.sent_at <= current.last.received_at || self.is_replaced(report.process) {
            return ReportEffect::Ignored;
        }
        self.replace(report, observed);
        ReportEffect::Replaced
    }

    fn is_replaced(&self, process: ProcessId) -> bool {
        self.barred
            .iter()
            .any(|barred| barred.process == process && barred.replaced)
    }

    fn replace(&mut self, report: &Report, observed: ObservationInterval) {
        self.replaced_at = Some(observed.sent_at);
        let previous = self.current.replace(CurrentProcess::new(report, observed));
        if let Some(previous) = previous {
            self.barred_entry(previous.report.process).replaced = true;
        }
    }

    /// The record of a barred process, made if need be.
    fn barred_entry(&mut self, process: ProcessId) -> &mut BarredProcess {
        let known = self
            .barred
            .iter()
            .position(|barred| barred.process == process);
        let index = known.unwrap_or_else(|| self.push_barred(process));
        &mut self.barred[index]
    }

    fn push_barred(&mut self, process: ProcessId) -> usize {
        if self.barred.len() == MAX_BARRED {
            self.drop_oldest_barred();
        }
        self.barred.push_back(BarredProcess {
            process,
            leaving_since_version: 0,
            replaced: false,
        });
        self.barred.len() - 1
    }

    /// Forgets the oldest barred process, but never the present one.
    fn drop_oldest_barred(&mut self) {
        let current = self.current_id();
        let oldest = self
            .barred
            .iter()
            .position(|barred| Some(barred.process) != current);
        if let Some(index) = oldest {
            self.barred.remove(index);
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
