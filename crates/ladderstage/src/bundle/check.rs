//! Checks that involve several values of a bundle or data from outside it.

use std::collections::{BTreeMap, BTreeSet};

use super::model::{Bundle, PoolKind, PoolSpec};
use super::{BundleDocument, LIVE_CLASS, ROLLOUT_CLASS};
use crate::document::{Finding, KeyPositions};
use crate::ids::WeightVersion;

/// Maximum length of the name of a pool, back end or class, in characters.
const MAX_NAME_LENGTH: usize = 64;

/// Weight versions in the weight store, by model pool. Pools that are not listed are not checked.
pub type KnownVersions = BTreeMap<String, BTreeSet<WeightVersion>>;

/// External data against which a bundle is checked.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckContext<'c> {
    /// Bundle in force.
    pub current: Option<&'c Bundle>,
    /// Versions in the weight store, if it was queried.
    pub known_versions: Option<&'c KnownVersions>,
}

/// Checks a bundle without a source text, such as one built by a program. Positions in the findings
/// are meaningless.
pub fn check(
    bundle: &Bundle,
    current: Option<&Bundle>,
    known_versions: Option<&KnownVersions>,
) -> Vec<Finding> {
    let text = match toml::to_string(bundle) {
        Ok(text) => text,
        Err(error) => {
            return vec![Finding {
                file: "bundle".to_owned(),
                line: 0,
                column: 0,
                found: error.to_string(),
                allowed: "a bundle that can be written as TOML".to_owned(),
            }];
        }
    };
    let context = CheckContext {
        current,
        known_versions,
    };
    BundleDocument::read("bundle", &text).check(&context)
}

pub(super) fn cross_check(
    bundle: &Bundle,
    key_positions: &KeyPositions,
    context: &CheckContext<'_>,
) -> Vec<Finding> {
    let mut checker = Checker {
        key_positions,
        findings: Vec::new(),
    };
    checker.check_revision(bundle, context.current);
    checker.check_pool_names(bundle);
    checker.check_backend_names(bundle);
    for (index, pool) in bundle.pools.iter().enumerate() {
        let path = format!("pool[{index}]");
        checker.check_pool(&path, pool);
        checker.check_version_step(&path, pool, context.current);
        checker.check_known_version(&path, pool, context.known_versions);
    }
    checker.check_classes(bundle);
    checker.check_capacity(bundle);
    checker.findings
}

