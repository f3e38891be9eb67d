//! Tracks the instances: from the roster unless work at this node requires discovery itself.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::jitter::jittered;
use tokio::sync::watch;

use super::{DiscoveryView, FIRST_START_WAIT, FLEET_START_WAIT, ROSTER_KEY, Roster, RosterTiming};
use crate::activity::Activity;
use crate::backend::BackendTable;
use crate::config::CurrentConfig;
use crate::coordination::{Change, Coordination, Follower, Record, Update, follow_with};
use crate::nodes::FrontCount;

/// Time after the last work for which discovery is followed. A front that gets steps gets one every
/// few seconds, and switching back costs a listing before a step can start.
const DISCOVERY_LINGER: Duration = Duration::from_secs(15);

/// Mean time for which the fronts of a large fleet wait for the roster of the next order leader: the
/// lease of the last one, and the time that the next one takes to list discovery.
const NEXT_WRITER_WAIT: Duration = Duration::from_secs(6);

/// Follows the discovery records and the operator's drain records.
pub trait DiscoverySource: Send + Sync {
    /// Applies the discovery records to the table of instances until the future is dropped, and
    /// sets in `view` the revision as of which they are known.
    fn follow(&self, view: &DiscoveryView) -> impl Future<Output = ()> + Send;

    /// Applies the drain records to the table until the future is dropped, and sets in `view` the
    /// revision as of which they are known.
    fn follow_drains(&self, view: &DiscoveryView) -> impl Future<Output = ()> + Send;
}

/// State for tracking drained zones, in deployments that have them.
#[derive(Debug, Clone)]
pub struct DrainTracking {
    /// Revision as of which this node knows the drained zones from the store.
    pub view: DiscoveryView,
    /// Active while this node may write the roster.
    pub roster_duty: Activity,
}

/// Keeps the table of instances up to date.
pub struct RosterReader<S> {
    /// Coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Table of instances.
    pub backends: BackendTable,
    /// Current configuration.
    pub config: CurrentConfig,
    /// Revision as of which this node knows the instances from discovery.
    pub view: DiscoveryView,
    /// Work at this node that needs the instances' weights or prompt updates.
    pub activity: Activity,
    /// Timing; `None` if there is no roster.
    pub options: Option<RosterTiming>,
    /// State for drained zones; `None` if this deployment drains no zones.
    pub drains: Option<DrainTracking>,
    /// Time for which a starting node waits for a roster before it follows discovery.
    pub startup_wait: Duration,
    /// Number of known fronts.
    pub fronts: FrontCount,
    /// Discovery records.
    pub source: S,
}

/// Latest roster read from the store; `None` if there is none.
pub(super) type KnownRoster = watch::Sender<Option<Arc<Roster>>>;

impl<S: DiscoverySource> RosterReader<S> {
    /// Updates the table until the future is dropped.
    pub async fn run(&self) {
        if self.drains.is_some() {
            self.backends.gates().drained.mark_unknown();
        }
        let known = KnownRoster::new(None);
        let Some(options) = self.options else {
            tokio::join!(self.source.follow(&self.view), self.track_drains(&known));
            return;
        };
        let mut follower = RosterFollower {
            batch_interval: options.reader_batch_interval,
            known: &known,
        };
        let following = follow_with(Arc::clone(&self.coordination), ROSTER_KEY, &mut follower);
        tokio::join!(
            following,
            self.maintain_table(&known),
            self.track_drains(&known)
        );
    }

    async fn maintain_table(&self, known: &KnownRoster) {
        if self.wait_for_first_roster(known).await {
            self.use_roster(known).await;
            self.use_rosters_of_next_writers(known).await;
        }
        loop {
            log::info!(
                "event=instances_from_discovery working={}",
                self.activity.is_active()
            );
            tokio::select! {
                () = self.source.follow(&self.view) => return,
                () = self.wait_until_roster_suffices(known) => {}
            }
            self.view.mark_unfollowed();
            self.use_roster(known).await;
            self.use_rosters_of_next_writers(known).await;
        }
    }

    /// Uses the rosters of the following writers for as long as each appears soon after the last one
    /// is gone, in a large fleet: if all its fronts listed discovery whenever the writer is lost,
    /// the store could serve nothing else.
    async fn use_rosters_of_next_writers(&self, known: &KnownRoster) {
        while self.fronts.is_large_fleet() && self.wait_for_next_roster(known).await {
            self.use_roster(known).await;
        }
    }

    /// Waits until another order leader has written the roster, unless work starts or none appears;
    /// returns whether there is one.
    async fn wait_for_next_roster(&self, known: &KnownRoster) -> bool {
        let mut known = known.subscribe();
        tokio::select! {
            _ = known.wait_for(|roster| roster.as_ref().is_some_and(|one| self.covers_config(one))) => true,
            () = tokio::time::sleep(jittered(NEXT_WRITER_WAIT)) => false,
            () = self.activity.wait_until_active() => false,
        }
    }

