//! Tests of the roster: the delay of changes at its readers, and failures of its writer.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::activity::Activity;
use ladderstage_front::backend::{BackendTable, DiscoveredInstance, HoldReason};
use ladderstage_front::config::{
    CurrentConfig, Route, RouteKind, ServiceSpec, ServingConfig, WeightedService,
};
use ladderstage_front::coordination::{Change, Coordination, Follower, Update, follow_with};
use ladderstage_front::nodes::{FormatLevel, FrontCount, NodeRecord, NodeRole, Nodes};
use ladderstage_front::region::AllowedRegions;
use ladderstage_front::roster::{
    DiscoverySource, DiscoveryView, DrainTracking, ROSTER_KEY, Roster, RosterDrains, RosterReader,
    RosterTiming, RosterWriter,
};
use proptest::prelude::*;
use support::memory_store::{MemoryStore, NodeClient, NodeFaults};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Key prefix of the instances' records in these tests.
const INSTANCES: &str = "instances/";

/// Key prefix of the drain requests in these tests.
const DRAINS: &str = "drains/";

/// Maximum delay until a front knows that an instance leaves.
const MAX_DELAY: Duration = Duration::from_millis(1_600);

/// Allowance for calls and scheduling beyond the configured times.
const CALL_ALLOWANCE: Duration = Duration::from_millis(60);

fn options() -> RosterTiming {
    let options =
        RosterTiming::within(MAX_DELAY, Duration::from_secs(1)).expect("the limit is long enough");
    RosterTiming {
        min_fronts: 1,
        ..options
    }
}

fn instance(id: &str) -> DiscoveredInstance {
    DiscoveredInstance {
        started_unix_ms: 0,
        cold_ms: 0,
        is_preemptible: false,
        leaves_ms: None,
        id: id.to_owned(),
        service: "scorer".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".to_owned(),
        is_ready: true,
        slots: 6,
        versions: BTreeMap::new(),
    }
}

fn write(store: &MemoryStore, instance: &DiscoveredInstance) {
    let value = serde_json::to_vec(instance).unwrap();
    store.write(&format!("{INSTANCES}{}", instance.id), value);
}

/// Returns a configuration with a route to each of some services.
fn config_of(version: u64, routes: &[(RouteKind, &str)]) -> ServingConfig {
    let route = |(kind, service): &(RouteKind, &str)| Route {
        name: (*service).to_owned(),
        host: "host".to_owned(),
        path_prefix: format!("/{service}/"),
        kind: *kind,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        split: vec![WeightedService {
            service: (*service).to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        max_queue_time: None,
        result_deadline: None,
        single_version: false,
        resumable: false,
        is_public: false,
        allowed_regions: AllowedRegions::default(),
    };
    ServingConfig {
        version,
        routes: routes.iter().map(route).collect(),
        services: routes
            .iter()
            .map(|(_, service)| ((*service).to_owned(), ServiceSpec::default()))
            .collect(),
        ..ServingConfig::default()
    }
}

struct InstanceRecords {
    coordination: Arc<dyn Coordination>,
    backends: BackendTable,
    batch_interval: Duration,
}

struct RecordFollower<'a> {
    records: &'a InstanceRecords,
    view: &'a DiscoveryView,
}

impl Follower for RecordFollower<'_> {
    fn pause(&self) -> impl Future<Output = ()> + Send {
        sleep(self.records.batch_interval)
    }

    fn on_update(&mut self, update: Update, at: u64) {
        let table = &self.records.backends;
        let id = |key: &str| key.strip_prefix(INSTANCES).unwrap().to_owned();
        let changes = match update {
            Update::Changes(changes) => changes,
            Update::Snapshot(records) => {
                let ids: Vec<String> = records.iter().map(|record| id(&record.key)).collect();
                table.retain(&ids, |_| true);
                records.into_iter().map(Change::Written).collect()
            }
        };
        for change in changes {
            match change {
                Change::Written(record) => {
                    table.upsert(serde_json::from_slice(&record.value).unwrap());
                }
                Change::Removed { key } => table.remove(&id(&key)),
            }
        }
        self.view.set_known(at);
    }

    fn on_unavailable(&mut self) {
        self.view.mark_unavailable();
    }
}

/// Follower of the drain requests.
struct DrainRecordFollower<'a> {
    records: &'a InstanceRecords,
    view: &'a DiscoveryView,
    zones: BTreeSet<Arc<str>>,
}

impl Follower for DrainRecordFollower<'_> {
    fn pause(&self) -> impl Future<Output = ()> + Send {
        sleep(self.records.batch_interval)
    }

    fn on_update(&mut self, update: Update, at: u64) {
        let zone = |key: &str| Arc::from(key.strip_prefix(DRAINS).unwrap());
        match update {
            Update::Snapshot(records) => {
                self.zones = records.iter().map(|record| zone(&record.key)).collect();
            }
            Update::Changes(changes) => changes.iter().for_each(|change| match change {
                Change::Written(record) => {
                    self.zones.insert(zone(&record.key));
                }
                Change::Removed { key } => {
                    self.zones.remove(&zone(key));
                }
            }),
        }
        self.records.backends.set_drained_zones(self.zones.clone());
        self.view.set_known(at);
    }

    fn on_unavailable(&mut self) {
        self.view.mark_unavailable();
    }
}

