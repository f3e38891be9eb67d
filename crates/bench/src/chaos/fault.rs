//! Fault kinds and the cluster resources that they affect.

use std::ops::Range;

use serde::Serialize;

use crate::stand_in::CutPoint;

/// Size of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Zone index of each daemon.
    pub zones: Vec<usize>,
    pub engines: usize,
    pub applications: usize,
}

/// Fault of the connections between two daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFault {
    /// Connections are reset and refused.
    Cut,
    /// Bytes from the first daemon to the second are dropped.
    OneWay,
    Delayed,
    /// Open connections and the next few are reset.
    Reset,
    /// Nothing is forwarded, and no bytes are lost.
    Frozen,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineFault {
    Killed,
    /// Some answers are cut.
    Cuts {
        /// Point at which an answer is cut.
        point: CutPoint,
        answers: u32,
    },
    Refuses {
        requests: u32,
    },
    Stalls,
    SwapFails,
    /// Weight swaps fail but are reported as done.
    ClaimsSwap,
    /// Chunks do not name their weight version.
    OmitsVersion,
    /// The engine is leaving; at the end of the fault it is killed and replaced.
    Leaving,
}

/// Fault of an application back end or of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplicationFault {
    /// Some answers are cut after their requests ran.
    Cuts {
        /// Point at which an answer is cut.
        point: CutPoint,
        answers: u32,
    },
    Refuses {
        requests: u32,
    },
    /// Requests are delayed.
    Slow,
    /// Open connections and the next few are reset.
    Reset,
}

/// Fault of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyValueFault {
    Down,
    /// Every answer is delayed.
    Slow {
        delay_ms: u64,
    },
    /// The service accepts only a few requests per second.
    RateLimited,
    /// Changes take effect but their answers are lost.
    LosesAnswers,
    /// Reads return outdated contents.
    Stale,
}

/// A fault. Numbers are indices of daemons, zones, engines or applications.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGKILL at the start, and a restart at the end.
    DaemonKilled(usize),
    /// SIGSTOP at the start, and SIGCONT at the end.
    DaemonPaused(usize),
    /// SIGTERM at the start, and a restart at the end.
    DaemonTerminated(usize),
    /// SIGKILL to all daemons at the start, and a restart at the end.
    AllDaemonsKilled,
    /// Faulty connections between two daemons.
    Link {
        first: usize,
        second: usize,
        fault: LinkFault,
    },
    /// Daemons of a zone are partitioned from those of other zones and from the platform's
    /// services.
    ZoneCut(usize),
    Engine {
        engine: usize,
        fault: EngineFault,
    },
    Application {
        application: usize,
        fault: ApplicationFault,
    },
    KeyValue(KeyValueFault),
    MachineListDown,
    /// The machine list shows changes with a delay.
    MachineListLate,
    ScorerDown,
}

/// A cluster resource that at most one active fault may affect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resource {
    Daemon(usize),
    Links,
    Engine(usize),
    Application(usize),
    KeyValue,
    MachineList,
    Scorer,
}

impl Fault {
    /// Returns the fault's stable name, which reports count by.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::DaemonKilled(_) => "daemon-killed",
            Self::DaemonPaused(_) => "daemon-paused",
            Self::DaemonTerminated(_) => "daemon-terminated",
            Self::AllDaemonsKilled => "all-daemons-killed",
            Self::Link { fault, .. } => link_kind(*fault),
            Self::ZoneCut(_) => "zone-cut",
            Self::Engine { fault, .. } => engine_kind(*fault),
            Self::Application { fault, .. } => application_kind(*fault),
            Self::KeyValue(fault) => key_value_kind(*fault),
            Self::MachineListDown => "machine-list-down",
            Self::MachineListLate => "machine-list-late",
            Self::ScorerDown => "scorer-down",
        }
    }

    /// Returns the range of the fault's duration, in milliseconds.
    pub(super) fn duration_ms(&self) -> Range<u64> {
        match self {
            Self::AllDaemonsKilled => 200..1_500,
            Self::DaemonPaused(_) => 1_000..8_000,
            Self::Engine {
                fault: EngineFault::Leaving,
                ..
            } => 8_000..12_000,
            Self::KeyValue(_) => 2_000..9_000,
            _ => 1_000..6_000,
        }
    }

    /// Returns whether both faults affect a common resource.
    pub(super) fn conflicts_with(&self, other: &Self, layout: &Layout) -> bool {
        let other_resources = other.resources(layout);
        self.resources(layout)
            .iter()
            .any(|resource| other_resources.contains(resource))
    }

    fn resources(&self, layout: &Layout) -> Vec<Resource> {
        match self {
            Self::DaemonKilled(daemon)
            | Self::DaemonPaused(daemon)
            | Self::DaemonTerminated(daemon) => vec![Resource::Daemon(*daemon)],
            Self::AllDaemonsKilled => (0..layout.zones.len()).map(Resource::Daemon).collect(),
            Self::Link { .. } | Self::ZoneCut(_) => vec![Resource::Links],
            Self::Engine { engine, .. } => vec![Resource::Engine(*engine)],
            Self::Application { application, .. } => vec![Resource::Application(*application)],
            Self::KeyValue(_) => vec![Resource::KeyValue],
            Self::MachineListDown | Self::MachineListLate => vec![Resource::MachineList],
            Self::ScorerDown => vec![Resource::Scorer],
        }
    }
}

fn link_kind(fault: LinkFault) -> &'static str {
    match fault {
        LinkFault::Cut => "link-cut",
        LinkFault::OneWay => "link-one-way",
        LinkFault::Delayed => "link-delayed",
        LinkFault::Reset => "link-reset",
        LinkFault::Frozen => "link-frozen",
    }
}

fn engine_kind(fault: EngineFault) -> &'static str {
    match fault {
        EngineFault::Killed => "engine-killed",
        EngineFault::Cuts { .. } => "engine-cuts",
        EngineFault::Refuses { .. } => "engine-refuses",
        EngineFault::Stalls => "engine-stalls",
        EngineFault::SwapFails => "engine-swap-fails",
        EngineFault::ClaimsSwap => "engine-claims-swap",
        EngineFault::OmitsVersion => "engine-omits-version",
        EngineFault::Leaving => "engine-leaving",
    }
}

fn application_kind(fault: ApplicationFault) -> &'static str {
    match fault {
        ApplicationFault::Cuts { .. } => "application-cuts",
        ApplicationFault::Refuses { .. } => "application-refuses",
        ApplicationFault::Slow => "application-slow",
        ApplicationFault::Reset => "application-reset",
    }
}

fn key_value_kind(fault: KeyValueFault) -> &'static str {
    match fault {
        KeyValueFault::Down => "key-value-down",
        KeyValueFault::Slow { .. } => "key-value-slow",
        KeyValueFault::RateLimited => "key-value-rate-limited",
        KeyValueFault::LosesAnswers => "key-value-loses-answers",
        KeyValueFault::Stale => "key-value-stale",
    }
}
