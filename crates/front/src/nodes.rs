//! The nodes of the system: each keeps a leased record of itself, and all follow the records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use ladderstage::ids::ProcessId;
use ladderstage_journal::Peers;
use ladderstage_transport::{CallError, Client};
use ladderstage_wire::messages::{Member, MemberState, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::activity::Activity;
use crate::coordination::{
    Change, Coordination, CoordinationError, Follower, LeaseId, Update, follow_with,
};

/// Where the records are.
const NODE_PREFIX: &str = "ladderstage/node/";

/// How long a record outlives its node.
const NODE_LEASE: Duration = Duration::from_secs(3);

/// Renewals per lease time.
const RENEWALS_PER_LEASE: u32 = 3;

/// Pause after a failed renewal or registration.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Between two answers of the watch at a node that works with others: one with a disk, a job, or the right to give orders. A node
/// that is gone is missed only once its lease is over, three times as late.
const GATHER: Duration = Duration::from_secs(1);

/// The same while nodes start, and after a call that did not reach its node.
const CLOSE_GATHER: Duration = Duration::from_millis(400);

/// The same at all others. Restarts come in turn, and each changes its node's record three times: with many nodes the answers
/// about that are most of the calls to the store, and each has its price. Well under the history that stores keep. A call that
/// does not reach its node ends the pause.
const IDLE_GATHER: Duration = Duration::from_secs(8);

/// For so long after its start a node follows closely: the others may have started with it.
const STARTING_TIME: Duration = Duration::from_secs(2);

/// A record that went while the store had trouble may come back: its node counts for this long.
const GONE_GRACE: Duration = Duration::from_millis(400);

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
}

#[derive(Debug, Default)]
struct Known {
    /// All nodes ever heard of, for their addresses.
    records: BTreeMap<String, NodeRecord>,
    present: BTreeSet<String>,
    /// When each node's present process was first heard of.
    seen_since: BTreeMap<String, Instant>,
    gone_at: BTreeMap<String, Instant>,
}

/// All nodes as last heard of, and calls to them. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Nodes {
    own: Arc<Mutex<NodeRecord>>,
    known: Arc<Mutex<Known>>,
    client: Client,
    contact: watch::Sender<Option<Instant>>,
    own_changed: watch::Sender<u64>,
    /// Calls that did not reach their node: what is known of the nodes may be old.
    unreached: watch::Sender<u64>,
}

/// Follows the nodes' records: closely while there is work with other nodes.
struct NodeFollower<'a> {
    nodes: &'a Nodes,
    activity: &'a Activity,
    started: tokio::time::Instant,
}

impl Follower for NodeFollower<'_> {
    async fn pause(&self) {
        if self.started.elapsed() < STARTING_TIME {
            return tokio::time::sleep(CLOSE_GATHER).await;
        }
        let mut unreached = self.nodes.unreached.subscribe();
        let in_doubt = async {
            // The sender lives as long as this node.
            let _ = unreached.changed().await;
            tokio::time::sleep(CLOSE_GATHER).await;
        };
        tokio::select! {
            () = self.activity.pause(GATHER, IDLE_GATHER) => {}
            () = in_doubt => {}
        }
    }

    fn take(&mut self, update: Update, _at: u64) {
        self.nodes.take(update);
    }
}

impl Nodes {
    /// Knows only this node so far.
    pub fn new(own: NodeRecord) -> Self {
        Self {
            own: Arc::new(Mutex::new(own)),
            known: Arc::default(),
            client: Client::new(),
            contact: watch::Sender::new(None),
            own_changed: watch::Sender::new(0),
            unreached: watch::Sender::new(0),
        }
    }

    /// Keeps this node's record and follows all others, for as long as the future is polled: closely while `activity` says that
    /// there is work with them.
    pub async fn run(&self, coordination: Arc<dyn Coordination>, activity: &Activity) {
        let mut follower = NodeFollower {
            nodes: self,
            activity,
            started: tokio::time::Instant::now(),
        };
        let following = follow_with(Arc::clone(&coordination), NODE_PREFIX, &mut follower);
        tokio::join!(following, self.keep_registered(&coordination));
    }

