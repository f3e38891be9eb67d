//! What is counted of discovery.

use prometheus::{IntCounter, IntCounterVec, Opts};

/// Counters of one table of instances. Cheap to clone.
#[derive(Debug, Clone)]
pub struct DiscoveryCounters {
    /// Later starts of instances, or other addresses, under known ids.
    pub restarts: IntCounter,
    /// Records that name no instance, by reason.
    pub unreadable_records: IntCounterVec,
    /// Choices that passed over a usable instance, by reason and zone.
    pub passed_over: IntCounterVec,
}

impl Default for DiscoveryCounters {
    fn default() -> Self {
        let restarts = IntCounter::new(
            "ladderstage_instance_restarts_total",
            "Later starts of instances under known ids",
        );
        let options = Opts::new(
            "ladderstage_unreadable_records_total",
            "Records of instances that name none by reason",
        );
        let passed_over = Opts::new(
            "ladderstage_instances_passed_over_total",
            "Choices that passed over a usable instance by reason and zone of the instance",
        );
        Self {
            restarts: restarts.expect("valid name"),
            unreadable_records: IntCounterVec::new(options, &["reason"]).expect("valid name"),
            passed_over: IntCounterVec::new(passed_over, &["reason", "zone"]).expect("valid name"),
        }
    }
}
