//! Measures the copy of all logs to new replicas.
//!
//! Five replicas hold the logs of batch jobs; one or two new replicas copy them over an in-memory
//! network. Prints for each number of logs and of new replicas: the time of the copy, the processor
//! time of the receivers and of the senders, the number of calls and of their bytes, the bytes that
//! were written to files, and the number of commits of the receivers, each of which takes two syncs.
//!
//!     cargo run --release -p ladderstage-journal --example copy_logs [LOGS…]

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::{BoxFuture, join_all};
use ladderstage::journal::WriterEpoch;
use ladderstage_clock::Instant;
use ladderstage_journal::replica_set::{RecordError, RecordedSet, ReplicaSets, SetRecords};
use ladderstage_journal::{InitialReplicas, Journal, JournalHooks, JournalOptions, Peers};
use ladderstage_storage::{Storage, StorageOptions};
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    BundleEvidence, ExportedLog, LogEntry, Member, ReplicaMember, ReplicaSet, Request, Response,
};
use ladderstage_wire::{decode, encode};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

/// Numbers of logs without arguments.
const DEFAULT_LOGS: [usize; 3] = [50, 200, 1000];

const CURRENT_REPLICAS: usize = 5;

const ITEMS_PER_JOB: usize = 128;

/// Size of the request body of one item, in bytes.
const ITEM_BYTES: usize = 400;

/// Number of entries of one item: its progress and its result.
const ENTRIES_PER_ITEM: usize = 4;

/// Size of one such entry, in bytes.
const ENTRY_BYTES: usize = 1300;

/// Size of the part of the logs that one import into the current replicas stores.
const LOGS_PER_IMPORT: usize = 16;

/// Time that a message takes to a node.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);

/// Bandwidth of a node's link, in bytes per second.
const LINK_BYTES_PER_SECOND: f64 = 600e6 / 8.0;

/// Names of the threads, by which the processor time is counted.
const SENDER_THREADS: &str = "sender";
const RECEIVER_THREADS: &str = "receiver";

/// Thread of a store. Those of the senders are idle during a copy.
const COMMIT_THREADS: &str = "journal-commit";

type Error = Box<dyn std::error::Error>;

/// Calls between the nodes.
#[derive(Default)]
struct Network {
    nodes: Mutex<BTreeMap<String, (Journal, u64)>>,
    calls: AtomicU64,
    bytes: AtomicU64,
}

impl Network {
    fn count(&self, bytes: usize) -> Duration {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        ONE_WAY_DELAY + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_SECOND)
    }

    /// Delivers an encoded request and returns the encoded response.
    async fn deliver(&self, node: &str, request: Vec<u8>) -> Result<Vec<u8>, CallError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let found = lock(&self.nodes).get(node).cloned();
        let (journal, _) = found.ok_or_else(|| CallError::NotSent("unknown node".to_owned()))?;
        tokio::time::sleep(self.count(request.len())).await;
        let request: Request = decode(&request).map_err(unknown)?;
        let response = encode(&journal.handle(request.kind).await);
        tokio::time::sleep(self.count(response.len())).await;
        Ok(response)
    }
}

fn unknown(error: impl ToString) -> CallError {
    CallError::Unknown(error.to_string())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The calls of one node. The senders handle them in their own runtime.
struct NodePeers {
    network: Arc<Network>,
    senders: tokio::runtime::Handle,
}

impl Peers for NodePeers {
    fn alive(&self) -> Vec<Member> {
        let nodes = lock(&self.network.nodes);
        let members = nodes.iter().map(|(node, (_, replica_id))| Member {
            node: node.clone(),
            replica_id: *replica_id,
            ..Member::default()
        });
        members.collect()
    }

    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>> {
        Box::pin(async move {
            let network = Arc::clone(&self.network);
            let node = node.to_owned();
            let request = encode(&request);
            let delivery = async move { network.deliver(&node, request).await };
            let delivery = self.senders.spawn(delivery);
            let response = match tokio::time::timeout(timeout, delivery).await {
                Ok(Ok(response)) => response?,
                _ => return Err(unknown("call timed out")),
            };
            let response: Response = decode(&response).map_err(unknown)?;
            match response.kind {
                ResponseKind::refused(refused) => Err(CallError::Refused(refused)),
                kind => Ok(Response { kind }),
            }
        })
    }
}

/// Hooks of nodes without a bundle.
struct NoBundle;

impl JournalHooks for NoBundle {
    fn own_evidence(&self) -> BundleEvidence {
        BundleEvidence::default()
    }

    fn heartbeat_round(&self, _sent_at: Instant, _evidence: Vec<BundleEvidence>, _majority: bool) {}

    fn fenced(&self, _log: &str) {}

    fn orphaned(&self, _logs: Vec<String>) {}
}

/// Record of the replica set. A copy ends with the attempt to make the next set current, which is
/// only noted.
struct CopyRecord {
    set: ReplicaSet,
    completed: watch::Sender<bool>,
}

impl SetRecords for CopyRecord {
    fn read(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        let recorded = RecordedSet {
            set: self.set.clone(),
            mod_revision: 1,
        };
        Box::pin(async move { Ok(Some(recorded)) })
    }

    fn swap(
        &self,
        _expected: u64,
        _set: ReplicaSet,
    ) -> BoxFuture<'_, Result<Option<ReplicaSet>, RecordError>> {
        self.completed.send_replace(true);
        Box::pin(async { Ok(None) })
    }

    fn put_candidate<'a>(
        &'a self,
        _own: &'a ReplicaMember,
    ) -> BoxFuture<'a, Result<(), RecordError>> {
        Box::pin(async { Ok(()) })
    }

    fn candidates(&self) -> BoxFuture<'_, Result<Vec<ReplicaMember>, RecordError>> {
        Box::pin(async { Ok(Vec::new()) })
    }
}