struct Checker<'p> {
    key_positions: &'p KeyPositions,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn add(&mut self, path: &str, found: impl Into<String>, allowed: impl Into<String>) {
        let finding = self
            .key_positions
            .finding(path, found.into(), allowed.into());
        self.findings.extend(finding);
    }

    fn check_revision(&mut self, bundle: &Bundle, current: Option<&Bundle>) {
        let found = format!("revision {}", bundle.revision);
        if let Some(current) = current {
            let successor = current.revision.saturating_add(1);
            if bundle.revision != successor {
                let in_force = current.revision;
                let allowed = format!("{successor}, the successor of revision {in_force} in force");
                self.add("revision", found, allowed);
            }
        } else if bundle.revision == 0 {
            self.add("revision", found, "1 or more");
        }
    }

    /// Restricts names to characters that are safe in URLs, headers and log lines.
    fn check_name(&mut self, path: &str, name: &str) {
        let is_plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let is_short = name.chars().count() <= MAX_NAME_LENGTH;
        // Names such as `..` would change the path of a URL.
        let is_only_dots = !name.is_empty() && name.chars().all(|letter| letter == '.');
        if !is_short || is_only_dots || !name.chars().all(is_plain) {
            let allowed = format!("up to {MAX_NAME_LENGTH} letters, digits, '-', '_' and '.'");
            self.add(path, format!("name {name:?}"), allowed);
        }
    }

    fn check_pool_names(&mut self, bundle: &Bundle) {
        if bundle.pools.is_empty() {
            self.add("pool", "no pools", "at least one [[pool]]");
        }
        let mut seen = BTreeSet::new();
        for (index, pool) in bundle.pools.iter().enumerate() {
            self.check_name(&format!("pool[{index}].name"), &pool.name);
            if !pool.name.is_empty() && !seen.insert(pool.name.as_str()) {
                let path = format!("pool[{index}].name");
                self.add(
                    &path,
                    format!("a second pool `{}`", pool.name),
                    "each name once",
                );
            }
        }
    }

    fn check_backend_names(&mut self, bundle: &Bundle) {
        let mut pool_of = BTreeMap::new();
        for (pool_index, pool) in bundle.pools.iter().enumerate() {
            for (index, backend) in pool.backends.iter().enumerate() {
                self.check_name(&format!("pool[{pool_index}].backends[{index}]"), backend);
                let Some(first) = pool_of.insert(backend.as_str(), pool.name.as_str()) else {
                    continue;
                };
                let path = format!("pool[{pool_index}].backends[{index}]");
                let found = format!("back end `{backend}`, which pool `{first}` has already");
                self.add(&path, found, "each back end in one pool, once");
            }
        }
    }

    fn check_pool(&mut self, path: &str, pool: &PoolSpec) {
        if pool.backends.is_empty() {
            let found = format!("pool `{}` without back ends", pool.name);
            self.add(&format!("{path}.backends"), found, "at least one back end");
        }
        if pool.concurrency == 0 {
            self.add(&format!("{path}.concurrency"), "concurrency 0", "1 or more");
        }
        if pool.staleness_bound_seconds == Some(0) {
            let path = format!("{path}.staleness_bound_seconds");
            self.add(
                &path,
                "0 seconds, which no sample can meet",
                "1 or more, or no such key",
            );
        }
        if self.key_positions.is_faulty(&format!("{path}.kind")) {
            return;
        }
        let version_path = format!("{path}.weight_version");
        match (pool.kind, pool.weight_version) {
            (PoolKind::Model, 0) => {
                let found = format!("model pool `{}` with weight version 0", pool.name);
                self.add(&version_path, found, "1 or more");
            }
            (PoolKind::Application, 1..) => {
                let found = format!("a weight version for application pool `{}`", pool.name);
                self.add(&version_path, found, "no weight version");
            }
            _ => {}
        }
    }

    /// A bound above 0 guarantees that samples in progress survive a swap. A roll that skips more
    /// versions than the bound breaks that guarantee; a bound of 0 gives none.
    fn check_version_step(&mut self, path: &str, pool: &PoolSpec, current: Option<&Bundle>) {
        let before = current.and_then(|bundle| bundle.pool(&pool.name));
        let Some(before) = before else {
            return;
        };
        let skipped = pool.weight_version.saturating_sub(before.weight_version);
        let bound = pool.staleness_bound;
        if bound == 0 || skipped <= bound {
            return;
        }
        let found = format!(
            "staleness bound {bound}, while this roll moves the weight version by {skipped} (from {} to {})",
            before.weight_version, pool.weight_version
        );
        let allowed = format!("{skipped} or more, or 0 to discard every sample in progress");
        self.add(&format!("{path}.staleness_bound"), found, allowed);
    }

    fn check_known_version(&mut self, path: &str, pool: &PoolSpec, known: Option<&KnownVersions>) {
        let versions = known.and_then(|known| known.get(&pool.name));
        let Some(versions) = versions else {
            return;
        };
        if pool.weight_version == 0 || versions.contains(&pool.weight_version) {
            return;
        }
        let found = format!("weight version {} of `{}`", pool.weight_version, pool.name);
        let allowed = match versions.last() {
            Some(newest) => format!("a version in the weight store, whose newest is {newest}"),
            None => "a version in the weight store, which holds none of this model".to_owned(),
        };
        self.add(&format!("{path}.weight_version"), found, allowed);
    }

    fn check_classes(&mut self, bundle: &Bundle) {
        let mut seen = BTreeSet::new();
        for (index, class) in bundle.classes.iter().enumerate() {
            let path = format!("class[{index}]");
            self.check_name(&format!("{path}.name"), &class.name);
            if !class.name.is_empty() && !seen.insert(class.name.as_str()) {
                let found = format!("a second class `{}`", class.name);
                self.add(&format!("{path}.name"), found, "each name once");
            }
            if class.limit == 0 {
                self.add(&format!("{path}.limit"), "limit 0", "1 or more");
            }
            if class.deadline_ms == 0 {
                self.add(
                    &format!("{path}.deadline_ms"),
                    "deadline of 0 ms",
                    "1 or more",
                );
            }
            if class.retry_budget_percent > 100 {
                let found = format!("a retry budget of {} %", class.retry_budget_percent);
                self.add(&format!("{path}.retry_budget_percent"), found, "0 to 100");
            }
        }
        for name in [LIVE_CLASS, ROLLOUT_CLASS] {
            if !seen.contains(name) {
                let allowed = format!("a [[class]] with name = \"{name}\"");
                self.add("class", format!("no class `{name}`"), allowed);
            }
        }
    }

    /// Checks the sum of the class limits. Skipped if a pool's own capacity is invalid, because
    /// findings would only repeat that error.
    fn check_capacity(&mut self, bundle: &Bundle) {
        let has_invalid_pool = bundle.pools.iter().enumerate().any(|(index, pool)| {
            let faulty = self
                .key_positions
                .is_faulty(&format!("pool[{index}].backends"));
            faulty || capacity(pool) == 0
        });
        if has_invalid_pool || bundle.pools.is_empty() {
            return;
        }
        let capacities = bundle.pools.iter().map(capacity);
        let capacity = capacities.fold(0_u64, u64::saturating_add);
        let mut admitted: u64 = 0;
        for (index, class) in bundle.classes.iter().enumerate() {
            let was_within = admitted <= capacity;
            admitted = admitted.saturating_add(u64::from(class.limit));
            if was_within && admitted > capacity {
                let found = format!("limit {}, which takes the sum to {admitted}", class.limit);
                let allowed = format!(
                    "a sum of limits up to {capacity}, the back ends' concurrency in all pools together"
                );
                self.add(&format!("class[{index}].limit"), found, allowed);
            }
        }
    }
}

fn capacity(pool: &PoolSpec) -> u64 {
    let backends = u64::try_from(pool.backends.len()).unwrap_or(u64::MAX);
    backends.saturating_mul(u64::from(pool.concurrency))
}
