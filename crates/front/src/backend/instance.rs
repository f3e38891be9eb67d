//! One instance of a service.

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

/// How long a load that the instance told counts.
const LOAD_TRUST: Duration = Duration::from_millis(500);

/// Weight of a new pace against the known one.
const PACE_WEIGHT: f64 = 0.25;

/// How long a pace counts without a newer one.
const PACE_TRUST: Duration = Duration::from_secs(10);

/// First pause after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Pause for a model whose weights are being loaded, unless the instance is heard to have them earlier.
pub const LOADING_PAUSE: Duration = Duration::from_millis(150);

/// An instance as discovery tells of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveredInstance {
    /// Its id.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
    /// It takes new work.
    pub is_ready: bool,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// When this start of it began, in milliseconds since the epoch by its own clock; 0: unknown. The id may come back with a later one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_unix_ms: u64,
    /// How much longer it bears few requests after its start, in milliseconds as of the record; 0: it bears all that it has slots for.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// It may be taken away at short notice, with all such instances of its zone.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_preemptible: bool,
    /// Milliseconds until it is taken away as of the record; `None`: not announced.
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
    /// Whether another word about the instance tells the same, weights left out.
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
            // How much longer differs with each word.
            && (*cold_ms == 0) == (other.cold_ms == 0)
            && *is_preemptible == other.is_preemptible
            && leaves_ms.is_none() == other.leaves_ms.is_none()
    }
}

/// Load that an instance told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs side by side.
    pub slots: u32,
}

#[derive(Debug)]
struct Known {
    discovered: DiscoveredInstance,
    /// Load of others: what was told less own requests then, and when.
    others: Option<(u32, Instant)>,
    pace: Option<(f64, Instant)>,
    failures: u32,
    paused_until: Option<Instant>,
    loading_until: BTreeMap<String, Instant>,
    cold: ColdState,
    share: SendShare,
}

/// One instance: what is known of it, and the connections to it.
#[derive(Debug)]
pub struct Instance {
    id: String,
    started_unix_ms: u64,
    address: SocketAddr,
    connections: Connections,
    in_flight: AtomicU32,
    gates: SendGates,
    known: Mutex<Known>,
    /// A later start of it is known.
    has_ended: watch::Sender<bool>,
}

impl Known {
    fn recent_unit_time_ms(&self, now: Instant) -> Option<f64> {
        let (pace, at) = self.pace?;
        (now.saturating_duration_since(at) < PACE_TRUST).then_some(pace)
    }
}

/// Why an instance whose limit is reached gets no request.
fn hold_reason(warmth: Warmth) -> HoldReason {
    match warmth {
        Warmth::Warm => HoldReason::SendRate,
        Warmth::Doubtful | Warmth::Cold => HoldReason::Cold,
    }
}