    /// When the store last answered this node; `None`: never.
    pub fn last_contact(&self) -> Option<Instant> {
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
    pub fn seen_since(&self, node: &str) -> Option<Instant> {
        lock(&self.known).seen_since.get(node).copied()
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

    async fn keep_registered(&self, coordination: &Arc<dyn Coordination>) {
        loop {
            match self.register(coordination).await {
                Ok(lease) => {
                    log::info!(
                        "event=node_registered node={} lease={lease}",
                        self.own().node
                    );
                    self.renew_until_over(coordination, lease).await;
                    log::warn!(
                        "event=node_lease_over node={} lease={lease}",
                        self.own().node
                    );
                }
                Err(error) => {
                    log::warn!("event=node_not_registered cause=\"{error}\"");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn register(
        &self,
        coordination: &Arc<dyn Coordination>,
    ) -> Result<LeaseId, CoordinationError> {
        let lease = coordination.grant(NODE_LEASE).await?;
        self.write_record(coordination, lease).await?;
        self.note_contact();
        Ok(lease)
    }

    async fn write_record(
        &self,
        coordination: &Arc<dyn Coordination>,
        lease: LeaseId,
    ) -> Result<(), CoordinationError> {
        let own = self.own();
        let value = serde_json::to_vec(&own).unwrap_or_default();
        let key = format!("{NODE_PREFIX}{}", own.node);
        coordination.put(&key, value, Some(lease)).await
    }

    /// Returns once the lease is over.
    async fn renew_until_over(&self, coordination: &Arc<dyn Coordination>, lease: LeaseId) {
        let mut own_changed = self.own_changed.subscribe();
        loop {
            tokio::select! {
                () = tokio::time::sleep(NODE_LEASE / RENEWALS_PER_LEASE) => {}
                _ = own_changed.changed() => {
                    if self.write_record(coordination, lease).await.is_err() {
                        return;
                    }
                }
            }
            match coordination.renew(lease).await {
                Ok(()) => self.note_contact(),
                Err(CoordinationError::LeaseOver) => return,
                Err(error) => {
                    log::warn!("event=node_lease_not_renewed cause=\"{error}\"");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn note_contact(&self) {
        self.contact.send_replace(Some(Instant::now()));
    }

    fn take(&self, update: Update) {
        let mut known = lock(&self.known);
        match update {
            Update::Snapshot(records) => {
                let kept: BTreeSet<String> = records
                    .iter()
                    .filter_map(|record| record.key.strip_prefix(NODE_PREFIX))
                    .map(str::to_owned)
                    .collect();
                let present = known.present.clone();
                present
                    .difference(&kept)
                    .for_each(|node| known.remove(node));
                records
                    .iter()
                    .for_each(|record| known.insert(&record.value));
            }
            Update::Changes(changes) => changes.into_iter().for_each(|change| match change {
                Change::Written(record) => known.insert(&record.value),
                Change::Removed { key } => {
                    known.remove(key.strip_prefix(NODE_PREFIX).unwrap_or_default());
                }
            }),
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
    fn insert(&mut self, value: &[u8]) {
        let Ok(record) = serde_json::from_slice::<NodeRecord>(value) else {
            log::warn!("event=node_record_unreadable");
            return;
        };
        let node = record.node.clone();
        let known_process = self.records.get(&node).map(|known| known.process);
        if known_process != Some(record.process) {
            self.seen_since.insert(node.clone(), Instant::now());
        }
        if self.records.get(&node) != Some(&record) {
            log::info!(
                "event=node_seen node={node} process={} address={} replica_id={} leaving={}",
                record.process,
                record.peer_address,
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
            .map(member)
            .collect();
        members.push(member(&own));
        members
    }

    fn successors(&self) -> Vec<Member> {
        let fronts = self.with_role(NodeRole::Front);
        let fronts = fronts.iter().filter(|record| !record.is_leaving);
        fronts.map(member).collect()
    }

    fn takers(&self) -> Vec<Member> {
        strongest(self.with_role(NodeRole::Front))
            .iter()
            .map(member)
            .collect()
    }

    fn is_gone(&self, process: ProcessId) -> bool {
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

fn member(record: &NodeRecord) -> Member {
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
        region: String::new(),
        replica_id: record.replica_id,
        started_unix_ms: 0,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
