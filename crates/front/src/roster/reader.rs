//! Learns of instances: by the roster while nothing here needs to know more, else from discovery itself.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::{DiscoveryView, ROSTER_KEY, Roster, RosterOptions};
use crate::activity::Activity;
use crate::backend::BackendTable;
use crate::config::CurrentConfig;
use crate::coordination::{Change, Coordination, Follower, Record, Update, follow_with};

/// Discovery is followed for so long after the last work: a front that is handed steps gets one every few seconds, and one that
/// rests needs a listing before it starts a step.
const REST_AFTER_WORK: Duration = Duration::from_secs(15);

/// Discovery's own records.
pub trait DiscoverySource: Send + Sync {
    /// Follows them into the table of instances for as long as the future is polled, and notes in `view` as of when they are
    /// known.
    fn follow(&self, view: &DiscoveryView) -> impl Future<Output = ()> + Send;

    /// The same for the zones that are to be drained.
    fn follow_drains(&self, view: &DiscoveryView) -> impl Future<Output = ()> + Send;
}

/// Where the operator may have zones drained.
#[derive(Debug, Clone)]
pub struct DrainTracking {
    /// As of when the drained zones are known here from the store.
    pub view: DiscoveryView,
    /// Counts while this node may keep the roster.
    pub roster_duty: Activity,
}

/// Feeds the table of instances.
pub struct RosterReader<S> {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// The instances.
    pub backends: BackendTable,
    /// The configuration.
    pub config: CurrentConfig,
    /// As of when they are known here from discovery itself.
    pub view: DiscoveryView,
    /// Work here that needs to know the instances' weights, and of changes soon.
    pub activity: Activity,
    /// `None`: the notice time is too short for a roster.
    pub options: Option<RosterOptions>,
    /// `None`: no zone is drained in this deployment.
    pub drains: Option<DrainTracking>,
    /// How long a node that has just started waits for a roster before it follows discovery.
    pub startup_wait: Duration,
    /// Discovery.
    pub source: S,
}

/// The roster as the store told last; `None`: there is none.
pub(super) type KnownRoster = watch::Sender<Option<Arc<Roster>>>;

impl<S: DiscoverySource> RosterReader<S> {
    /// Feeds the table for as long as the future is polled.
    pub async fn run(&self) {
        if self.drains.is_some() {
            self.backends.gates().drained.mark_unknown();
        }
        let known = KnownRoster::new(None);
        let Some(options) = self.options else {
            tokio::join!(self.source.follow(&self.view), self.feed_drains(&known));
            return;
        };
        let mut follower = RosterFollower {
            gather: options.reader_gather,
            known: &known,
        };
        let following = follow_with(Arc::clone(&self.coordination), ROSTER_KEY, &mut follower);
        tokio::join!(following, self.feed(&known), self.feed_drains(&known));
    }

    async fn feed(&self, known: &KnownRoster) {
        if self.begins_by_roster(known).await {
            self.go_by_roster(known).await;
        }
        loop {
            tokio::select! {
                () = self.source.follow(&self.view) => return,
                () = self.may_rest(known) => {}
            }
            self.view.mark_unfollowed();
            self.go_by_roster(known).await;
        }
    }

    /// Waits for a roster at the start, until work begins or a request needs instances. A fleet whose nodes all list discovery as they
    /// start, and hear of each instance that starts beside them, pays for that many times.
    pub(super) async fn begins_by_roster(&self, known: &KnownRoster) -> bool {
        if self.startup_wait.is_zero() {
            return false;
        }
        let mut known = known.subscribe();
        tokio::select! {
            _ = known.wait_for(|roster| roster.as_ref().is_some_and(|one| self.covers_config(one))) => true,
            () = tokio::time::sleep(self.startup_wait) => false,
            () = self.activity.wait_until_active() => false,
            () = self.backends.wait_for_first_request() => false,
        }
    }

    async fn go_by_roster(&self, known: &KnownRoster) {
        log::info!("event=instances_from_roster");
        self.follow_roster(known).await;
        log::info!(
            "event=instances_from_discovery working={}",
            self.activity.is_active()
        );
    }

    /// Returns once there has been no work for a while and the roster is as good as what is known from discovery.
    async fn may_rest(&self, known: &KnownRoster) {
        loop {
            if self.activity.is_active() {
                self.activity.wait_until_idle_for(REST_AFTER_WORK).await;
            }
            tokio::select! {
                () = self.roster_is_as_new(known) => return,
                () = self.activity.wait_until_active() => {}
            }
        }
    }

    async fn roster_is_as_new(&self, known: &KnownRoster) {
        let mut changed = known.subscribe();
        loop {
            let roster = changed.borrow_and_update().clone();
            if roster.is_some_and(|roster| self.is_as_new(&roster)) {
                return;
            }
            // The sender lives as long as this node follows the roster.
            let _ = changed.changed().await;
        }
    }

    /// What is known here never goes back.
    fn is_as_new(&self, roster: &Roster) -> bool {
        let Some(at) = self.view.known_at() else {
            return false;
        };
        let known_here = || {
            let drains = roster.drains.clone();
            Roster::of(&self.backends, roster.services.clone(), at, drains)
        };
        self.covers_config(roster) && (roster.known_at >= at || roster.is_same(&known_here()))
    }

    /// Whether the roster names the instances of all services that live requests may go to here.
    fn covers_config(&self, roster: &Roster) -> bool {
        let config = self.config.current();
        config.is_none_or(|config| config.live_services().is_subset(&roster.services))
    }

    /// Feeds the table from the roster until that is gone or does not do, or work begins here.
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
    gather: Duration,
    known: &'a KnownRoster,
}

impl RosterFollower<'_> {
    fn written(&self, record: &Record) {
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
    /// A node that has just started trusts a roster that is some seconds old for as long as the watch takes.
    fn may_begin_stale(&self) -> bool {
        true
    }

    fn pause(&self) -> impl Future<Output = ()> + Send {
        tokio::time::sleep(self.gather)
    }

    fn on_update(&mut self, update: Update, _at: u64) {
        match update {
            Update::Snapshot(records) => match records.iter().find(|one| one.key == ROSTER_KEY) {
                Some(record) => self.written(record),
                None => {
                    self.known.send_replace(None);
                }
            },
            // The last change tells how it is now.
            Update::Changes(changes) => match changes.last() {
                Some(Change::Written(record)) => self.written(record),
                Some(Change::Removed { .. }) => {
                    self.known.send_replace(None);
                }
                None => {}
            },
        }
    }
}
