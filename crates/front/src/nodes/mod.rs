//! The nodes of the system: each keeps a leased record of itself, and learns of the others' records.
//!
//! Nodes that work with others follow the records closely (`following`); the many without such work read them now and then.

mod following;
mod formats;
mod registration;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
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
use crate::coordination::{Change, Coordination, CoordinationError, Record, Update};

/// Where the records are.
const NODE_PREFIX: &str = "ladderstage/node/";

/// A record that went while the store had trouble may come back: its node counts for this long.
const GONE_GRACE: Duration = Duration::from_millis(400);

/// A node whose record is gone may come back for this long; after that it counts as removed.
const RETURN_TIME: Duration = Duration::from_secs(60);

/// So many news of one answer get a line each; of more, as at the start of a fleet, their number is told.
const MOST_NEWS_LINES: usize = 16;

/// What a node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeRole {
    /// Serves clients and owns batch jobs.
    Front,
    /// Holds a replica of the journal.
    Store,
}

/// What a node tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its name; stays the same over restarts.
    pub node: String,
    /// What it does.
    pub role: NodeRole,
    /// Random number of this process start.
    pub process: u64,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
    /// Id of its disk; 0: none.
    pub replica_id: u64,
    /// It is to be emptied or is stopping: no new work for it.
    pub is_leaving: bool,
    /// Processor time of its machine, in thousandths of a core; 0: unknown.
    #[serde(default)]
    pub cpu_millis: u32,
    /// Region it runs in; empty: none, or its process is of an older build.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub region: String,
    /// Which formats its build reads.
    #[serde(default)]
    pub formats: FormatLevel,
}

#[derive(Debug, Default)]
struct Known {
    /// All nodes ever heard of, for their addresses.
    records: BTreeMap<String, NodeRecord>,
    present: BTreeSet<String>,
    /// When each node's present process was first heard of.
    first_seen: BTreeMap<String, Instant>,
    gone_at: BTreeMap<String, Instant>,
    /// Revision of the store as of which all this is known.
    at: u64,
    /// When the last reading that was not stale was taken.
    read_at: Option<Instant>,
    /// Nodes that read fewer formats than this one, as logged last.
    behind: BTreeSet<String>,
}

/// All nodes as last heard of, and calls to them. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Nodes {
    own: Arc<Mutex<NodeRecord>>,
    regions: RegionMap,
    known: Arc<Mutex<Known>>,
    client: Client,
    contact: watch::Sender<Option<Instant>>,
    own_changed: watch::Sender<u64>,
    /// Calls that did not reach their node: what is known of the nodes may be old.
    unreached: watch::Sender<u64>,
    /// How many nodes read fewer formats than this one.
    nodes_behind: IntGauge,
}

impl Nodes {
    /// Knows only this node so far.
    ///
    /// # Panics
    /// Never: the gauge's name is valid.
    pub fn new(own: NodeRecord) -> Self {
        let nodes_behind = IntGauge::new(
            "ladderstage_nodes_behind",
            "Nodes whose builds read fewer formats than this one",
        );
        Self {
            own: Arc::new(Mutex::new(own)),
            regions: RegionMap::default(),
            known: Arc::default(),
            client: Client::new(),
            contact: watch::Sender::new(None),
            own_changed: watch::Sender::new(0),
            unreached: watch::Sender::new(0),
            nodes_behind: nodes_behind.expect("valid name"),
        }
    }

    /// The same in a deployment with these regions.
    pub fn with_regions(mut self, regions: RegionMap) -> Self {
        self.regions = regions;
        self
    }

    /// Regions of all zones.
    pub fn regions(&self) -> &RegionMap {
        &self.regions
    }

    /// Region of a node: as the settings here name it for its zone, else as in its record.
    pub fn region_of<'a>(&'a self, record: &'a NodeRecord) -> Option<&'a str> {
        let as_recorded = || Some(record.region.as_str()).filter(|region| !region.is_empty());
        self.regions.region_of(&record.zone).or_else(as_recorded)
    }

    /// How far a node is from this one.
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

