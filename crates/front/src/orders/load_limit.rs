//! Adaptive limit on concurrent weight loads.
//!
//! All loads share one link. Up to the capacity of the link each load takes its typical time;
//! beyond it, loads slow each other down. The capacity is not known, so it is estimated from
//! finished loads: `proven_concurrency` is the highest concurrency without slowdown, and
//! `saturation` describes the latest slowdown of most loads. Before the first slowdown the limit is
//! twice the proven concurrency, so it doubles whenever loads at the limit run at full speed. After
//! a slowdown it drops to the estimated capacity and then rises slowly, because the capacity may
//! change.
//!
//! A saturated link slows all loads, an unhealthy instance only its own, and finished loads are
//! detected with a delay. Decisions therefore use several recent loads, each relative to the
//! typical time: the median duration at low concurrency.
//!
//! On some links a load's speed depends on the concurrency when it started, on others on the
//! concurrency at each moment. The capacity is estimated both ways, and the estimate with the
//! smaller spread is used.

use std::collections::VecDeque;
use std::time::Duration;

use super::link_use::LinkTimes;
use ladderstage_clock::Instant;

/// Initial and minimum limit.
const MIN_LIMIT: usize = 2;

/// Ratio of the limit to the proven concurrency before the first slowdown.
const PROBE_FACTOR: f64 = 2.0;

/// Minimum number of loads above the proven concurrency that are required to raise it.
const MIN_PROVING_LOADS: usize = 3;

/// Maximum ratio to the typical time at which a load counts as running at full speed.
const MAX_FULL_SPEED_RATIO: f64 = 1.12;

/// Same as [`MAX_FULL_SPEED_RATIO`], but after the first slowdown.
const MAX_FULL_SPEED_RATIO_NEAR_CAPACITY: f64 = 1.08;

/// Minimum ratio to the typical time at which a load counts as slow.
const MIN_SLOW_RATIO: f64 = 1.25;

/// Fraction of the recent loads that must be slow for the link to count as saturated.
const SATURATED_SHARE: f64 = 0.75;

/// Minimum number of recent loads to evaluate; half of the limit is used if that is larger.
const MIN_SAMPLES: usize = 6;

/// Maximum number of recent loads to evaluate.
const MAX_SAMPLES: usize = 24;

/// Number of loads whose median is the typical time.
const TYPICAL_TIME_SAMPLES: usize = 15;

/// Maximum concurrency, relative to the proven one, at which a load contributes to the typical
/// time.
const LOW_CONCURRENCY_RATIO: f64 = 0.8;

/// Quantile of the loads' estimates that is used. Loads that are slow for another reason than the
/// link yield estimates that are too low.
const ESTIMATE_QUANTILE: f64 = 0.75;

/// Initial time without increases after a saturation; doubles while the capacity stays about the
/// same.
const INITIAL_COOLDOWN: Duration = Duration::from_secs(10);

/// Maximum time without increases.
const MAX_COOLDOWN: Duration = Duration::from_secs(160);

/// Factor within which two capacity estimates count as the same.
const SAME_CAPACITY_FACTOR: f64 = 1.3;

/// Concurrency counts as lowered up to this fraction of the concurrency before the decrease.
const LOWER_CONCURRENCY_RATIO: f64 = 0.85;

/// A decrease is ineffective if the slowness stays at or above this fraction of the earlier value.
const INEFFECTIVE_RATIO: f64 = 0.95;

/// Minimum ratio of concurrency to the limit at which a load counts as using the limit.
const USED_LIMIT_RATIO: f64 = 0.5;

/// Relative increase of the limit after the first slowdown; at least one load.
const INCREASE_RATIO: f64 = 0.1;

/// Latest saturation of the link.
#[derive(Debug, Clone, PartialEq)]
struct Saturation {
    /// Estimated capacity in concurrent loads.
    capacity: f64,
    /// Median load time relative to the typical one.
    ratio: f64,
    /// Median concurrency of the loads.
    concurrent: f64,
    /// Limit before the decrease.
    limit_before: usize,
    at: Instant,
    /// Time after `at` without increases.
    cooldown: Duration,
}

