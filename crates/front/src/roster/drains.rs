//! Learns which zones are to be drained: from the roster while it names them, else from the operator's records.

use super::reader::{DiscoverySource, DrainTracking, KnownRoster, RosterReader};
use super::record::RosterDrains;

impl<S: DiscoverySource> RosterReader<S> {
    /// Feeds the set of drained zones for as long as the future is polled.
    pub(super) async fn feed_drains(&self, known: &KnownRoster) {
        let Some(following) = &self.drains else {
            return std::future::pending().await;
        };
        if self.options.is_some() {
            self.begins_by_roster(known).await;
        }
        loop {
            self.follow_roster_drains(following, known).await;
            log::info!("event=drains_from_records");
            tokio::select! {
                () = self.source.follow_drains(&following.view) => return,
                () = self.wait_for_current_drains(following, known) => {}
            }
            following.view.mark_unfollowed();
            log::info!("event=drains_from_roster");
        }
    }

    /// Takes the zones from the roster until it names none or older ones, or this node may have to write it: then they must come from the
    /// records.
    async fn follow_roster_drains(&self, following: &DrainTracking, known: &KnownRoster) {
        let mut changed = known.subscribe();
        let mut taken_at = 0;
        while !following.roster_duty.is_active() {
            let roster = changed.borrow_and_update().clone();
            let Some(drains) = roster.and_then(|roster| roster.drains.clone()) else {
                return;
            };
            let zones = drains.shared_zones();
            if drains.known_at < taken_at && *self.backends.gates().drained.current() != zones {
                log::warn!(
                    "event=drains_stale known_at={} taken={taken_at}",
                    drains.known_at
                );
                return;
            }
            taken_at = taken_at.max(drains.known_at);
            self.backends.set_drained_zones(zones);
            tokio::select! {
                _ = changed.changed() => {}
                () = following.roster_duty.wait_until_active() => return,
            }
        }
    }

    /// Returns once a roster that this node does not keep names zones that are as new as those known here.
    async fn wait_for_current_drains(&self, following: &DrainTracking, known: &KnownRoster) {
        let mut changed = known.subscribe();
        loop {
            following.view.known().await;
            following.roster_duty.wait_until_idle().await;
            let roster = changed.borrow_and_update().clone();
            let drains = roster.and_then(|roster| roster.drains.clone());
            if drains.is_some_and(|drains| self.are_current(following, &drains)) {
                return;
            }
            // The sender lives as long as this node follows the roster.
            let _ = changed.changed().await;
        }
    }

    /// Whether they are no older than those known here, which are never replaced by older ones.
    fn are_current(&self, following: &DrainTracking, drains: &RosterDrains) -> bool {
        let Some(at) = following.view.known_at() else {
            return false;
        };
        drains.known_at >= at || *self.backends.gates().drained.current() == drains.shared_zones()
    }
}
