//! How many loads may be under way at once is learnt from how long they take.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::orders::{FinishedLoad, LinkUse, LoadLimit, LoadTiming};
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
                at_begin: number,
                timing: LoadTiming::Exact,
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

/// What sets the pace of a load on a link with more loads than it bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// Its share of the link at each moment.
    Shared,
    /// Its share of the link as it began.
    SetAtBegin,
}

const PACES: [Pace; 2] = [Pace::Shared, Pace::SetAtBegin];

/// A link that bears `free` loads at once, on which loads begin one after the other, each as soon as the limit allows.
struct SharedLink {
    free: f64,
    pace: Pace,
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
    /// Seconds of work in all.
    work: f64,
}

impl SharedLink {
    fn new(free: usize) -> Self {
        Self::with_pace(free, Pace::Shared)
    }

    fn with_pace(free: usize, pace: Pace) -> Self {
        Self {
            free: free as f64,
            pace,
            limit: LoadLimit::default(),
            link: LinkUse::default(),
            now: Instant::now(),
            loads: Vec::new(),
        }
    }

    fn begin(&mut self, stall: f64) {
        self.begin_slow(stall, 1.0);
    }

    /// A load that is `slowness` times as much work as others.
    fn begin_slow(&mut self, stall: f64, slowness: f64) {
        let before = self.link.clone();
        self.loads.push(OpenLoad {
            since: self.now,
            before,
            done: 0.0,
            beside: self.loads.len() + 1,
            stall,
            work: ALONE.as_secs_f64() * slowness,
        });
        self.link.set_loads(self.loads.len(), self.now);
    }

