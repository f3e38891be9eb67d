//! Data model of a bundle.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Revision, WeightVersion};

/// Scheduling objective if fresh samples and busy trainers conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Prefer fresh samples over busy trainers.
    #[default]
    Staleness,
    /// Prefer busy trainers over fresh samples.
    TrainerIdle,
}

/// Kind of the back ends in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines (completions, rollouts).
    Model,
    /// Application back ends (plain HTTP).
    Application,
}

/// A pool of back ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name that callers use (`model` of a completion, path segment of an application request).
    pub name: String,
    /// Kind of the back ends.
    pub kind: PoolKind,
    /// Names of the back ends in the machine list.
    pub backends: Vec<String>,
    /// Weight version that the engines should hold; 0 for applications.
    #[serde(default)]
    pub weight_version: WeightVersion,
    /// Maximum number of versions by which a delivered sample may be behind `weight_version`.
    #[serde(default)]
    pub staleness_bound: u64,
    /// Maximum age of a delivered sample's first token in seconds; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub staleness_bound_seconds: Option<u64>,
    /// Maximum number of concurrent requests per back end.
    pub concurrency: u32,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name that callers give in `Ladderstage-Class`; `live` and `rollout` always exist.
    pub name: String,
    /// Priority; smaller values are more important.
    pub priority: u32,
    /// Maximum number of requests in flight per daemon.
    pub limit: u32,
    /// Deadline in milliseconds for requests without one.
    pub deadline_ms: u64,
    /// Retry budget in percent of the first attempts.
    #[serde(default)]
    pub retry_budget_percent: u32,
}

/// A checked bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Revision; each roll uses the successor of the previous one.
    pub revision: Revision,
    /// Scheduling objective.
    #[serde(default)]
    pub objective: Objective,
    /// Pools of back ends.
    #[serde(rename = "pool", default)]
    pub pools: Vec<PoolSpec>,
    /// Classes of work.
    #[serde(rename = "class", default)]
    pub classes: Vec<ClassSpec>,
    /// Free-form notes for operators.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub notes: BTreeMap<String, String>,
}

impl Bundle {
    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<&ClassSpec> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the pool that contains a back end.
    pub fn pool_of_backend(&self, backend: &str) -> Option<&PoolSpec> {
        self.pools
            .iter()
            .find(|pool| pool.backends.iter().any(|name| name == backend))
    }
}
