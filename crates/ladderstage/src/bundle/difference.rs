//! Differences between two bundles.

use std::collections::BTreeMap;

use serde::Serialize;

use super::model::Bundle;

/// A value that differs between two bundles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the value, with pools and classes by name.
    pub path: String,
    /// Value in the old bundle, if any.
    pub old: Option<String>,
    /// Value in the new bundle, if any.
    pub new: Option<String>,
}

/// Returns all values that differ, sorted by path.
pub fn compare(old: &Bundle, new: &Bundle) -> Vec<Difference> {
    let old = values(old);
    let mut new = values(new);
    let mut differences = Vec::new();
    for (path, value) in old {
        let replacement = new.remove(&path);
        if replacement.as_ref() != Some(&value) {
            differences.push(Difference {
                path,
                old: Some(value),
                new: replacement,
            });
        }
    }
    let added = new.into_iter().map(|(path, value)| Difference {
        path,
        old: None,
        new: Some(value),
    });
    differences.extend(added);
    differences.sort_by(|left, right| left.path.cmp(&right.path));
    differences
}

fn values(bundle: &Bundle) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    values.insert("revision".to_owned(), bundle.revision.to_string());
    values.insert("objective".to_owned(), format!("{:?}", bundle.objective));
    for pool in &bundle.pools {
        let prefix = format!("pool.{}", pool.name);
        let mut add = |key: &str, value: String| values.insert(format!("{prefix}.{key}"), value);
        add("kind", format!("{:?}", pool.kind));
        add("backends", pool.backends.join(", "));
        add("weight_version", pool.weight_version.to_string());
        add("staleness_bound", pool.staleness_bound.to_string());
        add("concurrency", pool.concurrency.to_string());
        if let Some(seconds) = pool.staleness_bound_seconds {
            add("staleness_bound_seconds", seconds.to_string());
        }
    }
    for class in &bundle.classes {
        let prefix = format!("class.{}", class.name);
        let mut add = |key: &str, value: String| values.insert(format!("{prefix}.{key}"), value);
        add("priority", class.priority.to_string());
        add("limit", class.limit.to_string());
        add("deadline_ms", class.deadline_ms.to_string());
        add(
            "retry_budget_percent",
            class.retry_budget_percent.to_string(),
        );
    }
    for (name, note) in &bundle.notes {
        values.insert(format!("notes.{name}"), note.clone());
    }
    values
}