    /// Passes one millisecond.
    fn step(&mut self) {
        const STEP: Duration = Duration::from_millis(1);
        let speed = |beside: usize| (self.free / beside.max(1) as f64).min(1.0);
        let shared_speed = speed(self.loads.len());
        self.now += STEP;
        for load in &mut self.loads {
            if load.stall > 0.0 {
                load.stall -= STEP.as_secs_f64();
            } else {
                let speed = match self.pace {
                    Pace::Shared => shared_speed,
                    Pace::SetAtBegin => speed(load.beside),
                };
                load.done += speed * STEP.as_secs_f64();
            }
        }
        let (done, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition(|load| load.done >= load.work);
        self.loads = open;
        for load in done {
            let finished = FinishedLoad {
                taken: self.now - load.since,
                link: self.link.since(&load.before, self.now),
                at_begin: load.beside,
                timing: LoadTiming::Exact,
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
    let mut limit = LoadLimit::from_learned(6, least, true);
    let mut link = LinkUse::default();
    link.set_loads(6, start);
    let slow = |timing| {
        let now = start + least.mul_f64(1.3);
        FinishedLoad {
            taken: now - start,
            link: link.since(&LinkUse::default(), now),
            at_begin: 6,
            timing,
        }
    };
    let now = start + least.mul_f64(1.3);
    (0..10).for_each(|_| limit.note(&slow(LoadTiming::NoticedLate), now));
    assert_eq!(limit.get(), 6);
    (0..6).for_each(|_| limit.note(&slow(LoadTiming::Exact), now));
    assert!(
        limit.get() < 6,
        "a wave of loads that are known exactly does"
    );
}

/// Found in the logs of two days: 25 loads had begun at once on a link that bears nine, and each three of them that ended lowered the
/// limit again, to five.
#[test]
fn a_burst_of_too_many_loads_lowers_the_limit_once() {
    let start = Instant::now();
    let least = Duration::from_millis(900);
    let mut limit = LoadLimit::from_learned(25, least, true);
    let mut link = LinkUse::default();
    link.set_loads(25, start);
    let burst = |taken_ms| {
        let now = start + Duration::from_millis(taken_ms);
        let load = FinishedLoad {
            taken: now - start,
            link: link.since(&LinkUse::default(), now),
            at_begin: 25,
            timing: LoadTiming::Exact,
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
    assert!(limits[11] < 25, "{limits:?}");
    let lowered: Vec<usize> = limits.into_iter().filter(|one| *one < 25).collect();
    assert!(lowered.iter().all(|one| *one == lowered[0]), "{lowered:?}");
}

/// What a link brought in a minute.
struct Minute {
    /// Loads that were done after the first ten seconds.
    loads: usize,
    /// The limits, each second.
    limits: Vec<usize>,
}

/// Loads wait all the time, as on a large fleet whose models name versions one after the other; `slowness` tells that of each
/// load, by its number and its time.
fn busy_minute(shared: &mut SharedLink, slowness: impl Fn(usize, f64) -> f64) -> Minute {
    let begun_at = shared.now;
    let mut begun = 0;
    let mut done_early = 0;
    let mut limits = Vec::new();
    for millisecond in 0..60_000 {
        let since = (shared.now - begun_at).as_secs_f64();
        while shared.loads.len() < shared.limit.get() {
            shared.begin_slow(0.0, slowness(begun, since));
            begun += 1;
        }
        shared.step();
        if millisecond == 10_000 {
            done_early = begun - shared.loads.len();
        }
        if millisecond % 1_000 == 999 {
            limits.push(shared.limit.get());
        }
    }
    Minute {
        loads: begun - shared.loads.len() - done_early,
        limits,
    }
}

/// Every fifth load is one of a sick instance for the first half of a minute, by a pseudo-random choice.
fn sick_fifth(number: usize, since: f64) -> f64 {
    let is_sick = (number * 2_654_435_761) >> 8 & 0xff < 51;
    if is_sick && since < 30.0 { 1.28 } else { 1.0 }
}

/// Found on a quiet day of 122 instances, a fifth of them slow for eight seconds: three slow loads in a row were taken for a full
/// link, again and again, and two at a time went on for ten seconds on a link that bears 24.
#[test]
fn sick_instances_are_not_taken_for_a_full_link() {
    let links = [2, 9, 24, 100].into_iter();
    for (free, pace) in links.flat_map(|free| PACES.map(|pace| (free, pace))) {
        let mut shared = SharedLink::with_pace(free, pace);
        let minute = busy_minute(&mut shared, sick_fifth);
        let most = free as f64 * 50.0 / ALONE.as_secs_f64();
        let share = minute.loads as f64 / most;
        let limits = &minute.limits;
        assert!(
            share > 0.88,
            "{share} of a link of {free}, {pace:?}: {limits:?}"
        );
        assert!(
            limits[13..].iter().all(|limit| *limit <= free * 3 / 2 + 1),
            "link of {free}, {pace:?}: {limits:?}"
        );
    }
}

/// Where all loads become slower, however many are under way, fewer at once do not help.
#[test]
fn loads_that_are_all_slower_than_before_do_not_lower_the_limit_for_long() {
    let mut shared = SharedLink::new(24);
    let slower = |_, since| if since > 15.0 { 1.4 } else { 1.0 };
    let minute = busy_minute(&mut shared, slower);
    let late = &minute.limits[30..];
    assert!(late.iter().all(|limit| *limit >= 20), "{:?}", minute.limits);
}

/// Found on the same day: the second giver of orders took the limit of the first, which was still on its way up, for what the link
/// bears.
#[test]
fn a_new_giver_goes_on_with_the_rise_of_the_one_before() {
    for pace in PACES {
        let mut shared = SharedLink::with_pace(24, pace);
        shared.limit = LoadLimit::from_learned(4, ALONE, false);
        let minute = busy_minute(&mut shared, |_, _| 1.0);
        assert!(minute.limits[5] >= 20, "{pace:?}: {:?}", minute.limits);
    }
}

/// A giver that knows from the one before that the link was full does not overshoot it.
#[test]
fn a_new_giver_does_not_double_what_was_full() {
    let mut shared = SharedLink::new(24);
    shared.limit = LoadLimit::from_learned(24, ALONE, true);
    let minute = busy_minute(&mut shared, |_, _| 1.0);
    assert!(
        minute.limits.iter().all(|limit| *limit <= 30),
        "{:?}",
        minute.limits
    );
}

/// Found on a day whose link bears 26: each wave of loads began one after the other, those that began first were even although more
/// followed them, and 85 went at once and took 2.9 s each.
#[test]
fn loads_that_others_followed_do_not_prove_that_so_many_go_evenly() {
    let mut shared = SharedLink::with_pace(26, Pace::SetAtBegin);
    // Sixteen orders at most are given at once, each 50 ms.
    let mut limits = Vec::new();
    for millisecond in 0..40_000 {
        if millisecond % 50 == 0 {
            let room = shared.limit.get().saturating_sub(shared.loads.len());
            (0..room.min(16)).for_each(|_| shared.begin(0.0));
        }
        shared.step();
        limits.push(shared.limit.get());
    }
    assert!(
        limits.iter().all(|limit| *limit <= 64),
        "{:?}",
        limits.iter().max()
    );
    let late = &limits[10_000..];
    assert!(
        late.iter().all(|limit| (22..=34).contains(limit)),
        "{:?}",
        &late[..40]
    );
}