impl DiscoverySource for InstanceRecords {
    async fn follow(&self, view: &DiscoveryView) {
        let mut follower = RecordFollower {
            records: self,
            view,
        };
        follow_with(Arc::clone(&self.coordination), INSTANCES, &mut follower).await;
    }

    async fn follow_drains(&self, view: &DiscoveryView) {
        let mut follower = DrainRecordFollower {
            records: self,
            view,
            zones: BTreeSet::new(),
        };
        follow_with(Arc::clone(&self.coordination), DRAINS, &mut follower).await;
    }
}

/// A node that tracks instances and may maintain the roster.
struct Node {
    backends: BackendTable,
    config: CurrentConfig,
    view: DiscoveryView,
    activity: Activity,
    fronts: FrontCount,
    drains: Option<DrainTracking>,
    coordination: NodeClient,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Node {
    fn start(store: &MemoryStore, name: &str, batch_interval: Duration) -> Self {
        Self::start_waiting(store, name, batch_interval, Duration::ZERO)
    }

    /// Starts a node that waits for a roster for up to `startup_wait`.
    fn start_waiting(
        store: &MemoryStore,
        name: &str,
        batch_interval: Duration,
        startup_wait: Duration,
    ) -> Self {
        Self::start_following(store, name, batch_interval, startup_wait, None)
    }

    /// Starts a node of a deployment that drains zones.
    fn start_draining(store: &MemoryStore, name: &str, startup_wait: Duration) -> Self {
        let tracking = DrainTracking {
            view: DiscoveryView::default(),
            roster_duty: Activity::default(),
        };
        let batch_interval = options().reader_batch_interval;
        Self::start_following(store, name, batch_interval, startup_wait, Some(tracking))
    }

    fn start_following(
        store: &MemoryStore,
        name: &str,
        batch_interval: Duration,
        startup_wait: Duration,
        drains: Option<DrainTracking>,
    ) -> Self {
        let coordination = store.of(name);
        let backends = BackendTable::new("a");
        let config = CurrentConfig::default();
        config.apply_if_newer(config_of(1, &[(RouteKind::Safe, "scorer")]));
        let view = DiscoveryView::default();
        let activity = Activity::default();
        let fronts = FrontCount::default();
        let reader = RosterReader {
            coordination: Arc::new(coordination.clone()),
            backends: backends.clone(),
            config: config.clone(),
            view: view.clone(),
            activity: activity.clone(),
            options: Some(options()),
            drains: drains.clone(),
            startup_wait,
            fronts: fronts.clone(),
            source: InstanceRecords {
                coordination: Arc::new(coordination.clone()),
                backends: backends.clone(),
                batch_interval,
            },
        };
        let reading = tokio::spawn(async move { reader.run().await });
        Self {
            backends,
            config,
            view,
            activity,
            fronts,
            drains,
            coordination,
            tasks: vec![reading],
        }
    }

    /// Starts an active node that maintains the roster.
    fn start_writer(store: &MemoryStore, name: &str) -> Self {
        Self::start(store, name, options().writer_batch_interval).maintain_roster(name)
    }

    /// Makes the node maintain the roster.
    fn maintain_roster(mut self, name: &str) -> Self {
        let node = &mut self;
        let work = node.activity.start();
        let duty = node.drains.as_ref().map(|one| one.roster_duty.start());
        let writer = RosterWriter {
            coordination: Arc::new(node.coordination.clone()),
            backends: node.backends.clone(),
            config: node.config.clone(),
            view: node.view.clone(),
            drains: node.drains.as_ref().map(|one| one.view.clone()),
            nodes: Nodes::new(NodeRecord {
                node: name.to_owned(),
                role: NodeRole::Front,
                process: 1,
                peer_address: "127.0.0.1:9".parse().unwrap(),
                zone: "a".to_owned(),
                replica_id: 0,
                is_leaving: false,
                cpu_millis: 0,
                region: String::new(),
                formats: FormatLevel::OWN,
            }),
            options: Some(options()),
        };
        node.tasks.push(tokio::spawn(async move {
            let _work = (work, duty);
            writer.run().await;
        }));
        self
    }

    /// Returns whether an instance may get requests from this node.
    fn may_send(&self, id: &str) -> bool {
        let instance = self.backends.get(id);
        instance.is_some_and(|one| {
            one.is_ready() && one.check_send(ladderstage_clock::Instant::now()).is_ok()
        })
    }

    /// Waits until an instance may, or may not, get requests from this node; returns the time that
    /// took.
    async fn wait_until_may_send(&self, id: &str, expected: bool) -> Duration {
        let started = Instant::now();
        while self.may_send(id) != expected {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "the change never arrived"
            );
            sleep(Duration::from_millis(5)).await;
        }
        started.elapsed()
    }

    fn is_ready(&self, id: &str) -> Option<bool> {
        self.backends.get(id).map(|instance| instance.is_ready())
    }

