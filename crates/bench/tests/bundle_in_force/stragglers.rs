//! Daemons that miss rolls because they are paused or in a partitioned zone.

use std::time::Duration;

use ladderstage::ids::ShardKey;
use ladderstage_bench::cluster::{Cluster, MODEL_POOL, post_bundle, signed, test_key};
use ladderstage_bench::proxy::Faults;
use ladderstage_bench::trainer::{PullOptions, SamplesAnswer, SingleAnswer, StepSpec, Trainer};
use tokio::task::JoinHandle;

use crate::scenario::{
    ALL, BOUND, DISKLESS, RevisionWatch, config, engines_hold, in_force, other_key, refuse,
    restart_trusting, roll, signed_by, started, until, work_is_done,
};

const TRAINER: &str = "trainer-1";
const STEP: u64 = 1;
const SAMPLES: u32 = 24;
const TOKENS: u32 = 10;
/// Default of the setting `bundle_evidence_bound_ms`.
const EVIDENCE_BOUND: Duration = Duration::from_secs(3);
/// Number of pulls that wait at a paused daemon.
const QUEUED_PULLS: usize = 6;

/// Submits a step and waits until all its samples are committed; returns the owner and the step.
async fn committed_step(cluster: &Cluster, trainer: &mut Trainer) -> (usize, StepSpec) {
    let spec = StepSpec::generate(MODEL_POOL, STEP, SAMPLES, TOKENS);
    trainer.submit(STEP, &spec, BOUND).await.unwrap();
    let key = ShardKey {
        trainer: TRAINER.to_owned(),
        step: STEP,
        shard: 0,
    };
    let is_committed = |committed| committed == SAMPLES as usize;
    let log = key.log();
    let owner = cluster.owner_among(&ALL, &log, BOUND, |shard| is_committed(shard.committed));
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
        SingleAnswer::Given(answer) if !answer.samples.is_empty() => Some(answer),
        _ => None,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_frozen_across_two_rolls_delivers_nothing_under_the_older_one() {
    let mut cluster = started(&config()).await;
    let mut trainer = cluster.trainer(TRAINER);
    let (owner, spec) = committed_step(&cluster, &mut trainer).await;
    // Not the owner, which the journal would fence; and the daemon has already served this step.
    let frozen = (owner + 1) % ALL.len();
    until("samples are given", async || {
        delivered(pull(&cluster, frozen).await.unwrap()).is_some()
    })
    .await;
    let others: Vec<usize> = ALL.into_iter().filter(|index| *index != frozen).collect();
    let watch = RevisionWatch::start(&cluster);

    cluster.daemons[frozen].pause();
    let queued: Vec<Pull> = (0..QUEUED_PULLS).map(|_| pull(&cluster, frozen)).collect();
    for revision in [2, 3] {
        let bundle = cluster.bundle(revision, revision);
        roll(&cluster, others[0], &bundle).await;
        in_force(&cluster, &others, &bundle).await;
    }
    engines_hold(&cluster, 3).await;
    tokio::time::sleep(EVIDENCE_BOUND).await;
    cut_but_for_its_way_to(&cluster, frozen, owner);
    cluster.daemons[frozen].resume();
    for queued in queued {
        if let Some(answer) = delivered(queued.await.unwrap()) {
            assert_eq!(answer.bundle_revision, 3, "{answer:?}");
        }
    }
    cluster.set_peer_faults(frozen, Faults::default());
    cluster.daemons[frozen].key_value.heal();
    in_force(&cluster, &ALL, &cluster.bundle(3, 3)).await;
    watch.assert_none_fell().await;
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
    let (key, behind) = (other_key("old"), DISKLESS);
    restart_trusting(&mut cluster, behind, &key).await;
    // Bundle 1 is signed with the keys of all daemons, the later ones with the test key only.
    let mut first = signed(&cluster.bundle(1, 1));
    let by_old_key = signed_by(&key, first.text.clone());
    first.signatures.extend(by_old_key.signatures);
    let url = cluster.daemons[0].url();
    let reply = post_bundle(&url, &first).await.unwrap();
    assert_eq!(reply.body.outcome, "accepted", "{reply:?}");
    cluster.all_ready().await.unwrap();
    let mut trainer = cluster.trainer(TRAINER);
    let (_, spec) = committed_step(&cluster, &mut trainer).await;
    until("samples are given", async || {
        delivered(pull(&cluster, behind).await.unwrap()).is_some()
    })
    .await;

    cluster.daemons[behind].pause();
    for revision in [2, 3] {
        roll(&cluster, 0, &cluster.bundle(revision, revision)).await;
    }
    engines_hold(&cluster, 3).await;
    tokio::time::sleep(EVIDENCE_BOUND).await;
    cluster.daemons[behind].resume();
    let has_refused = async || {
        cluster.daemons[behind]
            .log()
            .contains("event=bundle_refused")
    };
    until("the newest bundle is refused", async || {
        assert_gives_nothing(&cluster, behind).await;
        has_refused().await
    })
    .await;
    for _ in 0..QUEUED_PULLS {
        assert_gives_nothing(&cluster, behind).await;
    }

    restart_trusting(&mut cluster, behind, &test_key()).await;
    in_force(&cluster, &ALL, &cluster.bundle(3, 3)).await;
    let report = trainer.pull(STEP, &spec, &PullOptions::default()).await;
    let report = report.unwrap();
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(report.bundle_revisions, [3].into());
}

async fn assert_gives_nothing(cluster: &Cluster, daemon: usize) {
    let answer = pull(cluster, daemon).await.unwrap();
    assert_eq!(
        delivered(answer),
        None,
        "under a bundle that is not the newest"
    );
}

/// Partitions a daemon, except for its connection to the owner.
fn cut_but_for_its_way_to(cluster: &Cluster, daemon: usize, owner: usize) {
    cluster.set_peer_faults(daemon, refuse());
    let way = &cluster.daemons[daemon].links[cluster.daemons[owner].name()];
    way.set(Faults::default());
    cluster.daemons[daemon].key_value.set(refuse());
    cluster.daemons[daemon].key_value.cut();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_during_a_roll_delivers_nothing_beyond_its_evidence() {
    let cluster = started(&config()).await;
    let mut trainer = cluster.trainer(TRAINER);
    let (_, spec) = committed_step(&cluster, &mut trainer).await;
    let watch = RevisionWatch::start(&cluster);
    let (rest, zone) = ([0, 2], [1, DISKLESS]);
    cut_off(&cluster, &rest, &zone, refuse());

    let bundle = cluster.bundle(2, 2);
    roll(&cluster, rest[0], &bundle).await;
    in_force(&cluster, &rest, &bundle).await;
    tokio::time::sleep(EVIDENCE_BOUND).await;
    for daemon in zone.iter().cycle().take(QUEUED_PULLS) {
        let answer = pull(&cluster, *daemon).await.unwrap();
        assert!(!matches!(answer, SingleAnswer::Given(_)), "{answer:?}");
    }
    work_is_done(&cluster, &rest, 2).await;

    // The zone cannot reach the key-value service yet and must learn the bundle from its peers.
    for (inside, outside) in pairs(&zone, &rest) {
        cluster.set_link_faults(inside, outside, Faults::default());
    }
    in_force(&cluster, &ALL, &bundle).await;
    watch.assert_none_fell().await;
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
fn cut_off(cluster: &Cluster, rest: &[usize], zone: &[usize], faults: Faults) {
    for (inside, outside) in pairs(zone, rest) {
        cluster.set_link_faults(inside, outside, faults);
    }
    for daemon in zone {
        cluster.daemons[*daemon].key_value.set(faults);
        cluster.daemons[*daemon].key_value.cut();
    }
}
