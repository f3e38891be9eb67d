//! Daemons that miss rolls because they are paused or in a partitioned zone.

use std::time::Duration;

use ladderstage::ids::ShardKey;
use ladderstage_bench::cluster::{Cluster, MODEL_POOL, post_bundle, signed, test_key};
use ladderstage_bench::proxy::Faults;
use ladderstage_bench::trainer::{PullOptions, SamplesAnswer, SingleAnswer, StepSpec, Trainer};
use tokio::task::JoinHandle;

use crate::scenario::{
    ALL, DISKLESS, RevisionWatch, TIMEOUT, assert_work_succeeds, config, refuse, restart_trusting,
    roll, signed_by, start_cluster, until, untrusted_key, wait_until_engines_hold,
    wait_until_in_force,
};

const TRAINER: &str = "trainer-1";
const STEP: u64 = 1;
const SAMPLES: u32 = 24;
const TOKENS: u32 = 10;
/// Default of the setting `bundle_evidence_bound_ms`.
const EVIDENCE_BOUND: Duration = Duration::from_secs(3);
/// Number of pulls that wait at a paused daemon.
const WAITING_PULLS: usize = 6;

/// Submits a step and waits until all its samples are committed; returns the owner and the step.
async fn committed_step(cluster: &Cluster, trainer: &mut Trainer) -> (usize, StepSpec) {
    let spec = StepSpec::generate(MODEL_POOL, STEP, SAMPLES, TOKENS);
    trainer.submit(STEP, &spec, TIMEOUT).await.unwrap();
    let key = ShardKey {
        trainer: TRAINER.to_owned(),
        step: STEP,
        shard: 0,
    };
    let is_committed = |committed| committed == SAMPLES as usize;
    let log = key.log();
    let owner =
        cluster.wait_for_owner_among(&ALL, &log, TIMEOUT, |shard| is_committed(shard.committed));
    (owner.await.unwrap(), spec)
}

type Pull = JoinHandle<SingleAnswer<SamplesAnswer>>;

/// Starts one pull from the beginning of the step in the background.
fn pull(cluster: &Cluster, daemon: usize) -> Pull {
    let url = cluster.daemons[daemon].url();
    let trainer = cluster.trainer(TRAINER);
    tokio::spawn(async move { trainer.pull_at(&url, STEP, None, 4, Duration::ZERO).await })
}

