//! The weight versions that were named.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use super::plan::ModelDemand;
use ladderstage_clock::Instant;

/// A version and when this process heard of it.
#[derive(Debug, Clone, Copy)]
struct Named {
    version: u64,
    heard_at: Instant,
}

/// Newest version named for each model. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedVersions {
    versions: Arc<Mutex<BTreeMap<String, Named>>>,
}

impl AnnouncedVersions {
    /// Notes a version; versions only rise.
    pub fn note(&self, model: &str, version: u64) {
        let mut versions = lock(&self.versions);
        if versions
            .get(model)
            .is_some_and(|named| named.version >= version)
        {
            return;
        }
        log::info!("event=version_announced model={model} version={version}");
        let heard_at = Instant::now();
        versions.insert(model.to_owned(), Named { version, heard_at });
    }

    /// What is wanted of each model.
    pub(super) fn demands(&self) -> Vec<ModelDemand> {
        let versions = lock(&self.versions);
        let demands = versions.iter();
        demands
            .map(|(model, named)| ModelDemand {
                model: model.clone(),
                newest: named.version,
                named_for: named.heard_at.elapsed(),
                weight: 1.0,
                longest_events: 0,
            })
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
