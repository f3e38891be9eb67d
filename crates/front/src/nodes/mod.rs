//! The nodes of the system. Each keeps a leased record of itself in the store and reads the others'
//! records.
//!
//! Nodes that work with others follow the records; all others read them periodically (`following`).

mod following;
mod formats;
mod reading;
mod registration;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage::ids::ProcessId;
use ladderstage::region::{AllowedRegions, Distance, Place, RegionMap};
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_transport::{CallError, Client};
use ladderstage_wire::messages::{Member, MemberState, Request, Response};
use prometheus::IntGauge;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use formats::{FormatLevel, shared_level};

use crate::activity::Activity;
use crate::coordination::{Change, Coordination, Record, Update};

/// Key prefix of the records.
const NODE_PREFIX: &str = "ladderstage/node/";

/// Time for which a node still counts as present after its record was removed, as a record lost
/// during a failure of the store may come back.
const ABSENCE_GRACE: Duration = Duration::from_millis(400);

/// Time after which a node without a record counts as removed.
const REMOVAL_AGE: Duration = Duration::from_secs(60);

/// Maximum number of nodes of a small fleet, in which each node may read all records each time. Up to
/// it, a stale listing costs less than a call for the changes.
const MAX_SMALL_FLEET: usize = 400;

/// Maximum number of changes per update that are logged individually; of more, only the count is
/// logged.
const MAX_LOGGED_CHANGES: usize = 16;

/// Role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeRole {
    /// Serves clients and owns batch jobs.
    Front,
    /// Holds a replica of the journal.
    Store,
}

/// Record of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node; stable across restarts.
    pub node: String,
    /// Role of the node.
    pub role: NodeRole,
    /// Random identifier of this process incarnation.
    pub process: u64,
    /// Address on which other nodes reach it.
    pub peer_address: SocketAddr,
    /// Zone of the node.
    pub zone: String,
    /// Identifier of the node's disk; 0 if it has none.
    pub replica_id: u64,
    /// The node is being drained or stopped and gets no new work.
    pub is_leaving: bool,
    /// CPU time available on the node's machine, in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub cpu_millis: u32,
    /// Region of the node; empty if it has none or the record is of an older build.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub region: String,
    /// Formats that its build reads.
    #[serde(default)]
    pub formats: FormatLevel,
}

#[derive(Debug, Default)]
struct KnownNodes {
    /// Records of all nodes ever seen, for their addresses.
    records: BTreeMap<String, NodeRecord>,
    /// Nodes whose records exist.
    present: BTreeSet<String>,
    /// Time at which each node's current process was first seen.
    first_seen: BTreeMap<String, Instant>,
    /// Time at which each absent node's record disappeared.
    absent_since: BTreeMap<String, Instant>,
    /// Store revision of the latest applied update.
    at: u64,
    /// Time of the last read that was not stale.
    fresh_read_at: Option<Instant>,
    /// Present nodes that read fewer formats than this one, as last logged.
    outdated: BTreeSet<String>,
}

/// Number of fronts that a node knows, itself included. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct FrontCount(Arc<AtomicUsize>);

impl FrontCount {
    /// Returns the number.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns whether there are so many fronts that what each reads from the store has to be
    /// small.
    pub fn is_large_fleet(&self) -> bool {
        self.get() > MAX_SMALL_FLEET
    }

    /// Sets the number.
    pub fn set(&self, count: usize) {
        self.0.store(count, Ordering::Relaxed);
    }
}