/// Counts a request at the instance until it is dropped.
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
    /// A newly discovered instance that gets requests as the gates allow.
    pub fn new(discovered: DiscoveredInstance, gates: SendGates) -> Self {
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

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Name of this start of the instance, the same at all nodes: an id may come back with a later start.
    pub fn start_name(&self) -> String {
        format!("{}@{}", self.id, self.started_unix_ms)
    }

    /// When it started, in milliseconds since the epoch by its own clock; 0: unknown.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Whether a word about the start at `started_unix_ms` is about this one; 0: unknown, as from instances that do not tell.
    pub fn matches_incarnation(&self, started_unix_ms: u64) -> bool {
        started_unix_ms == 0 || self.started_unix_ms == 0 || started_unix_ms == self.started_unix_ms
    }

    /// Notes that a later start of it is known: whatever runs here has ended.
    pub fn note_ended(&self) {
        self.connections.close_idle();
        self.has_ended.send_replace(true);
    }

    /// Whether a later start of it is known.
    pub fn has_ended(&self) -> bool {
        *self.has_ended.borrow()
    }

    /// Returns once a later start of it is known.
    pub async fn ended(&self) {
        let mut has_ended = self.has_ended.subscribe();
        // The sender lives as long as this instance.
        let _ = has_ended.wait_for(|has_ended| *has_ended).await;
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections to it.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// What discovery told last; how much longer it is cold is as of now.
    pub fn discovered(&self) -> DiscoveredInstance {
        let known = self.lock();
        let cold = known.cold.remaining(Instant::now());
        DiscoveredInstance {
            cold_ms: cold.as_millis() as u64,
            ..known.discovered.clone()
        }
    }

    /// Whether it belongs to a service.
    pub fn is_of(&self, service: &str) -> bool {
        self.lock().discovered.service == service
    }

    /// Zone it runs in.
    pub fn zone(&self) -> String {
        self.lock().discovered.zone.clone()
    }

    /// Whether it takes new work, as discovery told last.
    pub fn is_ready(&self) -> bool {
        self.lock().discovered.is_ready
    }

    /// Weight versions that it has, by model.
    pub fn versions(&self) -> BTreeMap<String, u64> {
        self.lock().discovered.versions.clone()
    }

    /// Takes what discovery tells now. Weight versions only rise within one start.
    pub fn update(&self, mut discovered: DiscoveredInstance) {
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

    /// Weight version of a model as last heard; 0: none.
    pub fn version(&self, model: &str) -> u64 {
        let known = self.lock();
        known.discovered.versions.get(model).copied().unwrap_or(0)
    }

    /// Notes a weight version that the instance told.
    pub fn record_version(&self, model: &str, version: u64) {
        let mut known = self.lock();
        let versions = &mut known.discovered.versions;
        let entry = versions.entry(model.to_owned()).or_insert(0);
        if version > *entry {
            *entry = version;
            known.loading_until.remove(model);
        }
    }

    /// Counts one more request until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> RunGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RunGuard {
            instance: Arc::clone(self),
        }
    }

    /// Own requests there now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Notes the load that came with an answer.
    pub fn note_load(&self, load: Load, now: Instant) {
        let own = self.in_flight();
        let others = (load.running + load.waiting).saturating_sub(own);
        self.lock().others = Some((others, now));
    }

    /// Notes the time that one unit of work took, in milliseconds.
    pub fn record_unit_time(&self, unit_time_ms: f64, now: Instant) {
        let mut known = self.lock();
        let pace = match known.pace {
            Some((pace, at)) if now.saturating_duration_since(at) < PACE_TRUST => {
                pace + (unit_time_ms - pace) * PACE_WEIGHT
            }
            _ => unit_time_ms,
        };
        known.pace = Some((pace, now));
    }

    /// Notes a whole answer.
    pub fn record_success(&self) {
        let mut known = self.lock();
        known.failures = 0;
        known.paused_until = None;
    }

    /// Notes that no answer came, or a broken one: the instance gets a pause that grows.
    pub fn record_failure(&self, now: Instant) {
        let mut known = self.lock();
        let factor = 1u32 << known.failures.min(8);
        known.failures += 1;
        let pause = (FIRST_PAUSE * factor).min(LONGEST_PAUSE);
        known.paused_until = Some(now + pause);
        // It may have ended, and come back before discovery tells.
        let is_news = known.cold.disconnected();
        if is_news && self.gates.cold.get(&known.discovered.service).is_some() {
            log::info!("event=instance_maybe_cold instance={}", self.id);
        }
    }

    /// Notes that it answers: it runs, also if it failed before.
    pub fn note_answer(&self, now: Instant) {
        let mut known = self.lock();
        let limit = self.gates.cold.get(&known.discovered.service);
        let time = limit.map_or(Duration::ZERO, |limit| limit.time);
        known.cold.answered(now, time);
    }

    /// Notes that it may have turned cold just now without a word of it.
    pub fn suspect_cold(&self, now: Instant) {
        let mut known = self.lock();
        if let Some(limit) = self.gates.cold.get(&known.discovered.service) {
            known.cold.suspected(now, limit.time);
        }
    }

    /// Takes permits to send requests to it while it is cold, good until `until`.
    pub fn add_permits(&self, count: u32, until: Instant) {
        self.lock().share.add_permits(count, until);
    }

    /// Notes that a model cannot be used there for a moment.
    pub fn mark_loading(&self, model: &str, until: Instant) {
        self.lock().loading_until.insert(model.to_owned(), until);
    }

    /// Whether it may be chosen for a request now.
    ///
    /// # Errors
    /// Why it is to get none.
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

    /// Whether drains let a request be sent to its zone.
    ///
    /// # Errors
    /// Why it is to get none.
    pub fn check_drain(&self) -> Result<(), HoldReason> {
        let known = self.lock();
        self.gates.drained.may_send_to(&known.discovered.zone)
    }

    /// Notes that it was chosen for a request, which is sent soon or not at all.
    pub fn reserve_send(&self, now: Instant) {
        let mut known = self.lock();
        if let Ok(Some(_)) = self.send_limit(&known) {
            known.share.reserve(now);
        }
    }

    /// Takes the right to send one request now, which uses up a permit if one is needed; `None` where no limit is in force.
    ///
    /// # Errors
    /// Why it is to get none.
    pub fn take_send(&self, now: Instant) -> Result<Option<SendTicket>, HoldReason> {
        let mut known = self.lock();
        let Some(limit) = self.send_limit(&known)? else {
            return Ok(None);
        };
        let warmth = self.warmth(&known, &limit, now);
        let ticket = known.share.take(warmth, &limit, now);
        ticket.map(Some).ok_or(hold_reason(warmth))
    }

    /// Takes back the right to send a request that was not sent.
    pub fn give_back_send(&self, ticket: Option<SendTicket>) {
        if let Some(ticket) = ticket {
            self.lock().share.give_back(ticket);
        }
    }

    /// How it is to be treated. It may have turned cold while its zone was drained, and its record may say so only later.
    fn warmth(&self, known: &Known, limit: &ColdLimit, now: Instant) -> Warmth {
        let drain_ended = self.gates.drained.ended_at(&known.discovered.zone);
        let is_just_back =
            drain_ended.is_some_and(|at| now.saturating_duration_since(at) < limit.time);
        match known.cold.warmth(now) {
            Warmth::Warm if is_just_back => Warmth::Doubtful,
            warmth => warmth,
        }
    }

    /// The limit of the requests to it; `None`: there is none.
    fn send_limit(&self, known: &Known) -> Result<Option<ColdLimit>, HoldReason> {
        self.gates.drained.may_send_to(&known.discovered.zone)?;
        Ok(self.gates.cold.get(&known.discovered.service))
    }

    /// Whether a request that may be served in these regions may be sent to it.
    ///
    /// # Errors
    /// It lies in another one.
    pub fn check_region(&self, allowed: &AllowedRegions) -> Result<(), HoldReason> {
        if self.is_within(allowed) {
            Ok(())
        } else {
            Err(HoldReason::OtherRegion)
        }
    }

    /// Whether it lies in an allowed region.
    pub fn is_within(&self, allowed: &AllowedRegions) -> bool {
        let locality = &self.gates.locality;
        allowed.is_all() || locality.is_within(&self.lock().discovered.zone, allowed)
    }

    /// How far it is from this node.
    pub fn distance(&self) -> Distance {
        self.gates
            .locality
            .distance_to(&self.lock().discovered.zone)
    }

    /// Whether the instance takes new work for `model` (empty: any) now.
    pub fn is_usable(&self, model: &str, now: Instant) -> bool {
        let known = self.lock();
        let is_loading = known
            .loading_until
            .get(model)
            .is_some_and(|until| *until > now);
        let is_paused = known.paused_until.is_some_and(|until| until > now);
        known.discovered.is_ready && !is_loading && !is_paused
    }

    /// What the choice is made from.
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
            unit_time_ms: known.recent_unit_time_ms(now),
        }
    }

    /// Whether, by what is known, one more request would run at once, the one that asks left out.
    pub fn has_free_slot(&self) -> bool {
        let candidate = self.candidate("", Instant::now());
        candidate.load <= candidate.slots
    }

    /// Recent milliseconds per unit of work; `None` while unknown.
    pub fn recent_unit_time_ms(&self) -> Option<f64> {
        self.lock().recent_unit_time_ms(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
