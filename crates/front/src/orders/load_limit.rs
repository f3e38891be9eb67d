//! How many instances may load weights at once.
//!
//! Loads share the link that brings weights: up to some number each takes the time that it takes alone, beyond it each goes on at its
//! share of the link. That number is told nowhere. It is estimated from finished loads, between two bounds: the most loads that are
//! *proven* to go on beside each other without slowing down, and the number that the link was seen to be *full* with. Until loads
//! slow each other down the limit is twice what is proven, so that it doubles with each wave of them. Then it is what the slow loads
//! showed, and rises slowly above it, as links change.
//!
//! A full link slows all loads that share it; a sick instance only its own. And the end of a load is noticed late, as instances tell
//! their state of some time ago. So no single load shows anything: the latest ones are looked at together, against the median time of
//! loads with few others beside them that were noticed in the same way.
//!
//! What slows a load down differs by link: the loads that were under way when it began set its pace once, or those that are under way
//! at each moment share the link anew. Each slow load is looked at both ways; the way on which the latest loads agree better counts.
//!
//! Too many loads at once bring no weights sooner and keep instances from work for longer; too few leave the link unused.

use std::collections::VecDeque;
use std::time::Duration;

use super::link_use::LinkTimes;
use ladderstage_clock::Instant;

/// Loads that are always tried at once.
const LEAST_LIMIT: usize = 2;

/// Loads that may be under way at once against those that are proven to go on evenly, until loads slow each other down.
const PROBE_FACTOR: f64 = 2.0;

/// Loads with more beside them than is proven that must go on evenly to prove more.
const LEAST_PROOF: usize = 3;

/// Time against the usual one up to which loads do not slow each other down; what is measured is some tens of milliseconds off.
const EVEN_RATIO: f64 = 1.12;

/// The same near what the link bears: one load of ten too many shows.
const NEAR_EVEN_RATIO: f64 = 1.08;

/// Time against the usual one from which on loads slow each other down.
const SLOW_RATIO: f64 = 1.25;

/// Share of the latest loads that must be slow for the link to count as full. Where a fifth of the instances are sick, as on the days
/// on which a link was taken for full that was not, five of six loads are of sick ones once in 600 times.
const FULL_SHARE: f64 = 0.75;

/// Latest loads that are looked at, at least; of a larger limit half as many as it allows at once.
const LEAST_LATEST: usize = 6;

/// The same at most: more show nothing else.
const MOST_LATEST: usize = 24;

/// Loads with few others beside them whose median time is the usual one.
const USUAL_LOADS: usize = 15;

/// A load has few others beside it up to this share of what is proven.
const FEW_SHARE: f64 = 0.8;

/// Of what the slow loads show, the estimate is what this share of them stays below: a load that is slow by itself shows too little.
const SHOWN_QUANTILE: f64 = 0.75;

/// First time without rises after the link was full; doubles each time it shows about the same again.
const FIRST_HOLD: Duration = Duration::from_secs(10);

/// Longest time without rises.
const LONGEST_HOLD: Duration = Duration::from_secs(160);

/// The link shows about the same as before if it lies within this factor of it.
const SAME_FACTOR: f64 = 1.3;

/// Loads with at most this share of the others beside them that were there before are fewer.
const FEWER_SHARE: f64 = 0.85;

/// A lower limit that leaves so large a share of the slowness, with fewer loads beside each, was lowered in vain.
const VAIN_SHARE: f64 = 0.95;

/// A load used the limit up if so large a share of it was under way beside it.
const USED_SHARE: f64 = 0.5;

/// Part of the limit by which it rises after a wave of even loads near what the link bears, one load at least.
const RISE_SHARE: f64 = 0.1;

/// When the link was last seen to be full.
#[derive(Debug, Clone, PartialEq)]
struct FullLink {
    /// Loads that it bears, as it showed then.
    borne: f64,
    /// How slow the loads were, and how many were beside each.
    ratio: f64,
    beside: f64,
    /// Limit before.
    limit_before: usize,
    at: Instant,
    /// For so long the limit does not rise.
    hold: Duration,
}