impl Saturation {
    /// Returns true if loads are as slow as before a recent decrease, despite lower concurrency:
    /// then the link is not the cause.
    fn is_decrease_ineffective(&self, ratio: f64, concurrent: f64, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.at) < INITIAL_COOLDOWN;
        is_recent
            && concurrent <= self.concurrent * LOWER_CONCURRENCY_RATIO
            && ratio >= self.ratio * INEFFECTIVE_RATIO
    }
}

/// Sample from a recent load.
#[derive(Debug, Clone, PartialEq)]
struct LoadSample {
    duration: Duration,
    /// Load time relative to the typical one.
    ratio: f64,
    /// Concurrency at the start or on average, whichever is lower.
    concurrent: f64,
    /// Estimated capacity if the concurrency at the start determined the speed.
    capacity_by_start: f64,
    /// Estimated capacity if the concurrency at each moment determined the speed.
    capacity_by_share: f64,
}

/// Limit on concurrent loads, learned from finished loads.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimit {
    limit: usize,
    /// Shortest load time so far.
    shortest: Option<Duration>,
    /// Recent load times at low concurrency.
    typical_times: VecDeque<Duration>,
    /// Median of `typical_times`.
    typical_load_time: Option<Duration>,
    /// Highest concurrency at which loads ran at full speed.
    proven_concurrency: f64,
    /// `None` if no saturation was observed here.
    saturation: Option<Saturation>,
    /// A slowdown was observed, here or by an earlier leader, so the limit no longer doubles.
    is_near_capacity: bool,
    samples: VecDeque<LoadSample>,
    /// Full-speed loads since the last increase, counting those whose concurrency was close to the
    /// limit.
    full_speed_loads: usize,
}

/// Measurements of a finished load.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedLoad {
    /// Load time.
    pub duration: Duration,
    /// Time spent at each level of concurrency during the load.
    pub link: LinkTimes,
    /// Loads in progress at the start, including this one.
    pub concurrent_at_start: usize,
    /// Accuracy of `duration`.
    pub timing: LoadTiming,
}

/// Accuracy of a load's measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadTiming {
    /// Start and finish are known.
    Exact,
    /// The finish was detected late, so the load may have taken less time.
    DetectedLate,
    /// The start is unknown, or the finish was not observed through the instance's report.
    Unknown,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: MIN_LIMIT,
            shortest: None,
            typical_times: VecDeque::new(),
            typical_load_time: None,
            proven_concurrency: 0.0,
            saturation: None,
            is_near_capacity: false,
            samples: VecDeque::new(),
            full_speed_loads: 0,
        }
    }
}

impl LoadLimit {
    /// Creates a limit from the values that another leader learned: the limit, the typical load
    /// time, and whether the limit is close to the capacity of the link.
    pub fn from_learned(limit: usize, typical_load_time: Duration, is_near_capacity: bool) -> Self {
        Self {
            limit: limit.max(MIN_LIMIT),
            shortest: Some(typical_load_time),
            typical_times: VecDeque::from([typical_load_time]),
            typical_load_time: Some(typical_load_time),
            proven_concurrency: limit as f64 / PROBE_FACTOR,
            is_near_capacity,
            ..Self::default()
        }
    }

    /// Returns the maximum number of concurrent loads.
    pub fn get(&self) -> usize {
        self.limit
    }

    /// Returns the shortest load time so far; `None` before the first load.
    pub fn shortest(&self) -> Option<Duration> {
        self.shortest
    }

    /// Returns the typical load time at low concurrency; `None` before the first load.
    pub fn typical_load_time(&self) -> Option<Duration> {
        self.typical_load_time
    }

    fn set_typical_times(&mut self, times: VecDeque<Duration>) {
        let mut sorted: Vec<Duration> = times.iter().copied().collect();
        sorted.sort();
        self.typical_load_time = sorted.get(sorted.len().saturating_sub(1) / 2).copied();
        self.typical_times = times;
    }

    /// Returns true once a slowdown was observed.
    pub fn is_near_capacity(&self) -> bool {
        self.is_near_capacity
    }