    /// A node outside the allowed regions, which may be this one; `None`: there is none. A node whose record names no region may be of
    /// a build that knows no bounds, and counts as outside.
    pub fn find_outside(&self, allowed: &AllowedRegions) -> Option<NodeRecord> {
        let own = self.own();
        let known = lock(&self.known);
        let others = known.records.values();
        let mut nodes = others
            .filter(|record| known.may_come_back(&record.node))
            .chain([&own]);
        nodes
            .find(|record| {
                let is_bound = !record.region.is_empty() && allowed.permits(self.region_of(record));
                !allowed.is_all() && !is_bound
            })
            .cloned()
    }

    /// Whether a node's record was ever heard of.
    pub fn has_seen(&self, node: &str) -> bool {
        node == self.own().node || lock(&self.known).records.contains_key(node)
    }

    /// How many present nodes read fewer formats than this one.
    pub fn nodes_behind(&self) -> &IntGauge {
        &self.nodes_behind
    }

    /// Keeps this node's record and learns of all others, for as long as the future is polled: closely while `activity` says that
    /// there is work with them.
    pub async fn run(&self, coordination: Arc<dyn Coordination>, activity: &Activity) {
        tokio::join!(
            following::run(self, &coordination, activity),
            registration::keep(self, &coordination, activity)
        );
    }

    /// Reads all records now, if they were not read for `age`.
    ///
    /// # Errors
    /// When the store did not answer.
    pub async fn refresh(
        &self,
        coordination: &dyn Coordination,
        age: Duration,
    ) -> Result<(), CoordinationError> {
        let read_at = lock(&self.known).read_at;
        if read_at.is_some_and(|at| at.elapsed() < age) {
            return Ok(());
        }
        let listing = coordination.list(NODE_PREFIX).await?;
        self.on_update(Update::Snapshot(listing.records), listing.at);
        Ok(())
    }

    /// Whether this node is one of the fronts with the most processor time among those that are known.
    fn is_strongest(&self) -> bool {
        let own = self.own().node;
        let strongest = strongest(self.with_role(NodeRole::Front));
        strongest.iter().any(|record| record.node == own)
    }

    /// When the store last answered this node; `None`: never.
    pub fn last_store_contact(&self) -> Option<Instant> {
        *self.contact.borrow()
    }

    /// This node's record.
    pub fn own(&self) -> NodeRecord {
        lock(&self.own).clone()
    }

