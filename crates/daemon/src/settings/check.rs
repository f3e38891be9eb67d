//! Checks of settings that involve the meaning of values or several settings.

use std::collections::{BTreeMap, BTreeSet};

use ladderstage::bundle::TrustedKeys;
use ladderstage::document::{Finding, KeyPositions};

use super::{Settings, Timing};

/// Maximum length in characters of the name of a node, zone or region.
const MAX_NAME_LENGTH: usize = 64;

pub(super) fn cross_check(settings: &Settings, key_positions: &KeyPositions) -> Vec<Finding> {
    let mut checker = Checker {
        key_positions,
        findings: Vec::new(),
    };
    checker.check_name("node", &settings.node);
    checker.check_name("zone", &settings.zone);
    checker.check_name("region", &settings.region);
    checker.check_addresses(settings);
    checker.check_urls(settings);
    checker.check_keys(settings);
    checker.check_replicas(settings);
    checker.check_timing(&settings.timing);
    checker.findings
}

struct Checker<'p> {
    key_positions: &'p KeyPositions,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn add_finding(&mut self, path: &str, found: impl Into<String>, allowed: impl Into<String>) {
        let finding = self
            .key_positions
            .finding(path, found.into(), allowed.into());
        self.findings.extend(finding);
    }

    fn check_name(&mut self, path: &str, name: &str) {
        let is_plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let is_short = name.chars().count() <= MAX_NAME_LENGTH;
        if is_short && name.chars().all(is_plain) {
            return;
        }
        let allowed = format!("up to {MAX_NAME_LENGTH} letters, digits, '-', '_' and '.'");
        self.add_finding(path, format!("name {name:?}"), allowed);
    }

    fn check_addresses(&mut self, settings: &Settings) {
        let (http, peer) = (settings.http_listen, settings.peer_listen);
        if http == peer && http.port() != 0 {
            let found = format!("{peer}, which is also the value of http_listen");
            self.add_finding("peer_listen", found, "a different address");
        }
        match settings.peer_advertise {
            Some(address) if address.port() == 0 || address.ip().is_unspecified() => {
                let allowed = "an address that other daemons can reach";
                self.add_finding("peer_advertise", address.to_string(), allowed);
            }
            None if peer.ip().is_unspecified() => {
                let found = format!("{peer} without peer_advertise");
                let allowed = "the address of one interface, or peer_advertise in addition";
                self.add_finding("peer_listen", found, allowed);
            }
            _ => {}
        }
    }

    fn check_urls(&mut self, settings: &Settings) {
        if settings.key_value.is_empty() {
            self.add_finding(
                "key_value",
                "no base URL",
                "at least one, such as \"http://10.0.0.9:2379\"",
            );
        }
        for (index, url) in settings.key_value.iter().enumerate() {
            self.check_url(&format!("key_value[{index}]"), url);
        }
        self.check_url("machine_list", &settings.machine_list);
        for (path, url) in [
            ("scorer", &settings.scorer),
            ("weight_store", &settings.weight_store),
        ] {
            if let Some(url) = url {
                self.check_url(path, url);
            }
        }
    }

    fn check_url(&mut self, path: &str, url: &str) {
        let host = url.strip_prefix("http://").unwrap_or_default();
        let is_usable = !host.is_empty() && !host.contains([' ', '?', '#', '@']);
        if !is_usable {
            let allowed = "a base URL such as \"http://10.0.0.9:2379\"";
            self.add_finding(path, format!("{url:?}"), allowed);
        }
    }

    fn check_keys(&mut self, settings: &Settings) {
        if settings.trusted_keys.is_empty() {
            let allowed = "at least one key id with its public key, to verify bundles";
            self.add_finding("trusted_keys", "no trusted keys", allowed);
        }
        for (key_id, key) in &settings.trusted_keys {
            let single: BTreeMap<_, _> = [(key_id.clone(), key.clone())].into();
            if let Err(errors) = TrustedKeys::from_hex(&single) {
                let found = errors.iter().map(ToString::to_string).collect::<String>();
                let allowed = "an ed25519 public key as printed by `ladderstage keygen`";
                self.add_finding(&format!("trusted_keys.{key_id}"), found, allowed);
            }
        }
    }

    fn check_replicas(&mut self, settings: &Settings) {
        let mut known = BTreeSet::new();
        for (index, node) in settings.initial_replicas.iter().enumerate() {
            if !known.insert(node) {
                let path = format!("initial_replicas[{index}]");
                self.add_finding(&path, format!("duplicate `{node}`"), "each daemon once");
            }
        }
        if known.contains(&settings.node) && settings.data_folder.is_none() {
            let found = format!("`{}`, which has no data_folder", settings.node);
            self.add_finding("initial_replicas", found, "daemons with a data_folder");
        }
    }

    fn check_timing(&mut self, timing: &Timing) {
        let ordered_pairs = [
            (
                "probe_timeout_ms",
                timing.probe_timeout_ms,
                "probe_interval_ms",
                timing.probe_interval_ms,
            ),
            (
                "probe_interval_ms",
                timing.probe_interval_ms,
                "suspicion_ms",
                timing.suspicion_ms,
            ),
            (
                "owner_heartbeat_ms",
                timing.owner_heartbeat_ms,
                "owner_timeout_ms",
                timing.owner_timeout_ms,
            ),
            (
                "key_value_poll_ms",
                timing.key_value_poll_ms,
                "bundle_evidence_bound_ms",
                timing.bundle_evidence_bound_ms,
            ),
            (
                "report_poll_ms",
                timing.report_poll_ms,
                "backend_freshness_ms",
                timing.backend_freshness_ms,
            ),
        ];
        for (shorter, short, longer, long) in ordered_pairs {
            if short >= long {
                let found = format!("{short}, not below {longer} = {long}");
                self.add_finding(
                    &format!("timing.{shorter}"),
                    found,
                    format!("less than {longer}"),
                );
            }
        }
    }
}