    /// Updates the limit from a finished load. A load whose finish was detected late can count as
    /// running at full speed, but not as slow.
    pub fn observe(&mut self, load: &FinishedLoad, now: Instant) {
        if load.timing == LoadTiming::Unknown {
            return;
        }
        self.shortest = Some(
            self.shortest
                .map_or(load.duration, |shortest| shortest.min(load.duration)),
        );
        let concurrent = load
            .link
            .mean_concurrent()
            .min(load.concurrent_at_start as f64);
        if load.timing == LoadTiming::Exact {
            self.observe_typical_time(load.duration, load.link.max_concurrent());
        }
        let Some(typical_load_time) = self.typical_load_time() else {
            return;
        };
        let ratio =
            load.duration.as_secs_f64() / typical_load_time.as_secs_f64().max(f64::MIN_POSITIVE);
        if ratio > MAX_FULL_SPEED_RATIO && !self.is_conclusive(load, now) {
            return;
        }
        self.push_sample(LoadSample {
            duration: load.duration,
            ratio,
            concurrent,
            capacity_by_start: load.concurrent_at_start as f64 / ratio,
            capacity_by_share: load.link.capacity(typical_load_time),
        });
        self.is_near_capacity |= self.holds_for_most(|sample| sample.ratio > MAX_FULL_SPEED_RATIO);
        if self.holds_for_most(|sample| sample.ratio >= MIN_SLOW_RATIO) {
            self.handle_saturation(now);
            return;
        }
        self.raise_proven();
        if ratio <= MAX_FULL_SPEED_RATIO_NEAR_CAPACITY {
            self.increase_near_capacity(concurrent, now);
        }
    }

    /// Updates the typical time from the first load, and from loads at low concurrency.
    fn observe_typical_time(&mut self, duration: Duration, max_concurrent: usize) {
        let low_concurrency =
            (self.proven_concurrency * LOW_CONCURRENCY_RATIO).max(MIN_LIMIT as f64);
        if max_concurrent as f64 > low_concurrency && self.typical_load_time.is_some() {
            return;
        }
        let mut times = std::mem::take(&mut self.typical_times);
        times.push_back(duration);
        if times.len() > TYPICAL_TIME_SAMPLES {
            times.pop_front();
        }
        self.set_typical_times(times);
    }

    /// Returns true if a slow load indicates a saturated link. A load at low concurrency is slow
    /// for another reason. A load that started before the latest decrease is ignored, so that loads
    /// under the old limit lower it only once.
    fn is_conclusive(&self, load: &FinishedLoad, now: Instant) -> bool {
        let started_before = |at: Instant| now.saturating_duration_since(at) < load.duration;
        let lowered_at = self.saturation.as_ref().map(|last| last.at);
        load.timing == LoadTiming::Exact
            && load.link.max_concurrent() > MIN_LIMIT
            && !lowered_at.is_some_and(started_before)
    }

    fn push_sample(&mut self, sample: LoadSample) {
        self.samples.push_back(sample);
        let required = self.required_samples();
        while self.samples.len() > required {
            self.samples.pop_front();
        }
    }

    /// Returns the number of samples required to tell a saturated link from unhealthy instances.
    fn required_samples(&self) -> usize {
        (self.limit / 2).clamp(MIN_SAMPLES, MAX_SAMPLES)
    }

    /// Returns true if a condition holds for enough samples to rule out a few unhealthy instances
    /// as the cause.
    fn holds_for_most(&self, holds: impl Fn(&LoadSample) -> bool) -> bool {
        let count = self.samples.iter().filter(|sample| holds(sample)).count();
        self.samples.len() >= self.required_samples()
            && count as f64 >= SATURATED_SHARE * self.samples.len() as f64
    }

    /// Handles a slowdown of most recent loads.
    fn handle_saturation(&mut self, now: Instant) {
        let ratio = Summary::of(self.samples.iter().map(|sample| sample.ratio)).median;
        let concurrent = Summary::of(self.samples.iter().map(|sample| sample.concurrent)).median;
        match &self.saturation {
            Some(last) if last.is_decrease_ineffective(ratio, concurrent, now) => {
                self.undo_decrease()
            }
            _ => self.decrease(ratio, concurrent, now),
        }
        self.samples.clear();
        self.full_speed_loads = 0;
    }

