//! Adaptive limit on concurrent weight loads.
//!
//! All loads share one link. Up to the capacity of the link each load takes its typical time;
//! beyond it, loads slow each other down. The capacity is not known, so it is estimated from
//! finished loads: `proven` is the highest concurrency without slowdown, and `full` is the last
//! saturation. Before the first slowdown the limit is twice the proven concurrency, so it doubles
//! with each wave of loads. After a slowdown it drops to the estimated capacity and then rises
//! slowly, as links change.
//!
//! A saturated link slows all loads, an unhealthy instance only its own, and finish times are
//! noticed with a delay. Decisions therefore use the latest loads together, relative to the median
//! time of loads with few others at the same time.
//!
//! On some links a load's speed depends on the concurrency when it started, on others on the
//! concurrency at each moment. Both estimates are kept, and the one with the smaller spread is
//! used.

use std::collections::VecDeque;
use std::time::Duration;

use super::link_use::LinkTimes;
use ladderstage_clock::Instant;

/// Initial and minimum limit.
const LEAST_LIMIT: usize = 2;

/// Ratio of the limit to the proven concurrency before the first slowdown.
const PROBE_FACTOR: f64 = 2.0;

/// Number of unslowed loads above the proven concurrency that raise it.
const LEAST_PROOF: usize = 3;

/// Maximum ratio to the typical time at which a load counts as unslowed.
const EVEN_RATIO: f64 = 1.12;

/// Same as [`EVEN_RATIO`] close to the link's capacity, where one load too many must be detected.
const NEAR_EVEN_RATIO: f64 = 1.08;

/// Minimum ratio to the typical time at which a load counts as slow.
const SLOW_RATIO: f64 = 1.25;

/// Fraction of the latest loads that must be slow for the link to count as saturated; high enough
/// that some unhealthy instances do not suffice.
const FULL_SHARE: f64 = 0.75;

/// Minimum number of recent loads to evaluate; half of a larger limit.
const LEAST_LATEST: usize = 6;

/// Maximum number of recent loads to evaluate.
const MOST_LATEST: usize = 24;

/// Number of loads whose median is the typical time.
const USUAL_LOADS: usize = 15;

/// Maximum concurrency, relative to the proven one, at which a load contributes to the typical
/// time.
const FEW_SHARE: f64 = 0.8;

/// Quantile of the slow loads' estimates that is used, as loads that are slow for another reason
/// yield estimates that are too low.
const SHOWN_QUANTILE: f64 = 0.75;

/// Initial time without increases after a saturation; doubles while the capacity stays about the
/// same.
const FIRST_HOLD: Duration = Duration::from_secs(10);

/// Maximum time without increases.
const LONGEST_HOLD: Duration = Duration::from_secs(160);

/// Factor within which two capacity estimates count as the same.
const SAME_FACTOR: f64 = 1.3;

/// Maximum ratio of concurrency to that before a decrease at which it counts as lower.
const FEWER_SHARE: f64 = 0.85;

/// Ratio of slowness to that before a decrease from which on the decrease counts as ineffective.
const VAIN_SHARE: f64 = 0.95;

/// Minimum ratio of concurrency to the limit at which a load counts as using the limit.
const USED_SHARE: f64 = 0.5;

/// Fraction by which the limit increases close to the link's capacity, at least one load.
const RISE_SHARE: f64 = 0.1;

/// Latest saturation of the link.
#[derive(Debug, Clone, PartialEq)]
struct FullLink {
    /// Estimated capacity in concurrent loads.
    borne: f64,
    /// Median slowness and concurrency of the loads.
    ratio: f64,
    beside: f64,
    /// Limit before the decrease.
    limit_before: usize,
    at: Instant,
    /// Time after `at` without increases.
    hold: Duration,
}

impl FullLink {
    /// Returns true if loads are as slow as before a recent decrease, despite lower concurrency:
    /// then the link is not the cause.
    fn was_in_vain(&self, ratio: f64, beside: f64, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.at) < FIRST_HOLD;
        is_recent && beside <= self.beside * FEWER_SHARE && ratio >= self.ratio * VAIN_SHARE
    }
}

/// Sample from a recent load.
#[derive(Debug, Clone, PartialEq)]
struct LatestLoad {
    taken: Duration,
    /// Load time relative to the typical one.
    ratio: f64,
    /// Concurrency at the start or on average, whichever is lower.
    beside: f64,
    /// Estimated capacity if the concurrency at the start determined the speed.
    borne_by_begin: f64,
    /// Estimated capacity if the concurrency at each moment determined the speed.
    borne_by_share: f64,
}

