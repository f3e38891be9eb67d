//! Tracks the drained zones: from the roster if it names them, or else from the operator's records.

use super::reader::{DiscoverySource, DrainTracking, KnownRoster, RosterReader};
use super::record::RosterDrains;

impl<S: DiscoverySource> RosterReader<S> {
    /// Updates the set of drained zones until the future is dropped.
    pub(super) async fn track_drains(&self, known: &KnownRoster) {
        let Some(tracking) = &self.drains else {
            return std::future::pending().await;
        };
        if self.options.is_some() {
            self.wait_for_first_roster(known).await;
        }
        loop {
            self.follow_roster_drains(tracking, known).await;
            log::info!("event=drains_from_records");
            tokio::select! {
                () = self.source.follow_drains(&tracking.view) => return,
                () = self.wait_for_current_drains(tracking, known) => {}
            }
            tracking.view.mark_unfollowed();
            log::info!("event=drains_from_roster");
        }
    }

    /// Applies the zones of the roster until the roster names none or older ones, or this node may
    /// have to write the roster, which requires the operator's records.
    async fn follow_roster_drains(&self, tracking: &DrainTracking, known: &KnownRoster) {
        let mut changed = known.subscribe();
        let mut applied_at = 0;
        while !tracking.roster_duty.is_active() {
            let roster = changed.borrow_and_update().clone();
            let Some(drains) = roster.and_then(|roster| roster.drains.clone()) else {
                return;
            };
            let zones = drains.to_zone_set();
            if drains.known_at < applied_at && *self.backends.gates().drained.current() != zones {
                log::warn!(
                    "event=drains_stale known_at={} taken={applied_at}",
                    drains.known_at
                );
                return;
            }
            applied_at = applied_at.max(drains.known_at);
            self.backends.set_drained_zones(zones);
            tokio::select! {
                _ = changed.changed() => {}
                () = tracking.roster_duty.wait_until_active() => return,
            }
        }
    }

    /// Returns once this node does not write the roster and the roster's zones are at least as new
    /// as those known here.
    async fn wait_for_current_drains(&self, tracking: &DrainTracking, known: &KnownRoster) {
        let mut changed = known.subscribe();
        loop {
            tracking.view.wait_until_known().await;
            tracking.roster_duty.wait_until_idle().await;
            let roster = changed.borrow_and_update().clone();
            let drains = roster.and_then(|roster| roster.drains.clone());
            if drains.is_some_and(|drains| self.is_drain_set_current(tracking, &drains)) {
                return;
            }
            // The caller owns the sender, so this does not fail.
            let _ = changed.changed().await;
        }
    }

    /// Returns whether the roster's zones are at least as new as, or the same as, those known here.
    /// Known zones are never replaced by older ones.
    fn is_drain_set_current(&self, tracking: &DrainTracking, drains: &RosterDrains) -> bool {
        let Some(at) = tracking.view.known_at() else {
            return false;
        };
        drains.known_at >= at || *self.backends.gates().drained.current() == drains.to_zone_set()
    }
}
