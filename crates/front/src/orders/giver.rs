//! The node that gives orders: holds a lease, proves it by the steady clock, and stops by itself.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, StatusCode};

use super::plan::{Assignment, FleetInstance, ModelDemand, Planned, plan};
use crate::backend::{AnswerId, BackendTable, Instance, RequestHead, send};
use crate::config::ConfigInForce;
use crate::coordination::{Coordination, CoordinationError, LeaseId, SwapResult};
use crate::dialect::{InstanceCall, InstanceReport, SharedCodec, VersionOrder};
use crate::metrics::Metrics;
use crate::nodes::Nodes;

/// The record that names the giver.
const GIVER_KEY: &str = "ladderstage/orders/giver";

/// How long the lease outlives its holder. Shorter than the time for which a new holder of another node keeps quiet.
const GIVER_LEASE: Duration = Duration::from_millis(1_200);

/// Renewals per lease time.
const RENEWALS_PER_LEASE: u32 = 3;

/// Between looks at what is to be ordered.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// How long an instance that took an order is left alone.
const LOAD_TIME: Duration = Duration::from_millis(920);

/// How long an instance is left alone whose answer to an order was lost.
const DOUBT_TIME: Duration = Duration::from_millis(1_500);

/// Longest wait for a report or an answer to an order.
const CALL_LIMIT: Duration = Duration::from_millis(600);

/// Instances that load at once without slowing each other down.
const MOST_LOADING: usize = 2;

/// A version and when this process heard of it.
#[derive(Debug, Clone, Copy)]
struct Named {
    version: u64,
    heard_at: Instant,
}

/// Newest version named for each model. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct VersionsNamed {
    versions: Arc<Mutex<BTreeMap<String, Named>>>,
}

impl VersionsNamed {
    /// Notes a version; versions only rise.
    pub fn note(&self, model: &str, version: u64) {
        let mut versions = lock(&self.versions);
        if versions
            .get(model)
            .is_some_and(|named| named.version >= version)
        {
            return;
        }
        log::info!("event=version_named model={model} version={version}");
        let heard_at = Instant::now();
        versions.insert(model.to_owned(), Named { version, heard_at });
    }

    fn demands(&self) -> Vec<ModelDemand> {
        let versions = lock(&self.versions);
        let demands = versions.iter();
        demands
            .map(|(model, named)| ModelDemand {
                model: model.clone(),
                newest: named.version,
                named_for: named.heard_at.elapsed(),
                weight: 1.0,
            })
            .collect()
    }
}

/// Times of the lease.
#[derive(Debug, Clone, Copy)]
pub struct OrderOptions {
    /// Least time between orders of givers at two nodes.
    pub quiet: Duration,
}

/// Gives orders while this node holds the lease.
pub struct OrderGiver {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// This node.
    pub nodes: Nodes,
    /// Instances.
    pub backends: BackendTable,
    /// Services and their models.
    pub config: ConfigInForce,
    /// Versions wanted.
    pub versions: VersionsNamed,
    /// Names.
    pub codec: SharedCodec,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Times.
    pub options: OrderOptions,
}

/// A lease that this node holds.
struct Held {
    lease: LeaseId,
    /// Rises with each holder.
    fence: u64,
    /// Until when the lease certainly lasts, by the steady clock from the send of the last renewal.
    proven_until: Instant,
    /// The last holder may have given an order shortly before.
    quiet_until: Instant,
}

/// What a holder remembers of its orders.
#[derive(Default)]
struct Given {
    /// Instances that are to be left alone, and until when.
    pauses: HashMap<String, Instant>,
    assignment: Assignment,
}

impl OrderGiver {
    /// Takes the lease whenever it is free, and gives orders while it lasts, for as long as the future is polled.
    pub async fn run(&self) {
        loop {
            match self.take().await {
                Ok(Some(held)) => self.hold(held).await,
                Ok(None) => self.wait_until_free().await,
                Err(error) => log::warn!("event=giver_lease_not_taken cause=\"{error}\""),
            }
            let pause = GIVER_LEASE / RENEWALS_PER_LEASE;
            tokio::time::sleep(ladderstage_journal::jitter::jittered(pause)).await;
        }
    }