/// A node with its data folder.
struct Node {
    storage: Storage,
    replica_sets: ReplicaSets,
    member: ReplicaMember,
}

fn options(node: &str) -> JournalOptions {
    JournalOptions {
        node: node.to_owned(),
        initial_replicas: InitialReplicas::Named(Vec::new()),
        may_bootstrap: false,
        monitored_prefix: "shard/",
        owner_heartbeat_interval: Duration::from_secs(3600),
        owner_timeout: Duration::from_secs(3600),
        round_timeout: Duration::from_secs(2),
        part_bytes: ladderstage::journal::DEFAULT_PART_BYTES,
        poll_interval: Duration::from_millis(1),
        max_poll_interval: Duration::from_millis(10),
        replace_after: Duration::from_secs(3600),
    }
}

/// Starts a node. Must be called within its runtime.
fn start_node(
    folder: &Path,
    name: &str,
    network: &Arc<Network>,
    senders: &Runtime,
) -> Result<(Node, Arc<NodePeers>), Error> {
    let storage = Storage::open(&folder.join(name), StorageOptions::default())?;
    let replica_sets = ReplicaSets::new(Some(storage.clone()));
    let peers = Arc::new(NodePeers {
        network: Arc::clone(network),
        senders: senders.handle().clone(),
    });
    let replica_id = storage.replica_id();
    let journal = Journal::start_with(
        options(name),
        rand::random_range(1..=u64::MAX),
        peers.clone(),
        Some(storage.clone()),
        replica_sets.clone(),
    );
    journal.set_hooks(Arc::new(NoBundle));
    lock(&network.nodes).insert(name.to_owned(), (journal, replica_id));
    let member = ReplicaMember {
        node: name.to_owned(),
        replica_id,
    };
    let node = Node {
        storage,
        replica_sets,
        member,
    };
    Ok((node, peers))
}

fn random_entry(bytes: usize) -> LogEntry {
    let mut payload = vec![0; bytes];
    rand::fill(&mut payload[..]);
    LogEntry { payload }
}

/// Returns the log of an ended job: the job, and the progress and the result of each item.
fn job_log(number: usize) -> ExportedLog {
    let mut entries = vec![random_entry(ITEM_BYTES * ITEMS_PER_JOB)];
    let of_items = 0..ITEMS_PER_JOB * ENTRIES_PER_ITEM;
    entries.extend(of_items.map(|_| random_entry(ENTRY_BYTES)));
    let epoch = WriterEpoch { round: 1, owner: 1 };
    ExportedLog {
        log: format!("job/{number:016x}"),
        promised: epoch.to_wire(),
        log_epoch: epoch.to_wire(),
        owner_node: "front".to_owned(),
        closed: true,
        length: entries.len() as u64,
        entries,
        ..ExportedLog::default()
    }
}

/// Stores the same logs at all nodes.
async fn store_logs(nodes: &[Node], logs: usize) -> Result<(), Error> {
    let numbers: Vec<usize> = (0..logs).collect();
    for numbers in numbers.chunks(LOGS_PER_IMPORT) {
        let logs: Vec<_> = numbers.iter().map(|number| job_log(*number)).collect();
        for node in nodes {
            node.storage.import_logs(1, logs.clone()).await?;
        }
    }
    Ok(())
}

/// Returns the processor time that the threads with this name have used.
fn processor_time(name: &str) -> Result<Duration, Error> {
    let mut total = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        if std::fs::read_to_string(task.join("comm"))?.trim_end() == name {
            let times = std::fs::read_to_string(task.join("schedstat"))?;
            let first = times.split(' ').next().unwrap_or_default();
            total += first.parse::<u64>()?;
        }
    }
    Ok(Duration::from_nanos(total))
}

/// Returns the number of commits of a data folder.
fn commits(folder: &Path, node: &str) -> Result<u64, Error> {
    const COMMIT_OFFSETS: [usize; 2] = [8, 4096 + 8];
    let bytes = std::fs::read(folder.join(node).join("journal.commits"))?;
    let slots = COMMIT_OFFSETS.iter().filter_map(|start| {
        let number = bytes.get(*start..start + 8)?;
        Some(u64::from_be_bytes(number.try_into().ok()?))
    });
    Ok(slots.max().unwrap_or(0))
}