    /// Waits until this node uses the roster.
    async fn wait_for_roster_use(&self) {
        while self.view.known_at().is_none() {
            sleep(Duration::from_millis(5)).await;
        }
        while self.view.known_at().is_some() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until this node knows that an instance leaves; returns the time that took.
    async fn wait_until_leaving(&self, id: &str) -> Duration {
        let started = Instant::now();
        while self.is_ready(id) != Some(false) {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "the change never arrived"
            );
            sleep(Duration::from_millis(5)).await;
        }
        started.elapsed()
    }
}

/// Starts a store with instances, a writer of the roster, and an idle reader that uses it.
async fn start_fleet() -> (MemoryStore, Node, Node) {
    let store = MemoryStore::default();
    write(&store, &instance("i-1"));
    write(&store, &instance("i-2"));
    let writer = Node::start_writer(&store, "writer");
    let reader = Node::start(&store, "reader", options().reader_batch_interval);
    reader.wait_for_roster_use().await;
    (store, writer, reader)
}

/// Starts a store, a writer and an idle reader as [`start_fleet`] does, with an instance, `i-9`, of
/// a service that the roster does not include.
async fn start_fleet_with_labeler() -> (MemoryStore, Node, Node) {
    let store = MemoryStore::default();
    let labeler = DiscoveredInstance {
        service: "labeler".to_owned(),
        ..instance("i-9")
    };
    write(&store, &instance("i-1"));
    write(&store, &labeler);
    let writer = Node::start_writer(&store, "writer");
    let reader = Node::start(&store, "reader", options().reader_batch_interval);
    reader.wait_for_roster_use().await;
    (store, writer, reader)
}

fn leave(store: &MemoryStore, id: &str) {
    let leaving = DiscoveredInstance {
        is_ready: false,
        ..instance(id)
    };
    write(store, &leaving);
}

#[tokio::test(start_paused = true)]
async fn a_front_without_work_makes_no_calls_for_new_weights() {
    let (store, writer, reader) = start_fleet().await;
    // The watches of the roster start again after their pauses.
    sleep(options().reader_batch_interval * 2).await;
    let calls = |kind, key| store.calls("reader", kind, key);
    let before = (calls("watch", INSTANCES), calls("watch", ROSTER_KEY));
    for version in 1..40 {
        let mut loaded = instance("i-1");
        loaded.versions.insert("model".to_owned(), version);
        write(&store, &loaded);
        sleep(Duration::from_millis(250)).await;
    }
    let after = (calls("watch", INSTANCES), calls("watch", ROSTER_KEY));
    assert_eq!(after, before);
    let known = writer.backends.get("i-1").unwrap().version("model");
    assert!(known >= 36, "{known}");
    assert_eq!(reader.is_ready("i-1"), Some(true));
}

#[tokio::test(start_paused = true)]
async fn a_front_without_work_knows_in_time_that_an_instance_leaves_or_is_removed() {
    let (store, _writer, reader) = start_fleet().await;
    let in_time =
        options().writer_batch_interval + options().reader_batch_interval + CALL_ALLOWANCE;
    for round in 0..20_u64 {
        sleep(Duration::from_millis(37 * round)).await;
        leave(&store, "i-1");
        let delay = reader.wait_until_leaving("i-1").await;
        assert!(delay <= in_time, "{delay:?}");
        write(&store, &instance("i-1"));
        store.remove(&format!("{INSTANCES}i-2"));
        sleep(in_time).await;
        assert_eq!(reader.is_ready("i-2"), None);
        write(&store, &instance("i-2"));
        sleep(in_time).await;
        assert_eq!(reader.is_ready("i-1"), Some(true));
        assert_eq!(reader.is_ready("i-2"), Some(true));
    }
}

