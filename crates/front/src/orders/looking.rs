//! Looks whether loads of weights are done.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ladderstage_clock::Instant;

use super::given::{Given, Load};
use super::giver::OrderLeader;
use crate::backend::Instance;

/// Longest wait for the report of an instance that loads. Reports take some milliseconds, and the others' loads wait for it.
const REPORT_LIMIT: Duration = Duration::from_millis(100);

/// What a look at a load shows.
enum LoadLook {
    /// Its report says so.
    Loaded,
    /// It was heard from elsewhere.
    KnownLoaded,
    Loading,
    /// The instance did not answer.
    NoAnswer,
    /// The instance is gone, or took too long.
    Over,
}

impl OrderLeader {
    /// Looks whether instances that took an order have its version: at all of them at once, as one that hangs must not keep the
    /// others' news back.
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

    /// `instance` is none if it is gone.
    async fn look_at_load(&self, instance: Option<&Arc<Instance>>, load: &Load) -> LoadLook {
        let is_same_start = |one: &&Arc<Instance>| one.matches_incarnation(load.started_unix_ms);
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
        if !instance.matches_incarnation(report.started_unix_ms) {
            self.backends.record_incarnation(instance, report.started_unix_ms);
            return LoadLook::Over;
        }
        for (model, version) in &report.versions {
            instance.record_version(model, *version);
        }
        if !report.busy && is_loaded() {
            LoadLook::Loaded
        } else {
            LoadLook::Loading
        }
    }
}
