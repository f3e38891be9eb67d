//! Which contents are suspected of ending instances, and which are held back: a state machine without clocks or sockets.
//!
//! A content is suspected once an instance has ended under a run of it. A suspect may still be one of those that ran beside the cause, or
//! beside an end of another reason, so it goes on, but no more runs of it begin at once than ends are left until it is held back. An instance
//! that bears it to the end of its answer clears it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::content::ContentDigest;
use ladderstage_clock::Instant;

/// Ends after which a live request's content is held back. Before a service of three instances that one request ends twice a second, others
/// were served 27,779 of 27,780 times with two, 27,146 with three, 9,140 without a bound; one was held back for ends that others caused
/// (plays of 100 s, twenty seeds: crates/front/tests/suspect_load.rs).
pub const LIVE_MAX_CRASHES: usize = 2;

/// The same for items of batch jobs, which run for seconds and meet ends that others caused more often: on 45 instances of which one ends each
/// two seconds, 12 tries of 27,780 were held back with three, 288 with two (same plays, runs of 7 s).
pub const ITEM_MAX_CRASHES: usize = 3;

/// How long a content is held back after the last end that made or kept it so; doubles with each further end. One trial then shows whether
/// instances bear it by now, as after a new release.
pub const FIRST_HOLD: Duration = Duration::from_secs(600);

/// Longest time that a content is held back without a trial.
pub const LONGEST_HOLD: Duration = Duration::from_secs(3_600);

/// A suspect that is not held back is forgotten after this long without a further end.
pub const SUSPICION: Duration = Duration::from_secs(600);

/// Contents that are remembered; the one whose last end is the longest ago is forgotten first. With eight requests beside each cause that is
/// a hundred ends of instances a minute for five minutes, in less than 1 MB.
pub const MOST_CONTENTS: usize = 4_096;

/// Whether a run of a content may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Nothing is known against it.
    Free,
    /// It is suspected: it may run, and [`SuspectLedger::run_over`] must follow.
    Watched,
    /// It may not run now.
    Held {
        /// When another try may be let through.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Suspect {
    /// Starts of instances that ended under it.
    ends: BTreeSet<Arc<str>>,
    last_end: Instant,
    /// Runs under way here that began after the first end.
    under_way: usize,
    /// When the end of each start was noticed here, for runs that broke by the same end.
    noticed: HashMap<Arc<str>, Instant>,
    /// Other nodes know of it.
    is_told: bool,
}

/// What was known of a content that an instance bore.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cleared {
    /// It was not suspected.
    Unsuspected,
    /// It was suspected at this node only.
    Untold,
    /// Other nodes suspect it as well.
    Told,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            ends: BTreeSet::new(),
            last_end: now,
            under_way: 0,
            noticed: HashMap::new(),
            is_told: false,
        }
    }

    /// How long it is held back after its last end; `None` if it is not.
    fn hold(&self, most_ends: usize) -> Option<Duration> {
        let further = self.ends.len().checked_sub(most_ends)?;
        let doubled = FIRST_HOLD * (1 << further.min(8));
        Some(doubled.min(LONGEST_HOLD))
    }

    /// Whether the suspicion is over without a hold.
    fn is_forgotten(&self, most_ends: usize, now: Instant) -> bool {
        self.hold(most_ends).is_none() && now >= self.last_end + SUSPICION
    }

    /// The name of an end of `start` under a run that began at `began`; `None` if that end is known. An instance that ended, and
    /// took a run after that under the same name, has been started again since.
    fn name_end(&self, start: &str, started_at: Instant) -> Option<Arc<str>> {
        let mut name: Arc<str> = start.into();
        let mut further = 1;
        while self.ends.contains(&name) {
            let noticed = self.noticed.get(&name);
            if noticed.is_none_or(|noticed| started_at <= *noticed) {
                return None;
            }
            further += 1;
            name = format!("{start}#{further}").into();
        }
        Some(name)
    }
}

/// All suspected contents.
#[derive(Debug)]
pub struct SuspectLedger {
    /// When a run may be tried again that is refused because others of its content are under way, which may clear it or not.
    busy_retry: Duration,
    suspects: BTreeMap<ContentDigest, Suspect>,
}

