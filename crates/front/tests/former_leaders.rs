//! Tests the record of announcements by former order leaders.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::orders::{FormerLeaders, LastLeader};
use ladderstage_wire::messages::{GiverEnd, RecentOrder};

fn announcement(node: &str, fence: u64, ages_ms: &[(&str, u64)]) -> GiverEnd {
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

fn leader(node: &str, fence: u64) -> LastLeader {
    LastLeader {
        node: node.to_owned(),
        fence,
    }
}

#[test]
fn an_announcement_counts_only_for_its_leader_and_fence() {
    let former_leaders = FormerLeaders::default();
    let now = Instant::now() + Duration::from_secs(60);
    assert_eq!(former_leaders.recent_orders_of(&leader("front-1", 7)), None);
    former_leaders.record(&announcement("front-1", 7, &[("i-1", 400)]), now);
    let sent_at = now - Duration::from_millis(400);
    assert_eq!(
        former_leaders.recent_orders_of(&leader("front-1", 7)),
        Some(vec![("i-1".to_owned(), sent_at)])
    );
    assert_eq!(
        former_leaders.recent_orders_of(&leader("front-1", 9)),
        None,
        "the node issued orders again under a later lease"
    );
    assert_eq!(former_leaders.recent_orders_of(&leader("front-2", 7)), None);
}

#[test]
fn a_late_announcement_does_not_replace_a_newer_one() {
    let former_leaders = FormerLeaders::default();
    let now = Instant::now();
    former_leaders.record(&announcement("front-2", 9, &[]), now);
    former_leaders.record(&announcement("front-1", 7, &[]), now);
    assert_eq!(former_leaders.recent_orders_of(&leader("front-1", 7)), None);
    assert_eq!(
        former_leaders.recent_orders_of(&leader("front-2", 9)),
        Some(Vec::new())
    );
}