/// Limit on concurrent loads, learned from finished loads.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimit {
    limit: usize,
    /// Shortest load time so far.
    least: Option<Duration>,
    /// Recent load times at low concurrency, and their median.
    usual_times: VecDeque<Duration>,
    usual: Option<Duration>,
    /// Highest concurrency at which loads were not slowed down.
    proven: f64,
    /// `None` if no saturation was observed here.
    full: Option<FullLink>,
    /// A slowdown was observed, here or by an earlier leader, so the limit no longer doubles.
    is_near: bool,
    latest: VecDeque<LatestLoad>,
    /// Unslowed loads since the last increase that used the limit.
    even_loads: usize,
}

/// Measurements of a finished load.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedLoad {
    /// Load time.
    pub taken: Duration,
    /// Time spent at each level of concurrency during the load.
    pub link: LinkTimes,
    /// Loads in progress at the start, including this one.
    pub at_begin: usize,
    /// Accuracy of `taken`.
    pub timing: LoadTiming,
}

/// Accuracy of a load's measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadTiming {
    /// Start and finish are known.
    Exact,
    /// The finish was noticed late, so the load may have taken less time.
    NoticedLate,
    /// The start is unknown, or the finish was observed by other means than for other loads.
    Unknown,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: LEAST_LIMIT,
            least: None,
            usual_times: VecDeque::new(),
            usual: None,
            proven: 0.0,
            full: None,
            is_near: false,
            latest: VecDeque::new(),
            even_loads: 0,
        }
    }
}

impl LoadLimit {
    /// Creates a limit from the values that another leader learned: the limit, the typical load
    /// time, and whether the limit is close to the capacity of the link.
    pub fn from_learnt(limit: usize, usual: Duration, is_near: bool) -> Self {
        Self {
            limit: limit.max(LEAST_LIMIT),
            least: Some(usual),
            usual_times: VecDeque::from([usual]),
            usual: Some(usual),
            proven: limit as f64 / PROBE_FACTOR,
            is_near,
            ..Self::default()
        }
    }

    /// Returns the maximum number of concurrent loads.
    pub fn get(&self) -> usize {
        self.limit
    }

    /// Returns the shortest load time so far; `None` before the first load.
    pub fn least(&self) -> Option<Duration> {
        self.least
    }

    /// Returns the typical load time at low concurrency; `None` before the first load.
    pub fn usual(&self) -> Option<Duration> {
        self.usual
    }

    fn set_usual(&mut self, times: VecDeque<Duration>) {
        let mut sorted: Vec<Duration> = times.iter().copied().collect();
        sorted.sort();
        self.usual = sorted.get(sorted.len().saturating_sub(1) / 2).copied();
        self.usual_times = times;
    }

    /// Returns true once a slowdown was observed.
    pub fn is_near(&self) -> bool {
        self.is_near
    }

    /// Updates the limit from a finished load. A load that was noticed late can count as unslowed,
    /// but not as slow.
    pub fn note(&mut self, load: &FinishedLoad, now: Instant) {
        if load.timing == LoadTiming::Unknown {
            return;
        }
        self.least = Some(self.least.map_or(load.taken, |least| least.min(load.taken)));
        let beside = load.link.mean().min(load.at_begin as f64);
        if load.timing == LoadTiming::Exact {
            self.note_usual(load.taken, load.link.most());
        }
        let Some(usual) = self.usual() else {
            return;
        };
        let ratio = load.taken.as_secs_f64() / usual.as_secs_f64().max(f64::MIN_POSITIVE);
        if ratio > EVEN_RATIO && !self.is_telling(load, now) {
            return;
        }
        self.note_latest(LatestLoad {
            taken: load.taken,
            ratio,
            beside,
            borne_by_begin: load.at_begin as f64 / ratio,
            borne_by_share: load.link.borne(usual),
        });
        self.is_near |= self.are_most(|load| load.ratio > EVEN_RATIO);
        if self.are_most(|load| load.ratio >= SLOW_RATIO) {
            self.take_full(now);
            return;
        }
        self.prove();
        if ratio <= NEAR_EVEN_RATIO {
            self.rise_near(beside, now);
        }
    }

    /// Updates the typical time from the first load, and from loads at low concurrency.
    fn note_usual(&mut self, taken: Duration, most_beside: usize) {
        let few = (self.proven * FEW_SHARE).max(LEAST_LIMIT as f64);
        if most_beside as f64 > few && self.usual.is_some() {
            return;
        }
        let mut times = std::mem::take(&mut self.usual_times);
        times.push_back(taken);
        if times.len() > USUAL_LOADS {
            times.pop_front();
        }
        self.set_usual(times);
    }

    /// Returns true if a slowed load says something about the link. A load at low concurrency is
    /// slow for another reason, and one that started before the latest decrease was part of the
    /// same burst, which must lower the limit only once.
    fn is_telling(&self, load: &FinishedLoad, now: Instant) -> bool {
        let began_before = |at: Instant| now.saturating_duration_since(at) < load.taken;
        let lowered_at = self.full.as_ref().map(|full| full.at);
        load.timing == LoadTiming::Exact
            && load.link.most() > LEAST_LIMIT
            && !lowered_at.is_some_and(began_before)
    }

