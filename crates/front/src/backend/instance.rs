//! State of one instance of a service and the connections to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage::region::{AllowedRegions, Distance};
use ladderstage_clock::Instant;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::choice::Candidate;
use super::cold::{ColdLimit, ColdState, ColdStatus, SendBudget, SendTicket};
use super::connection::ConnectionPool;
use super::gate::{HoldReason, SendGates};
use super::liveness::Liveness;

/// Maximum age of a reported load.
const LOAD_MAX_AGE: Duration = Duration::from_millis(500);

/// Weight of a new measurement in the moving average of the unit time.
const UNIT_TIME_WEIGHT: f64 = 0.25;

/// Maximum age of a measured unit time.
const UNIT_TIME_MAX_AGE: Duration = Duration::from_secs(10);

/// Pause after the first failure; doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Pause for a model whose weights are being loaded, unless the instance reports them earlier.
pub const LOADING_PAUSE: Duration = Duration::from_millis(150);

/// An instance as described by its discovery record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveredInstance {
    /// Id of the instance, which a later incarnation may reuse.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: String,
    /// True if it accepts new work.
    pub is_ready: bool,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Start of this incarnation (process run) in milliseconds since the epoch by the instance's
    /// clock; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_unix_ms: u64,
    /// Remaining time in milliseconds, as of the record, in which it handles few requests; 0 if it
    /// is not cold.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// True if it may be withdrawn at short notice, with all such instances of its zone.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_preemptible: bool,
    /// Milliseconds until it is withdrawn, as of the record; `None` if not announced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_ms: Option<u64>,
    /// Weight versions by model.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<String, u64>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

impl DiscoveredInstance {
    /// Compares two records without weights and without the exact remaining times.
    pub fn equals_ignoring_weights(&self, other: &Self) -> bool {
        let Self {
            id,
            service,
            address,
            zone,
            is_ready,
            slots,
            started_unix_ms,
            cold_ms,
            is_preemptible,
            leaves_ms,
            versions: _,
        } = self;
        *id == other.id
            && *service == other.service
            && *address == other.address
            && *zone == other.zone
            && *is_ready == other.is_ready
            && *slots == other.slots
            && *started_unix_ms == other.started_unix_ms
            // The remaining time differs in each record.
            && (*cold_ms == 0) == (other.cold_ms == 0)
            && *is_preemptible == other.is_preemptible
            && leaves_ms.is_none() == other.leaves_ms.is_none()
    }
}

/// Load that an instance reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that run concurrently.
    pub slots: u32,
}

#[derive(Debug)]
struct InstanceState {
    discovered: DiscoveredInstance,
    /// Load caused by other nodes (the reported load minus this node's requests) and the time of
    /// the report.
    other_load: Option<(u32, Instant)>,
    unit_time: Option<(f64, Instant)>,
    /// Answers to the requests of this node.
    liveness: Liveness,
    failures: u32,
    paused_until: Option<Instant>,
    loading_until: BTreeMap<String, Instant>,
    cold: ColdState,
    budget: SendBudget,
}

/// One incarnation of an instance: its state and its connections.
#[derive(Debug)]
pub struct Instance {
    id: String,
    started_unix_ms: u64,
    address: SocketAddr,
    connections: ConnectionPool,
    in_flight: AtomicU32,
    gates: SendGates,
    state: Mutex<InstanceState>,
    /// True once a later incarnation is known.
    has_ended: watch::Sender<bool>,
}

impl InstanceState {
    fn recent_unit_time_ms(&self, now: Instant) -> Option<f64> {
        let (unit_time, at) = self.unit_time?;
        (now.saturating_duration_since(at) < UNIT_TIME_MAX_AGE).then_some(unit_time)
    }
}