    /// Says in this node's record that it takes no new work.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.own).is_leaving = is_leaving;
        self.own_changed.send_modify(|count| *count += 1);
    }

    /// Whether this node takes no new work.
    pub fn is_leaving(&self) -> bool {
        lock(&self.own).is_leaving
    }

    /// When a node's present process was first heard of; `None`: never.
    pub fn first_seen(&self, node: &str) -> Option<Instant> {
        lock(&self.known).first_seen.get(node).copied()
    }

    /// Whether a node's record is there.
    pub fn is_present(&self, node: &str) -> bool {
        node == self.own().node || lock(&self.known).is_alive(node)
    }

    /// Present nodes with a role, this one included if it has it.
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

    /// The formats that all present nodes with a role read, by the records known here; [`FormatLevel::UNNAMED`] until the others were read.
    pub fn shared_level(&self, role: NodeRole) -> FormatLevel {
        if lock(&self.known).at == 0 {
            return FormatLevel::UNNAMED;
        }
        shared_level(&self.with_role(role), role)
    }

    /// Whether any other front is known.
    fn knows_others(&self) -> bool {
        let own = self.own().node;
        lock(&self.known)
            .records
            .values()
            .any(|record| record.role == NodeRole::Front && record.node != own)
    }

    fn note_contact(&self) {
        self.contact.send_replace(Some(Instant::now()));
    }

    /// Takes what the store tells as of its revision `at`; what is older than what is known here changes nothing.
    fn on_update(&self, update: Update, at: u64) {
        let own_formats = lock(&self.own).formats;
        let mut known = lock(&self.known);
        if at < known.at {
            log::debug!("event=nodes_update_stale at={at} known={}", known.at);
            return;
        }
        known.at = at;
        known.read_at = Some(Instant::now());
        match update {
            Update::Snapshot(records) => known.take_all(&records),
            Update::Changes(changes) => changes.into_iter().for_each(|change| match change {
                Change::Written(record) => {
                    known.insert(&record.value, true);
                }
                Change::Removed { key } => {
                    known.remove(key.strip_prefix(NODE_PREFIX).unwrap_or_default());
                }
            }),
        }
        let behind = known.note_behind(own_formats);
        self.nodes_behind
            .set(i64::try_from(behind).unwrap_or(i64::MAX));
    }

    /// As [`Nodes::on_update`], of a stale read.
    fn take_stale(&self, records: Vec<Record>, at: u64) {
        let read_at = lock(&self.known).read_at;
        self.on_update(Update::Snapshot(records), at);
        lock(&self.known).read_at = read_at;
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

impl Known {
    /// Takes all records that there are: nodes without one are gone.
    fn take_all(&mut self, records: &[Record]) {
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
        let is_news = |record: &&Record| self.is_news(&record.value);
        let news = records.iter().filter(is_news).count();
        let has_lines = news <= MOST_NEWS_LINES;
        if !has_lines {
            log::info!("event=nodes_seen count={news} of={}", records.len());
        }
        records
            .iter()
            .for_each(|record| self.insert(&record.value, has_lines));
    }

    fn is_news(&self, value: &[u8]) -> bool {
        let record = serde_json::from_slice::<NodeRecord>(value);
        record.is_ok_and(|record| self.records.get(&record.node) != Some(&record))
    }

    /// `has_line`: whether news of it are logged.
    fn insert(&mut self, value: &[u8], has_line: bool) {
        let Ok(record) = serde_json::from_slice::<NodeRecord>(value) else {
            log::warn!("event=node_record_unreadable");
            return;
        };
        let node = record.node.clone();
        let known_process = self.records.get(&node).map(|known| known.process);
        if known_process != Some(record.process) {
            self.first_seen.insert(node.clone(), Instant::now());
        }
        if has_line && self.records.get(&node) != Some(&record) {
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
        self.gone_at.remove(&node);
        self.present.insert(node);
    }

    fn remove(&mut self, node: &str) {
        if self.present.remove(node) {
            log::info!("event=node_gone node={node}");
            self.gone_at.insert(node.to_owned(), Instant::now());
        }
    }

    /// Notes which present nodes read fewer formats than a level, and logs a change; returns how many there are.
    fn note_behind(&mut self, level: FormatLevel) -> usize {
        let present = self.present.iter();
        let is_behind = |node: &&String| {
            let record = self.records.get(*node);
            record.is_some_and(|record| record.formats < level)
        };
        let behind: BTreeSet<String> = present.filter(is_behind).cloned().collect();
        if behind != self.behind {
            let first = behind.first().map_or("-", String::as_str);
            log::info!(
                "event=nodes_behind own_level={} count={} first={first}",
                level.0,
                behind.len()
            );
            self.behind = behind;
        }
        self.behind.len()
    }

    /// Whether a node is present, or has not been gone for so long that it counts as removed.
    fn may_come_back(&self, node: &str) -> bool {
        let is_long_gone = |at: &Instant| at.elapsed() >= RETURN_TIME;
        self.present.contains(node) || !self.gone_at.get(node).is_some_and(is_long_gone)
    }

    fn is_alive(&self, node: &str) -> bool {
        self.present.contains(node)
            || self
                .gone_at
                .get(node)
                .is_some_and(|at| at.elapsed() < GONE_GRACE)
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

    fn has_exited(&self, process: ProcessId) -> bool {
        let is_own = self.own().process == process;
        let known = lock(&self.known);
        let mut present = known
            .present
            .iter()
            .filter_map(|node| known.records.get(node));
        // Before the first listing nothing is known.
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
                None => Err(CallError::NotSent(format!("no address of {node} is known"))),
            };
            if matches!(result, Err(CallError::NotSent(_) | CallError::Unknown(_))) {
                self.unreached.send_modify(|count| *count += 1);
            }
            result
        })
    }
}

/// Those that take new work and have the most processor time: a batch job takes all of a weak machine's.
pub fn strongest(mut records: Vec<NodeRecord>) -> Vec<NodeRecord> {
    records.retain(|record| !record.is_leaving);
    let most = records.iter().map(|record| record.cpu_millis).max();
    records.retain(|record| Some(record.cpu_millis) == most);
    records
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
