//! Tests the adaptive limit on concurrent loads.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::orders::{FinishedLoad, LinkUse, LoadLimit, LoadTiming};
use proptest::prelude::*;

/// Load time without concurrent loads.
const TIME_ALONE: Duration = Duration::from_millis(900);

/// Simulates rounds in which all allowed loads start at the same moment. Returns the limit after
/// each round.
fn rounds(capacity: usize, count: usize, delays_ms: &[u64]) -> Vec<usize> {
    let mut limit = LoadLimit::default();
    let mut now = Instant::now();
    let mut limits = Vec::new();
    for round in 0..count {
        let concurrent_at_start = limit.get();
        let slowness = (concurrent_at_start as f64 / capacity as f64).max(1.0);
        let delay = Duration::from_millis(delays_ms[round % delays_ms.len()]);
        let duration = TIME_ALONE.mul_f64(slowness) + delay;
        now += duration;
        for number in 1..=concurrent_at_start {
            let mut link = LinkUse::default();
            link.set_loads(concurrent_at_start, now - duration);
            let load = FinishedLoad {
                duration,
                link: link.since(&LinkUse::default(), now),
                concurrent_at_start: number,
                timing: LoadTiming::Exact,
            };
            limit.observe(&load, now);
        }
        limits.push(limit.get());
    }
    limits
}

#[test]
fn the_limit_quickly_reaches_the_link_capacity() {
    let limits = rounds(9, 40, &[0]);
    let settled = &limits[6..];
    let within_range = settled.iter().filter(|limit| (8..=10).contains(*limit));
    assert!(within_range.count() * 10 >= settled.len() * 9, "{limits:?}");
    assert!(settled.iter().all(|limit| *limit <= 18), "{limits:?}");
}

#[test]
fn the_limit_rarely_exceeds_the_link_capacity() {
    let limits = rounds(2, 100, &[0]);
    let exceeded = limits.iter().filter(|limit| **limit > 2).count();
    assert!(exceeded < 20, "{limits:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_limit_stays_close_to_the_link_capacity(
        capacity in 1usize..=400,
        delays_ms in prop::collection::vec(0u64..60, 1..20),
    ) {
        let limits = rounds(capacity, 60, &delays_ms);
        let largest = limits[20..].iter().max().unwrap();
        let smallest = limits[20..].iter().min().unwrap();
        prop_assert!(*largest <= (capacity * 2).max(4), "{:?}", limits);
        prop_assert!(*smallest * 2 >= capacity, "{:?}", limits);
    }
}

/// Factor that determines the speed of a load on a saturated link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SpeedModel {
    /// The concurrency at each moment.
    Shared,
    /// The concurrency at the start of the load.
    FixedAtStart,
}

const SPEED_MODELS: [SpeedModel; 2] = [SpeedModel::Shared, SpeedModel::FixedAtStart];

/// Simulated link with a capacity of `capacity` concurrent loads, on which each load starts as soon
/// as the limit allows.
struct SharedLink {
    capacity: f64,
    speed_model: SpeedModel,
    limit: LoadLimit,
    link: LinkUse,
    now: Instant,
    loads: Vec<RunningLoad>,
}

struct RunningLoad {
    since: Instant,
    before: LinkUse,
    /// Work done, in seconds.
    work_done: f64,
    concurrent_at_start: usize,
    /// Remaining time, in seconds, for which the load makes no progress, as at an unhealthy
    /// instance.
    stall_seconds: f64,
    /// Total work, in seconds.
    work_seconds: f64,
}

impl SharedLink {
    fn new(capacity: usize) -> Self {
        Self::with_speed_model(capacity, SpeedModel::Shared)
    }

    fn with_speed_model(capacity: usize, speed_model: SpeedModel) -> Self {
        Self {
            capacity: capacity as f64,
            speed_model,
            limit: LoadLimit::default(),
            link: LinkUse::default(),
            now: Instant::now(),
            loads: Vec::new(),
        }
    }

    fn start_load(&mut self, stall_seconds: f64) {
        self.start_slow_load(stall_seconds, 1.0);
    }

    /// Starts a load with `slowness` times the typical work.
    fn start_slow_load(&mut self, stall_seconds: f64, slowness: f64) {
        let before = self.link.clone();
        self.loads.push(RunningLoad {
            since: self.now,
            before,
            work_done: 0.0,
            concurrent_at_start: self.loads.len() + 1,
            stall_seconds,
            work_seconds: TIME_ALONE.as_secs_f64() * slowness,
        });
        self.link.set_loads(self.loads.len(), self.now);
    }

