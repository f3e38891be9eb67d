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
use super::cold::{ColdLimit, ColdState, SendShare, SendTicket, Warmth};
use super::connection::Connections;
use super::gate::{HoldReason, SendGates};

/// Maximum age of a reported load.
const LOAD_TRUST: Duration = Duration::from_millis(500);

/// Weight of a new measurement in the moving average of the unit time.
const PACE_WEIGHT: f64 = 0.25;

/// Maximum age of a measured unit time.
const PACE_TRUST: Duration = Duration::from_secs(10);

/// Pause after the first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Pause for a model whose weights are being loaded, unless the instance reports them earlier.
pub const LOADING_PAUSE: Duration = Duration::from_millis(150);

/// An instance as described by its discovery record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Discovered {
    /// Id of the instance, which a later incarnation may reuse.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: String,
    /// Whether it accepts new work.
    pub is_ready: bool,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Start of this incarnation in milliseconds since the epoch by the instance's clock; 0 if
    /// unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_unix_ms: u64,
    /// Remaining time in milliseconds, as of the record, in which it handles few requests; 0 if it
    /// is not cold.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// Whether it may be withdrawn at short notice, with all such instances of its zone.
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

impl Discovered {
    /// Compares two records without weights and without the exact remaining times.
    pub fn is_same_without_weights(&self, other: &Self) -> bool {
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
struct Known {
    discovered: Discovered,
    /// Load from other nodes, which is the reported load less own requests, and when it was
    /// reported.
    others: Option<(u32, Instant)>,
    pace: Option<(f64, Instant)>,
    failures: u32,
    paused_until: Option<Instant>,
    loading_until: BTreeMap<String, Instant>,
    cold: ColdState,
    share: SendShare,
}

/// One incarnation of an instance: its state and its connections.
#[derive(Debug)]
pub struct Instance {
    id: String,
    started_unix_ms: u64,
    address: SocketAddr,
    connections: Connections,
    in_flight: AtomicU32,
    gates: SendGates,
    known: Mutex<Known>,
    /// Whether a later incarnation is known.
    has_ended: watch::Sender<bool>,
}

impl Known {
    fn recent_pace_ms(&self, now: Instant) -> Option<f64> {
        let (pace, at) = self.pace?;
        (now.saturating_duration_since(at) < PACE_TRUST).then_some(pace)
    }
}

/// Returns the reason to hold requests back from an instance whose limit is reached.
fn hold_reason(warmth: Warmth) -> HoldReason {
    match warmth {
        Warmth::Warm => HoldReason::SendRate,
        Warmth::Doubtful | Warmth::Cold => HoldReason::Cold,
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct RunGuard {
    instance: Arc<Instance>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.instance.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Instance {
    /// Creates an instance from its discovery record.
    pub fn new(discovered: Discovered, gates: SendGates) -> Self {
        let mut cold = ColdState::default();
        cold.told(Duration::from_millis(discovered.cold_ms), Instant::now());
        Self {
            id: discovered.id.clone(),
            started_unix_ms: discovered.started_unix_ms,
            address: discovered.address,
            has_ended: watch::Sender::new(false),
            connections: Connections::new(discovered.address),
            in_flight: AtomicU32::new(0),
            gates,
            known: Mutex::new(Known {
                discovered,
                others: None,
                pace: None,
                failures: 0,
                paused_until: None,
                loading_until: BTreeMap::new(),
                cold,
                share: SendShare::default(),
            }),
        }
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the name of this incarnation, which is the same at all nodes.
    pub fn start_name(&self) -> String {
        format!("{}@{}", self.id, self.started_unix_ms)
    }

    /// Returns its start in milliseconds since the epoch by its own clock; 0 if unknown.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Returns whether a report about the incarnation started at `started_unix_ms` is about this
    /// one. A start of 0 is unknown and matches any.
    pub fn is_start(&self, started_unix_ms: u64) -> bool {
        started_unix_ms == 0 || self.started_unix_ms == 0 || started_unix_ms == self.started_unix_ms
    }

    /// Records that a later incarnation is known, so that the runs here have ended.
    pub fn note_ended(&self) {
        self.connections.close_idle();
        self.has_ended.send_replace(true);
    }

    /// Returns whether a later incarnation is known.
    pub fn has_ended(&self) -> bool {
        *self.has_ended.borrow()
    }

    /// Waits until a later incarnation is known.
    pub async fn ended(&self) {
        let mut has_ended = self.has_ended.subscribe();
        // The sender lives as long as `self`.
        let _ = has_ended.wait_for(|has_ended| *has_ended).await;
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its connection pool.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Returns the last discovery record with the remaining cold time as of now.
    pub fn discovered(&self) -> Discovered {
        let known = self.lock();
        let cold = known.cold.remaining(Instant::now());
        Discovered {
            cold_ms: cold.as_millis() as u64,
            ..known.discovered.clone()
        }
    }

    /// Returns whether it belongs to a service.
    pub fn is_of(&self, service: &str) -> bool {
        self.lock().discovered.service == service
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
    pub fn update(&self, mut discovered: Discovered) {
        let mut known = self.lock();
        for (model, version) in &known.discovered.versions {
            let newer = discovered.versions.entry(model.clone()).or_insert(0);
            *newer = (*newer).max(*version);
        }
        let (cold, now) = (Duration::from_millis(discovered.cold_ms), Instant::now());
        if !cold.is_zero() && known.cold.remaining(now).is_zero() {
            log::info!(
                "event=instance_cold instance={} remaining_ms={}",
                self.id,
                cold.as_millis()
            );
        }
        known.cold.told(cold, now);
        known.discovered = discovered;
    }

    /// Returns the last reported weight version of a model, 0 if none.
    pub fn version(&self, model: &str) -> u64 {
        let known = self.lock();
        known.discovered.versions.get(model).copied().unwrap_or(0)
    }

    /// Records a weight version that the instance reported.
    pub fn note_version(&self, model: &str, version: u64) {
        let mut known = self.lock();
        let versions = &mut known.discovered.versions;
        let entry = versions.entry(model.to_owned()).or_insert(0);
        if version > *entry {
            *entry = version;
            known.loading_until.remove(model);
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> RunGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RunGuard {
            instance: Arc::clone(self),
        }
    }

    /// Returns the number of own requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records the load that came with a response.
    pub fn note_load(&self, load: Load, now: Instant) {
        let own = self.in_flight();
        let others = (load.running + load.waiting).saturating_sub(own);
        self.lock().others = Some((others, now));
    }

    /// Records the time that one unit of work took, in milliseconds.
    pub fn note_pace(&self, pace_ms: f64, now: Instant) {
        let mut known = self.lock();
        let pace = match known.pace {
            Some((pace, at)) if now.saturating_duration_since(at) < PACE_TRUST => {
                pace + (pace_ms - pace) * PACE_WEIGHT
            }
            _ => pace_ms,
        };
        known.pace = Some((pace, now));
    }

    /// Records a complete response, which ends the pause after failures.
    pub fn note_success(&self) {
        let mut known = self.lock();
        known.failures = 0;
        known.paused_until = None;
    }

    /// Records a missing or broken response and pauses the instance, for longer with each failure.
    pub fn note_failure(&self, now: Instant) {
        let mut known = self.lock();
        let factor = 1u32 << known.failures.min(8);
        known.failures += 1;
        let pause = (FIRST_PAUSE * factor).min(LONGEST_PAUSE);
        known.paused_until = Some(now + pause);
        // It may have restarted before discovery reports it.
        let is_news = known.cold.disconnected();
        if is_news && self.gates.cold.get(&known.discovered.service).is_some() {
            log::info!("event=instance_doubtful instance={}", self.id);
        }
    }

    /// Records that the instance responds, also after a failure.
    pub fn note_answer(&self, now: Instant) {
        let mut known = self.lock();
        let limit = self.gates.cold.get(&known.discovered.service);
        let time = limit.map_or(Duration::ZERO, |limit| limit.time);
        known.cold.answered(now, time);
    }

    /// Records that it may have just become cold without reporting it.
    pub fn suspect_cold(&self, now: Instant) {
        let mut known = self.lock();
        if let Some(limit) = self.gates.cold.get(&known.discovered.service) {
            known.cold.suspected(now, limit.time);
        }
    }

    /// Adds permits, valid until `until`, to send requests while it is cold.
    pub fn add_permits(&self, count: u32, until: Instant) {
        self.lock().share.add_permits(count, until);
    }

    /// Marks a model as unavailable until `until`.
    pub fn note_loading(&self, model: &str, until: Instant) {
        self.lock().loading_until.insert(model.to_owned(), until);
    }

    /// Checks whether it may be chosen for a request now.
    ///
    /// # Errors
    /// Returns the reason if it may not.
    pub fn may_send(&self, now: Instant) -> Result<(), HoldReason> {
        let mut known = self.lock();
        let Some(limit) = self.send_limit(&known)? else {
            return Ok(());
        };
        let warmth = self.warmth(&known, &limit, now);
        if known.share.has_room(warmth, &limit, now) {
            Ok(())
        } else {
            Err(hold_reason(warmth))
        }
    }

    /// Checks whether its zone is drained.
    ///
    /// # Errors
    /// Returns the reason if requests must not be sent there.
    pub fn drain_gate(&self) -> Result<(), HoldReason> {
        let known = self.lock();
        self.gates.drained.may_send_to(&known.discovered.zone)
    }

    /// Reserves capacity for a request that is about to be sent.
    pub fn reserve_send(&self, now: Instant) {
        let mut known = self.lock();
        if let Ok(Some(_)) = self.send_limit(&known) {
            known.share.reserve(now);
        }
    }

    /// Acquires the right to send one request now, which consumes a permit if one is needed. `None`
    /// if no limit applies.
    ///
    /// # Errors
    /// Returns the reason if no request may be sent.
    pub fn take_send(&self, now: Instant) -> Result<Option<SendTicket>, HoldReason> {
        let mut known = self.lock();
        let Some(limit) = self.send_limit(&known)? else {
            return Ok(None);
        };
        let warmth = self.warmth(&known, &limit, now);
        let ticket = known.share.take(warmth, &limit, now);
        ticket.map(Some).ok_or(hold_reason(warmth))
    }

    /// Releases the right to send a request that was not sent.
    pub fn give_back_send(&self, ticket: Option<SendTicket>) {
        if let Some(ticket) = ticket {
            self.lock().share.give_back(ticket);
        }
    }

    /// Returns its cold status. It counts as uncertain for a while after a drain, as it may have
    /// become cold meanwhile and its record may be late.
    fn warmth(&self, known: &Known, limit: &ColdLimit, now: Instant) -> Warmth {
        let drain_ended = self.gates.drained.ended_at(&known.discovered.zone);
        let is_just_back =
            drain_ended.is_some_and(|at| now.saturating_duration_since(at) < limit.time);
        match known.cold.warmth(now) {
            Warmth::Warm if is_just_back => Warmth::Doubtful,
            warmth => warmth,
        }
    }

    /// Returns the limit for its requests, `None` if there is none.
    fn send_limit(&self, known: &Known) -> Result<Option<ColdLimit>, HoldReason> {
        self.gates.drained.may_send_to(&known.discovered.zone)?;
        Ok(self.gates.cold.get(&known.discovered.service))
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
        allowed.is_all() || locality.is_within(&self.lock().discovered.zone, allowed)
    }

    /// Returns its distance from this node.
    pub fn distance(&self) -> Distance {
        self.gates
            .locality
            .distance_to(&self.lock().discovered.zone)
    }

    /// Returns whether it accepts new work for `model` (empty for any) now.
    pub fn is_usable(&self, model: &str, now: Instant) -> bool {
        let known = self.lock();
        let is_loading = known
            .loading_until
            .get(model)
            .is_some_and(|until| *until > now);
        let is_paused = known.paused_until.is_some_and(|until| until > now);
        known.discovered.is_ready && !is_loading && !is_paused
    }

    /// Returns the state that a choice is based on.
    pub fn candidate(&self, zone: &str, now: Instant) -> Candidate {
        let known = self.lock();
        let fresh = |at: Instant| now.saturating_duration_since(at) < LOAD_TRUST;
        let others = known
            .others
            .filter(|(_, at)| fresh(*at))
            .map_or(0, |(load, _)| load);
        Candidate {
            load: self.in_flight() + others,
            slots: known.discovered.slots,
            distance: self
                .gates
                .locality
                .regions
                .between_zones(zone, &known.discovered.zone),
            round_trip_ms: self.connections.round_trip_ms(),
            pace_ms: known.recent_pace_ms(now),
        }
    }

    /// Returns whether the caller's request, which is already counted, has a slot.
    pub fn has_free_slot(&self) -> bool {
        let candidate = self.candidate("", Instant::now());
        candidate.load <= candidate.slots
    }

    /// Returns the recent milliseconds per unit of work, `None` if unknown.
    pub fn recent_pace_ms(&self) -> Option<f64> {
        self.lock().recent_pace_ms(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
