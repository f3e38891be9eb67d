//! Checks whether weight loads have finished.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ladderstage_clock::Instant;

use super::leader::OrderLeader;
use super::leader_state::{LeaderState, Load};
use crate::backend::Instance;

/// Timeout of a request for an instance's report. Also bounds the duration of a round of checks.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of a check.
enum LoadCheck {
    /// The instance's report shows the version.
    ReportedLoaded,
    /// The version was recorded earlier, so no report was requested.
    AlreadyLoaded,
    Loading,
    /// The instance did not answer.
    NoAnswer,
    /// The instance is gone or restarted, or the load timed out.
    Abandoned,
}

impl OrderLeader {
    /// Checks all loads that are due, concurrently, so that an instance that hangs does not delay
    /// the updates of others.
    pub(super) async fn check_loads(&self, state: &mut LeaderState) {
        let checks = state.due_loads().into_iter().map(|(id, load)| {
            let instance = self.backends.get(&id).filter(|one| one.is_ready());
            async move {
                let check = self.check_load(instance.as_ref(), &load).await;
                (id, load, instance, check)
            }
        });
        let mut checks: FuturesUnordered<_> = checks.collect();
        while let Some((id, load, instance, check)) = checks.next().await {
            match check {
                check @ (LoadCheck::ReportedLoaded | LoadCheck::AlreadyLoaded) => {
                    let was_reported = matches!(check, LoadCheck::ReportedLoaded);
                    state.observe_load(&id, &load, was_reported);
                    if let Some(instance) = &instance {
                        state
                            .weight_updates
                            .loaded(instance, &load.model, load.version);
                    }
                    state.remove_load(&id);
                }
                LoadCheck::Loading => state.schedule_check(&id),
                LoadCheck::NoAnswer => state.back_off_check(&id),
                LoadCheck::Abandoned => state.remove_load(&id),
            }
        }
    }

    /// Checks one load; `instance` is `None` if it is gone.
    async fn check_load(&self, instance: Option<&Arc<Instance>>, load: &Load) -> LoadCheck {
        let is_same_incarnation =
            |one: &&Arc<Instance>| one.matches_incarnation(load.started_unix_ms);
        let instance = instance.filter(is_same_incarnation);
        let Some(instance) = instance.filter(|_| Instant::now() < load.abandon_at) else {
            return LoadCheck::Abandoned;
        };
        let is_loaded = || instance.version(&load.model) >= load.version;
        if is_loaded() {
            return LoadCheck::AlreadyLoaded;
        }
        let calls = self.calls();
        let request = tokio::time::timeout(REPORT_TIMEOUT, calls.report(instance));
        let Ok(Ok(report)) = request.await else {
            return LoadCheck::NoAnswer;
        };
        if !instance.matches_incarnation(report.started_unix_ms) {
            self.backends
                .record_incarnation(instance, report.started_unix_ms);
            return LoadCheck::Abandoned;
        }
        for (model, version) in &report.versions {
            instance.record_version(model, *version);
        }
        if !report.busy && is_loaded() {
            LoadCheck::ReportedLoaded
        } else {
            LoadCheck::Loading
        }
    }
}
