//! Fault runs with fixed seeds; `ladderstage-bench chaos` runs others.

use std::time::Duration;

use ladderstage_bench::chaos::{self, ChaosConfig, Layout, Plan};

/// Eight seconds with faults and five without.
const LENGTH: Duration = Duration::from_secs(13);

async fn holds_under_faults(seed: u64) {
    let length = LENGTH;
    println!("seed {seed}");
    let report = chaos::run(&ChaosConfig { seed, length }).await.unwrap();
    println!("{report}");
    assert!(!report.faults.is_empty(), "no faults were injected");
    assert!(report.steps > 0 && report.samples > 0, "no steps were run");
    assert!(report.has_passed(), "seed {seed}:\n{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seed_39() {
    holds_under_faults(39).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seed_55() {
    holds_under_faults(55).await;
}

#[test]
fn plan_follows_from_the_seed() {
    let layout = Layout {
        zones: vec![0, 1, 2, 0],
        engines: 4,
        applications: 2,
    };
    let length = Duration::from_secs(60);
    let plan = Plan::new(7, length, &layout);
    assert_eq!(plan, Plan::new(7, length, &layout));
    assert_ne!(plan, Plan::new(8, length, &layout));
    for planned in &plan.faults {
        assert!(planned.begin <= planned.end && planned.end <= length);
    }
    let ends = plan.actions().len();
    assert_eq!(ends, 2 * plan.faults.len());
}