impl SuspectLedger {
    /// Suspects none.
    pub fn new(busy_retry: Duration) -> Self {
        Self {
            busy_retry,
            suspects: BTreeMap::new(),
        }
    }

    /// How many contents are suspected.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many ends of instances are known of them all.
    pub fn known_ends(&self) -> usize {
        self.suspects
            .values()
            .map(|suspect| suspect.ends.len())
            .sum()
    }

    /// Whether a run may begin now of a content that is held back after `most_ends`.
    pub fn admit(&mut self, content: ContentDigest, most_ends: usize, now: Instant) -> Admission {
        if let Some(retry_after) = self.current_hold(content, most_ends, now) {
            return Admission::Held { retry_after };
        }
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return Admission::Free;
        };
        if suspect.is_forgotten(most_ends, now) {
            self.suspects.remove(&content);
            return Admission::Free;
        }
        suspect.under_way += 1;
        Admission::Watched
    }

    /// For how long such a run would be held back; `None` if it would not.
    pub fn current_hold(
        &self,
        content: ContentDigest,
        most_ends: usize,
        now: Instant,
    ) -> Option<Duration> {
        let suspect = self.suspects.get(&content)?;
        let runs_left = match suspect.hold(most_ends) {
            Some(hold) if now < suspect.last_end + hold => {
                return Some(suspect.last_end + hold - now);
            }
            // One trial after the hold.
            Some(_) => 1,
            None => most_ends - suspect.ends.len(),
        };
        (suspect.under_way >= runs_left).then_some(self.busy_retry)
    }

    /// A run that was [`Admission::Watched`] is over, however it ended.
    pub fn run_over(&mut self, content: ContentDigest) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.under_way = suspect.under_way.saturating_sub(1);
        }
    }

    /// An instance has ended under a run that began at `began`; `start` names the start of the instance. Returns whether that end is new.
    pub fn note_end(
        &mut self,
        content: ContentDigest,
        start: &str,
        started_at: Instant,
        now: Instant,
    ) -> bool {
        let suspect = self.entry(content, now);
        let Some(name) = suspect.name_end(start, started_at) else {
            return false;
        };
        suspect.noticed.insert(Arc::clone(&name), now);
        suspect.ends.insert(name);
        suspect.last_end = now;
        true
    }

    /// Other nodes know of these ends; returns whether any is new here.
    pub fn merge<'a>(
        &mut self,
        content: ContentDigest,
        ends: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) -> bool {
        let suspect = self.entry(content, now);
        let mut has_news = false;
        for end in ends {
            if !suspect.ends.contains(end) {
                suspect.ends.insert(end.into());
                suspect.last_end = now;
                has_news = true;
            }
        }
        suspect.is_told = true;
        has_news
    }

    /// An instance bore the content.
    pub fn clear(&mut self, content: ContentDigest) -> Cleared {
        match self.suspects.remove(&content) {
            None => Cleared::Unsuspected,
            Some(suspect) if suspect.is_told => Cleared::Told,
            Some(_) => Cleared::Untold,
        }
    }

    /// Other nodes are told of a content; returns whether it is suspected at all.
    pub fn note_told(&mut self, content: ContentDigest) -> bool {
        let suspect = self.suspects.get_mut(&content);
        suspect.is_some_and(|suspect| {
            suspect.is_told = true;
            true
        })
    }

    /// Starts of instances that ended under a content.
    pub fn ends(&self, content: ContentDigest) -> Vec<Arc<str>> {
        let suspect = self.suspects.get(&content);
        suspect.map_or_else(Vec::new, |suspect| suspect.ends.iter().cloned().collect())
    }

    fn entry(&mut self, content: ContentDigest, now: Instant) -> &mut Suspect {
        if !self.suspects.contains_key(&content) && self.suspects.len() >= MOST_CONTENTS {
            self.forget_oldest();
        }
        let suspects = &mut self.suspects;
        suspects.entry(content).or_insert_with(|| Suspect::new(now))
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.last_end)
            .map(|(content, _)| *content);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}
