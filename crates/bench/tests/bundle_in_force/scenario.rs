//! Three replicas and a daemon without a data folder, with faults and checks of the bundle in
//! force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ladderstage::bundle::{Bundle, BundleKey, sign};
use ladderstage_bench::cluster::{
    Cluster, ClusterConfig, MODEL_POOL, RollReply, SignatureText, SignedText, Timing,
    current_bundle, signed,
};
use ladderstage_bench::live::{Caller, Retries};
use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::key_value::{KeyValueCounts, KeyValueFaults};
use ladderstage_bench::trainer::{PullOptions, StepSpec};
use ladderstage_platform::key_value::KeyValue;
use ladderstage_wire::decode;
use ladderstage_wire::messages::SignedBundle;
use tokio::task::JoinHandle;

pub const TIMEOUT: Duration = Duration::from_secs(30);
pub const POLL: Duration = Duration::from_millis(20);
/// Index of the daemon that has no data folder and is not a replica.
pub const DISKLESS: usize = 3;
const HEAD_KEY: &str = "ladderstage/bundle/head";
const KEY_VALUE_TIMEOUT: Duration = Duration::from_secs(5);
const SAMPLES: u32 = 12;
const TOKENS: u32 = 10;

/// Three replicas and one daemon without a data folder in two zones, with a failure detection time
/// of about a second.
pub fn config() -> ClusterConfig {
    let timing = [
        ("probe_interval_ms", 300),
        ("suspicion_ms", 900),
        ("owner_heartbeat_ms", 150),
        ("owner_timeout_ms", 900),
        ("key_value_timeout_ms", 2_000),
    ];
    let timing = timing.map(|(name, value)| (name.to_owned(), value));
    let mut config = ClusterConfig {
        timing: Timing::from(timing),
        ..ClusterConfig::with_daemons(4, 2)
    };
    config.daemons[DISKLESS].is_replica = false;
    config
}

/// Starts a cluster with bundle 1 in force everywhere.
pub async fn start_cluster(config: &ClusterConfig) -> Cluster {
    let cluster = Cluster::start_ready(config).await.unwrap();
    let known = cluster.wait_for_replica_set(&ALL, 1, TIMEOUT);
    known.await.unwrap();
    cluster
}

/// Indices of all daemons.
pub const ALL: [usize; 4] = [0, 1, 2, DISKLESS];

/// Returns faults that reset new connections.
pub fn refuse() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}

/// Sets the faults of the key-value service.
pub async fn set_key_value_faults(cluster: &Cluster, faults: &KeyValueFaults) {
    cluster.platform.key_value.set_faults(faults).await.unwrap();
}

/// Returns faults that make the key-value service unavailable.
pub fn key_value_down() -> KeyValueFaults {
    KeyValueFaults {
        down: true,
        ..KeyValueFaults::default()
    }
}

/// Posts a bundle to one daemon once.
pub async fn offer(cluster: &Cluster, daemon: usize, bundle: &Bundle) -> RollReply {
    let url = cluster.daemons[daemon].url();
    cluster.operator().offer(&url, bundle).await.unwrap()
}

/// Posts a bundle to one daemon once, asserts its acceptance, and returns its proposal id.
pub async fn roll(cluster: &Cluster, daemon: usize, bundle: &Bundle) -> String {
    let reply = offer(cluster, daemon, bundle).await;
    assert_eq!(reply.body.outcome, "accepted", "{reply:?}");
    reply.body.proposal_id
}

/// Returns a key that no daemon trusts by default.
pub fn untrusted_key(key_id: &str) -> BundleKey {
    BundleKey::from_secret(key_id, &[8; 32])
}

/// Signs a text with one key.
pub fn signed_by(key: &BundleKey, text: String) -> SignedText {
    let signature = sign(&text, key);
    SignedText {
        text,
        signatures: vec![SignatureText {
            key_id: signature.key_id,
            signature: hex::encode(signature.signature),
        }],
    }
}

/// Restarts a daemon that trusts this key only.
pub async fn restart_trusting(cluster: &mut Cluster, daemon: usize, key: &BundleKey) {
    let trusted = BTreeMap::from([(key.key_id().to_owned(), key.public_hex())]);
    cluster.daemons[daemon].kill();
    cluster.daemons[daemon].settings.trusted_keys = trusted;
    cluster.start_daemon(daemon).await.unwrap();
}

