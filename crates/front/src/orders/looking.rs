//! Checks whether weight loads have finished.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ladderstage_clock::Instant;

use super::given::{Given, Load};
use super::giver::OrderGiver;
use crate::backend::Instance;

/// Timeout of a load's report. The checks of all other loads wait for it.
const REPORT_LIMIT: Duration = Duration::from_millis(100);

/// Result of a check.
enum LoadLook {
    /// The instance's report shows the version.
    Loaded,
    /// The version is already known by other means.
    KnownLoaded,
    Loading,
    /// The instance did not answer.
    NoAnswer,
    /// The instance is gone or restarted, or the load timed out.
    Over,
}

impl OrderGiver {
    /// Checks all loads that are due, concurrently, so that an instance that hangs does not delay
    /// the updates of others.
    pub(super) async fn look_at_loads(&self, given: &mut Given) {
        let fleet = self.fleet();
        let looks = given.due_loads().into_iter().map(|(id, load)| {
            let instance = fleet.iter().find(|one| one.id() == id);
            async move {
                let look = self.look_at_load(instance, &load).await;
                (id, load, instance, look)
            }
        });
        let mut looks: FuturesUnordered<_> = looks.collect();
        while let Some((id, load, instance, look)) = looks.next().await {
            match look {
                look @ (LoadLook::Loaded | LoadLook::KnownLoaded) => {
                    let is_by_report = matches!(look, LoadLook::Loaded);
                    given.note_load(&id, &load, is_by_report);
                    if let Some(instance) = instance {
                        given.news.loaded(instance, &load.model, load.version);
                    }
                    given.end(&id);
                }
                LoadLook::Loading => given.look_again(&id),
                LoadLook::NoAnswer => given.look_later(&id),
                LoadLook::Over => given.end(&id),
            }
        }
    }

    /// Checks one load; `instance` is `None` if it is gone.
    async fn look_at_load(&self, instance: Option<&Arc<Instance>>, load: &Load) -> LoadLook {
        let is_same_start = |one: &&Arc<Instance>| one.is_start(load.started_unix_ms);
        let instance = instance.filter(is_same_start);
        let Some(instance) = instance.filter(|_| Instant::now() < load.give_up_at) else {
            return LoadLook::Over;
        };
        let is_loaded = || instance.version(&load.model) >= load.version;
        if is_loaded() {
            return LoadLook::KnownLoaded;
        }
        let calls = self.calls();
        let asking = tokio::time::timeout(REPORT_LIMIT, calls.report(instance));
        let Ok(Ok(report)) = asking.await else {
            return LoadLook::NoAnswer;
        };
        if !instance.is_start(report.started_unix_ms) {
            self.backends.note_start(instance, report.started_unix_ms);
            return LoadLook::Over;
        }
        for (model, version) in &report.versions {
            instance.note_version(model, *version);
        }
        if !report.busy && is_loaded() {
            LoadLook::Loaded
        } else {
            LoadLook::Loading
        }
    }
}
