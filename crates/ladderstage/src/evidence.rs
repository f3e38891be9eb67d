//! Tracks how recently the bundle in force was known to be the newest one.
//!
//! The bundle is the configuration that operators roll; its revisions increase. A source (the
//! key-value service, journal replicas or a peer) states that revision R was the newest at instant
//! T. The latest such instant is kept for the revision held. Instants are durations since an origin
//! that the caller fixes at process start.

use std::time::Duration;

use crate::ids::Revision;

/// Effect of a piece of evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceEffect {
    /// The revision held was the newest at that instant, which is later than the one known before.
    Refreshed,
    /// The evidence is about a lower revision or adds nothing.
    Ignored,
    /// A newer bundle than the one held exists and must be fetched.
    Fetch {
        /// Revision of the newer bundle.
        revision: Revision,
    },
}

/// Evidence about the bundle that a process holds.
///
/// Invariants: the revision never decreases, and the instant is never later than one that a source
/// gave for this revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evidence {
    held: Revision,
    newest_as_of: Option<Duration>,
    newer_revision: Option<NewerRevision>,
}

/// A newer revision that is known but not held yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NewerRevision {
    revision: Revision,
    newest_as_of: Option<Duration>,
}

impl Evidence {
    /// Creates the state of a process without a bundle (revision 0).
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision held; 0 means none.
    pub fn revision(&self) -> Revision {
        self.held
    }

    /// Returns the newer revision that must be fetched, if one is known.
    pub fn newer_revision(&self) -> Option<Revision> {
        self.newer_revision.map(|newer| newer.revision)
    }

    /// Returns the latest instant at which the revision held was known to be the newest. `None` if
    /// there is no such instant or a newer revision is known: nothing may then be delivered under
    /// the revision held.
    pub fn newest_as_of(&self) -> Option<Duration> {
        if self.newer_revision.is_some() {
            return None;
        }
        self.newest_as_of
    }

    /// Returns the age of the evidence at `now`; `None` as for [`Self::newest_as_of`].
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.newest_as_of()
            .map(|instant| now.saturating_sub(instant))
    }

    /// Records that a verified bundle of this revision is held. Returns whether it is newer than
    /// the previous one.
    pub fn advance(&mut self, revision: Revision) -> bool {
        if revision <= self.held {
            return false;
        }
        self.held = revision;
        self.newest_as_of = None;
        if let Some(newer) = self.newer_revision
            && newer.revision <= revision
        {
            self.newer_revision = None;
            if newer.revision == revision {
                self.newest_as_of = newer.newest_as_of;
            }
        }
        true
    }

    /// Records that `revision` was the newest one at the instant `as_of`.
    pub fn observe_newest(&mut self, revision: Revision, as_of: Duration) -> EvidenceEffect {
        self.merge(revision, Some(as_of))
    }

    /// Records that `revision` exists, without an instant at which it was the newest.
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
        let newer = NewerRevision {
            revision,
            newest_as_of: as_of,
        };
        self.newer_revision = Some(match self.newer_revision {
            Some(known) if known.revision > revision => known,
            Some(known) if known.revision == revision => NewerRevision {
                revision,
                newest_as_of: known.newest_as_of.max(as_of),
            },
            _ => newer,
        });
        EvidenceEffect::Fetch { revision }
    }
}