    async fn take(&self) -> Result<Option<Held>, CoordinationError> {
        if !self.has_models() {
            return Ok(None);
        }
        let own = self.nodes.own().node.into_bytes();
        let record = self.coordination.get(GIVER_KEY).await?;
        // A record of this node is of an earlier process: the same holder, which cannot give orders any more.
        let is_own = record.as_ref().is_some_and(|record| record.value == own);
        if record.is_some() && !is_own {
            return Ok(None);
        }
        let expected = record.map_or(0, |record| record.revision);
        let quiet = if is_own {
            Duration::ZERO
        } else {
            self.options.quiet
        };
        let asked_at = Instant::now();
        let lease = self.coordination.grant(GIVER_LEASE).await?;
        let swapped = self
            .coordination
            .swap(GIVER_KEY, expected, own, Some(lease));
        match swapped.await? {
            SwapResult::Won { revision } => {
                log::info!("event=giver_lease_gained lease={lease} fence={revision}");
                Ok(Some(Held {
                    lease,
                    fence: revision,
                    proven_until: asked_at + GIVER_LEASE,
                    quiet_until: Instant::now() + quiet,
                }))
            }
            SwapResult::Lost(_) => {
                let _ = self.coordination.revoke(lease).await;
                Ok(None)
            }
        }
    }

    /// Whether any service holds models; the lease is taken before the first version is named.
    fn has_models(&self) -> bool {
        let config = self.config.current();
        config.is_some_and(|config| {
            config
                .services
                .values()
                .any(|service| !service.models.is_empty())
        })
    }

    /// Waits for the holder's record to go, by a watch that costs one call a change.
    async fn wait_until_free(&self) {
        let Ok(listing) = self.coordination.list(GIVER_KEY).await else {
            return;
        };
        if !listing.records.is_empty() {
            let _ = self.coordination.watch(GIVER_KEY, listing.at).await;
        }
    }