    /// Advances the simulation by one millisecond.
    fn advance(&mut self) {
        const STEP: Duration = Duration::from_millis(1);
        let speed = |concurrent: usize| (self.capacity / concurrent.max(1) as f64).min(1.0);
        let shared_speed = speed(self.loads.len());
        self.now += STEP;
        for load in &mut self.loads {
            if load.stall_seconds > 0.0 {
                load.stall_seconds -= STEP.as_secs_f64();
            } else {
                let speed = match self.speed_model {
                    SpeedModel::Shared => shared_speed,
                    SpeedModel::FixedAtStart => speed(load.concurrent_at_start),
                };
                load.work_done += speed * STEP.as_secs_f64();
            }
        }
        let (completed, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition(|load| load.work_done >= load.work_seconds);
        self.loads = running;
        for load in completed {
            let finished = FinishedLoad {
                duration: self.now - load.since,
                link: self.link.since(&load.before, self.now),
                concurrent_at_start: load.concurrent_at_start,
                timing: LoadTiming::Exact,
            };
            self.limit.observe(&finished, self.now);
        }
        self.link.set_loads(self.loads.len(), self.now);
    }
}

/// Guards against taking the concurrency at a load's start for that of its whole duration, which
/// allowed several times the link's capacity.
#[test]
fn staggered_loads_reveal_the_link_capacity() {
    let mut shared = SharedLink::new(2);
    let mut exceeded = 0;
    let mut next_start = shared.now;
    for _ in 0..120_000 {
        exceeded += u32::from(shared.loads.len() > 3);
        shared.advance();
        if shared.loads.len() < shared.limit.get() && shared.now >= next_start {
            shared.start_load(0.0);
            next_start = shared.now + Duration::from_millis(170);
        }
    }
    assert!(shared.limit.get() <= 3, "{:?}", shared.limit);
    assert!(
        exceeded < 12_000,
        "more than three concurrent loads for {exceeded} ms of 120 s"
    );
}

/// Runs waves of `wave` loads each `pause` milliseconds, as versions are announced. Returns the
/// limit after each wave.
fn waves(shared: &mut SharedLink, count: usize, wave: usize, pause: usize) -> Vec<usize> {
    let mut limits = Vec::new();
    for _ in 0..count {
        let mut remaining = wave;
        for _ in 0..pause {
            while remaining > 0 && shared.loads.len() < shared.limit.get() {
                shared.start_load(0.0);
                remaining -= 1;
            }
            shared.advance();
        }
        limits.push(shared.limit.get());
    }
    limits
}

/// Guards against decreasing the limit again for each load that finishes after a burst.
#[test]
fn a_burst_does_not_lower_the_limit_below_the_link_capacity() {
    let mut shared = SharedLink::new(9);
    let limits = waves(&mut shared, 30, 40, 8_000);
    assert!(limits[4..].iter().all(|limit| *limit >= 8), "{limits:?}");
}

/// Guards against decreasing the limit because of a single slow load.
#[test]
fn one_slow_load_does_not_lower_the_limit() {
    let mut shared = SharedLink::new(9);
    waves(&mut shared, 3, 8, 2_000);
    let before = shared.limit.get();
    assert!(before >= 8, "{before}");
    shared.start_load(0.6);
    let limits = waves(&mut shared, 3, 7, 3_000);
    assert!(limits.iter().all(|limit| *limit >= before), "{limits:?}");
}

/// Guards against counting loads as slow whose finish was only detected late, as when another
/// instance hangs.
#[test]
fn loads_that_were_detected_late_do_not_lower_the_limit() {
    let start = Instant::now();
    let typical_time = Duration::from_millis(900);
    let mut limit = LoadLimit::from_learned(6, typical_time, true);
    let mut link = LinkUse::default();
    link.set_loads(6, start);
    let slow = |timing| {
        let now = start + typical_time.mul_f64(1.3);
        FinishedLoad {
            duration: now - start,
            link: link.since(&LinkUse::default(), now),
            concurrent_at_start: 6,
            timing,
        }
    };
    let now = start + typical_time.mul_f64(1.3);
    (0..10).for_each(|_| limit.observe(&slow(LoadTiming::DetectedLate), now));
    assert_eq!(limit.get(), 6);
    (0..6).for_each(|_| limit.observe(&slow(LoadTiming::Exact), now));
    assert!(
        limit.get() < 6,
        "a wave of slow loads with exact timing lowers the limit"
    );
}

/// Guards against decreasing the limit several times for one burst.
#[test]
fn a_burst_of_too_many_loads_lowers_the_limit_once() {
    let start = Instant::now();
    let typical_time = Duration::from_millis(900);
    let mut limit = LoadLimit::from_learned(25, typical_time, true);
    let mut link = LinkUse::default();
    link.set_loads(25, start);
    let burst = |taken_ms| {
        let now = start + Duration::from_millis(taken_ms);
        let load = FinishedLoad {
            duration: now - start,
            link: link.since(&LinkUse::default(), now),
            concurrent_at_start: 25,
            timing: LoadTiming::Exact,
        };
        (load, now)
    };
    let limits: Vec<usize> = (0..25)
        .map(|number| {
            let (load, now) = burst(1_500 + 40 * number);
            limit.observe(&load, now);
            limit.get()
        })
        .collect();
    assert!(limits[11] < 25, "{limits:?}");
    let lowered: Vec<usize> = limits.into_iter().filter(|one| *one < 25).collect();
    assert!(lowered.iter().all(|one| *one == lowered[0]), "{lowered:?}");
}

/// Result of one simulated minute.
struct Minute {
    /// Loads finished after the first ten seconds.
    loads: usize,
    /// Limit at each second.
    limits: Vec<usize>,
}

/// Simulates a minute in which loads are always waiting. `slowness` maps a load's number and start
/// time in seconds to its relative work.
fn busy_minute(shared: &mut SharedLink, slowness: impl Fn(usize, f64) -> f64) -> Minute {
    let started_at = shared.now;
    let mut started = 0;
    let mut finished_early = 0;
    let mut limits = Vec::new();
    for millisecond in 0..60_000 {
        let since = (shared.now - started_at).as_secs_f64();
        while shared.loads.len() < shared.limit.get() {
            shared.start_slow_load(0.0, slowness(started, since));
            started += 1;
        }
        shared.advance();
        if millisecond == 10_000 {
            finished_early = started - shared.loads.len();
        }
        if millisecond % 1_000 == 999 {
            limits.push(shared.limit.get());
        }
    }
    Minute {
        loads: started - shared.loads.len() - finished_early,
        limits,
    }
}

/// Slows down every fifth load, chosen pseudo-randomly, during the first half of a minute.
fn slow_fifth(number: usize, since: f64) -> f64 {
    let is_slow = (number * 2_654_435_761) >> 8 & 0xff < 51;
    if is_slow && since < 30.0 { 1.28 } else { 1.0 }
}

/// Guards against mistaking several slow loads of unhealthy instances for a saturated link.
#[test]
fn unhealthy_instances_do_not_count_as_a_saturated_link() {
    let links = [2, 9, 24, 100].into_iter();
    for (capacity, speed_model) in
        links.flat_map(|capacity| SPEED_MODELS.map(|speed_model| (capacity, speed_model)))
    {
        let mut shared = SharedLink::with_speed_model(capacity, speed_model);
        let minute = busy_minute(&mut shared, slow_fifth);
        let max_loads = capacity as f64 * 50.0 / TIME_ALONE.as_secs_f64();
        let share = minute.loads as f64 / max_loads;
        let limits = &minute.limits;
        assert!(
            share > 0.88,
            "utilization {share} of a link with capacity {capacity}, {speed_model:?}: {limits:?}"
        );
        assert!(
            limits[13..]
                .iter()
                .all(|limit| *limit <= capacity * 3 / 2 + 1),
            "link with capacity {capacity}, {speed_model:?}: {limits:?}"
        );
    }
}

/// Guards against a permanently lower limit if all loads slow down at any concurrency.
#[test]
fn a_general_slowdown_does_not_lower_the_limit_for_long() {
    let mut shared = SharedLink::new(24);
    let slower = |_, since| if since > 15.0 { 1.4 } else { 1.0 };
    let minute = busy_minute(&mut shared, slower);
    let late_limits = &minute.limits[30..];
    assert!(
        late_limits.iter().all(|limit| *limit >= 20),
        "{:?}",
        minute.limits
    );
}

/// Guards against taking the limit of a previous leader, which was still increasing, for the link's
/// capacity.
#[test]
fn a_new_leader_continues_to_increase_the_limit() {
    for speed_model in SPEED_MODELS {
        let mut shared = SharedLink::with_speed_model(24, speed_model);
        shared.limit = LoadLimit::from_learned(4, TIME_ALONE, false);
        let minute = busy_minute(&mut shared, |_, _| 1.0);
        assert!(
            minute.limits[5] >= 20,
            "{speed_model:?}: {:?}",
            minute.limits
        );
    }
}

/// Guards against doubling a learned limit that is already close to the link's capacity.
#[test]
fn a_new_leader_does_not_double_a_limit_close_to_capacity() {
    let mut shared = SharedLink::new(24);
    shared.limit = LoadLimit::from_learned(24, TIME_ALONE, true);
    let minute = busy_minute(&mut shared, |_, _| 1.0);
    assert!(
        minute.limits.iter().all(|limit| *limit <= 30),
        "{:?}",
        minute.limits
    );
}

/// Guards against raising the proven concurrency from loads that had concurrent loads only after
/// their start.
#[test]
fn loads_joined_by_others_later_do_not_raise_the_proven_concurrency() {
    let mut shared = SharedLink::with_speed_model(26, SpeedModel::FixedAtStart);
    // At most sixteen orders are issued per planning round of 50 ms.
    let mut limits = Vec::new();
    for millisecond in 0..40_000 {
        if millisecond % 50 == 0 {
            let free_slots = shared.limit.get().saturating_sub(shared.loads.len());
            (0..free_slots.min(16)).for_each(|_| shared.start_load(0.0));
        }
        shared.advance();
        limits.push(shared.limit.get());
    }
    assert!(
        limits.iter().all(|limit| *limit <= 64),
        "{:?}",
        limits.iter().max()
    );
    let late_limits = &limits[10_000..];
    assert!(
        late_limits.iter().all(|limit| (22..=34).contains(limit)),
        "{:?}",
        &late_limits[..40]
    );
}
