//! What a front remembers of a giver of orders that has told its end.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::orders::{FormerLeaders, LastLeader};
use ladderstage_wire::messages::{GiverEnd, RecentOrder};

fn end(node: &str, fence: u64, ages_ms: &[(&str, u64)]) -> GiverEnd {
    let orders = ages_ms.iter().map(|(instance, age_ms)| RecentOrder {
        instance: (*instance).to_owned(),
        age_ms: *age_ms,
    });
    GiverEnd {
        node: node.to_owned(),
        fence,
        orders: orders.collect(),
    }
}

fn giver(node: &str, fence: u64) -> LastLeader {
    LastLeader {
        node: node.to_owned(),
        fence,
    }
}

#[test]
fn only_the_word_of_that_very_giver_counts() {
    let ended = FormerLeaders::default();
    let now = Instant::now() + Duration::from_secs(60);
    assert_eq!(ended.orders_of(&giver("front-1", 7)), None);
    ended.record(&end("front-1", 7, &[("i-1", 400)]), now);
    let sent_at = now - Duration::from_millis(400);
    assert_eq!(
        ended.orders_of(&giver("front-1", 7)),
        Some(vec![("i-1".to_owned(), sent_at)])
    );
    assert_eq!(
        ended.orders_of(&giver("front-1", 9)),
        None,
        "it gave orders again since, under a later lease"
    );
    assert_eq!(ended.orders_of(&giver("front-2", 7)), None);
}

#[test]
fn a_late_word_of_an_earlier_giver_does_not_replace_a_newer_one() {
    let ended = FormerLeaders::default();
    let now = Instant::now();
    ended.record(&end("front-2", 9, &[]), now);
    ended.record(&end("front-1", 7, &[]), now);
    assert_eq!(ended.orders_of(&giver("front-1", 7)), None);
    assert_eq!(ended.orders_of(&giver("front-2", 9)), Some(Vec::new()));
}