/// Returns the number of bytes that this process has written to files.
fn written_bytes() -> Result<u64, Error> {
    let counters = std::fs::read_to_string("/proc/self/io")?;
    let written = counters
        .lines()
        .find_map(|line| line.strip_prefix("wchar: "));
    Ok(written.unwrap_or_default().parse()?)
}

/// Waits until all copies have ended.
async fn until_completed(copies: &mut [watch::Receiver<bool>]) -> Result<(), Error> {
    let ends = copies.iter_mut().map(|copy| copy.wait_for(|end| *end));
    for end in join_all(ends).await {
        end?;
    }
    Ok(())
}

fn runtime(name: &str) -> Result<Runtime, Error> {
    Ok(Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        // Threads that have ended would be missing from the processor time.
        .thread_keep_alive(Duration::from_secs(3600))
        .enable_all()
        .build()?)
}

fn measure(logs: usize, new_replicas: usize) -> Result<(), Error> {
    let folder = tempfile::tempdir()?;
    let senders = runtime(SENDER_THREADS)?;
    let receivers = runtime(RECEIVER_THREADS)?;
    let network = Arc::new(Network::default());
    let current = {
        let _context = senders.enter();
        let nodes = (0..CURRENT_REPLICAS).map(|index| {
            let name = format!("n{index}");
            Ok(start_node(folder.path(), &name, &network, &senders)?.0)
        });
        nodes.collect::<Result<Vec<_>, Error>>()?
    };
    let first = ReplicaSet {
        version: 1,
        current: current.iter().map(|node| node.member.clone()).collect(),
        next: Vec::new(),
    };
    senders.block_on(async {
        for node in &current {
            node.replica_sets.learn(first.clone()).await?;
        }
        store_logs(&current, logs).await
    })?;
    let _context = receivers.enter();
    let names: Vec<_> = (0..new_replicas).map(|index| format!("r{index}")).collect();
    let started = names
        .iter()
        .map(|name| start_node(folder.path(), name, &network, &senders));
    let started = started.collect::<Result<Vec<_>, Error>>()?;
    let mut joint = first.clone();
    joint.version += 1;
    joint.next = first.current[new_replicas..].to_vec();
    let joining = started.iter().map(|(node, _)| node.member.clone());
    joint.next.extend(joining);
    receivers.block_on(async {
        for (node, _) in &started {
            node.replica_sets.learn(joint.clone()).await?;
        }
        Ok::<_, Error>(())
    })?;
    network.calls.store(0, Ordering::Relaxed);
    network.bytes.store(0, Ordering::Relaxed);
    let commits = || {
        let counts = names.iter().map(|name| commits(folder.path(), name));
        counts.sum::<Result<u64, Error>>()
    };
    let receiver_time = || -> Result<Duration, Error> {
        Ok(processor_time(RECEIVER_THREADS)? + processor_time(COMMIT_THREADS)?)
    };
    let (commits_before, written_before) = (commits()?, written_bytes()?);
    let (receiver_before, sender_before) = (receiver_time()?, processor_time(SENDER_THREADS)?);
    let begin = Instant::now();
    let mut copies = Vec::new();
    let mut tasks = Vec::new();
    for (name, (node, peers)) in names.iter().zip(&started) {
        let (completed, copy) = watch::channel(false);
        let set = joint.clone();
        let record = CopyRecord { set, completed };
        let peers: Arc<dyn Peers> = peers.clone();
        tasks.push(node.replica_sets.run(options(name), peers, record));
        copies.push(copy);
    }
    receivers.block_on(until_completed(&mut copies))?;
    let elapsed = begin.elapsed();
    let receiver_time = receiver_time()? - receiver_before;
    let sender_time = processor_time(SENDER_THREADS)? - sender_before;
    println!(
        "{logs:>5} {new_replicas:>4} {:>8} {:>11} {:>9} {:>6} {:>9} {:>11} {:>7}",
        elapsed.as_millis(),
        receiver_time.as_millis(),
        sender_time.as_millis(),
        network.calls.load(Ordering::Relaxed),
        network.bytes.load(Ordering::Relaxed) / 1024,
        (written_bytes()? - written_before) / 1024,
        commits()? - commits_before,
    );
    drop(tasks);
    lock(&network.nodes).clear();
    Ok(())
}

fn main() -> Result<(), Error> {
    let arguments: Result<Vec<usize>, _> =
        std::env::args().skip(1).map(|text| text.parse()).collect();
    let mut volumes = arguments?;
    if volumes.is_empty() {
        volumes = DEFAULT_LOGS.to_vec();
    }
    println!(" logs  new  time_ms receiver_ms sender_ms  calls  sent_KiB written_KiB commits");
    for logs in volumes {
        for new_replicas in [1, 2] {
            measure(logs, new_replicas)?;
        }
    }
    Ok(())
}
