//! Metrics of instance discovery.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts};

/// Counters of one instance table. Cheap to clone.
#[derive(Debug, Clone)]
pub struct DiscoveryCounters {
    /// Restarts and address changes of known instances.
    pub restarts: IntCounter,
    /// Records that could not be read, by reason.
    pub unreadable_records: IntCounterVec,
    /// Number of drained zones.
    pub drained_zones: IntGauge,
    /// Usable instances that were skipped by a choice, by reason and zone.
    pub skipped_instances: IntCounterVec,
}

impl Default for DiscoveryCounters {
    fn default() -> Self {
        let restarts = IntCounter::new(
            "ladderstage_instance_restarts_total",
            "Later starts of instances under known ids",
        );
        let drained_zones = IntGauge::new(
            "ladderstage_drained_zones",
            "Zones whose instances are to get nothing",
        );
        let options = Opts::new(
            "ladderstage_unreadable_records_total",
            "Records of instances that name none by reason",
        );
        let skipped_instances = Opts::new(
            "ladderstage_instances_passed_over_total",
            "Choices that passed over a usable instance by reason and zone of the instance",
        );
        Self {
            restarts: restarts.expect("valid name"),
            unreadable_records: IntCounterVec::new(options, &["reason"]).expect("valid name"),
            drained_zones: drained_zones.expect("valid name"),
            skipped_instances: IntCounterVec::new(skipped_instances, &["reason", "zone"])
                .expect("valid name"),
        }
    }
}
