//! Monitors the bundle in force at each daemon.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch as signal;
use tokio::task::JoinSet;

use super::super::evidence::Recorder;
use super::super::violation::Guarantee;
use super::Shared;
use crate::cluster::{CurrentBundle, current_bundle};
use crate::stand_in::lock;

const POLL: Duration = Duration::from_millis(100);

/// Bundle texts seen at any daemon, by revision.
type Texts = Arc<Mutex<BTreeMap<u64, String>>>;

/// Starts a watcher for each daemon.
pub(super) fn start(shared: &Shared, stopped: &signal::Receiver<bool>) -> JoinSet<()> {
    let texts = Texts::default();
    let mut watchers = JoinSet::new();
    for daemon in &shared.daemons {
        let watcher = Watcher {
            daemon: daemon.clone(),
            recorder: shared.recorder.clone(),
            newest: 0,
            texts: texts.clone(),
        };
        watchers.spawn(watcher.run(stopped.clone()));
    }
    watchers
}

struct Watcher {
    daemon: String,
    recorder: Recorder,
    /// Highest revision that the daemon has shown, across its restarts.
    newest: u64,
    texts: Texts,
}

impl Watcher {
    async fn run(mut self, stopped: signal::Receiver<bool>) {
        while !*stopped.borrow() {
            if let Ok(current) = current_bundle(&self.daemon).await
                && current.revision > 0
            {
                self.check(current);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn check(&mut self, current: CurrentBundle) {
        let revision = current.revision;
        if revision < self.newest {
            let evidence = format!("{}: revision {revision} after {}", self.daemon, self.newest);
            self.recorder.record_violation(Guarantee::Bundles, evidence);
        }
        self.newest = self.newest.max(revision);
        let mut texts = lock(&self.texts);
        let known = texts
            .entry(revision)
            .or_insert_with(|| current.text.clone());
        if *known != current.text {
            let evidence = format!("{}: different text of revision {revision}", self.daemon);
            self.recorder.record_violation(Guarantee::Bundles, evidence);
        }
    }
}
