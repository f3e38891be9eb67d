//! State machine, without clocks or sockets, that holds back contents suspected of crashing
//! instances.
//!
//! A content is what repetitions of a request have in common; it is identified by its digest. It
//! becomes suspected when an instance crashes during a run of it. The cause may also be another run
//! on the same instance or no request at all, so a suspect may still run, but the number of its
//! concurrent runs is limited to the crashes left until it is held back. A run that completes
//! clears its content.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::content::ContentDigest;
use ladderstage_clock::Instant;

/// Number of crashes after which a live request's content is held back. See `tests/suspect_load.rs`
/// for the effect of other limits. With two of three instances down, the third one still serves.
pub const LIVE_MAX_CRASHES: usize = 2;

/// Time that a content is held back after its last crash; doubles with each further one. One trial
/// run afterwards shows whether instances survive it by now.
pub const FIRST_HOLD: Duration = Duration::from_secs(600);

/// Maximum time that a content is held back without a trial run.
pub const MAX_HOLD: Duration = Duration::from_secs(3_600);

/// Time without a further crash after which a suspect that is not held back is removed.
pub const SUSPICION_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of suspects; the one with the oldest last crash is removed first. Suffices for a
/// hundred crashes a minute, with eight requests beside each cause, for five minutes, and takes
/// less than 1 MB.
pub const MAX_SUSPECTS: usize = 4_096;

/// Decision whether a run of a content may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The content is not suspected.
    Free,
    /// The content is suspected: it may run, and the run counts as in progress until
    /// [`SuspectLedger::finish_run`].
    Tracked,
    /// The content must not run now.
    Held {
        /// Time until another attempt may be admitted.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Suspect {
    /// Names of the incarnations that crashed during runs of it.
    crashes: BTreeSet<Arc<str>>,
    last_crash: Instant,
    /// Runs in progress at this node that started after the first crash.
    running: usize,
    /// When each crash was detected here, to recognize other runs broken by the same crash.
    detected_at: HashMap<Arc<str>, Instant>,
    /// True if other nodes know of it.
    is_shared: bool,
}

/// State of a content before it was cleared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cleared {
    /// Not suspected at this node.
    NotSuspected,
    /// Suspected at this node only.
    Local,
    /// Known to other nodes as suspected.
    Shared,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: BTreeSet::new(),
            last_crash: now,
            running: 0,
            detected_at: HashMap::new(),
            is_shared: false,
        }
    }

    /// Returns how long it is held back after its last crash; `None` if it is not.
    fn hold(&self, max_crashes: usize) -> Option<Duration> {
        let further = self.crashes.len().checked_sub(max_crashes)?;
        let doubled = FIRST_HOLD * (1 << further.min(8));
        Some(doubled.min(MAX_HOLD))
    }

    /// Returns whether the suspicion has expired without a hold.
    fn is_expired(&self, max_crashes: usize, now: Instant) -> bool {
        self.hold(max_crashes).is_none() && now >= self.last_crash + SUSPICION_LIFETIME
    }

    /// Names a crash of `incarnation` during a run that was sent at `started_at`; `None` if that
    /// crash is known. An instance that accepted a run after its known crash has restarted, even
    /// under the same name.
    fn name_crash(&self, incarnation: &str, started_at: Instant) -> Option<Arc<str>> {
        let mut name: Arc<str> = incarnation.into();
        let mut further = 1;
        while self.crashes.contains(&name) {
            let detected_at = self.detected_at.get(&name);
            if detected_at.is_none_or(|detected_at| started_at <= *detected_at) {
                return None;
            }
            further += 1;
            name = format!("{incarnation}#{further}").into();
        }
        Some(name)
    }
}

/// All suspected contents.
#[derive(Debug)]
pub struct SuspectLedger {
    /// Retry delay of a run that is refused while others of its content are in progress.
    busy_retry: Duration,
    suspects: BTreeMap<ContentDigest, Suspect>,
}