    /// Waits for a usable roster at startup, until work starts, a request needs instances, or the
    /// wait times out; returns whether there is one. Otherwise all nodes of a starting fleet would
    /// list discovery and follow every instance that starts beside them.
    pub(super) async fn wait_for_first_roster(&self, known: &KnownRoster) -> bool {
        if self.startup_wait.is_zero() {
            return false;
        }
        let mut known = known.subscribe();
        tokio::select! {
            _ = known.wait_for(|roster| roster.as_ref().is_some_and(|one| self.covers_config(one))) => true,
            () = self.pass_startup() => false,
            () = self.activity.wait_until_active() => false,
            () = self.wait_for_request() => false,
        }
    }

    /// Waits until a request needs the first instances. In a large fleet, requests do not make the
    /// fronts list discovery.
    async fn wait_for_request(&self) {
        self.backends.wait_for_first_request().await;
        if self.fronts.is_large_fleet() {
            std::future::pending().await
        }
    }

    /// Waits for as long as a starting node waits for a roster: longer if there are enough fronts
    /// for one.
    async fn pass_startup(&self) {
        tokio::time::sleep(self.startup_wait).await;
        let min_fronts = self
            .options
            .map_or(usize::MAX, |options| options.min_fronts);
        if self.startup_wait >= FIRST_START_WAIT && self.fronts.get() >= min_fronts {
            tokio::time::sleep(FLEET_START_WAIT.saturating_sub(self.startup_wait)).await;
        }
    }

    async fn use_roster(&self, known: &KnownRoster) {
        log::info!("event=instances_from_roster");
        self.follow_roster(known).await;
    }

    /// Returns once there has been no work for [`DISCOVERY_LINGER`] and the roster is at least as
    /// new as the discovery records known here.
    async fn wait_until_roster_suffices(&self, known: &KnownRoster) {
        loop {
            if self.activity.is_active() {
                self.activity.wait_until_idle_for(DISCOVERY_LINGER).await;
            }
            tokio::select! {
                () = self.wait_for_current_roster(known) => return,
                () = self.activity.wait_until_active() => {}
            }
        }
    }

    async fn wait_for_current_roster(&self, known: &KnownRoster) {
        let mut changed = known.subscribe();
        loop {
            let roster = changed.borrow_and_update().clone();
            if roster.is_some_and(|roster| self.is_current(&roster)) {
                return;
            }
            // The caller owns the sender, so this does not fail.
            let _ = changed.changed().await;
        }
    }

    /// Returns whether the roster covers the configuration and is at least as new as, or the same
    /// as, the instances known here. Known instances are never replaced by older ones.
    fn is_current(&self, roster: &Roster) -> bool {
        let Some(at) = self.view.known_at() else {
            return false;
        };
        let known_here = || {
            let drains = roster.drains.clone();
            Roster::from_table(&self.backends, roster.services.clone(), at, drains)
        };
        self.covers_config(roster) && (roster.known_at >= at || roster.is_equivalent(&known_here()))
    }

    /// Returns whether the roster includes all services that live requests may go to according
    /// to this node's configuration.
    fn covers_config(&self, roster: &Roster) -> bool {
        let config = self.config.current();
        config.is_none_or(|config| config.live_services().is_subset(&roster.services))
    }

    /// Applies the roster until it is removed or does not cover the configuration, or work starts
    /// here.
    async fn follow_roster(&self, known: &KnownRoster) {
        let mut changed = known.subscribe();
        let mut config = self.config.watch();
        loop {
            let roster = changed.borrow_and_update().clone();
            let Some(roster) = roster.filter(|roster| self.covers_config(roster)) else {
                return;
            };
            roster.apply(&self.backends);
            tokio::select! {
                _ = changed.changed() => {}
                _ = config.changed() => {}
                () = self.activity.wait_until_active() => return,
            }
        }
    }
}

struct RosterFollower<'a> {
    batch_interval: Duration,
    known: &'a KnownRoster,
}

impl RosterFollower<'_> {
    fn apply_record(&self, record: &Record) {
        match Roster::read(&record.value) {
            Ok(roster) => {
                self.known.send_replace(Some(Arc::new(roster)));
            }
            Err(error) => {
                log::error!(
                    "event=roster_unreadable revision={} cause=\"{error}\"",
                    record.revision
                );
                self.known.send_replace(None);
            }
        }
    }
}

impl Follower for RosterFollower<'_> {
    /// A starting node uses a roster that may lag by some seconds until the watch is answered.
    fn may_start_stale(&self) -> bool {
        true
    }

    fn pause(&self) -> impl Future<Output = ()> + Send {
        // The next roster is used at once.
        let has_roster = self.known.borrow().is_some();
        tokio::time::sleep(if has_roster {
            self.batch_interval
        } else {
            Duration::ZERO
        })
    }

    fn on_update(&mut self, update: Update, _at: u64) {
        match update {
            Update::Snapshot(records) => match records.iter().find(|one| one.key == ROSTER_KEY) {
                Some(record) => self.apply_record(record),
                None => {
                    self.known.send_replace(None);
                }
            },
            // Only the last change reflects the current state.
            Update::Changes(changes) => match changes.last() {
                Some(Change::Written(record)) => self.apply_record(record),
                Some(Change::Removed { .. }) => {
                    self.known.send_replace(None);
                }
                None => {}
            },
        }
    }
}
