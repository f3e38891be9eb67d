//! Random faults while a trainer pulls: it must receive each slot once, with correct and fresh weight versions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage_bench::stand_in::CutPoint;
use ladderstage_bench::stand_in::engine::EngineFaults;
use ladderstage_bench::trainer::SamplesAnswer;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rocket::http::Status;

use crate::nodes::{Cluster, NODES};
use crate::trainer::{Trainer, step};

const SAMPLES: usize = 200;
const FAULT_PERIOD: Duration = Duration::from_secs(4);

/// Injects one random fault, or ends one.
async fn inject_fault(cluster: &Cluster, random: &mut StdRng, weight_version: &mut u64) {
    match random.random_range(0..10) {
        0..3 => cluster.set_disconnected(&[NODES[random.random_range(0..NODES.len())]]),
        3 => cluster.set_disconnected(&NODES),
        4..6 => cluster.set_disconnected(&[]),
        6 => cluster.bundles.set_evidence(random.random()),
        7 => cluster.slow_down(Duration::from_millis(random.random_range(0..80))),
        8 => {
            *weight_version += 1;
            cluster
                .bundles
                .roll(*weight_version, random.random_range(0..2));
            cluster
                .engines
                .order(*weight_version, *weight_version)
                .await;
        }
        _ => {
            let faults = EngineFaults {
                cut: Some(CutPoint::MidBody),
                cuts: random.random_range(0..4),
                ..EngineFaults::default()
            };
            cluster.engines.set_faults(0, &faults).await;
        }
    }
}

async fn inject_faults(cluster: Arc<Cluster>, mut random: StdRng) {
    let started = Instant::now();
    let mut weight_version = 1;
    while started.elapsed() < FAULT_PERIOD {
        inject_fault(&cluster, &mut random, &mut weight_version).await;
        let pause = random.random_range(20..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    cluster.set_disconnected(&[]);
    cluster.slow_down(Duration::ZERO);
    cluster.bundles.set_evidence(true);
}

async fn pull_through(cluster: &Arc<Cluster>, random: &mut impl Rng) {
    let mut trainer = Trainer::new(cluster);
    let spec = step(SAMPLES, 12);
    let started = Instant::now();
    while trainer
        .submit(NODES[random.random_range(0..3)], &spec)
        .await
        .status
        != Status::Ok
    {
        assert!(started.elapsed() < 2 * crate::nodes::WAIT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    while !trainer.complete {
        assert!(
            started.elapsed() < 2 * crate::nodes::WAIT_TIMEOUT,
            "accepted: {}",
            trainer.accepted.len()
        );
        let in_force = cluster.bundles.revision();
        let max = random.random_range(1..12);
        let node = NODES[random.random_range(0..3)];
        let answer = trainer
            .request_samples(node, max, random.random_range(0..300))
            .await;
        match answer.status {
            Status::Ok if random.random_bool(0.3) => {}
            Status::Ok => {
                let parsed: SamplesAnswer = serde_json::from_str(&answer.body).unwrap();
                assert!(parsed.samples.len() <= max);
                assert!(parsed.bundle_revision >= in_force);
                let min_version = cluster.bundles.min_version(parsed.bundle_revision);
                trainer.accept(&answer.body, min_version);
            }
            Status::ServiceUnavailable => {
                assert!(answer.retry_after.is_some());
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            status => panic!("{status}: {}", answer.body),
        }
    }
    assert_eq!(trainer.accepted.len(), SAMPLES);
    println!(
        "step complete after {:?}, revision {}, highest attempt {:?}",
        started.elapsed(),
        cluster.bundles.revision(),
        trainer.accepted.values().max()
    );
}

async fn run(seed: u64) {
    println!("seed {seed}");
    let cluster = Cluster::start(3, 1, 1).await;
    let faults = inject_faults(cluster.clone(), StdRng::seed_from_u64(seed));
    let faults = tokio::spawn(faults);
    pull_through(&cluster, &mut StdRng::seed_from_u64(seed + 1_000)).await;
    faults.await.unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_faults_neither_lose_nor_duplicate_samples() {
    let seed = std::env::var("LADDERSTAGE_SEED").ok();
    match seed.and_then(|seed| seed.parse().ok()) {
        Some(seed) => run(seed).await,
        None => {
            for seed in [1, 2, 3] {
                run(seed).await;
            }
        }
    }
}