/// The known nodes, and calls to them. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Nodes {
    own: Arc<Mutex<NodeRecord>>,
    regions: RegionMap,
    known: Arc<Mutex<KnownNodes>>,
    client: Client,
    /// Held while this node reads the records.
    reading: Arc<tokio::sync::Mutex<()>>,
    /// Time at which the last call that the store answered was sent.
    store_contact: watch::Sender<Option<Instant>>,
    /// Number of changes of this node's record.
    own_changed: watch::Sender<u64>,
    /// Revision of the last write of this node's record; 0 before the first one.
    own_revision: watch::Sender<u64>,
    /// Revision of the latest known records that were newer than this node's last write and did not
    /// contain its record; 0 if there were none.
    own_lost: watch::Sender<u64>,
    /// Number of calls that did not reach their node, after which the known records may be
    /// outdated.
    failed_calls: watch::Sender<u64>,
    /// Number of present nodes that read fewer formats than this one.
    outdated_nodes: IntGauge,
    fronts: FrontCount,
}

impl Nodes {
    /// Creates a table that contains only this node.
    ///
    /// # Panics
    /// Never, as the gauge's name is valid.
    pub fn new(own: NodeRecord) -> Self {
        let outdated_nodes = IntGauge::new(
            "ladderstage_nodes_behind",
            "Nodes whose builds read fewer formats than this one",
        );
        Self {
            own: Arc::new(Mutex::new(own)),
            regions: RegionMap::default(),
            known: Arc::default(),
            client: Client::new(),
            reading: Arc::default(),
            store_contact: watch::Sender::new(None),
            own_changed: watch::Sender::new(0),
            own_revision: watch::Sender::new(0),
            own_lost: watch::Sender::new(0),
            failed_calls: watch::Sender::new(0),
            outdated_nodes: outdated_nodes.expect("valid name"),
            fronts: FrontCount::default(),
        }
    }

    /// Sets the count that is updated whenever the nodes change.
    pub fn with_front_count(mut self, fronts: FrontCount) -> Self {
        self.fronts = fronts;
        self
    }

    /// Sets the regions of the deployment.
    pub fn with_regions(mut self, regions: RegionMap) -> Self {
        self.regions = regions;
        self
    }

    /// Returns the regions of all zones.
    pub fn regions(&self) -> &RegionMap {
        &self.regions
    }

    /// Returns the region of a node: the one configured here for its zone, or else the one in its
    /// record.
    pub fn region_of<'a>(&'a self, record: &'a NodeRecord) -> Option<&'a str> {
        let as_recorded = || Some(record.region.as_str()).filter(|region| !region.is_empty());
        self.regions.region_of(&record.zone).or_else(as_recorded)
    }

    /// Returns the distance from this node to another.
    pub fn distance_to(&self, record: &NodeRecord) -> Distance {
        let own = self.own();
        Distance::between(&self.place(&own), &self.place(record))
    }

    fn place<'a>(&'a self, record: &'a NodeRecord) -> Place<'a> {
        let region = self.regions.has_several().then(|| self.region_of(record));
        Place {
            node: &record.node,
            zone: &record.zone,
            region: region.flatten().unwrap_or_default(),
        }
    }

    /// Returns a node outside the allowed regions, possibly this one. A node whose record names no
    /// region counts as outside, as its build may ignore the restriction.
    pub fn find_outside(&self, allowed: &AllowedRegions) -> Option<NodeRecord> {
        let own = self.own();
        let known = lock(&self.known);
        let others = known.records.values();
        let mut nodes = others
            .filter(|record| known.may_return(&record.node))
            .chain([&own]);
        nodes
            .find(|record| {
                let is_bound = !record.region.is_empty() && allowed.permits(self.region_of(record));
                !allowed.allows_all() && !is_bound
            })
            .cloned()
    }

    /// Returns whether a node's record was ever read.
    pub fn has_seen(&self, node: &str) -> bool {
        node == self.own().node || lock(&self.known).records.contains_key(node)
    }

    /// Returns the gauge of present nodes that read fewer formats than this one.
    pub fn outdated_nodes(&self) -> &IntGauge {
        &self.outdated_nodes
    }

    /// Maintains this node's record and keeps track of the other nodes until the future is dropped.
    /// Follows the others' records while `activity` is active.
    pub async fn run(&self, coordination: Arc<dyn Coordination>, activity: &Activity) {
        tokio::join!(
            following::run(self, &coordination, activity),
            registration::maintain_record(self, &coordination, activity)
        );
    }