/// Returns the reason to hold requests back from an instance whose limit is reached.
fn hold_reason(cold_status: ColdStatus) -> HoldReason {
    match cold_status {
        ColdStatus::Warm => HoldReason::SendRate,
        ColdStatus::Uncertain | ColdStatus::Cold => HoldReason::Cold,
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    instance: Arc<Instance>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.instance.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Instance {
    /// Creates an instance from its discovery record.
    pub fn new(discovered: DiscoveredInstance, gates: SendGates) -> Self {
        let mut cold = ColdState::default();
        cold.apply_discovery_record(Duration::from_millis(discovered.cold_ms), Instant::now());
        Self {
            id: discovered.id.clone(),
            started_unix_ms: discovered.started_unix_ms,
            address: discovered.address,
            has_ended: watch::Sender::new(false),
            connections: ConnectionPool::new(discovered.address),
            in_flight: AtomicU32::new(0),
            gates,
            state: Mutex::new(InstanceState {
                discovered,
                other_load: None,
                unit_time: None,
                liveness: Liveness::new(Instant::now()),
                failures: 0,
                paused_until: None,
                loading_until: BTreeMap::new(),
                cold,
                budget: SendBudget::default(),
            }),
        }
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the name of this incarnation, which is identical at all nodes.
    pub fn incarnation_name(&self) -> String {
        format!("{}@{}", self.id, self.started_unix_ms)
    }

    /// Returns its start in milliseconds since the epoch by its own clock; 0 if unknown.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Returns whether a report about the incarnation started at `started_unix_ms` is about this
    /// one. A start of 0 is unknown and matches any.
    pub fn matches_incarnation(&self, started_unix_ms: u64) -> bool {
        started_unix_ms == 0 || self.started_unix_ms == 0 || started_unix_ms == self.started_unix_ms
    }

    /// Records that a later incarnation is known, so that the runs here have ended.
    pub fn mark_ended(&self) {
        self.connections.close_idle();
        self.has_ended.send_replace(true);
    }

    /// Returns whether a later incarnation is known.
    pub fn has_ended(&self) -> bool {
        *self.has_ended.borrow()
    }

    /// Waits until a later incarnation is known.
    pub async fn wait_until_ended(&self) {
        let mut has_ended = self.has_ended.subscribe();
        // The sender lives as long as `self`.
        let _ = has_ended.wait_for(|has_ended| *has_ended).await;
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its connection pool.
    pub fn connections(&self) -> &ConnectionPool {
        &self.connections
    }

    /// Returns the last discovery record with the remaining cold time as of now.
    pub fn discovered(&self) -> DiscoveredInstance {
        let state = self.lock();
        let cold = state.cold.remaining_cold_time(Instant::now());
        DiscoveredInstance {
            cold_ms: cold.as_millis() as u64,
            ..state.discovered.clone()
        }
    }

    /// Returns whether it belongs to a service.
    pub fn belongs_to(&self, service: &str) -> bool {
        self.lock().discovered.service == service
    }

    /// Returns the name of its service.
    pub fn service(&self) -> String {
        self.lock().discovered.service.clone()
    }

    /// Returns the number of requests that it runs concurrently.
    pub fn slots(&self) -> u32 {
        self.lock().discovered.slots
    }

    /// Returns the zone that it runs in.
    pub fn zone(&self) -> String {
        self.lock().discovered.zone.clone()
    }

    /// Returns whether it accepts new work by its last discovery record.
    pub fn is_ready(&self) -> bool {
        self.lock().discovered.is_ready
    }

    /// Returns its weight versions by model.
    pub fn versions(&self) -> BTreeMap<String, u64> {
        self.lock().discovered.versions.clone()
    }

    /// Applies a discovery record. Weight versions never decrease within an incarnation.
    pub fn update(&self, mut discovered: DiscoveredInstance) {
        let mut state = self.lock();
        for (model, version) in &state.discovered.versions {
            let newer = discovered.versions.entry(model.clone()).or_insert(0);
            *newer = (*newer).max(*version);
        }
        let (cold, now) = (Duration::from_millis(discovered.cold_ms), Instant::now());
        if !cold.is_zero() && state.cold.remaining_cold_time(now).is_zero() {
            log::info!(
                "event=instance_cold instance={} remaining_ms={}",
                self.id,
                cold.as_millis()
            );
        }
        state.cold.apply_discovery_record(cold, now);
        if state.discovered.versions != discovered.versions {
            self.gates.weight_changes.count();
        }
        state.discovered = discovered;
    }

    /// Returns the last reported weight version of a model, 0 if none.
    pub fn version(&self, model: &str) -> u64 {
        let state = self.lock();
        state.discovered.versions.get(model).copied().unwrap_or(0)
    }

    /// Records a weight version that the instance reported.
    pub fn record_version(&self, model: &str, version: u64) {
        let mut state = self.lock();
        let versions = &mut state.discovered.versions;
        let entry = versions.entry(model.to_owned()).or_insert(0);
        if version > *entry {
            *entry = version;
            state.loading_until.remove(model);
            self.gates.weight_changes.count();
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        if self.in_flight.fetch_add(1, Ordering::Relaxed) == 0 {
            self.lock().liveness.record_first_request(Instant::now());
        }
        InFlightGuard {
            instance: Arc::clone(self),
        }
    }

    /// Returns the number of this node's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records a response or an event of a stream.
    pub fn record_activity(&self, now: Instant) {
        self.lock().liveness.record_answer(now);
    }

    /// Records that a request of this node was given up because the instance was silent.
    pub fn record_unanswered(&self, now: Instant) {
        self.lock().liveness.record_unanswered();
        self.record_failure(now);
    }

    /// Returns for how long requests of this node have had no response or event; zero if none is
    /// expected.
    pub fn silence(&self, now: Instant) -> Duration {
        self.lock().liveness.silence(self.in_flight(), now)
    }

    /// Returns whether the caller may probe the silent instance now. Limits the probes of all runs.
    pub fn start_probe(&self, now: Instant) -> bool {
        self.lock().liveness.start_probe(now)
    }

    /// Returns whether the instance answers the requests of this node.
    pub fn is_answering(&self, now: Instant) -> bool {
        self.lock().liveness.is_answering(self.in_flight(), now)
    }

    /// Records the load that came with a response.
    pub fn record_load(&self, load: Load, now: Instant) {
        let own = self.in_flight();
        let other_load = (load.running + load.waiting).saturating_sub(own);
        self.lock().other_load = Some((other_load, now));
    }

    /// Records the time that one unit of work took, in milliseconds.
    pub fn record_unit_time(&self, unit_time_ms: f64, now: Instant) {
        let mut state = self.lock();
        let unit_time = match state.unit_time {
            Some((unit_time, at)) if now.saturating_duration_since(at) < UNIT_TIME_MAX_AGE => {
                unit_time + (unit_time_ms - unit_time) * UNIT_TIME_WEIGHT
            }
            _ => unit_time_ms,
        };
        state.unit_time = Some((unit_time, now));
    }

    /// Records a complete response, which ends the pause after failures.
    pub fn record_success(&self) {
        let mut state = self.lock();
        state.failures = 0;
        state.paused_until = None;
    }

    /// Records a missing or broken response and pauses the instance, for longer with each failure.
    pub fn record_failure(&self, now: Instant) {
        let mut state = self.lock();
        let factor = 1u32 << state.failures.min(8);
        state.failures += 1;
        let pause = (INITIAL_PAUSE * factor).min(MAX_PAUSE);
        state.paused_until = Some(now + pause);
        // It may have restarted before discovery reports it.
        let is_changed = state.cold.record_disconnect();
        if is_changed && self.gates.cold.get(&state.discovered.service).is_some() {
            log::info!("event=instance_maybe_cold instance={}", self.id);
        }
    }

    /// Records a response, which shows that the instance is running.
    pub fn record_response(&self, now: Instant) {
        let mut state = self.lock();
        state.liveness.record_answer(now);
        let limit = self.gates.cold.get(&state.discovered.service);
        let time = limit.map_or(Duration::ZERO, |limit| limit.time);
        state.cold.record_response(now, time);
    }

    /// Records that it may have just become cold without reporting it.
    pub fn mark_possibly_cold(&self, now: Instant) {
        let mut state = self.lock();
        if let Some(limit) = self.gates.cold.get(&state.discovered.service) {
            state.cold.mark_uncertain(now, limit.time);
        }
    }

    /// Adds permits, valid until `until`, to send requests while it is cold.
    pub fn add_permits(&self, count: u32, until: Instant) {
        self.lock().budget.add_permits(count, until);
    }

    /// Marks a model as unavailable until `until`.
    pub fn mark_loading(&self, model: &str, until: Instant) {
        self.lock().loading_until.insert(model.to_owned(), until);
    }

    /// Checks whether it may be chosen for a request now.
    ///
    /// # Errors
    /// Returns the reason if it may not.
    pub fn check_send(&self, now: Instant) -> Result<(), HoldReason> {
        let mut state = self.lock();
        let Some(limit) = self.cold_limit(&state)? else {
            return Ok(());
        };
        let cold_status = self.cold_status(&state, &limit, now);
        if state.budget.has_capacity(cold_status, &limit, now) {
            Ok(())
        } else {
            Err(hold_reason(cold_status))
        }
    }

    /// Checks whether its zone is drained.
    ///
    /// # Errors
    /// Returns the reason if requests must not be sent there.
    pub fn check_drain(&self) -> Result<(), HoldReason> {
        let state = self.lock();
        self.gates.drained.may_send_to(&state.discovered.zone)
    }

    /// Reserves capacity for a request that is about to be sent.
    pub fn reserve_send(&self, now: Instant) {
        let mut state = self.lock();
        if let Ok(Some(_)) = self.cold_limit(&state) {
            state.budget.reserve(now);
        }
    }

    /// Acquires the right to send one request now, which consumes a permit if one is needed. `None`
    /// if no limit applies.
    ///
    /// # Errors
    /// Returns the reason if no request may be sent.
    pub fn acquire_send(&self, now: Instant) -> Result<Option<SendTicket>, HoldReason> {
        let mut state = self.lock();
        let Some(limit) = self.cold_limit(&state)? else {
            return Ok(None);
        };
        let cold_status = self.cold_status(&state, &limit, now);
        let ticket = state.budget.acquire(cold_status, &limit, now);
        ticket.map(Some).ok_or(hold_reason(cold_status))
    }

    /// Releases the right to send a request that was not sent.
    pub fn release_send(&self, ticket: Option<SendTicket>) {
        if let Some(ticket) = ticket {
            self.lock().budget.release(ticket);
        }
    }

    /// Returns its cold status. It counts as uncertain for a while after a drain, as it may have
    /// become cold meanwhile and its record may be late.
    fn cold_status(&self, state: &InstanceState, limit: &ColdLimit, now: Instant) -> ColdStatus {
        let drain_ended = self.gates.drained.ended_at(&state.discovered.zone);
        let is_recently_undrained =
            drain_ended.is_some_and(|at| now.saturating_duration_since(at) < limit.time);
        match state.cold.cold_status(now) {
            ColdStatus::Warm if is_recently_undrained => ColdStatus::Uncertain,
            cold_status => cold_status,
        }
    }

    /// Returns the limit for its requests, `None` if there is none.
    fn cold_limit(&self, state: &InstanceState) -> Result<Option<ColdLimit>, HoldReason> {
        self.gates.drained.may_send_to(&state.discovered.zone)?;
        Ok(self.gates.cold.get(&state.discovered.service))
    }

    /// Checks whether it is in an allowed region.
    ///
    /// # Errors
    /// `OtherRegion` if it is not.
    pub fn check_region(&self, allowed: &AllowedRegions) -> Result<(), HoldReason> {
        if self.is_within(allowed) {
            Ok(())
        } else {
            Err(HoldReason::OtherRegion)
        }
    }

    /// Returns whether it is in an allowed region.
    pub fn is_within(&self, allowed: &AllowedRegions) -> bool {
        let locality = &self.gates.locality;
        allowed.allows_all() || locality.is_within(&self.lock().discovered.zone, allowed)
    }

    /// Returns its distance from this node.
    pub fn distance(&self) -> Distance {
        self.gates
            .locality
            .distance_to(&self.lock().discovered.zone)
    }

    /// Returns whether it accepts new work for `model` (empty for any) now.
    pub fn is_usable(&self, model: &str, now: Instant) -> bool {
        let state = self.lock();
        let is_loading = state
            .loading_until
            .get(model)
            .is_some_and(|until| *until > now);
        let is_paused = state.paused_until.is_some_and(|until| until > now);
        state.discovered.is_ready && !is_loading && !is_paused
    }

    /// Returns the state that a choice is based on.
    pub fn candidate(&self, zone: &str, now: Instant) -> Candidate {
        let state = self.lock();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LOAD_MAX_AGE;
        let other_load = state
            .other_load
            .filter(|(_, at)| is_fresh(*at))
            .map_or(0, |(load, _)| load);
        Candidate {
            load: self.in_flight() + other_load,
            slots: state.discovered.slots,
            distance: self
                .gates
                .locality
                .regions
                .between_zones(zone, &state.discovered.zone),
            round_trip_ms: self.connections.round_trip_ms(),
            unit_time_ms: state.recent_unit_time_ms(now),
        }
    }

    /// Returns whether the caller's request, which is already counted, has a slot.
    pub fn has_free_slot(&self) -> bool {
        let candidate = self.candidate("", Instant::now());
        candidate.load <= candidate.slots
    }

    /// Returns the recent milliseconds per unit of work, `None` if unknown.
    pub fn recent_unit_time_ms(&self) -> Option<f64> {
        self.lock().recent_unit_time_ms(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, InstanceState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
