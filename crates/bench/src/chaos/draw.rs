//! Random selection of faults.

use rand::RngExt;
use rand::rngs::StdRng;

use super::fault::{ApplicationFault, EngineFault, Fault, KeyValueFault, Layout, LinkFault};
use crate::stand_in::CutPoint;

impl Fault {
    /// Draws a fault; the loss of all daemons has a low weight.
    pub(super) fn draw(random: &mut StdRng, layout: &Layout) -> Self {
        let daemon = random.random_range(0..layout.zones.len());
        match random.random_range(0..100) {
            0..11 => Self::DaemonKilled(daemon),
            11..22 => Self::DaemonPaused(daemon),
            22..30 => Self::DaemonTerminated(daemon),
            30..33 => Self::AllDaemonsKilled,
            33..47 => draw_link(random, layout, daemon),
            47..52 => Self::ZoneCut(layout.zones[daemon]),
            52..70 => Self::Engine {
                engine: random.random_range(0..layout.engines),
                fault: draw_engine_fault(random),
            },
            70..78 => Self::Application {
                application: random.random_range(0..layout.applications),
                fault: draw_application_fault(random),
            },
            78..92 => Self::KeyValue(draw_key_value_fault(random)),
            92..95 => Self::MachineListDown,
            95..97 => Self::MachineListLate,
            _ => Self::ScorerDown,
        }
    }
}

fn draw_link(random: &mut StdRng, layout: &Layout, first: usize) -> Fault {
    let distance = random.random_range(1..layout.zones.len());
    let fault = match random.random_range(0..5) {
        0 => LinkFault::Cut,
        1 => LinkFault::OneWay,
        2 => LinkFault::Delayed,
        3 => LinkFault::Reset,
        _ => LinkFault::Frozen,
    };
    Fault::Link {
        first,
        second: (first + distance) % layout.zones.len(),
        fault,
    }
}

fn draw_engine_fault(random: &mut StdRng) -> EngineFault {
    match random.random_range(0..9) {
        0 | 1 => EngineFault::Killed,
        2 => EngineFault::Cuts {
            point: draw_cut_point(random),
            answers: random.random_range(1..12),
        },
        3 => EngineFault::Refuses {
            requests: random.random_range(1..30),
        },
        4 => EngineFault::Stalls,
        5 => EngineFault::SwapFails,
        6 => EngineFault::ClaimsSwap,
        7 => EngineFault::OmitsVersion,
        _ => EngineFault::Leaving,
    }
}

fn draw_application_fault(random: &mut StdRng) -> ApplicationFault {
    match random.random_range(0..5) {
        0 | 1 => ApplicationFault::Cuts {
            point: draw_cut_point(random),
            answers: random.random_range(1..12),
        },
        2 => ApplicationFault::Refuses {
            requests: random.random_range(1..30),
        },
        3 => ApplicationFault::Slow,
        _ => ApplicationFault::Reset,
    }
}

fn draw_cut_point(random: &mut StdRng) -> CutPoint {
    match random.random_range(0..3) {
        0 => CutPoint::BeforeHeaders,
        1 => CutPoint::MidBody,
        _ => CutPoint::BeforeEnd,
    }
}

fn draw_key_value_fault(random: &mut StdRng) -> KeyValueFault {
    match random.random_range(0..5) {
        0 => KeyValueFault::Down,
        1 => KeyValueFault::Slow {
            delay_ms: random.random_range(500..4_000),
        },
        2 => KeyValueFault::RateLimited,
        3 => KeyValueFault::LosesAnswers,
        _ => KeyValueFault::Stale,
    }
}
