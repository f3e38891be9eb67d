//! How many loads may be under way at once is learnt from how long they take.

use std::time::{Duration, Instant};

use ladderstage_front::orders::{FinishedLoad, LinkUse, LoadLimit};
use proptest::prelude::*;

/// How long a load takes while nothing else loads.
const ALONE: Duration = Duration::from_millis(900);

/// Rounds of loads: each begins as many as the limit allows, all at the same moment. Returns the limits.
fn rounds(free: usize, count: usize, off_by_ms: &[u64]) -> Vec<usize> {
    let mut limit = LoadLimit::default();
    let mut now = Instant::now();
    let mut limits = Vec::new();
    for round in 0..count {
        let beside = limit.get();
        let slowness = (beside as f64 / free as f64).max(1.0);
        let off = Duration::from_millis(off_by_ms[round % off_by_ms.len()]);
        let taken = ALONE.mul_f64(slowness) + off;
        now += taken;
        for number in 1..=beside {
            let mut link = LinkUse::default();
            link.set_loads(beside, now - taken);
            let load = FinishedLoad {
                taken,
                link: link.since(&LinkUse::default(), now),
                beside: number.max(beside + 1 - number),
                is_exact: true,
            };
            limit.note(&load, now);
        }
        limits.push(limit.get());
    }
    limits
}

#[test]
fn a_large_fleet_soon_loads_as_many_as_its_link_bears() {
    let limits = rounds(9, 40, &[0]);
    let learnt = &limits[6..];
    let near = learnt.iter().filter(|limit| (8..=10).contains(*limit));
    assert!(near.count() * 10 >= learnt.len() * 9, "{limits:?}");
    assert!(learnt.iter().all(|limit| *limit <= 18), "{limits:?}");
}

#[test]
fn loads_that_slow_each_other_down_stay_rare() {
    let limits = rounds(2, 100, &[0]);
    let above = limits.iter().filter(|limit| **limit > 2).count();
    assert!(above < 20, "{limits:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_limit_stays_near_what_loads_bear(
        free in 1usize..=400,
        off_by_ms in prop::collection::vec(0u64..60, 1..20),
    ) {
        let limits = rounds(free, 60, &off_by_ms);
        let most = limits[20..].iter().max().unwrap();
        let least = limits[20..].iter().min().unwrap();
        prop_assert!(*most <= (free * 2).max(4), "{:?}", limits);
        prop_assert!(*least * 2 >= free, "{:?}", limits);
    }
}

/// A link that bears `free` loads at once, on which loads begin one after the other, each as soon as the limit allows.
struct SharedLink {
    free: f64,
    limit: LoadLimit,
    link: LinkUse,
    now: Instant,
    loads: Vec<OpenLoad>,
}

struct OpenLoad {
    since: Instant,
    before: LinkUse,
    /// Seconds of work done.
    done: f64,
    beside: usize,
    /// Seconds for which the load stands still by itself, as one of a sick instance does.
    stall: f64,
}

impl SharedLink {
    fn new(free: usize) -> Self {
        Self {
            free: free as f64,
            limit: LoadLimit::default(),
            link: LinkUse::default(),
            now: Instant::now(),
            loads: Vec::new(),
        }
    }

    fn begin(&mut self, stall: f64) {
        let before = self.link.clone();
        self.loads.push(OpenLoad {
            since: self.now,
            before,
            done: 0.0,
            beside: self.loads.len() + 1,
            stall,
        });
        self.link.set_loads(self.loads.len(), self.now);
    }