/// Returns the answer if it contains samples.
fn delivered(answer: SingleAnswer<SamplesAnswer>) -> Option<SamplesAnswer> {
    match answer {
        SingleAnswer::Success(answer) if !answer.samples.is_empty() => Some(answer),
        _ => None,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_paused_during_two_rolls_delivers_nothing_under_the_older_bundle() {
    let mut cluster = start_cluster(&config()).await;
    let mut trainer = cluster.trainer(TRAINER);
    let (owner, spec) = committed_step(&cluster, &mut trainer).await;
    // Not the owner, which the journal would fence; and the daemon has already served this step.
    let paused = (owner + 1) % ALL.len();
    until("samples are delivered", async || {
        delivered(pull(&cluster, paused).await.unwrap()).is_some()
    })
    .await;
    let others: Vec<usize> = ALL.into_iter().filter(|index| *index != paused).collect();
    let watch = RevisionWatch::start(&cluster);

    cluster.daemons[paused].pause();
    let waiting: Vec<Pull> = (0..WAITING_PULLS).map(|_| pull(&cluster, paused)).collect();
    for revision in [2, 3] {
        let bundle = cluster.bundle(revision, revision);
        roll(&cluster, others[0], &bundle).await;
        wait_until_in_force(&cluster, &others, &bundle).await;
    }
    wait_until_engines_hold(&cluster, 3).await;
    tokio::time::sleep(EVIDENCE_BOUND).await;
    partition_except_owner(&cluster, paused, owner);
    cluster.daemons[paused].resume();
    for pull in waiting {
        if let Some(answer) = delivered(pull.await.unwrap()) {
            assert_eq!(answer.bundle_revision, 3, "{answer:?}");
        }
    }
    cluster.set_peer_faults(paused, Faults::default());
    cluster.daemons[paused].key_value.heal();
    wait_until_in_force(&cluster, &ALL, &cluster.bundle(3, 3)).await;
    watch.assert_no_regressions().await;
    let report = trainer.pull(STEP, &spec, &PullOptions::default()).await;
    let report = report.unwrap();
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(
        (report.delivered, &report.bundle_revisions),
        (u64::from(SAMPLES), &[3].into())
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_cannot_verify_the_newest_bundle_delivers_nothing() {
    let mut cluster = Cluster::start(&config()).await.unwrap();
    let (key, outdated) = (untrusted_key("old"), DISKLESS);
    restart_trusting(&mut cluster, outdated, &key).await;
    // Bundle 1 is signed with the keys of all daemons, the later ones with the test key only.
    let mut first = signed(&cluster.bundle(1, 1));
    let by_old_key = signed_by(&key, first.text.clone());
    first.signatures.extend(by_old_key.signatures);
    let url = cluster.daemons[0].url();
    let reply = post_bundle(&url, &first).await.unwrap();
    assert_eq!(reply.body.outcome, "accepted", "{reply:?}");
    cluster.wait_until_all_ready().await.unwrap();
    let mut trainer = cluster.trainer(TRAINER);
    let (_, spec) = committed_step(&cluster, &mut trainer).await;
    until("samples are delivered", async || {
        delivered(pull(&cluster, outdated).await.unwrap()).is_some()
    })
    .await;

    cluster.daemons[outdated].pause();
    for revision in [2, 3] {
        roll(&cluster, 0, &cluster.bundle(revision, revision)).await;
    }
    wait_until_engines_hold(&cluster, 3).await;
    tokio::time::sleep(EVIDENCE_BOUND).await;
    cluster.daemons[outdated].resume();
    let has_refused = async || {
        cluster.daemons[outdated]
            .log()
            .contains("event=bundle_refused")
    };
    until("the newest bundle is refused", async || {
        assert_delivers_nothing(&cluster, outdated).await;
        has_refused().await
    })
    .await;
    for _ in 0..WAITING_PULLS {
        assert_delivers_nothing(&cluster, outdated).await;
    }

    restart_trusting(&mut cluster, outdated, &test_key()).await;
    wait_until_in_force(&cluster, &ALL, &cluster.bundle(3, 3)).await;
    let report = trainer.pull(STEP, &spec, &PullOptions::default()).await;
    let report = report.unwrap();
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(report.bundle_revisions, [3].into());
}

async fn assert_delivers_nothing(cluster: &Cluster, daemon: usize) {
    let answer = pull(cluster, daemon).await.unwrap();
    assert_eq!(
        delivered(answer),
        None,
        "under a bundle that is not the newest"
    );
}

/// Partitions a daemon, except for its connection to the owner.
fn partition_except_owner(cluster: &Cluster, daemon: usize, owner: usize) {
    cluster.set_peer_faults(daemon, refuse());
    let link = &cluster.daemons[daemon].links[cluster.daemons[owner].name()];
    link.set(Faults::default());
    cluster.daemons[daemon].key_value.set(refuse());
    cluster.daemons[daemon].key_value.cut();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_partitioned_during_a_roll_delivers_nothing_after_its_evidence_expires() {
    let cluster = start_cluster(&config()).await;
    let mut trainer = cluster.trainer(TRAINER);
    let (_, spec) = committed_step(&cluster, &mut trainer).await;
    let watch = RevisionWatch::start(&cluster);
    let (rest, zone) = ([0, 2], [1, DISKLESS]);
    partition_zone(&cluster, &rest, &zone, refuse());

    let bundle = cluster.bundle(2, 2);
    roll(&cluster, rest[0], &bundle).await;
    wait_until_in_force(&cluster, &rest, &bundle).await;
    tokio::time::sleep(EVIDENCE_BOUND).await;
    for daemon in zone.iter().cycle().take(WAITING_PULLS) {
        let answer = pull(&cluster, *daemon).await.unwrap();
        assert!(!matches!(answer, SingleAnswer::Success(_)), "{answer:?}");
    }
    assert_work_succeeds(&cluster, &rest, 2).await;

    // The zone cannot reach the key-value service yet and must learn the bundle from its peers.
    for (inside, outside) in pairs(&zone, &rest) {
        cluster.set_link_faults(inside, outside, Faults::default());
    }
    wait_until_in_force(&cluster, &ALL, &bundle).await;
    watch.assert_no_regressions().await;
    let report = trainer.pull(STEP, &spec, &PullOptions::default()).await;
    assert_eq!(report.unwrap().violations, []);
}

fn pairs(zone: &[usize], rest: &[usize]) -> Vec<(usize, usize)> {
    let inside = zone.iter();
    inside
        .flat_map(|inside| rest.iter().map(|outside| (*inside, *outside)))
        .collect()
}

/// Sets faults between a zone's daemons and the others, and between them and the key-value service.
fn partition_zone(cluster: &Cluster, rest: &[usize], zone: &[usize], faults: Faults) {
    for (inside, outside) in pairs(zone, rest) {
        cluster.set_link_faults(inside, outside, faults);
    }
    for daemon in zone {
        cluster.daemons[*daemon].key_value.set(faults);
        cluster.daemons[*daemon].key_value.cut();
    }
}