    async fn hold(&self, mut held: Held) {
        let mut given = Given::default();
        let mut renew_at = Instant::now() + GIVER_LEASE / RENEWALS_PER_LEASE;
        loop {
            let now = Instant::now();
            if now >= held.proven_until {
                log::warn!(
                    "event=giver_lease_lost fence={} reason=unproven",
                    held.fence
                );
                return;
            }
            if now >= renew_at {
                renew_at = now + GIVER_LEASE / RENEWALS_PER_LEASE;
                match self.coordination.renew(held.lease).await {
                    Ok(()) => held.proven_until = now + GIVER_LEASE,
                    Err(CoordinationError::LeaseOver) => {
                        log::warn!("event=giver_lease_lost fence={} reason=over", held.fence);
                        return;
                    }
                    Err(error) => {
                        log::warn!("event=giver_lease_not_renewed cause=\"{error}\"");
                        renew_at = now + LOOK_INTERVAL * 4;
                    }
                }
            }
            if now >= held.quiet_until {
                self.give_next(&held, &mut given).await;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Gives the next orders, as many as may load at once.
    async fn give_next(&self, held: &Held, given: &mut Given) {
        let now = Instant::now();
        given.pauses.retain(|_, until| *until > now);
        let demands = self.versions.demands();
        let instances = self.fleet();
        let fleet: Vec<FleetInstance> = instances
            .iter()
            .map(|instance| FleetInstance {
                id: instance.id().to_owned(),
                versions: instance.discovered().versions,
                load: instance.candidate("", now).load,
                is_busy: given.pauses.contains_key(instance.id()),
            })
            .collect();
        given.assignment.update(&demands, &fleet);
        let loading = given.pauses.len();
        let planned = plan(&demands, &given.assignment, &fleet, loading, MOST_LOADING);
        let Some(planned) = planned else {
            return;
        };
        let Some(instance) = instances.iter().find(|one| one.id() == planned.instance) else {
            return;
        };
        let pause = self.give(held, instance, &planned).await;
        given
            .pauses
            .insert(planned.instance, Instant::now() + pause);
    }

    /// Ready instances of the services that hold models.
    fn fleet(&self) -> Vec<Arc<Instance>> {
        let Some(config) = self.config.current() else {
            return Vec::new();
        };
        let services = config.services.iter();
        services
            .filter(|(_, service)| !service.models.is_empty())
            .flat_map(|(name, _)| self.backends.of_service(name))
            .filter(|instance| instance.discovered().is_ready)
            .collect()
    }

    /// Gives one order; returns how long the instance is to be left alone.
    async fn give(&self, held: &Held, instance: &Arc<Instance>, planned: &Planned) -> Duration {
        let report = match self.report(instance).await {
            Ok(report) => report,
            Err(cause) => {
                log::warn!(
                    "event=report_failed instance={} cause=\"{cause}\"",
                    instance.id()
                );
                return DOUBT_TIME;
            }
        };
        for (model, version) in &report.versions {
            instance.note_version(model, *version);
        }
        if report.busy || instance.version(&planned.model) >= planned.version {
            return LOOK_INTERVAL * 4;
        }
        if Instant::now() + CALL_LIMIT >= held.proven_until {
            return LOOK_INTERVAL;
        }
        let order = VersionOrder {
            model: planned.model.clone(),
            version: planned.version,
            keeps_runs: true,
            holder: self.nodes.own().node,
            fence: held.fence,
            expected_sequence: report.order_sequence,
        };
        let outcome = self.call(instance, self.codec.order_call(&order)).await;
        let (label, pause) = match &outcome {
            Ok((status, _)) if status.is_success() => ("taken", LOAD_TIME),
            Ok(_) => ("refused", LOOK_INTERVAL * 10),
            Err(_) => ("in_doubt", DOUBT_TIME),
        };
        if label == "taken" {
            instance.note_loading(&planned.model, Instant::now() + LOAD_TIME);
        }
        self.metrics.orders.with_label_values(&[label]).inc();
        log::info!(
            "event=order_given instance={} model={} version={} had={} fence={} expected={} outcome={label} status={}",
            instance.id(),
            planned.model,
            planned.version,
            instance.version(&planned.model),
            held.fence,
            report.order_sequence,
            outcome.map_or(0, |(status, _)| status.as_u16())
        );
        pause
    }

    async fn report(&self, instance: &Arc<Instance>) -> Result<InstanceReport, String> {
        let (status, body) = self.call(instance, self.codec.report_call()).await?;
        if status != StatusCode::OK {
            return Err(format!("status {}", status.as_u16()));
        }
        self.codec.read_report(&body)
    }

    async fn call(
        &self,
        instance: &Arc<Instance>,
        call: InstanceCall,
    ) -> Result<(StatusCode, bytes::Bytes), String> {
        let names = self.codec.headers();
        let id = format!("{:016x}", rand::random::<u64>());
        let attempt_id = HeaderValue::from_str(&id).map_err(|error| error.to_string())?;
        let mut headers = HeaderMap::new();
        let host = instance.address().to_string();
        let host = HeaderValue::from_str(&host).map_err(|error| error.to_string())?;
        headers.insert(http::header::HOST, host);
        headers.insert(names.attempt_id.clone(), attempt_id.clone());
        let expected = HeaderValue::from_str(instance.id()).map_err(|error| error.to_string())?;
        headers.insert(names.expect_instance.clone(), expected);
        if !call.body.is_empty() {
            let json = HeaderValue::from_static("application/json");
            headers.insert(http::header::CONTENT_TYPE, json);
        }
        let head = RequestHead {
            method: call.method,
            uri: call.path.parse().map_err(|_| "path".to_owned())?,
            headers,
        };
        let exchange = async {
            let sent = send(
                instance,
                names,
                &head,
                &call.body,
                &attempt_id,
                AnswerId::Optional,
            )
            .await;
            let reply = sent.map_err(|error| error.to_string())?;
            let whole = reply.read_whole(1 << 20).await;
            whole
                .map(|(status, _, body)| (status, body))
                .map_err(|error| error.to_string())
        };
        tokio::time::timeout(CALL_LIMIT, exchange)
            .await
            .map_err(|_| "no answer in time".to_owned())?
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