impl SuspectLedger {
    /// Creates an empty ledger.
    pub fn new(busy_retry: Duration) -> Self {
        Self {
            busy_retry,
            suspects: BTreeMap::new(),
        }
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of known crashes of all suspects.
    pub fn known_crashes(&self) -> usize {
        self.suspects
            .values()
            .map(|suspect| suspect.crashes.len())
            .sum()
    }

    /// Decides whether a run of a content that is held back after `max_crashes` crashes may start.
    pub fn admit(&mut self, content: ContentDigest, max_crashes: usize, now: Instant) -> Admission {
        if let Some(retry_after) = self.current_hold(content, max_crashes, now) {
            return Admission::Held { retry_after };
        }
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return Admission::Free;
        };
        if suspect.is_expired(max_crashes, now) {
            self.suspects.remove(&content);
            return Admission::Free;
        }
        suspect.running += 1;
        Admission::Tracked
    }

    /// Returns how long a run of a content would be held back now; `None` if it would not.
    fn current_hold(
        &self,
        content: ContentDigest,
        max_crashes: usize,
        now: Instant,
    ) -> Option<Duration> {
        let suspect = self.suspects.get(&content)?;
        let runs_left = match suspect.hold(max_crashes) {
            Some(hold) if now < suspect.last_crash + hold => {
                return Some(suspect.last_crash + hold - now);
            }
            // Only one trial run after the hold.
            Some(_) => 1,
            None => max_crashes - suspect.crashes.len(),
        };
        (suspect.running >= runs_left).then_some(self.busy_retry)
    }

    /// Records that a run admitted as [`Admission::Tracked`] is over, whatever its result.
    pub fn finish_run(&mut self, content: ContentDigest) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.running = suspect.running.saturating_sub(1);
        }
    }

    /// Records a crash of `incarnation` during a run that was sent at `started_at`. Returns whether
    /// the crash is new.
    pub fn record_crash(
        &mut self,
        content: ContentDigest,
        incarnation: &str,
        started_at: Instant,
        now: Instant,
    ) -> bool {
        let suspect = self.suspect_mut(content, now);
        let Some(name) = suspect.name_crash(incarnation, started_at) else {
            return false;
        };
        suspect.detected_at.insert(Arc::clone(&name), now);
        suspect.crashes.insert(name);
        suspect.last_crash = now;
        true
    }

    /// Merges crashes known to other nodes; returns whether any is new here.
    pub fn merge<'a>(
        &mut self,
        content: ContentDigest,
        crashes: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) -> bool {
        let suspect = self.suspect_mut(content, now);
        let mut is_changed = false;
        for crash in crashes {
            if !suspect.crashes.contains(crash) {
                suspect.crashes.insert(crash.into());
                suspect.last_crash = now;
                is_changed = true;
            }
        }
        suspect.is_shared = true;
        is_changed
    }

    /// Removes a content, as an instance completed a run of it.
    pub fn clear(&mut self, content: ContentDigest) -> Cleared {
        match self.suspects.remove(&content) {
            None => Cleared::NotSuspected,
            Some(suspect) if suspect.is_shared => Cleared::Shared,
            Some(_) => Cleared::Local,
        }
    }

    /// Marks a content as known to other nodes; returns whether it is suspected.
    pub fn mark_shared(&mut self, content: ContentDigest) -> bool {
        let suspect = self.suspects.get_mut(&content);
        suspect.is_some_and(|suspect| {
            suspect.is_shared = true;
            true
        })
    }

    /// Returns the names of the incarnations that crashed during runs of a content.
    pub fn crashes(&self, content: ContentDigest) -> Vec<Arc<str>> {
        let suspect = self.suspects.get(&content);
        suspect.map_or_else(Vec::new, |suspect| {
            suspect.crashes.iter().cloned().collect()
        })
    }

    fn suspect_mut(&mut self, content: ContentDigest, now: Instant) -> &mut Suspect {
        if !self.suspects.contains_key(&content) && self.suspects.len() >= MAX_SUSPECTS {
            self.remove_oldest();
        }
        let suspects = &mut self.suspects;
        suspects.entry(content).or_insert_with(|| Suspect::new(now))
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.last_crash)
            .map(|(content, _)| *content);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}