    fn note_latest(&mut self, load: LatestLoad) {
        self.latest.push_back(load);
        let wanted = self.wanted_latest();
        while self.latest.len() > wanted {
            self.latest.pop_front();
        }
    }

    /// Returns the number of samples required to tell a saturated link from unhealthy instances.
    fn wanted_latest(&self) -> usize {
        (self.limit / 2).clamp(LEAST_LATEST, MOST_LATEST)
    }

    /// Returns true if a condition holds for enough samples to rule out a few unhealthy instances
    /// as the cause.
    fn are_most(&self, holds: impl Fn(&LatestLoad) -> bool) -> bool {
        let count = self.latest.iter().filter(|load| holds(load)).count();
        self.latest.len() >= self.wanted_latest()
            && count as f64 >= FULL_SHARE * self.latest.len() as f64
    }

    /// Handles a slowdown of most recent loads.
    fn take_full(&mut self, now: Instant) {
        let ratio = Estimate::of(self.latest.iter().map(|load| load.ratio)).median;
        let beside = Estimate::of(self.latest.iter().map(|load| load.beside)).median;
        match &self.full {
            Some(full) if full.was_in_vain(ratio, beside, now) => self.take_back(),
            _ => self.lower(ratio, beside, now),
        }
        self.latest.clear();
        self.even_loads = 0;
    }

    /// Undoes the latest decrease and adopts the current load times as typical, because all loads
    /// are slower at any concurrency.
    fn take_back(&mut self) {
        self.set_usual(self.latest.iter().map(|load| load.taken).collect());
        if let Some(full) = self.full.take() {
            self.limit = full.limit_before;
        }
    }

    /// Lowers the limit to the capacity that the slow loads indicate.
    fn lower(&mut self, ratio: f64, beside: f64, now: Instant) {
        let by_begin = Estimate::of(self.latest.iter().map(|load| load.borne_by_begin));
        let by_share = Estimate::of(self.latest.iter().map(|load| load.borne_by_share));
        let borne = if by_begin.spread < by_share.spread {
            by_begin.value
        } else {
            by_share.value
        };
        let hold = match &self.full {
            Some(before) if is_same(before.borne, borne) => (before.hold * 2).min(LONGEST_HOLD),
            _ => FIRST_HOLD,
        };
        let limit_before = self.limit;
        self.limit = (borne.round() as usize).clamp(LEAST_LIMIT, self.limit);
        self.proven = self.proven.min(borne);
        self.full = Some(FullLink {
            borne,
            ratio,
            beside,
            limit_before,
            at: now,
            hold,
        });
    }

    /// Raises the proven concurrency if most loads above it were unslowed. The limit follows until
    /// the first slowdown.
    fn prove(&mut self) {
        let beyond: Vec<&LatestLoad> = self
            .latest
            .iter()
            .filter(|load| load.beside > self.proven)
            .collect();
        if beyond.len() < LEAST_PROOF.min(self.limit) {
            return;
        }
        if Estimate::of(beyond.iter().map(|load| load.ratio)).median > EVEN_RATIO {
            return;
        }
        self.proven = Estimate::of(beyond.iter().map(|load| load.beside)).value;
        if !self.is_near {
            let probe = (self.proven * PROBE_FACTOR).round() as usize;
            self.limit = self.limit.max(probe);
        }
    }

    /// Raises the limit by a fraction after a complete wave of unslowed loads that used it.
    fn rise_near(&mut self, beside: f64, now: Instant) {
        let held = |full: &FullLink| now.saturating_duration_since(full.at) < full.hold;
        let is_held = self.full.as_ref().is_some_and(held);
        if !self.is_near || is_held || beside < self.limit as f64 * USED_SHARE {
            return;
        }
        self.even_loads += 1;
        if self.even_loads >= self.limit {
            self.limit += ((self.limit as f64 * RISE_SHARE).round() as usize).max(1);
            self.even_loads = 0;
        }
    }
}

/// Returns true if two capacity estimates are about the same.
fn is_same(before: f64, now: f64) -> bool {
    let (low, high) = (before.min(now), before.max(now));
    high <= low * SAME_FACTOR
}

/// Statistics of a set of values.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    value: f64,
    median: f64,
    /// Interquartile range relative to `value`.
    spread: f64,
}

impl Estimate {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = values.collect();
        sorted.sort_by(f64::total_cmp);
        let value = quantile(&sorted, SHOWN_QUANTILE);
        let apart = quantile(&sorted, 0.75) - quantile(&sorted, 0.25);
        Self {
            value,
            median: quantile(&sorted, 0.5),
            spread: apart / value.max(f64::MIN_POSITIVE),
        }
    }
}

/// Returns the value that a `share` of the sorted values does not exceed; 0 if there are none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