/// Waits until these daemons have exactly this bundle in force.
pub async fn wait_until_in_force(cluster: &Cluster, daemons: &[usize], bundle: &Bundle) {
    let expected = signed(bundle).text;
    let start = Instant::now();
    for daemon in daemons {
        let url = cluster.daemons[*daemon].url();
        loop {
            let current = current_bundle(&url).await;
            if current.as_ref().is_ok_and(|now| now.text == expected) {
                break;
            }
            let revision = current.map(|now| now.revision);
            let is_in_time = start.elapsed() < TIMEOUT;
            assert!(is_in_time, "daemon {daemon} holds {revision:?}");
            tokio::time::sleep(POLL).await;
        }
    }
}

/// Waits until all engines hold only this version.
pub async fn wait_until_engines_hold(cluster: &Cluster, weight_version: u64) {
    until("the engines hold the bundle's version", async || {
        cluster.held_versions().await.unwrap() == [weight_version].into()
    })
    .await;
}

/// Waits until the condition holds.
pub async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(POLL).await;
    }
}

/// Record of the newest bundle in the key-value service.
#[derive(Debug, PartialEq, Eq)]
pub struct HeadRecord {
    /// Number of writes of the record.
    pub changes: u64,
    pub proposal_id: String,
}

/// Reads the record from the service, bypassing the daemons.
pub async fn head_record(cluster: &Cluster) -> HeadRecord {
    let url = cluster.platform.key_value.url();
    let client = KeyValue::new(vec![url], KEY_VALUE_TIMEOUT);
    let entry = client.get_linearizable(HEAD_KEY).await.unwrap().unwrap();
    let signed: SignedBundle = decode(&entry.value).unwrap();
    let counts: KeyValueCounts = cluster.platform.key_value.read("counts").await.unwrap();
    HeadRecord {
        changes: counts.changes[HEAD_KEY],
        proposal_id: signed.proposal_id,
    }
}

/// Asserts that completions through these daemons and a step of samples succeed.
pub async fn assert_work_succeeds(cluster: &Cluster, daemons: &[usize], step: u64) {
    for daemon in daemons {
        let caller = Caller::new(&cluster.daemons[*daemon].url());
        let mut retries = Retries::default();
        loop {
            match caller.complete(MODEL_POOL, "a facade", 10, false).await {
                Err(error) if retries.wait_to_retry(&error).await => {}
                result => break drop(result.unwrap()),
            }
        }
    }
    let mut trainer = cluster.trainer("trainer-1");
    let spec = StepSpec::generate(MODEL_POOL, step, SAMPLES, TOKENS);
    let options = PullOptions {
        max: 4,
        rotates_daemons: true,
        ..PullOptions::default()
    };
    let report = trainer.run(step, &spec, &options).await.unwrap();
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(report.delivered, u64::from(SAMPLES));
}

/// Polls the revision in force at all daemons.
pub struct RevisionWatch {
    is_stopped: Arc<AtomicBool>,
    regressions: JoinHandle<Vec<String>>,
}

impl RevisionWatch {
    pub fn start(cluster: &Cluster) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let watch = watch_revisions(cluster.urls(), is_stopped.clone());
        let regressions = tokio::spawn(watch);
        Self {
            is_stopped,
            regressions,
        }
    }

    /// Ends the watch and asserts that no daemon has shown a lower revision than before.
    pub async fn assert_no_regressions(self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        assert_eq!(self.regressions.await.unwrap(), Vec::<String>::new());
    }
}

async fn watch_revisions(urls: Vec<String>, is_stopped: Arc<AtomicBool>) -> Vec<String> {
    let mut highest: BTreeMap<&String, u64> = BTreeMap::new();
    let mut regressions = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        for url in &urls {
            // A daemon that has just started has no revision yet.
            let current = current_bundle(url).await.map(|current| current.revision);
            let Ok(revision @ 1..) = current else {
                continue;
            };
            let seen = highest.entry(url).or_default();
            if revision < *seen {
                regressions.push(format!("{url}: {revision} after {seen}"));
            }
            *seen = revision.max(*seen);
        }
        tokio::time::sleep(POLL).await;
    }
    regressions
}