    /// Returns whether the records of the nodes were ever read. Before that, this node cannot know
    /// what other nodes do.
    pub fn are_known(&self) -> bool {
        lock(&self.known).at > 0
    }

    /// Returns whether this node is one of the known fronts with the most CPU time that are not
    /// leaving.
    fn is_strongest(&self) -> bool {
        let own = self.own().node;
        let strongest = strongest(self.with_role(NodeRole::Front));
        strongest.iter().any(|record| record.node == own)
    }

    /// Returns when the last call that the store answered was sent; `None` if there was none. The
    /// answer may have been read much later, as after a suspension of the machine.
    pub fn last_store_contact(&self) -> Option<Instant> {
        *self.store_contact.borrow()
    }

    /// Returns this node's record.
    pub fn own(&self) -> NodeRecord {
        lock(&self.own).clone()
    }

    /// Sets in this node's record whether it is leaving, so that it gets no new work.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.own).is_leaving = is_leaving;
        self.own_changed.send_modify(|count| *count += 1);
    }

    /// Returns whether this node is leaving.
    pub fn is_leaving(&self) -> bool {
        lock(&self.own).is_leaving
    }

    /// Returns the time at which a node's current process was first seen; `None` if never.
    pub fn first_seen(&self, node: &str) -> Option<Instant> {
        lock(&self.known).first_seen.get(node).copied()
    }

    /// Returns whether a node counts as present.
    pub fn is_present(&self, node: &str) -> bool {
        node == self.own().node || lock(&self.known).is_alive(node)
    }

    /// Returns the present nodes with a role, including this one.
    pub fn with_role(&self, role: NodeRole) -> Vec<NodeRecord> {
        let own = self.own();
        let mut found: Vec<NodeRecord> = {
            let known = lock(&self.known);
            let alive = known.records.values();
            alive
                .filter(|record| record.node != own.node && known.is_alive(&record.node))
                .cloned()
                .collect()
        };
        found.push(own);
        found.retain(|record| record.role == role);
        found
    }

    /// Returns the lowest format level among the present nodes with a role, or
    /// [`FormatLevel::UNKNOWN`] until their records were read.
    pub fn shared_level(&self, role: NodeRole) -> FormatLevel {
        if lock(&self.known).at == 0 {
            return FormatLevel::UNKNOWN;
        }
        shared_level(&self.with_role(role), role)
    }

    /// Returns whether any other front was ever seen.
    fn knows_other_fronts(&self) -> bool {
        let own = self.own().node;
        lock(&self.known)
            .records
            .values()
            .any(|record| record.role == NodeRole::Front && record.node != own)
    }

    fn record_store_contact(&self, sent_at: Instant) {
        self.store_contact.send_replace(Some(sent_at));
    }

    /// Applies an update as of revision `at`, unless a later one was applied.
    fn apply(&self, update: Update, at: u64) {
        let own_formats = lock(&self.own).formats;
        let mut known = lock(&self.known);
        if at < known.at {
            log::debug!("event=nodes_update_stale at={at} known={}", known.at);
            return;
        }
        known.at = at;
        known.fresh_read_at = Some(Instant::now());
        match update {
            Update::Snapshot(records) => known.apply_snapshot(&records),
            Update::Changes(changes) => changes.into_iter().for_each(|change| match change {
                Change::Written(record) => {
                    known.insert(&record.value, true);
                }
                Change::Removed { key } => {
                    known.remove(key.strip_prefix(NODE_PREFIX).unwrap_or_default());
                }
            }),
        }
        self.check_own_record(&known);
        self.fronts.set(known.count_fronts());
        let outdated = known.update_outdated(own_formats);
        self.outdated_nodes
            .set(i64::try_from(outdated).unwrap_or(i64::MAX));
    }

    fn own_key(&self) -> String {
        format!("{NODE_PREFIX}{}", self.own().node)
    }

    /// Returns the revision of the last write of this node's record; 0 before the first one.
    fn own_revision(&self) -> u64 {
        *self.own_revision.borrow()
    }

    fn record_own_write(&self, revision: u64) {
        self.own_revision.send_replace(revision);
    }

    /// Reports that this node's record was lost if the known records are newer than its last write and
    /// do not contain it.
    fn check_own_record(&self, known: &KnownNodes) {
        let written_at = self.own_revision();
        let is_present = known.present.contains(&self.own().node);
        if written_at > 0 && known.at > written_at && !is_present {
            self.own_lost.send_replace(known.at);
        }
    }

    /// Applies a stale read, which does not count as fresh.
    fn apply_stale(&self, records: Vec<Record>, at: u64) {
        let fresh_read_at = lock(&self.known).fresh_read_at;
        self.apply(Update::Snapshot(records), at);
        lock(&self.known).fresh_read_at = fresh_read_at;
    }

    fn member(&self, record: &NodeRecord) -> Member {
        Member {
            node: record.node.clone(),
            process: record.process,
            incarnation: 0,
            state: if record.is_leaving {
                MemberState::LEAVING
            } else {
                MemberState::ALIVE
            },
            peer_address: record.peer_address.to_string(),
            http_address: String::new(),
            zone: record.zone.clone(),
            region: self.place(record).region.to_owned(),
            replica_id: record.replica_id,
            started_unix_ms: 0,
        }
    }

    fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.known)
            .records
            .get(node)
            .map(|record| record.peer_address)
    }
}