impl FullLink {
    /// Whether loads with fewer others beside them are as slow as a moment ago: then it is not the link that slows them.
    fn was_in_vain(&self, ratio: f64, beside: f64, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.at) < FIRST_HOLD;
        is_recent && beside <= self.beside * FEWER_SHARE && ratio >= self.ratio * VAIN_SHARE
    }
}

/// One of the latest loads.
#[derive(Debug, Clone, PartialEq)]
struct LatestLoad {
    taken: Duration,
    /// Time against the usual one.
    ratio: f64,
    /// Loads under way when it began, or on average, whichever are fewer.
    beside: f64,
    /// Loads that the link bears if its pace was set as it began.
    borne_by_begin: f64,
    /// The same if its pace was its share of the link at each moment.
    borne_by_share: f64,
}

/// The limit, learnt from finished loads.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimit {
    limit: usize,
    /// Shortest load so far.
    least: Option<Duration>,
    /// Times of the latest loads with few others beside them, and their median.
    usual_times: VecDeque<Duration>,
    typical_load_time: Option<Duration>,
    /// Most loads that went on beside each other evenly.
    proven: f64,
    /// `None`: the link was not seen to be full here.
    full: Option<FullLink>,
    /// Loads were seen to slow each other down, or nearly so, here or by an earlier giver of orders: the limit doubles no more.
    is_near_capacity: bool,
    latest: VecDeque<LatestLoad>,
    /// Loads since the last rise that used the limit up and were even.
    even_loads: usize,
}

/// What is known of one load that is done.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedLoad {
    /// How long it took.
    pub taken: Duration,
    /// For how long how many loads shared the link while it was under way.
    pub link: LinkTimes,
    /// Loads under way when it began, this one included.
    pub at_begin: usize,
    /// Whether `taken` is what it took.
    pub timing: LoadTiming,
}

/// How well the time of a load is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadTiming {
    /// It is known when it began and when it ended.
    Exact,
    /// It was looked at late: it may have taken less time.
    NoticedLate,
    /// It is not known when it began, or its end was heard of in another way than those of others.
    Unknown,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: LEAST_LIMIT,
            least: None,
            usual_times: VecDeque::new(),
            typical_load_time: None,
            proven: 0.0,
            full: None,
            is_near_capacity: false,
            latest: VecDeque::new(),
            even_loads: 0,
        }
    }
}

impl LoadLimit {
    /// What another giver of orders has learnt: its limit, the usual time of a load, and whether the limit is near what the link
    /// bears.
    pub fn from_learned(limit: usize, typical_load_time: Duration, is_near_capacity: bool) -> Self {
        Self {
            limit: limit.max(LEAST_LIMIT),
            least: Some(typical_load_time),
            usual_times: VecDeque::from([typical_load_time]),
            typical_load_time: Some(typical_load_time),
            proven: limit as f64 / PROBE_FACTOR,
            is_near_capacity,
            ..Self::default()
        }
    }

    /// Loads that may be under way at once.
    pub fn get(&self) -> usize {
        self.limit
    }

    /// Shortest load so far; `None` before the first one.
    pub fn least(&self) -> Option<Duration> {
        self.least
    }

    /// What a load takes with few others beside it; `None` before the first one.
    pub fn typical_load_time(&self) -> Option<Duration> {
        self.typical_load_time
    }

    fn set_usual(&mut self, times: VecDeque<Duration>) {
        let mut sorted: Vec<Duration> = times.iter().copied().collect();
        sorted.sort();
        self.typical_load_time = sorted.get(sorted.len().saturating_sub(1) / 2).copied();
        self.usual_times = times;
    }

    /// Whether loads were seen to slow each other down, or nearly so.
    pub fn is_near_capacity(&self) -> bool {
        self.is_near_capacity
    }

