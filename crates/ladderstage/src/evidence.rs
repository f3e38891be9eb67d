//! How recently the bundle in force was known to be the newest.
//!
//! Instants are durations since an origin that the caller fixes once a process start. Each source says: "revision R
//! was the newest at instant T". The state keeps, for the revision it holds, the latest such instant.

use std::time::Duration;

use crate::ids::Revision;

/// What a piece of evidence calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceEffect {
    /// The revision held was the newest at that instant.
    Refreshed,
    /// It is about a lower revision or says nothing new.
    Ignored,
    /// There is a newer bundle than the one held: fetch it.
    Fetch {
        /// Its revision.
        revision: Revision,
    },
}

/// Evidence for the bundle that a process holds.
///
/// Invariants: the revision never decreases, and the instant is never later than one that a source gave for
/// that very revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evidence {
    held: Revision,
    newest_as_of: Option<Duration>,
    newer_revision: Option<Ahead>,
}

/// A newer revision that is known of but not held yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ahead {
    revision: Revision,
    newest_as_of: Option<Duration>,
}

impl Evidence {
    /// Nothing held (revision 0) and nothing known.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision held; 0: none.
    pub fn revision(&self) -> Revision {
        self.held
    }

    /// A newer revision that is known of, to be fetched.
    pub fn newer_revision(&self) -> Option<Revision> {
        self.newer_revision
            .map(|newer_revision| newer_revision.revision)
    }

    /// The latest instant at which the revision held was known to be the newest. `None` if there is none, or
    /// once a newer one is known of: from then on the one held may not be delivered under.
    pub fn newest_as_of(&self) -> Option<Duration> {
        if self.newer_revision.is_some() {
            return None;
        }
        self.newest_as_of
    }

    /// Age of the evidence at `now`; `None` as for [`Self::newest_as_of`].
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.newest_as_of()
            .map(|instant| now.saturating_sub(instant))
    }

    /// A verified bundle of this revision is at hand. Returns whether it is newer than the one held.
    pub fn advance(&mut self, revision: Revision) -> bool {
        if revision <= self.held {
            return false;
        }
        self.held = revision;
        self.newest_as_of = None;
        if let Some(newer_revision) = self.newer_revision
            && newer_revision.revision <= revision
        {
            self.newer_revision = None;
            if newer_revision.revision == revision {
                self.newest_as_of = newer_revision.newest_as_of;
            }
        }
        true
    }

    /// A source says that `revision` was the newest at the instant `as_of`.
    pub fn observe_newest(&mut self, revision: Revision, as_of: Duration) -> EvidenceEffect {
        self.merge(revision, Some(as_of))
    }

    /// A source says that `revision` exists, but not as of when it was the newest.
    pub fn observe_existence(&mut self, revision: Revision) -> EvidenceEffect {
        self.merge(revision, None)
    }

    fn merge(&mut self, revision: Revision, as_of: Option<Duration>) -> EvidenceEffect {
        if revision == 0 || revision < self.held {
            return EvidenceEffect::Ignored;
        }
        if revision == self.held {
            // `None` is less than any instant.
            let is_later = as_of > self.newest_as_of;
            self.newest_as_of = self.newest_as_of.max(as_of);
            return if is_later {
                EvidenceEffect::Refreshed
            } else {
                EvidenceEffect::Ignored
            };
        }
        let newer = Ahead {
            revision,
            newest_as_of: as_of,
        };
        self.newer_revision = Some(match self.newer_revision {
            Some(known) if known.revision > revision => known,
            Some(known) if known.revision == revision => Ahead {
                revision,
                newest_as_of: known.newest_as_of.max(as_of),
            },
            _ => newer,
        });
        EvidenceEffect::Fetch { revision }
    }
}
