//! Rolls that race, lose their answer, or meet a slow key-value service.

use ladderstage::bundle::digest;
use ladderstage_bench::cluster::{ClusterConfig, proposal, signed};
use ladderstage_bench::stand_in::key_value::KeyValueFaults;

use crate::scenario::{
    ALL, HeadRecord, TIMEOUT, assert_work_succeeds, config, head_record, key_value_down, offer,
    roll, set_key_value_faults, start_cluster, until, wait_until_engines_hold, wait_until_in_force,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_operators_wins() {
    let cluster = start_cluster(&config()).await;
    let mut version = 1;
    for revision in 2..=4 {
        let bundles = [
            cluster.bundle(revision, version),
            cluster.bundle(revision, version + 1),
        ];
        let (first, second) = tokio::join!(
            offer(&cluster, 0, &bundles[0]),
            offer(&cluster, 1, &bundles[1])
        );
        let (winner, won, lost) = match first.status.is_success() {
            true => (&bundles[0], first, second),
            false => (&bundles[1], second, first),
        };
        assert_eq!(won.body.outcome, "accepted", "{won:?} {lost:?}");
        assert_eq!(
            (lost.status.as_u16(), lost.body.outcome.as_str()),
            (409, "lost")
        );
        let winner_digest = digest(signed(winner).text.as_bytes()).to_string();
        assert_eq!(lost.body.winner_digest, winner_digest);
        assert_eq!(lost.body.winner_proposal_id, won.body.proposal_id);
        wait_until_in_force(&cluster, &ALL, winner).await;
        version = winner.pools[0].weight_version;
        wait_until_engines_hold(&cluster, version).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_roll_whose_swap_was_not_answered_is_accepted_once() {
    let cluster = start_cluster(&config()).await;
    let before = head_record(&cluster).await;
    let faults = KeyValueFaults {
        lost_answers: 1,
        ..KeyValueFaults::default()
    };
    set_key_value_faults(&cluster, &faults).await;
    let bundle = cluster.bundle(2, 2);
    let proposal_id = roll(&cluster, 0, &bundle).await;
    let expected = HeadRecord {
        changes: before.changes + 1,
        proposal_id,
    };
    assert_eq!(head_record(&cluster).await, expected);
    wait_until_in_force(&cluster, &ALL, &bundle).await;
    wait_until_engines_hold(&cluster, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_roll_of_unknown_outcome_is_found_by_its_proposal() {
    let cluster = start_cluster(&config()).await;
    let faults = KeyValueFaults {
        lost_answers: 1,
        down_after_change: true,
        ..KeyValueFaults::default()
    };
    set_key_value_faults(&cluster, &faults).await;
    let bundle = cluster.bundle(2, 2);
    let reply = offer(&cluster, 0, &bundle).await;
    assert_eq!(
        (reply.status.as_u16(), reply.body.outcome.as_str()),
        (504, "unknown")
    );
    assert!(reply.may_retry, "{reply:?}");
    let proposal_id = reply.body.proposal_id;

    set_key_value_faults(&cluster, &KeyValueFaults::default()).await;
    for daemon in ALL {
        let url = cluster.daemons[daemon].url();
        until("the proposal is accepted", async || {
            let reply = proposal(&url, &proposal_id).await.unwrap();
            reply.body.outcome == "accepted"
        })
        .await;
    }
    assert_eq!(head_record(&cluster).await.proposal_id, proposal_id);
    wait_until_in_force(&cluster, &ALL, &bundle).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_key_value_service_delays_a_roll_only() {
    let mut config = config();
    let timeout = "key_value_timeout_ms".to_owned();
    config.timing.insert(timeout, 8_000);
    let cluster = start_cluster(&config).await;
    let slow = KeyValueFaults {
        slow_ms: 1_500,
        ..KeyValueFaults::default()
    };
    set_key_value_faults(&cluster, &slow).await;
    let bundle = cluster.bundle(2, 2);
    tokio::join!(
        roll(&cluster, 0, &bundle),
        assert_work_succeeds(&cluster, &ALL, 1)
    );
    wait_until_in_force(&cluster, &ALL, &bundle).await;
    wait_until_engines_hold(&cluster, 2).await;
    assert_work_succeeds(&cluster, &ALL, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_roll_reports_its_true_outcome_when_the_key_value_service_is_too_slow() {
    let mut config = config();
    let timeout = "key_value_timeout_ms".to_owned();
    config.timing.insert(timeout, 500);
    let too_slow = KeyValueFaults {
        slow_ms: 2_000,
        ..KeyValueFaults::default()
    };
    assert_reported_outcome_is_true(&config, &too_slow).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_roll_reports_its_true_outcome_when_the_key_value_service_limits_the_rate() {
    let limited = KeyValueFaults {
        requests_per_second: 0.5,
        ..KeyValueFaults::default()
    };
    assert_reported_outcome_is_true(&config(), &limited).await;
}

/// Rolls a bundle under faults and load. The reported outcome must be true, and the next roll must
/// succeed.
async fn assert_reported_outcome_is_true(config: &ClusterConfig, faults: &KeyValueFaults) {
    let cluster = start_cluster(config).await;
    let before = head_record(&cluster).await;
    set_key_value_faults(&cluster, faults).await;
    let bundle = cluster.bundle(2, 2);
    let (reply, ()) = tokio::join!(
        offer(&cluster, 0, &bundle),
        assert_work_succeeds(&cluster, &ALL, 1)
    );
    set_key_value_faults(&cluster, &KeyValueFaults::default()).await;
    match reply.body.outcome.as_str() {
        "accepted" => {}
        "not-run" => assert_eq!(head_record(&cluster).await, before, "{reply:?}"),
        "unknown" => {}
        _ => panic!("{reply:?}"),
    }
    assert_eq!(
        reply.may_retry,
        reply.body.outcome != "accepted",
        "{reply:?}"
    );
    let operator = cluster.operator();
    operator.roll(&bundle, TIMEOUT).await.unwrap();
    assert_eq!(head_record(&cluster).await.changes, before.changes + 1);
    wait_until_in_force(&cluster, &ALL, &bundle).await;
    assert_work_succeeds(&cluster, &ALL, 2).await;
    set_key_value_faults(&cluster, &key_value_down()).await;
    assert_work_succeeds(&cluster, &ALL, 3).await;
}
