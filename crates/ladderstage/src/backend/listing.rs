//! State of one back end according to the machine list.
//!
//! The list lags by at most `max_list_lag`. Its "leaving" is permanent for a process that was known
//! for that long before the answer. For a younger process the list may refer to the previous one,
//! so it only withholds the back end, until a list reports it live after a new process was seen, or
//! lists have reported it live for `max_list_lag` without interruption.

use std::net::SocketAddr;
use std::time::Duration;

use super::observation::ListedBackend;
use super::policy::BackendPolicy;
use crate::bundle::PoolKind;

/// Location of a back end, from the last list that named it, or from a peer until a list does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: String,
    /// Kind of back end.
    pub kind: PoolKind,
}

#[derive(Debug, Clone)]
struct ListedLeaving {
    /// Request time of the first list that reported leaving.
    since: Duration,
    /// Request time of the first list in the current uninterrupted series that reported live.
    live_since: Option<Duration>,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Listing {
    placement: Option<Placement>,
    missing_since: Option<Duration>,
    last_list_at: Duration,
    leaving: Option<ListedLeaving>,
}

impl Listing {
    pub(super) fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// Returns whether the back end is withheld because a list reported it as leaving.
    pub(super) fn is_withheld(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns whether lists have lacked the back end for the grace period. A list that stops
    /// answering changes nothing.
    pub(super) fn is_missing(&self, policy: &BackendPolicy) -> bool {
        self.missing_for() >= policy.missing_grace
    }

    /// Returns the time for which lists have lacked the back end.
    pub(super) fn missing_for(&self) -> Duration {
        self.missing_since.map_or(Duration::ZERO, |since| {
            self.last_list_at.saturating_sub(since)
        })
    }

    /// Applies a list entry; returns whether the address changed.
    pub(super) fn observe(&mut self, listed: &ListedBackend, sent_at: Duration) -> bool {
        let moved = self
            .placement
            .as_ref()
            .is_some_and(|placement| placement.address != listed.address);
        self.placement = Some(Placement {
            address: listed.address,
            zone: listed.zone.clone(),
            kind: listed.kind,
        });
        self.missing_since = None;
        self.last_list_at = sent_at;
        moved
    }

    /// Sets the placement from a peer's list if no list has named the back end here.
    pub(super) fn suggest_placement(&mut self, placement: Placement) {
        self.placement.get_or_insert(placement);
    }

    pub(super) fn observe_missing(&mut self, sent_at: Duration) {
        self.missing_since.get_or_insert(sent_at);
        self.last_list_at = sent_at;
    }

    pub(super) fn observe_leaving(&mut self, sent_at: Duration) {
        let leaving = self.leaving.get_or_insert(ListedLeaving {
            since: sent_at,
            live_since: None,
        });
        leaving.live_since = None;
    }

    /// Applies a list that reports the back end as live. `replaced_at` is when the current process
    /// was first seen, if it replaced another one.
    pub(super) fn observe_live(
        &mut self,
        sent_at: Duration,
        replaced_at: Option<Duration>,
        policy: &BackendPolicy,
    ) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        let live_since = *leaving.live_since.get_or_insert(sent_at);
        let replaced = replaced_at.is_some_and(|replaced_at| replaced_at > leaving.since);
        let consistent = sent_at.saturating_sub(live_since) >= policy.max_list_lag;
        if replaced || consistent {
            self.leaving = None;
        }
    }
}