#[tokio::test(start_paused = true)]
async fn changes_that_a_dead_writer_did_not_write_arrive_within_the_maximum_delay() {
    for offset in [0, 130, 260, 390, 520] {
        let (store, writer, reader) = start_fleet().await;
        sleep(Duration::from_millis(offset)).await;
        drop(writer);
        leave(&store, "i-1");
        let delay = reader.wait_until_leaving("i-1").await;
        assert!(delay <= options().max_delay() + CALL_ALLOWANCE, "{delay:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn readers_stop_using_the_roster_of_a_partitioned_writer_in_time() {
    let (store, _writer, reader) = start_fleet().await;
    let partitioned = NodeFaults {
        is_partitioned: true,
        ..NodeFaults::default()
    };
    store.set_faults("writer", partitioned);
    leave(&store, "i-1");
    let delay = reader.wait_until_leaving("i-1").await;
    assert!(delay <= options().max_delay() + CALL_ALLOWANCE, "{delay:?}");
    // The writer may continue after its recovery.
    store.set_faults("writer", NodeFaults::default());
}

/// Guards against a writer that renews the lease although its watch of discovery fails.
#[tokio::test(start_paused = true)]
async fn a_writer_that_cannot_follow_discovery_lets_the_roster_expire() {
    let (store, _writer, reader) = start_fleet().await;
    let cannot_follow = NodeFaults {
        rejected_keys: [INSTANCES.to_owned()].into(),
        ..NodeFaults::default()
    };
    store.set_faults("writer", cannot_follow);
    leave(&store, "i-1");
    let delay = reader.wait_until_leaving("i-1").await;
    assert!(delay <= options().max_delay() + CALL_ALLOWANCE, "{delay:?}");
    assert!(store.read(ROSTER_KEY).is_none());
    store.set_faults("writer", NodeFaults::default());
    write(&store, &instance("i-1"));
    sleep(Duration::from_secs(20)).await;
    assert!(store.read(ROSTER_KEY).is_some());
    assert!(reader.view.known_at().is_none(), "uses the roster again");
}

#[tokio::test(start_paused = true)]
async fn a_late_write_does_not_undo_a_later_one() {
    for late in [10, 200, 600, 1_500, 3_000] {
        let (store, _writer, reader) = start_fleet().await;
        let loses_answer = NodeFaults {
            delayed_swap: Some(Duration::from_millis(late)),
            ..NodeFaults::default()
        };
        store.set_faults("writer", loses_answer);
        store.remove(&format!("{INSTANCES}i-2"));
        sleep(options().writer_batch_interval).await;
        leave(&store, "i-1");
        reader.wait_until_leaving("i-1").await;
        for _ in 0..1_000 {
            assert_eq!(reader.is_ready("i-1"), Some(false));
            sleep(Duration::from_millis(5)).await;
        }
        let bytes = store.read(ROSTER_KEY).expect("the roster exists");
        let roster = Roster::read(&bytes).unwrap();
        assert_eq!(roster.instances.len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_front_with_work_reads_weights_at_once_and_returns_to_the_roster_later() {
    let (store, _writer, reader) = start_fleet().await;
    let mut loaded = instance("i-1");
    loaded.versions.insert("model".to_owned(), 7);
    write(&store, &loaded);
    sleep(Duration::from_secs(3)).await;
    let version = || reader.backends.get("i-1").unwrap().version("model");
    assert_eq!(version(), 0);
    let work = reader.activity.start();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(version(), 7);
    drop(work);
    sleep(Duration::from_secs(20)).await;
    assert!(reader.view.known_at().is_none(), "uses the roster");
    assert_eq!(version(), 7, "known weights are kept");
}

/// Guards against a front that knows no instances when the store rejects its calls as work starts.
#[tokio::test(start_paused = true)]
async fn a_front_rejected_by_the_store_as_work_starts_uses_the_known_instances() {
    let (store, _writer, reader) = start_fleet_with_labeler().await;
    assert!(!reader.view.is_usable(), "their records may be old");
    let rejected = NodeFaults {
        rejected_keys: [INSTANCES.to_owned(), ROSTER_KEY.to_owned()].into(),
        ..NodeFaults::default()
    };
    store.set_faults("reader", rejected);
    let _work = reader.activity.start();
    sleep(CALL_ALLOWANCE).await;
    assert!(reader.view.is_usable(), "nothing better is available");
    assert_eq!(reader.is_ready("i-9"), Some(true));
}

#[tokio::test(start_paused = true)]
async fn work_waits_for_the_records_of_instances_missing_in_the_roster() {
    let (store, _writer, reader) = start_fleet_with_labeler().await;
    store.remove(&format!("{INSTANCES}i-9"));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(
        reader.is_ready("i-9"),
        Some(true),
        "the removal is not known yet"
    );
    let _work = reader.activity.start();
    while !reader.view.is_usable() {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(reader.is_ready("i-9"), None);
}

#[tokio::test(start_paused = true)]
async fn a_front_whose_configuration_names_another_service_follows_discovery() {
    let (store, writer, reader) = start_fleet().await;
    let new = DiscoveredInstance {
        service: "labeler".to_owned(),
        ..instance("i-9")
    };
    write(&store, &new);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(reader.is_ready("i-9"), None, "not in the roster");
    let moved = [(RouteKind::Safe, "scorer"), (RouteKind::Safe, "labeler")];
    reader.config.apply_if_newer(config_of(2, &moved));
    sleep(CALL_ALLOWANCE).await;
    assert_eq!(reader.is_ready("i-9"), Some(true));
    writer.config.apply_if_newer(config_of(2, &moved));
    sleep(Duration::from_secs(10)).await;
    assert!(reader.view.known_at().is_none(), "uses the roster");
    assert_eq!(reader.is_ready("i-9"), Some(true));
}

#[test]
fn services_used_only_by_batch_jobs_are_not_live_services() {
    let mut config = config_of(
        1,
        &[
            (RouteKind::Batch, "labeler"),
            (RouteKind::Safe, "scorer"),
            (RouteKind::Batch, "both"),
            (RouteKind::Streaming, "both"),
        ],
    );
    let without_route = "without-route".to_owned();
    config
        .services
        .insert(without_route, ServiceSpec::default());
    let live: Vec<String> = config.live_services().into_iter().collect();
    assert_eq!(live, ["both", "scorer", "without-route"]);
}

/// A delayed writer may have an older state than a front that followed discovery itself.
#[tokio::test(start_paused = true)]
async fn a_front_does_not_apply_an_older_roster() {
    let store = MemoryStore::default();
    write(&store, &instance("i-1"));
    let old = Roster {
        known_at: 1,
        services: ["scorer".to_owned()].into(),
        instances: vec![instance("i-1")],
        drains: None,
    };
    leave(&store, "i-1");
    store.write(ROSTER_KEY, old.write(FormatLevel::OWN).unwrap());
    let reader = Node::start(&store, "reader", options().reader_batch_interval);
    for _ in 0..4_000 {
        sleep(Duration::from_millis(5)).await;
        assert_ne!(reader.is_ready("i-1"), Some(true));
    }
    assert!(reader.view.known_at().is_some(), "follows discovery");
}

/// Guards against starting fronts that all list and follow discovery.
#[tokio::test(start_paused = true)]
async fn a_front_that_starts_with_the_order_leader_waits_for_its_roster() {
    let store = MemoryStore::default();
    write(&store, &instance("i-1"));
    let reader = Node::start_waiting(
        &store,
        "reader",
        options().reader_batch_interval,
        Duration::from_secs(8),
    );
    let _writer = Node::start_writer(&store, "writer");
    sleep(Duration::from_secs(7)).await;
    assert_eq!(reader.is_ready("i-1"), Some(true));
    assert_eq!(store.calls("reader", "list", INSTANCES), 0);
    leave(&store, "i-1");
    let delay = reader.wait_until_leaving("i-1").await;
    assert!(delay <= options().max_delay() + CALL_ALLOWANCE, "{delay:?}");
    assert_eq!(store.calls("reader", "list", INSTANCES), 0);
}

#[tokio::test(start_paused = true)]
async fn a_front_without_a_roster_follows_discovery_after_a_request_or_the_startup_wait() {
    for (requested_after, known_after) in [(Some(3_000), 3_100), (None, 8_100)] {
        let store = MemoryStore::default();
        write(&store, &instance("i-1"));
        let wait = Duration::from_secs(8);
        let reader = Node::start_waiting(&store, "reader", options().reader_batch_interval, wait);
        let asking = async {
            if let Some(requested_after) = requested_after {
                sleep(Duration::from_millis(requested_after)).await;
                reader
                    .backends
                    .wait_for_first_instance(Duration::from_millis(300))
                    .await;
                assert_eq!(reader.is_ready("i-1"), Some(true));
            }
        };
        let watching = sleep(Duration::from_millis(known_after));
        tokio::join!(asking, watching);
        assert_eq!(reader.is_ready("i-1"), Some(true));
        assert!(reader.view.known_at().is_some(), "follows discovery");
    }
}

/// Guards against hundreds of fronts that all list discovery because the roster of a large fleet
/// takes longer than the usual startup.
#[tokio::test(start_paused = true)]
async fn a_front_of_a_large_fleet_waits_longer_for_the_roster() {
    let store = MemoryStore::default();
    write(&store, &instance("i-1"));
    let wait = Duration::from_secs(8);
    let reader = Node::start_waiting(&store, "reader", options().reader_batch_interval, wait);
    reader.fronts.set(options().min_fronts);
    sleep(Duration::from_secs(20)).await;
    assert_eq!(store.calls("reader", "list", INSTANCES), 0);
    let _writer = Node::start_writer(&store, "writer");
    sleep(Duration::from_secs(10)).await;
    assert_eq!(reader.is_ready("i-1"), Some(true));
    assert_eq!(store.calls("reader", "list", INSTANCES), 0);
}

/// Guards against a loss of the order leader after which all fronts of a large fleet list discovery.
#[tokio::test(start_paused = true)]
async fn a_front_of_a_large_fleet_waits_for_the_next_writer_of_the_roster() {
    let store = MemoryStore::default();
    write(&store, &instance("i-1"));
    let writer = Node::start_writer(&store, "writer");
    let wait = Duration::from_secs(8);
    let reader = Node::start_waiting(&store, "reader", options().reader_batch_interval, wait);
    reader.fronts.set(500);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(reader.is_ready("i-1"), Some(true));
    drop(writer);
    sleep(Duration::from_secs(3)).await;
    leave(&store, "i-1");
    let _next = Node::start_writer(&store, "next");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(reader.is_ready("i-1"), Some(false));
    assert_eq!(store.calls("reader", "list", INSTANCES), 0);
}

/// Guards against a front of a large fleet that never learns of changes without a writer.
#[tokio::test(start_paused = true)]
async fn a_front_of_a_large_fleet_follows_discovery_if_no_next_writer_appears() {
    let store = MemoryStore::default();
    write(&store, &instance("i-1"));
    let writer = Node::start_writer(&store, "writer");
    let wait = Duration::from_secs(8);
    let reader = Node::start_waiting(&store, "reader", options().reader_batch_interval, wait);
    reader.fronts.set(500);
    sleep(Duration::from_secs(10)).await;
    drop(writer);
    sleep(Duration::from_secs(12)).await;
    leave(&store, "i-1");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(reader.is_ready("i-1"), Some(false));
}

/// Guards against a roster whose size lets each change fill the store's link.
#[test]
fn a_packed_roster_takes_a_fraction_of_the_plain_one() {
    let instances = (0..400).map(|index| DiscoveredInstance {
        id: format!("i-{:08x}", index * 2_654_435_761_u64 % 4_294_967_296),
        address: ([10, 128, (index % 256) as u8, 7], 8080).into(),
        ..instance("i")
    });
    let roster = Roster {
        known_at: 7,
        services: BTreeSet::from(["scorer".to_owned()]),
        instances: instances.collect(),
        drains: None,
    };
    let [plain, packed] = [FormatLevel::ZONES_AND_PERMITS, FormatLevel::OWN]
        .map(|level| roster.write(level).unwrap());
    assert!(
        packed.len() * 5 < plain.len(),
        "{} of {}",
        packed.len(),
        plain.len()
    );
    assert_eq!(Roster::read(&packed).unwrap(), roster);
    assert_eq!(Roster::read(&plain).unwrap(), roster);
}

#[tokio::test(start_paused = true)]
async fn an_invalid_roster_is_ignored() {
    let (store, writer, reader) = start_fleet().await;
    drop(writer);
    store.write(ROSTER_KEY, b"no roster".to_vec());
    leave(&store, "i-1");
    let delay = reader.wait_until_leaving("i-1").await;
    assert!(
        delay <= options().reader_batch_interval + CALL_ALLOWANCE,
        "{delay:?}"
    );
}

/// Starts a store with instances in zones `a` and `b`, a writer of the roster, and an idle
/// reader that uses it, in a deployment that drains zones.
async fn start_draining_fleet() -> (MemoryStore, Node, Node) {
    let store = MemoryStore::default();
    write(&store, &instance("i-a"));
    write(&store, &in_zone_b("i-b"));
    let writer = Node::start_draining(&store, "writer", Duration::ZERO).maintain_roster("writer");
    let reader = Node::start_draining(&store, "reader", Duration::ZERO);
    reader.wait_for_roster_use().await;
    (store, writer, reader)
}

fn in_zone_b(id: &str) -> DiscoveredInstance {
    DiscoveredInstance {
        zone: "b".to_owned(),
        ..instance(id)
    }
}

fn drain(store: &MemoryStore, zone: &str) {
    store.write(&format!("{DRAINS}{zone}"), b"{}".to_vec());
}

fn end_drain(store: &MemoryStore, zone: &str) {
    store.remove(&format!("{DRAINS}{zone}"));
}

#[tokio::test(start_paused = true)]
async fn a_front_that_uses_the_roster_tracks_drains_without_further_calls() {
    let (store, writer, reader) = start_draining_fleet().await;
    sleep(Duration::from_secs(10)).await;
    let calls = |kind| store.calls("reader", kind, DRAINS);
    let before = (calls("list"), calls("watch"));
    let in_time =
        options().writer_batch_interval + options().reader_batch_interval + CALL_ALLOWANCE;
    for round in 0..10_u64 {
        sleep(Duration::from_millis(83 * round)).await;
        drain(&store, "a");
        let delay = reader.wait_until_may_send("i-a", false).await;
        assert!(delay <= in_time, "{delay:?}");
        assert!(reader.may_send("i-b") && writer.may_send("i-b"));
        assert!(!writer.may_send("i-a"));
        end_drain(&store, "a");
        let delay = reader.wait_until_may_send("i-a", true).await;
        assert!(delay <= in_time, "{delay:?}");
    }
    assert_eq!((calls("list"), calls("watch")), before);
}

#[tokio::test(start_paused = true)]
async fn zones_are_drained_and_restored_independently() {
    let (store, _writer, reader) = start_draining_fleet().await;
    drain(&store, "nowhere");
    drain(&store, "a");
    drain(&store, "a");
    reader.wait_until_may_send("i-a", false).await;
    drain(&store, "b");
    reader.wait_until_may_send("i-b", false).await;
    assert!(!reader.may_send("i-a"));
    write(
        &store,
        &DiscoveredInstance {
            zone: "nowhere".to_owned(),
            ..instance("i-new")
        },
    );
    sleep(Duration::from_secs(3)).await;
    assert!(reader.backends.get("i-new").is_some() && !reader.may_send("i-new"));
    end_drain(&store, "a");
    reader.wait_until_may_send("i-a", true).await;
    assert!(!reader.may_send("i-b"));
    end_drain(&store, "b");
    reader.wait_until_may_send("i-b", true).await;
}

#[tokio::test(start_paused = true)]
async fn a_front_that_switches_to_discovery_keeps_the_drained_zones() {
    let (store, _writer, reader) = start_draining_fleet().await;
    drain(&store, "a");
    reader.wait_until_may_send("i-a", false).await;
    let work = reader.activity.start();
    while reader.view.known_at().is_none() {
        assert!(!reader.may_send("i-a"));
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(
        reader.is_ready("i-a"),
        Some(true),
        "ready in its own record"
    );
    assert!(!reader.may_send("i-a"));
    end_drain(&store, "a");
    reader.wait_until_may_send("i-a", true).await;
    drop(work);
}

/// The writer exits, is partitioned, or cannot follow the drains.
#[tokio::test(start_paused = true)]
async fn a_drain_that_the_writer_does_not_write_is_known_within_the_maximum_delay() {
    for fault in 0..3 {
        let (store, writer, reader) = start_draining_fleet().await;
        let _writer = match fault {
            0 => {
                drop(writer);
                None
            }
            1 => {
                let faults = NodeFaults {
                    is_partitioned: true,
                    ..NodeFaults::default()
                };
                store.set_faults("writer", faults);
                Some(writer)
            }
            // Its watch of instances and its renewals still succeed.
            _ => {
                let rejected_keys = [DRAINS.to_owned()].into();
                let faults = NodeFaults {
                    rejected_keys,
                    ..NodeFaults::default()
                };
                store.set_faults("writer", faults);
                Some(writer)
            }
        };
        drain(&store, "a");
        let delay = reader.wait_until_may_send("i-a", false).await;
        assert!(
            delay <= options().max_delay() + CALL_ALLOWANCE,
            "{fault}: {delay:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_writer_writes_no_roster_before_it_knows_the_drains() {
    let (store, writer, reader) = start_draining_fleet().await;
    drain(&store, "a");
    reader.wait_until_may_send("i-a", false).await;
    drop(writer);
    let cannot_follow = NodeFaults {
        rejected_keys: [DRAINS.to_owned()].into(),
        ..NodeFaults::default()
    };
    store.set_faults("next", cannot_follow);
    let _next = Node::start_draining(&store, "next", Duration::ZERO).maintain_roster("next");
    for _ in 0..2_000 {
        sleep(Duration::from_millis(5)).await;
        assert!(!reader.may_send("i-a"));
    }
    assert!(store.read(ROSTER_KEY).is_none());
    store.set_faults("next", NodeFaults::default());
    sleep(Duration::from_secs(20)).await;
    assert!(store.read(ROSTER_KEY).is_some());
    assert!(!reader.may_send("i-a") && reader.may_send("i-b"));
}

#[tokio::test(start_paused = true)]
async fn a_front_that_starts_sends_nothing_before_it_knows_the_drains() {
    for has_roster in [false, true] {
        let (store, writer, _reader) = start_draining_fleet().await;
        drain(&store, "a");
        sleep(Duration::from_secs(3)).await;
        if !has_roster {
            drop(writer);
            sleep(Duration::from_secs(3)).await;
        }
        let cannot_follow = NodeFaults {
            rejected_keys: [DRAINS.to_owned(), ROSTER_KEY.to_owned()].into(),
            ..NodeFaults::default()
        };
        store.set_faults("new", cannot_follow);
        let new = Node::start_draining(&store, "new", Duration::from_millis(500));
        let _work = new.activity.start();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(new.is_ready("i-b"), Some(true));
        let held = new
            .backends
            .get("i-b")
            .unwrap()
            .check_send(ladderstage_clock::Instant::now());
        assert_eq!(held, Err(HoldReason::DrainsUnknown));
        store.set_faults("new", NodeFaults::default());
        new.wait_until_may_send("i-b", true).await;
        assert!(!new.may_send("i-a"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_front_without_the_store_keeps_the_known_drains() {
    let (store, _writer, reader) = start_draining_fleet().await;
    drain(&store, "a");
    reader.wait_until_may_send("i-a", false).await;
    let partitioned = NodeFaults {
        is_partitioned: true,
        ..NodeFaults::default()
    };
    for node in ["writer", "reader"] {
        store.set_faults(node, partitioned.clone());
    }
    let _work = reader.activity.start();
    for _ in 0..2_000 {
        sleep(Duration::from_millis(5)).await;
        assert!(reader.may_send("i-b") && !reader.may_send("i-a"));
    }
}

/// A delayed writer may have an older set than a front that listed the drains itself.
#[tokio::test(start_paused = true)]
async fn a_front_does_not_apply_an_older_set_of_drained_zones() {
    let store = MemoryStore::default();
    write(&store, &instance("i-a"));
    let old = Roster {
        known_at: 1,
        services: ["scorer".to_owned()].into(),
        instances: vec![instance("i-a")],
        drains: Some(RosterDrains {
            known_at: 1,
            zones: BTreeSet::new(),
        }),
    };
    drain(&store, "a");
    let reader = Node::start_draining(&store, "reader", Duration::ZERO);
    sleep(Duration::from_secs(1)).await;
    store.write(ROSTER_KEY, old.write(FormatLevel::OWN).unwrap());
    for _ in 0..4_000 {
        sleep(Duration::from_millis(5)).await;
        assert!(!reader.may_send("i-a"));
    }
}

/// A roster of an older build names no drained zones, so that its ready instances may be in one.
#[tokio::test(start_paused = true)]
async fn drains_are_read_from_the_records_if_the_roster_has_none() {
    let store = MemoryStore::default();
    write(&store, &instance("i-a"));
    let _old_build = Node::start_writer(&store, "old");
    sleep(Duration::from_secs(10)).await;
    assert!(store.read(ROSTER_KEY).is_some());
    drain(&store, "a");
    let reader = Node::start_draining(&store, "reader", Duration::from_millis(500));
    for _ in 0..2_000 {
        sleep(Duration::from_millis(5)).await;
        assert!(!reader.may_send("i-a"));
    }
    assert_eq!(reader.is_ready("i-a"), Some(true));
    end_drain(&store, "a");
    reader.wait_until_may_send("i-a", true).await;
}

/// The roster that it reads may be its own, so that it must read the records.
#[tokio::test(start_paused = true)]
async fn a_front_that_takes_over_the_roster_reads_drains_from_the_records() {
    let (store, writer, reader) = start_draining_fleet().await;
    let other = Node::start_draining(&store, "other", Duration::from_millis(500));
    drain(&store, "a");
    reader.wait_until_may_send("i-a", false).await;
    drop(writer);
    let reader = reader.maintain_roster("reader");
    end_drain(&store, "a");
    drain(&store, "b");
    other.wait_until_may_send("i-a", true).await;
    assert!(!other.may_send("i-b"));
    sleep(Duration::from_secs(5)).await;
    let roster = Roster::read(&store.read(ROSTER_KEY).expect("the roster exists")).unwrap();
    let zones = roster.drains.expect("drains are included").zones;
    assert_eq!(zones, ["b".to_owned()].into());
    assert!(reader.may_send("i-a") && !reader.may_send("i-b"));
}

/// A reader of an older build ignores the drained zones in the roster.
#[tokio::test(start_paused = true)]
async fn instances_of_drained_zones_are_not_ready_in_the_roster() {
    let (store, _writer, _reader) = start_draining_fleet().await;
    let wait = Duration::from_millis(500);
    let old_build = Node::start_waiting(&store, "old", options().reader_batch_interval, wait);
    sleep(wait).await;
    assert_eq!(store.calls("old", "list", INSTANCES), 0, "uses the roster");
    drain(&store, "a");
    old_build.wait_until_may_send("i-a", false).await;
    assert!(old_build.may_send("i-b"));
    end_drain(&store, "a");
    old_build.wait_until_may_send("i-a", true).await;
}

/// Fault of the writer around the time of a drain.
#[derive(Debug, Clone, Copy)]
enum WriterFault {
    Exits,
    IsPartitioned,
    CannotFollowDrains,
    CannotFollowInstances,
    IsRefused,
}

impl WriterFault {
    fn any() -> impl Strategy<Value = Self> {
        prop_oneof![
            Just(Self::Exits),
            Just(Self::IsPartitioned),
            Just(Self::CannotFollowDrains),
            Just(Self::CannotFollowInstances),
            Just(Self::IsRefused),
        ]
    }

    /// Applies the fault; returns the writer unless it exited.
    fn apply_to(self, store: &MemoryStore, writer: Node) -> Option<Node> {
        let mut faults = NodeFaults::default();
        match self {
            Self::Exits => return None,
            Self::IsPartitioned => faults.is_partitioned = true,
            Self::IsRefused => faults.is_refused = true,
            Self::CannotFollowDrains => faults.rejected_keys = [DRAINS.to_owned()].into(),
            Self::CannotFollowInstances => faults.rejected_keys = [INSTANCES.to_owned()].into(),
        }
        store.set_faults("writer", faults);
        Some(writer)
    }
}

async fn drain_with_fault(fault: WriterFault, before: u64, between: i64) {
    let (store, writer, reader) = start_draining_fleet().await;
    sleep(Duration::from_millis(before)).await;
    let pause = Duration::from_millis(between.unsigned_abs());
    let _writer = if between < 0 {
        let writer = fault.apply_to(&store, writer);
        sleep(pause).await;
        drain(&store, "a");
        writer
    } else {
        drain(&store, "a");
        sleep(pause).await;
        fault.apply_to(&store, writer)
    };
    let since = if between < 0 { Duration::ZERO } else { pause };
    let delay = since + reader.wait_until_may_send("i-a", false).await;
    assert!(delay <= options().max_delay() + CALL_ALLOWANCE, "{delay:?}");
    // The state is stable.
    for _ in 0..1_000 {
        sleep(Duration::from_millis(5)).await;
        assert!(!reader.may_send("i-a") && reader.may_send("i-b"));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_drain_is_known_within_the_maximum_delay_despite_a_fault_of_the_writer(
        fault in WriterFault::any(), before in 0_u64..1_000, between in -1_500_i64..1_500,
    ) {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build().unwrap();
        runtime.block_on(drain_with_fault(fault, before, between));
    }
}

proptest! {
    #[test]
    fn the_maximum_delay_is_within_the_limit(limit_ms in 0_u64..20_000, lease_ms in 100_u64..5_000) {
        let limit = Duration::from_millis(limit_ms);
        let lease = Duration::from_millis(lease_ms);
        if let Some(options) = RosterTiming::within(limit, lease) {
            prop_assert!(options.max_delay() <= limit);
            prop_assert!(options.lease >= lease);
        }
    }
}
