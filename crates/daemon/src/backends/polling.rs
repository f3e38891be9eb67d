//! Polls the machine list and load reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ladderstage::backend::{
    ListedBackend, ObservationInterval, Placement, Report, reads_reports_directly,
};
use ladderstage::bundle::PoolKind;
use ladderstage_platform::load::{LoadReport, read_load};
use ladderstage_platform::machine_list::{Machine, MachineKind, MachineList, MachineState};
use log::{debug, info, warn};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::shared::Shared;
use crate::jitter::jittered;
use crate::members_cache::MembersCache;
use crate::watchers::poll_interval_factor;

/// Timeout of a read of the machine list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Key by which the watchers of the machine list are chosen.
const LIST_KEY: &[u8] = b"machine-list";
/// Maximum number of load reports read concurrently.
const CONCURRENT_READS: usize = 32;

/// Polls the machine list until the task is aborted.
pub(super) async fn poll_machine_list(shared: Arc<Shared>, base_url: String) {
    let list = MachineList::new(&base_url, LIST_TIMEOUT);
    let interval = Duration::from_millis(shared.timing.machine_list_poll_ms);
    let mut health = ListHealth::default();
    loop {
        health = read_list(&shared, &list, health).await;
        let factor = if health.failed {
            1
        } else {
            list_factor(&shared)
        };
        sleep(jittered(interval * factor)).await;
    }
}

/// Returns the multiplier of this node's poll interval: 1 for the watchers (see [`crate::watchers`]), more for the
/// other nodes.
fn list_factor(shared: &Shared) -> u32 {
    let own = shared.peers.own();
    let members = shared.peers.alive();
    poll_interval_factor(LIST_KEY, &own, members.iter().map(String::as_str))
}

/// Result of the last read of the list; only changes are logged.
#[derive(Debug, Default, PartialEq, Eq)]
struct ListHealth {
    failed: bool,
    findings: Vec<String>,
}

/// Reads the list once and returns the new health.
async fn read_list(shared: &Shared, list: &MachineList, before: ListHealth) -> ListHealth {
    let sent_at = shared.now();
    match list.read().await {
        Ok(machines) => {
            if before.failed {
                info!("event=machine_list_recovered");
            }
            log_findings(&machines.findings, &before.findings);
            apply_list(shared, machines.machines, sent_at);
            ListHealth {
                failed: false,
                findings: machines.findings,
            }
        }
        Err(error) => {
            if !before.failed {
                warn!("event=machine_list_failed error={error:?}");
            }
            ListHealth {
                failed: true,
                ..before
            }
        }
    }
}

fn log_findings(findings: &[String], before: &[String]) {
    if findings == before {
        return;
    }
    for finding in findings {
        warn!("event=machine_list_entry_malformed finding={finding:?}");
    }
}

fn apply_list(shared: &Shared, machines: Vec<Machine>, sent_at: Duration) {
    let listed: Vec<ListedBackend> = machines.into_iter().map(from_list).collect();
    let received_at = shared.now();
    let observed = ObservationInterval {
        sent_at,
        received_at,
    };
    shared.update(|table| table.observe_list(&listed, observed));
}

fn from_list(machine: Machine) -> ListedBackend {
    ListedBackend {
        name: machine.name,
        address: machine.address,
        zone: machine.zone,
        kind: match machine.kind {
            MachineKind::Engine => PoolKind::Model,
            MachineKind::Application => PoolKind::Application,
        },
        leaving: machine.state == MachineState::Leaving,
    }
}

/// Polls the load reports of the bundle's back ends, with at most one read per back end at a time.
pub(super) async fn poll_reports(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.timing.report_poll_ms);
    let permits = Arc::new(Semaphore::new(CONCURRENT_READS));
    let reading = Arc::new(Mutex::new(BTreeSet::new()));
    let mut reads = JoinSet::new();
    let mut own_names = MembersCache::default();
    loop {
        for (name, placement) in backends_to_read(&shared, &mut own_names) {
            if !lock(&reading).insert(name.clone()) {
                continue;
            }
            let (shared, permits, reading) = (shared.clone(), permits.clone(), reading.clone());
            reads.spawn(async move {
                read_when_permitted(&shared, &permits, &name, &placement).await;
                lock(&reading).remove(&name);
            });
        }
        while reads.try_join_next().is_some() {}
        sleep(jittered(interval)).await;
    }
}

fn lock(reading: &Mutex<BTreeSet<String>>) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
    reading.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the back ends of the bundle in force whose reports this node reads.
fn backends_to_read(
    shared: &Shared,
    own_names: &mut MembersCache<Vec<String>>,
) -> Vec<(String, Placement)> {
    let Some(bundle) = shared.bundle() else {
        return Vec::new();
    };
    let bundle = &bundle.bundle;
    let own = shared.peers.own();
    let names = own_names.get(bundle.revision, shared.peers.alive(), |members| {
        let names = bundle.pools.iter().flat_map(|pool| &pool.backends);
        let names = names.filter(|name| reads_reports_directly(name, &own, members));
        names.cloned().collect()
    });
    let placed = names.iter().filter_map(|name| {
        let placement = shared.read(|table| table.placement(name).cloned())?;
        Some((name.clone(), placement))
    });
    placed.collect()
}

async fn read_when_permitted(
    shared: &Shared,
    permits: &Semaphore,
    name: &str,
    placement: &Placement,
) {
    // Never fails: the semaphore is not closed.
    let Ok(_permit) = permits.acquire().await else {
        return;
    };
    read_report(shared, name, placement.address, placement.kind).await;
}

async fn read_report(shared: &Shared, name: &str, address: SocketAddr, kind: PoolKind) {
    let kind = match kind {
        PoolKind::Model => MachineKind::Engine,
        PoolKind::Application => MachineKind::Application,
    };
    // A report that takes longer than the freshness bound would arrive stale.
    let timeout = Duration::from_millis(shared.timing.backend_freshness_ms);
    let sent_at = shared.now();
    match read_load(&shared.http, kind, name, address, timeout).await {
        Ok(report) => apply_report(shared, name, report, sent_at),
        Err(error) => debug!("event=load_report_failed backend={name} error={error:?}"),
    }
}

fn apply_report(shared: &Shared, name: &str, report: LoadReport, sent_at: Duration) {
    let report = Report {
        process: report.process,
        weight_version: report.weight_version,
        running: report.running,
        waiting: report.waiting,
        capacity: report.capacity,
        leaving: report.leaving,
        sequence: report.sequence,
    };
    let received_at = shared.now();
    let observed = ObservationInterval {
        sent_at,
        received_at,
    };
    shared.update(|table| table.observe_report(name, &report, observed));
}
