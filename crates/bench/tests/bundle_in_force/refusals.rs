//! Bundles that every daemon must refuse.

use std::time::Duration;

use ladderstage::bundle::Bundle;
use ladderstage_bench::cluster::{KEY_ID, SignedText, post_bundle, signed, test_key};
use ladderstage_bench::stand_in::key_value::KeyValueFaults;

use crate::scenario::{
    ALL, DISKLESS, config, head_record, restart_trusting, roll, set_key_value_faults, signed_by,
    start_cluster, until, untrusted_key, wait_until_engines_hold, wait_until_in_force,
};

/// Cause of the refusal in a daemon's log.
const NOT_TRUSTED: &str = "no signature by a trusted key; signed by: bench";

fn text_of(bundle: &Bundle) -> String {
    signed(bundle).text
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_daemon_refuses_a_bundle_with_a_wrong_signature() {
    let cluster = start_cluster(&config()).await;
    let before = head_record(&cluster).await;
    let bundle = cluster.bundle(2, 2);
    let mut altered = signed(&bundle);
    altered.text = text_of(&cluster.bundle(2, 3));
    let forged = signed_by(&untrusted_key(KEY_ID), text_of(&bundle));
    let unknown = signed_by(&untrusted_key("stranger"), text_of(&bundle));
    let unsigned = SignedText {
        signatures: Vec::new(),
        ..signed(&bundle)
    };
    for daemon in &cluster.daemons {
        for body in [&altered, &forged, &unknown, &unsigned] {
            let reply = post_bundle(&daemon.url(), body).await.unwrap();
            assert_eq!(reply.status.as_u16(), 403, "{reply:?}");
            assert_eq!(reply.body.reason, "signature", "{reply:?}");
        }
    }
    assert_eq!(head_record(&cluster).await, before);
    wait_until_in_force(&cluster, &ALL, &cluster.bundle(1, 1)).await;
    wait_until_engines_hold(&cluster, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_daemon_refuses_a_bundle_with_a_wrong_text() {
    let cluster = start_cluster(&config()).await;
    let before = head_record(&cluster).await;
    let wrong_successor = signed(&cluster.bundle(3, 2));
    let malformed = text_of(&cluster.bundle(2, 2)).replace("karm-lm", "");
    let malformed = signed_by(&test_key(), malformed);
    for daemon in &cluster.daemons {
        let reply = post_bundle(&daemon.url(), &wrong_successor).await.unwrap();
        assert_eq!(reply.status.as_u16(), 422, "{reply:?}");
        let [finding] = &reply.body.findings[..] else {
            panic!("{reply:?}")
        };
        assert_eq!((finding.line, finding.found.as_str()), (1, "revision 3"));
        assert!(finding.allowed.starts_with("2, "), "{finding:?}");

        let reply = post_bundle(&daemon.url(), &malformed).await.unwrap();
        assert_eq!(reply.status.as_u16(), 422, "{reply:?}");
        assert!(!reply.body.findings.is_empty(), "{reply:?}");
    }
    assert_eq!(head_record(&cluster).await, before);
    wait_until_in_force(&cluster, &ALL, &cluster.bundle(1, 1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_without_the_key_refuses_the_bundle_that_others_push() {
    let mut cluster = start_cluster(&config()).await;
    restart_trusting(&mut cluster, DISKLESS, &untrusted_key("stranger")).await;
    // The daemon must receive the bundle by a push, not from the key-value service.
    let faults = KeyValueFaults {
        down_after_change: true,
        ..KeyValueFaults::default()
    };
    set_key_value_faults(&cluster, &faults).await;
    let bundle = cluster.bundle(2, 2);
    roll(&cluster, 0, &bundle).await;
    wait_until_in_force(&cluster, &[0, 1, 2], &bundle).await;
    until("the push is refused", async || {
        let log = cluster.daemons[DISKLESS].log();
        log.lines().any(|line| {
            line.contains("event=bundle_refused source=push") && line.contains(NOT_TRUSTED)
        })
    })
    .await;
    let log = cluster.daemons[DISKLESS].log();
    assert!(!log.contains("event=bundle_in_force"), "{log}");
    let ready = cluster.daemons[DISKLESS].wait_until_ready(Duration::ZERO);
    assert!(ready.await.is_err(), "ready without a bundle");
}