    /// Passes one millisecond.
    fn step(&mut self) {
        const STEP: Duration = Duration::from_millis(1);
        let speed = (self.free / self.loads.len().max(1) as f64).min(1.0);
        self.now += STEP;
        for load in &mut self.loads {
            if load.stall > 0.0 {
                load.stall -= STEP.as_secs_f64();
            } else {
                load.done += speed * STEP.as_secs_f64();
            }
        }
        let (done, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition(|load| load.done >= ALONE.as_secs_f64());
        self.loads = open;
        for load in done {
            let finished = FinishedLoad {
                taken: self.now - load.since,
                link: self.link.since(&load.before, self.now),
                beside: load.beside.max(self.loads.len() + 1),
                is_exact: true,
            };
            self.limit.note(&finished, self.now);
        }
        self.link.set_loads(self.loads.len(), self.now);
    }
}

/// Found on days with a new giver of orders: the number of loads beside each other was taken for their whole time, and four to
/// nine were under way on a link that bears two.
#[test]
fn loads_that_begin_at_different_moments_show_what_their_link_bears() {
    let mut shared = SharedLink::new(2);
    let mut above = 0;
    let mut next_start = shared.now;
    for _ in 0..120_000 {
        above += u32::from(shared.loads.len() > 3);
        shared.step();
        if shared.loads.len() < shared.limit.get() && shared.now >= next_start {
            shared.begin(0.0);
            next_start = shared.now + Duration::from_millis(170);
        }
    }
    assert!(shared.limit.get() <= 3, "{:?}", shared.limit);
    assert!(
        above < 12_000,
        "more than three loads at once for {above} ms of 120 s"
    );
}

/// Waves of `wave` loads each `pause` ms, as versions are named; returns the limits at the end of each wave.
fn waves(shared: &mut SharedLink, count: usize, wave: usize, pause: usize) -> Vec<usize> {
    let mut limits = Vec::new();
    for _ in 0..count {
        let mut left = wave;
        for _ in 0..pause {
            while left > 0 && shared.loads.len() < shared.limit.get() {
                shared.begin(0.0);
                left -= 1;
            }
            shared.step();
        }
        limits.push(shared.limit.get());
    }
    limits
}

/// Found on days of 44 instances, whose link bears nine loads: as a wave of too many ran out, each later load showed less, and
/// the limit fell to four or five for up to 160 s.
#[test]
fn a_wave_of_too_many_loads_does_not_lower_the_limit_below_what_the_link_bears() {
    let mut shared = SharedLink::new(9);
    let limits = waves(&mut shared, 30, 40, 8_000);
    assert!(limits[4..].iter().all(|limit| *limit >= 8), "{limits:?}");
}

/// Found on a day with sick instances: one load that took 1.5 s instead of 1 s lowered the limit from eight to two, and 42 of 44
/// instances got no new weights for 10 s.
#[test]
fn one_slow_load_does_not_lower_the_limit() {
    let mut shared = SharedLink::new(9);
    waves(&mut shared, 3, 8, 2_000);
    let before = shared.limit.get();
    assert!(before >= 8, "{before}");
    shared.begin(0.6);
    let limits = waves(&mut shared, 3, 7, 3_000);
    assert!(limits.iter().all(|limit| *limit >= before), "{limits:?}");
}

/// Found in the logs of a day on which instances went dark: the giver waited 0.8 s for one of them, noticed three loads late that
/// were done on time, and lowered the limit to four on a link that bears nine.
#[test]
fn loads_that_were_noticed_late_do_not_lower_the_limit() {
    let start = Instant::now();
    let least = Duration::from_millis(900);
    let mut limit = LoadLimit::from_learnt(6, least);
    let mut link = LinkUse::default();
    link.set_loads(6, start);
    let slow = |is_exact| {
        let now = start + least.mul_f64(1.3);
        FinishedLoad {
            taken: now - start,
            link: link.since(&LinkUse::default(), now),
            beside: 6,
            is_exact,
        }
    };
    let now = start + least.mul_f64(1.3);
    (0..10).for_each(|_| limit.note(&slow(false), now));
    assert_eq!(limit.get(), 6);
    (0..3).for_each(|_| limit.note(&slow(true), now));
    assert!(limit.get() < 6, "loads that are known exactly do");
}

/// Found in the logs of two days: 25 loads had begun at once on a link that bears nine, and each three of them that ended lowered the
/// limit again, to five.
#[test]
fn a_burst_of_too_many_loads_lowers_the_limit_once() {
    let start = Instant::now();
    let least = Duration::from_millis(900);
    let mut limit = LoadLimit::from_learnt(25, least);
    let mut link = LinkUse::default();
    link.set_loads(25, start);
    let burst = |taken_ms| {
        let now = start + Duration::from_millis(taken_ms);
        let load = FinishedLoad {
            taken: now - start,
            link: link.since(&LinkUse::default(), now),
            beside: 25,
            is_exact: true,
        };
        (load, now)
    };
    let limits: Vec<usize> = (0..25)
        .map(|number| {
            let (load, now) = burst(1_500 + 40 * number);
            limit.note(&load, now);
            limit.get()
        })
        .collect();
    assert!(limits[2] < 25, "{limits:?}");
    assert!(
        limits[2..].iter().all(|one| *one == limits[2]),
        "{limits:?}"
    );
}
