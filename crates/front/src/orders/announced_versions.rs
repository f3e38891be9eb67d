//! Weight versions announced by trainers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use super::plan::ModelDemand;
use ladderstage_clock::Instant;

/// Version and the time at which this process learned of it.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    version: u64,
    received_at: Instant,
}

/// Newest version announced for each model. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedVersions {
    versions: Arc<Mutex<BTreeMap<String, Announcement>>>,
}

impl AnnouncedVersions {
    /// Records a version; a lower one than the newest is ignored.
    pub fn record(&self, model: &str, version: u64) {
        let mut versions = lock(&self.versions);
        if versions
            .get(model)
            .is_some_and(|announced| announced.version >= version)
        {
            return;
        }
        log::info!("event=version_announced model={model} version={version}");
        let received_at = Instant::now();
        versions.insert(
            model.to_owned(),
            Announcement {
                version,
                received_at,
            },
        );
    }

    /// Returns an entry with the newest version of each model. All models have equal work and
    /// unknown text lengths until the fronts' reports are applied.
    pub(super) fn demands(&self) -> Vec<ModelDemand> {
        let versions = lock(&self.versions);
        let demands = versions.iter();
        demands
            .map(|(model, announced)| ModelDemand {
                model: model.clone(),
                newest: announced.version,
                since_announcement: announced.received_at.elapsed(),
                relative_work: 1.0,
                longest_events: 0,
                open_items: None,
            })
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
