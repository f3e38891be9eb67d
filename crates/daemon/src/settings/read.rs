//! Reads settings from a TOML table.

use std::net::{Ipv4Addr, SocketAddr};
use std::num::NonZeroU64;

use ladderstage::document::{FromToml, Table};

use super::{Flags, Settings, Timing};

/// Placeholder for an invalid address. Never used, as the finding prevents the start.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

pub(super) fn read_settings(table: &mut Table<'_>, flags: &Flags) -> Settings {
    Settings {
        node: required(table, "node", &flags.node).unwrap_or_default(),
        zone: required(table, "zone", &flags.zone).unwrap_or_default(),
        region: required(table, "region", &flags.region).unwrap_or_default(),
        http_listen: required(table, "http_listen", &flags.http_listen)
            .unwrap_or(PLACEHOLDER_ADDRESS),
        peer_listen: required(table, "peer_listen", &flags.peer_listen)
            .unwrap_or(PLACEHOLDER_ADDRESS),
        peer_advertise: optional(table, "peer_advertise", &flags.peer_advertise),
        data_folder: optional(table, "data_folder", &flags.data_folder),
        key_value: read_key_value(table, flags),
        machine_list: required(table, "machine_list", &flags.machine_list).unwrap_or_default(),
        scorer: table.optional("scorer"),
        weight_store: table.optional("weight_store"),
        trusted_keys: table.map("trusted_keys"),
        seeds: table.list("seeds"),
        initial_replicas: table.list("initial_replicas"),
        peer_addresses: table.map("peer_addresses"),
        peer_connections: read_peer_connections(table),
        timing: table.table("timing", read_timing).unwrap_or_default(),
    }
}

/// Reads an optional value. A flag overrides the value of the file, which is still checked.
fn optional<T: FromToml + Clone>(
    table: &mut Table<'_>,
    key: &'static str,
    flag: &Option<T>,
) -> Option<T> {
    let value = table.optional(key);
    flag.clone().or(value)
}

fn required<T: FromToml + Clone>(
    table: &mut Table<'_>,
    key: &'static str,
    flag: &Option<T>,
) -> Option<T> {
    if flag.is_some() {
        return optional(table, key, flag);
    }
    table.required(key)
}

fn read_key_value(table: &mut Table<'_>, flags: &Flags) -> Vec<String> {
    let urls = table.list("key_value");
    if flags.key_value.is_empty() {
        return urls;
    }
    flags.key_value.clone()
}

fn read_peer_connections(table: &mut Table<'_>) -> usize {
    let value: Option<NonZeroU64> = table.optional("peer_connections");
    let value = value.and_then(|value| usize::try_from(value.get()).ok());
    value.unwrap_or_else(super::default_peer_connections)
}

fn read_timing(table: &mut Table<'_>) -> Timing {
    let defaults = Timing::default();
    let mut read = |key: &'static str, default: u64| {
        let value: Option<NonZeroU64> = table.optional(key);
        value.map_or(default, NonZeroU64::get)
    };
    Timing {
        probe_interval_ms: read("probe_interval_ms", defaults.probe_interval_ms),
        probe_timeout_ms: read("probe_timeout_ms", defaults.probe_timeout_ms),
        suspicion_ms: read("suspicion_ms", defaults.suspicion_ms),
        owner_heartbeat_ms: read("owner_heartbeat_ms", defaults.owner_heartbeat_ms),
        owner_timeout_ms: read("owner_timeout_ms", defaults.owner_timeout_ms),
        bundle_evidence_bound_ms: read(
            "bundle_evidence_bound_ms",
            defaults.bundle_evidence_bound_ms,
        ),
        key_value_poll_ms: read("key_value_poll_ms", defaults.key_value_poll_ms),
        key_value_timeout_ms: read("key_value_timeout_ms", defaults.key_value_timeout_ms),
        machine_list_poll_ms: read("machine_list_poll_ms", defaults.machine_list_poll_ms),
        report_poll_ms: read("report_poll_ms", defaults.report_poll_ms),
        backend_freshness_ms: read("backend_freshness_ms", defaults.backend_freshness_ms),
        journal_timeout_ms: read("journal_timeout_ms", defaults.journal_timeout_ms),
        replica_replace_after_ms: read(
            "replica_replace_after_ms",
            defaults.replica_replace_after_ms,
        ),
    }
}
