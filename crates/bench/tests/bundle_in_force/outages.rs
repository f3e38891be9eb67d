//! Outages of the key-value service after an acceptance, and stale reads.

use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::key_value::KeyValueFaults;

use crate::scenario::{
    ALL, DISKLESS, RevisionWatch, assert_work_succeeds, config, key_value_down, offer, refuse,
    roll, set_key_value_faults, start_cluster, wait_until_engines_hold, wait_until_in_force,
};

/// Delay of the roller's connections, short enough for probes to succeed.
const LINK_DELAY_MS: u64 = 60;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_bundle_outlives_its_roller_and_the_key_value_service() {
    let mut cluster = start_cluster(&config()).await;
    let faults = KeyValueFaults {
        down_after_change: true,
        ..KeyValueFaults::default()
    };
    set_key_value_faults(&cluster, &faults).await;
    let delayed = Faults {
        delay_ms: LINK_DELAY_MS,
        ..Faults::default()
    };
    cluster.set_peer_faults(0, delayed);
    let bundle = cluster.bundle(2, 2);
    roll(&cluster, 0, &bundle).await;
    cluster.set_peer_faults(0, refuse());
    cluster.daemons[0].kill();

    wait_until_in_force(&cluster, &[1, 2, DISKLESS], &bundle).await;
    wait_until_engines_hold(&cluster, 2).await;
    assert_work_succeeds(&cluster, &[1, 2, DISKLESS], 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bundle_that_only_the_key_value_service_holds_is_not_called_accepted() {
    let cluster = start_cluster(&config()).await;
    cluster.set_peer_faults(0, refuse());
    let bundle = cluster.bundle(2, 2);
    let reply = offer(&cluster, 0, &bundle).await;
    assert_eq!(reply.body.outcome, "unknown", "{reply:?}");
    cluster.set_peer_faults(0, Faults::default());
    wait_until_in_force(&cluster, &ALL, &bundle).await;
    roll(&cluster, 0, &bundle).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_daemons_learn_the_newest_bundle_during_an_outage() {
    let mut cluster = start_cluster(&config()).await;
    let bundle = cluster.bundle(2, 2);
    roll(&cluster, 0, &bundle).await;
    wait_until_in_force(&cluster, &ALL, &bundle).await;
    set_key_value_faults(&cluster, &key_value_down()).await;
    for restarted in [&[DISKLESS][..], &[1], &ALL] {
        for daemon in restarted {
            cluster.daemons[*daemon].kill();
        }
        for daemon in restarted {
            cluster.start_daemon(*daemon).await.unwrap();
        }
        wait_until_in_force(&cluster, &ALL, &bundle).await;
    }
    assert_work_succeeds(&cluster, &ALL, 1).await;
    let reply = offer(&cluster, 0, &cluster.bundle(3, 3)).await;
    assert_eq!(reply.body.outcome, "not-run", "{reply:?}");
    assert!(reply.may_retry, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_reads_bring_no_daemon_back_to_an_older_bundle() {
    let mut cluster = start_cluster(&config()).await;
    let faults = KeyValueFaults {
        stale_reads: true,
        ..KeyValueFaults::default()
    };
    set_key_value_faults(&cluster, &faults).await;
    // The key-value service is then its only source of bundles.
    cluster.set_peer_faults(DISKLESS, refuse());
    let watch = RevisionWatch::start(&cluster);
    for revision in [2, 3] {
        let bundle = cluster.bundle(revision, revision);
        roll(&cluster, 0, &bundle).await;
        wait_until_in_force(&cluster, &ALL, &bundle).await;
    }
    cluster.daemons[DISKLESS].kill();
    cluster.start_daemon(DISKLESS).await.unwrap();
    wait_until_in_force(&cluster, &ALL, &cluster.bundle(3, 3)).await;
    watch.assert_no_regressions().await;
    wait_until_engines_hold(&cluster, 3).await;
}