    /// Takes in a finished load. One that was noticed late may have been even, and is not known to have been slow.
    pub fn note(&mut self, load: &FinishedLoad, now: Instant) {
        if load.timing == LoadTiming::Unknown {
            return;
        }
        self.least = Some(self.least.map_or(load.taken, |least| least.min(load.taken)));
        let beside = load.link.mean().min(load.at_begin as f64);
        if load.timing == LoadTiming::Exact {
            self.note_usual(load.taken, load.link.most());
        }
        let Some(typical_load_time) = self.typical_load_time() else {
            return;
        };
        let ratio = load.taken.as_secs_f64() / typical_load_time.as_secs_f64().max(f64::MIN_POSITIVE);
        if ratio > EVEN_RATIO && !self.is_telling(load, now) {
            return;
        }
        self.note_latest(LatestLoad {
            taken: load.taken,
            ratio,
            beside,
            borne_by_begin: load.at_begin as f64 / ratio,
            borne_by_share: load.link.borne(typical_load_time),
        });
        self.is_near_capacity |= self.are_most(|load| load.ratio > EVEN_RATIO);
        if self.are_most(|load| load.ratio >= SLOW_RATIO) {
            self.take_full(now);
            return;
        }
        self.prove();
        if ratio <= NEAR_EVEN_RATIO {
            self.rise_near(beside, now);
        }
    }

    /// The first load tells the usual time, and then those with few others beside them at any moment.
    fn note_usual(&mut self, taken: Duration, most_beside: usize) {
        let few = (self.proven * FEW_SHARE).max(LEAST_LIMIT as f64);
        if most_beside as f64 > few && self.typical_load_time.is_some() {
            return;
        }
        let mut times = std::mem::take(&mut self.usual_times);
        times.push_back(taken);
        if times.len() > USUAL_LOADS {
            times.pop_front();
        }
        self.set_usual(times);
    }

    /// Whether a load that was not even tells of the link. One with few others beside it is slow by itself. One that began before the
    /// limit was lowered last had those beside it that the limit was lowered for: each burst of too many lowers it once.
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

    /// Loads that must be known to tell a full link from sick instances.
    fn wanted_latest(&self) -> usize {
        (self.limit / 2).clamp(LEAST_LATEST, MOST_LATEST)
    }

    /// Whether something holds for so many of the latest loads that a few sick instances cannot be the cause.
    fn are_most(&self, holds: impl Fn(&LatestLoad) -> bool) -> bool {
        let count = self.latest.iter().filter(|load| holds(load)).count();
        self.latest.len() >= self.wanted_latest()
            && count as f64 >= FULL_SHARE * self.latest.len() as f64
    }

    /// The latest loads slowed each other down, or something slows all of them.
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

    /// All loads take longer than they did, however many are under way: what they take now is the usual time.
    fn take_back(&mut self) {
        self.set_usual(self.latest.iter().map(|load| load.taken).collect());
        if let Some(full) = self.full.take() {
            self.limit = full.limit_before;
        }
    }

    /// Lowers the limit to what the slow loads show.
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

    /// Loads with more beside them than is proven prove more if most of them were even. Until loads slow each other down the limit
    /// follows.
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
        if !self.is_near_capacity {
            let probe = (self.proven * PROBE_FACTOR).round() as usize;
            self.limit = self.limit.max(probe);
        }
    }

    /// Near what the link bears a whole wave of even loads that use the limit raises it by a part of it.
    fn rise_near(&mut self, beside: f64, now: Instant) {
        let held = |full: &FullLink| now.saturating_duration_since(full.at) < full.hold;
        let is_held = self.full.as_ref().is_some_and(held);
        if !self.is_near_capacity || is_held || beside < self.limit as f64 * USED_SHARE {
            return;
        }
        self.even_loads += 1;
        if self.even_loads >= self.limit {
            self.limit += ((self.limit as f64 * RISE_SHARE).round() as usize).max(1);
            self.even_loads = 0;
        }
    }
}

/// Whether two estimates of the link are about the same.
fn is_same(before: f64, now: f64) -> bool {
    let (low, high) = (before.min(now), before.max(now));
    high <= low * SAME_FACTOR
}

/// What several loads show together.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    value: f64,
    median: f64,
    /// How far they are apart, against the value.
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

/// The value that `share` of the sorted values stay below; 0 without any.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