impl KnownNodes {
    /// Applies a listing of all records; nodes without a record are absent.
    fn apply_snapshot(&mut self, records: &[Record]) {
        let kept: BTreeSet<&str> = records
            .iter()
            .filter_map(|record| record.key.strip_prefix(NODE_PREFIX))
            .collect();
        let present = self.present.iter();
        let gone: Vec<String> = present
            .filter(|node| !kept.contains(node.as_str()))
            .cloned()
            .collect();
        gone.iter().for_each(|node| self.remove(node));
        let is_changed = |record: &&Record| self.is_changed(&record.value);
        let changed = records.iter().filter(is_changed).count();
        let logs_each = changed <= MAX_LOGGED_CHANGES;
        if !logs_each {
            log::info!("event=nodes_seen count={changed} of={}", records.len());
        }
        records
            .iter()
            .for_each(|record| self.insert(&record.value, logs_each));
    }

    /// Returns whether a record differs from the known one.
    fn is_changed(&self, value: &[u8]) -> bool {
        let record = serde_json::from_slice::<NodeRecord>(value);
        record.is_ok_and(|record| self.records.get(&record.node) != Some(&record))
    }

    /// Inserts a record, and logs it if it changed and `is_logged` is set.
    fn insert(&mut self, value: &[u8], is_logged: bool) {
        let Ok(record) = serde_json::from_slice::<NodeRecord>(value) else {
            log::warn!("event=node_record_unreadable");
            return;
        };
        let node = record.node.clone();
        let known_process = self.records.get(&node).map(|known| known.process);
        if known_process != Some(record.process) {
            self.first_seen.insert(node.clone(), Instant::now());
        }
        if is_logged && self.records.get(&node) != Some(&record) {
            log::info!(
                "event=node_seen node={node} process={} address={} zone={} region={} replica_id={} leaving={}",
                record.process,
                record.peer_address,
                record.zone,
                record.region,
                record.replica_id,
                record.is_leaving
            );
        }
        self.records.insert(node.clone(), record);
        self.absent_since.remove(&node);
        self.present.insert(node);
    }

    fn remove(&mut self, node: &str) {
        if self.present.remove(node) {
            log::info!("event=node_gone node={node}");
            self.absent_since.insert(node.to_owned(), Instant::now());
        }
    }

