//! How many loads may be under way at once is learnt from how long they take.

use std::time::{Duration, Instant};

use ladderstage_front::orders::{FinishedLoad, LinkShare, LoadLimit};
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
            let load = FinishedLoad {
                taken,
                share: taken / beside as u32,
                beside: number.max(beside + 1 - number),
            };
            limit.note(load, now);
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

/// Loads that begin one after the other, each as soon as the limit allows, on a link that bears two at once. Found on days with a
/// new giver of orders: the number of loads beside each other was taken for their whole time, and four to nine were under way.
#[test]
fn loads_that_begin_at_different_moments_show_what_their_link_bears() {
    const STEP: Duration = Duration::from_millis(1);
    let mut limit = LoadLimit::default();
    let mut share = LinkShare::default();
    let mut now = Instant::now();
    let mut loads: Vec<(Instant, Duration, f64, usize)> = Vec::new();
    let mut above = 0;
    let mut next_start = now;
    for _ in 0..120_000 {
        let speed = (2.0 / loads.len().max(1) as f64).min(1.0);
        now += STEP;
        loads
            .iter_mut()
            .for_each(|load| load.2 += speed * STEP.as_secs_f64());
        above += u32::from(loads.len() > 3);
        let (done, open): (Vec<_>, Vec<_>) = loads
            .into_iter()
            .partition(|load| load.2 >= ALONE.as_secs_f64());
        loads = open;
        for (since, before, _, beside) in done {
            let load = FinishedLoad {
                taken: now - since,
                share: share.sum(now) - before,
                beside: beside.max(loads.len() + 1),
            };
            limit.note(load, now);
        }
        if loads.len() < limit.get() && now >= next_start {
            loads.push((now, share.sum(now), 0.0, loads.len() + 1));
            next_start = now + Duration::from_millis(170);
        }
        share.set_loads(loads.len(), now);
    }
    assert!(limit.get() <= 3, "{limit:?}");
    assert!(
        above < 12_000,
        "more than three loads at once for {above} ms of 120 s"
    );
}