    /// Undoes the latest decrease and adopts the current load times as typical, because all loads
    /// are slower at any concurrency.
    fn undo_decrease(&mut self) {
        self.set_typical_times(self.samples.iter().map(|sample| sample.duration).collect());
        if let Some(last) = self.saturation.take() {
            self.limit = last.limit_before;
        }
    }

    /// Lowers the limit to the capacity that the slow loads indicate.
    fn decrease(&mut self, ratio: f64, concurrent: f64, now: Instant) {
        let by_start = Summary::of(self.samples.iter().map(|sample| sample.capacity_by_start));
        let by_share = Summary::of(self.samples.iter().map(|sample| sample.capacity_by_share));
        let capacity = if by_start.spread < by_share.spread {
            by_start.upper_quartile
        } else {
            by_share.upper_quartile
        };
        let cooldown = match &self.saturation {
            Some(last) if is_similar(last.capacity, capacity) => {
                (last.cooldown * 2).min(MAX_COOLDOWN)
            }
            _ => INITIAL_COOLDOWN,
        };
        let limit_before = self.limit;
        self.limit = (capacity.round() as usize).clamp(MIN_LIMIT, self.limit);
        self.proven_concurrency = self.proven_concurrency.min(capacity);
        self.saturation = Some(Saturation {
            capacity,
            ratio,
            concurrent,
            limit_before,
            at: now,
            cooldown,
        });
    }

    /// Raises the proven concurrency if most loads above it ran at full speed. The limit follows
    /// until the first slowdown.
    fn raise_proven(&mut self) {
        let above_proven: Vec<&LoadSample> = self
            .samples
            .iter()
            .filter(|sample| sample.concurrent > self.proven_concurrency)
            .collect();
        if above_proven.len() < MIN_PROVING_LOADS.min(self.limit) {
            return;
        }
        if Summary::of(above_proven.iter().map(|sample| sample.ratio)).median > MAX_FULL_SPEED_RATIO
        {
            return;
        }
        self.proven_concurrency =
            Summary::of(above_proven.iter().map(|sample| sample.concurrent)).upper_quartile;
        if !self.is_near_capacity {
            let probe = (self.proven_concurrency * PROBE_FACTOR).round() as usize;
            self.limit = self.limit.max(probe);
        }
    }

    /// Raises the limit by a fraction after as many full-speed loads as the limit allows, counting
    /// only loads at no less than [`USED_LIMIT_RATIO`] of the limit.
    fn increase_near_capacity(&mut self, concurrent: f64, now: Instant) {
        let is_cooling_down =
            |last: &Saturation| now.saturating_duration_since(last.at) < last.cooldown;
        let is_in_cooldown = self.saturation.as_ref().is_some_and(is_cooling_down);
        if !self.is_near_capacity
            || is_in_cooldown
            || concurrent < self.limit as f64 * USED_LIMIT_RATIO
        {
            return;
        }
        self.full_speed_loads += 1;
        if self.full_speed_loads >= self.limit {
            self.limit += ((self.limit as f64 * INCREASE_RATIO).round() as usize).max(1);
            self.full_speed_loads = 0;
        }
    }
}

/// Returns true if two capacity estimates are about the same.
fn is_similar(before: f64, now: f64) -> bool {
    let (low, high) = (before.min(now), before.max(now));
    high <= low * SAME_CAPACITY_FACTOR
}

/// Quantiles of a set of values.
#[derive(Debug, Clone, Copy)]
struct Summary {
    upper_quartile: f64,
    median: f64,
    /// Interquartile range relative to the upper quartile.
    spread: f64,
}

impl Summary {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = values.collect();
        sorted.sort_by(f64::total_cmp);
        let upper_quartile = quantile(&sorted, ESTIMATE_QUANTILE);
        let interquartile_range = quantile(&sorted, 0.75) - quantile(&sorted, 0.25);
        Self {
            upper_quartile,
            median: quantile(&sorted, 0.5),
            spread: interquartile_range / upper_quartile.max(f64::MIN_POSITIVE),
        }
    }
}

/// Returns the quantile `q`, from 0 to 1, of the sorted values; 0 if there are none.
fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * q).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