    fn count_fronts(&self) -> usize {
        let present = self.present.iter();
        let records = present.filter_map(|node| self.records.get(node));
        records
            .filter(|record| record.role == NodeRole::Front)
            .count()
    }

    /// Updates the set of present nodes below a level, logs a change, and returns their number.
    fn update_outdated(&mut self, level: FormatLevel) -> usize {
        let present = self.present.iter();
        let is_outdated = |node: &&String| {
            let record = self.records.get(*node);
            record.is_some_and(|record| record.formats < level)
        };
        let outdated: BTreeSet<String> = present.filter(is_outdated).cloned().collect();
        if outdated != self.outdated {
            let first = outdated.first().map_or("-", String::as_str);
            log::info!(
                "event=nodes_behind own_level={} count={} first={first}",
                level.0,
                outdated.len()
            );
            self.outdated = outdated;
        }
        self.outdated.len()
    }

    /// Returns whether a node is present, or has been absent for less than [`REMOVAL_AGE`].
    fn may_return(&self, node: &str) -> bool {
        let is_removed = |at: &Instant| at.elapsed() >= REMOVAL_AGE;
        self.present.contains(node) || !self.absent_since.get(node).is_some_and(is_removed)
    }

    /// Returns whether a node is present, or has been absent for less than [`ABSENCE_GRACE`].
    fn is_alive(&self, node: &str) -> bool {
        self.present.contains(node)
            || self
                .absent_since
                .get(node)
                .is_some_and(|at| at.elapsed() < ABSENCE_GRACE)
    }
}

impl Peers for Nodes {
    fn alive(&self) -> Vec<Member> {
        let own = self.own();
        let known = lock(&self.known);
        let others = known.records.values();
        let mut members: Vec<Member> = others
            .filter(|record| record.node != own.node && known.is_alive(&record.node))
            .map(|record| self.member(record))
            .collect();
        members.push(self.member(&own));
        members
    }

    fn successors(&self) -> Vec<Member> {
        let fronts = self.with_role(NodeRole::Front);
        let fronts = fronts.iter().filter(|record| !record.is_leaving);
        fronts.map(|record| self.member(record)).collect()
    }

    fn takeover_candidates(&self) -> Vec<Member> {
        strongest(self.with_role(NodeRole::Front))
            .iter()
            .map(|record| self.member(record))
            .collect()
    }

    fn replicas_join_together(&self) -> bool {
        self.shared_level(NodeRole::Store) >= FormatLevel::JOINT_COPIES
    }

    fn knows_earlier_builds(&self) -> bool {
        let stores = self.with_role(NodeRole::Store);
        let mut levels = stores.iter().map(|record| record.formats);
        levels.any(|level| level < FormatLevel::JOINT_COPIES)
    }

    fn has_exited(&self, process: ProcessId) -> bool {
        let is_own = self.own().process == process;
        let known = lock(&self.known);
        let mut present = known
            .present
            .iter()
            .filter_map(|node| known.records.get(node));
        // Nothing is known before the first listing.
        !is_own && !known.present.is_empty() && present.all(|record| record.process != process)
    }

    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>> {
        Box::pin(async move {
            let result = match self.address(node) {
                Some(address) => self.client.call(address, request, timeout).await,
                None => Err(CallError::NotSent(format!("address of {node} is unknown"))),
            };
            if matches!(result, Err(CallError::NotSent(_) | CallError::Unknown(_))) {
                self.failed_calls.send_modify(|count| *count += 1);
            }
            result
        })
    }
}

/// Returns the nodes with the most CPU time that are not leaving. Machines with less CPU time do
/// not own batch jobs, as a job would use all of it.
pub fn strongest(mut records: Vec<NodeRecord>) -> Vec<NodeRecord> {
    records.retain(|record| !record.is_leaving);
    let max_cpu = records.iter().map(|record| record.cpu_millis).max();
    records.retain(|record| Some(record.cpu_millis) == max_cpu);
    records
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
