//! Handles requests of other nodes about this node's jobs, and takeovers of jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage_clock::Instant;
use ladderstage_transport::HeldResponse;
use ladderstage_wire::compression::compress;
use ladderstage_wire::encode;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    Demand, Done, EndJob, InstancePace, JobBody, JobResults, JobSpec, ModelWork, ReadJob,
    ReadJobBody, Refused, Response, ShardNotice, WeightNews,
};

use super::local_job::Job;
use super::lock::lock;
use super::reading::{
    JobError, end_local_job, local_item_body, read_local_job, results_answer, text_bytes,
    unavailable,
};
use super::registry::JobRegistry;
use super::{LOG_PREFIX, log_name};
use crate::memory::{LARGE_CONTENT_BYTES, Reservation};
use crate::orders::LoadLimit;

/// Jobs accepted within this time count towards the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// Copies of the texts of a page while its answer is built: as texts, encoded and compressed.
const RESULT_COPIES: usize = 3;

/// Copies of an item's body while its answer is written: as a message and encoded.
const BODY_COPIES: usize = 2;

/// Expected tokens of an item whose client gave no estimate.
const DEFAULT_TOKENS: u64 = 1_000;

impl JobRegistry {
    /// Returns the work that this node accepted recently, by model, and its instances' event
    /// intervals.
    pub fn demand(&self) -> Demand {
        let mut work = BTreeMap::<String, ModelWork>::new();
        for job in lock(&self.shared.jobs).values() {
            if job.opened_at.elapsed() < DEMAND_WINDOW
                && let Some(spec) = job.state().spec()
            {
                let of_model = work.entry(spec.model.clone()).or_default();
                let items = spec.items.len() as u64;
                of_model.tokens += expected_tokens(spec);
                of_model.items += items;
                of_model.largest_job = of_model.largest_job.max(items);
            }
        }
        let work = work.into_iter().map(|(model, work)| ModelWork {
            longest_events: self.context.lengths.longest(&model),
            model,
            ..work
        });
        Demand {
            work: work.collect(),
            paces: self.event_intervals(),
        }
    }

    /// Returns the recent event intervals of the instances that serve models.
    fn event_intervals(&self) -> Vec<InstancePace> {
        let Some(config) = self.context.config.current() else {
            return Vec::new();
        };
        let services = config.services.iter();
        let instances = services
            .filter(|(_, service)| !service.models.is_empty())
            .flat_map(|(name, _)| self.context.backends.instances_of(name));
        let known = instances.filter_map(|instance| {
            let interval_ms = instance.recent_unit_time_ms()?;
            Some(InstancePace {
                instance: instance.id().to_owned(),
                event_micros: (interval_ms * 1e3) as u64,
            })
        });
        known.collect()
    }

    /// Answers another node's request about jobs.
    pub async fn handle(&self, request: RequestKind) -> HeldResponse {
        let mut memory = self.context.memory.reservation("peer_results");
        let kind = match request {
            RequestKind::read_job(request) => self.handle_read(request, &mut memory).await,
            RequestKind::read_job_body(request) => self.handle_body(request, &mut memory).await,
            RequestKind::end_job(request) => self.handle_end(request).await,
            RequestKind::take_kept_texts(request) => {
                let texts = self.take_kept_texts(request).await;
                ResponseKind::packed_kept_texts(compress(&encode(&texts)))
            }
            RequestKind::weight_news(news) => {
                self.apply_weight_updates(&news);
                ResponseKind::done(Done {})
            }
            RequestKind::accept_job(request) => self.handle_accept(request).await,
            RequestKind::giver_end(end) => {
                self.context.former_leaders.record(&end, Instant::now());
                ResponseKind::done(Done {})
            }
            RequestKind::read_demand(_) => ResponseKind::demand(self.demand()),
            RequestKind::shard_notice(notice) => {
                if notice.from_owner {
                    self.take_over_logs(&notice);
                } else {
                    self.on_orphaned_logs(notice.logs);
                }
                ResponseKind::done(Done {})
            }
            _ => refused(Reason::MALFORMED, "request does not concern jobs"),
        };
        HeldResponse::new(Response { kind }, memory)
    }

    /// Applies the order leader's update on the weights of instances.
    fn apply_weight_updates(&self, news: &WeightNews) {
        let now = Instant::now();
        for update in &news.instances {
            let instance = self.context.backends.get(&update.instance);
            let Some(instance) =
                instance.filter(|instance| instance.matches_incarnation(update.started_unix_ms))
            else {
                continue;
            };
            if update.loading_ms > 0 {
                let until = now + Duration::from_millis(update.loading_ms);
                instance.mark_loading(&update.model, until);
            } else {
                instance.record_version(&update.model, update.version);
            }
        }
        if news.usual_load_ms > 0 {
            let typical = Duration::from_millis(news.usual_load_ms);
            let limit = news.load_limit as usize;
            let limit = LoadLimit::from_learned(limit, typical, news.limit_is_near);
            self.context.learned_load_limit.record(&limit);
        }
        self.context.backends.notify();
    }

    async fn handle_read(&self, request: ReadJob, memory: &mut Reservation) -> ResponseKind {
        let ReadJob { job, after, .. } = &request;
        let wait = Duration::from_millis(request.wait_ms);
        let read = if request.anywhere {
            self.read_here_or_at_owner(job, *after, wait).await
        } else {
            match self.local_or_refusal(job) {
                Ok(job) if request.acceptance_only => Ok(read_local_job(&job, *after, wait).await),
                Ok(job) => self.read_here(&job, *after, wait).await,
                Err(refused) => return ResponseKind::refused(refused),
            }
        };
        match read {
            Ok(results) => {
                let takes_compressed = request.takes_compressed;
                self.results_answer(results, takes_compressed, memory).await
            }
            Err(error) => refusal_from(error),
        }
    }

    /// Encodes the answer to a read in `memory`, which keeps the answer's own bytes reserved until it is
    /// written.
    async fn results_answer(
        &self,
        results: JobResults,
        takes_compressed: bool,
        memory: &mut Reservation,
    ) -> ResponseKind {
        let texts = text_bytes(&results);
        if let Err(error) = memory.grow(texts * RESULT_COPIES) {
            return refusal_from(unavailable(&error.to_string()));
        }
        if texts >= LARGE_CONTENT_BYTES {
            self.context.memory.take_turn().await;
        }
        let answer = results_answer(results, takes_compressed);
        memory.shrink_to(texts);
        answer
    }

    /// Answers a request for the body of an item, whose copies are reserved in `memory` until the answer
    /// is written.
    async fn handle_body(&self, request: ReadJobBody, memory: &mut Reservation) -> ResponseKind {
        let ReadJobBody { job, item, .. } = &request;
        let body = if request.anywhere {
            match self.body_here_or_at_owner(job, item).await {
                Ok(body) => Some(body),
                Err(JobError::NotFound) => None,
                Err(error) => return refusal_from(error),
            }
        } else {
            match self.local_or_refusal(job) {
                Ok(job) => local_item_body(&job, item),
                Err(refused) => return ResponseKind::refused(refused),
            }
        };
        let bytes = body.as_ref().map_or(0, Vec::len);
        if let Err(error) = memory.grow(bytes * BODY_COPIES) {
            return refusal_from(unavailable(&error.to_string()));
        }
        ResponseKind::job_body(JobBody {
            found: body.is_some(),
            body: body.unwrap_or_default(),
        })
    }

    async fn handle_end(&self, request: EndJob) -> ResponseKind {
        let ended = if request.anywhere {
            self.end_here_or_at_owner(&request.job).await
        } else {
            match self.local_or_refusal(&request.job) {
                Ok(job) => end_local_job(&job).await,
                Err(refused) => return ResponseKind::refused(refused),
            }
        };
        ended.map_or_else(refusal_from, |()| ResponseKind::done(Done {}))
    }

    /// Takes over jobs whose logs a replica reports as orphaned and that have lost their owner.
    pub fn on_orphaned_logs(&self, logs: Vec<String>) {
        for id in self.jobs_not_local(&logs) {
            if !lock(&self.shared.checking).insert(id.clone()) {
                continue;
            }
            let registry = self.clone();
            tokio::spawn(async move {
                if let Some(last) = registry.confirm_orphaned(&id).await {
                    registry.adopt_or_log(&id, Some(last)).await;
                }
                lock(&registry.shared.checking).remove(&id);
            });
        }
    }

    /// Takes over jobs that their owner hands over. An owner of an earlier build does not name its
    /// epochs.
    fn take_over_logs(&self, notice: &ShardNotice) {
        for id in self.jobs_not_local(&notice.logs) {
            let position = notice.logs.iter().position(|log| *log == log_name(&id));
            let epoch = position.and_then(|position| notice.epochs.get(position));
            let last = epoch.map(WriterEpoch::from);
            let registry = self.clone();
            tokio::spawn(async move { registry.adopt_or_log(&id, last).await });
        }
    }

    fn jobs_not_local(&self, logs: &[String]) -> Vec<String> {
        let ids = logs.iter().filter_map(|log| log.strip_prefix(LOG_PREFIX));
        ids.filter(|id| self.local(id).is_none())
            .map(str::to_owned)
            .collect()
    }

    async fn adopt_or_log(&self, id: &str, last: Option<WriterEpoch>) {
        if let Err(error) = self.adopt(id, last).await {
            log::warn!("event=job_not_adopted job={id} cause=\"{error}\"");
        }
    }

    fn local_or_refusal(&self, id: &str) -> Result<Arc<Job>, Refused> {
        let known = self.local(id);
        // The acceptance of a known job without a specification is being committed.
        let is_opening = known.is_some() || lock(&self.shared.opening).contains(id);
        let job = known.filter(|job| job.state().spec().is_some());
        job.ok_or_else(|| {
            let reason = if is_opening {
                Reason::NOT_READY
            } else {
                Reason::NOT_OWNER
            };
            Refused {
                reason,
                detail: "this node does not own the job".to_owned(),
                retry_after_ms: 0,
            }
        })
    }
}

/// Returns the expected number of tokens generated for a job's items.
fn expected_tokens(spec: &JobSpec) -> u64 {
    let estimates = spec.items.iter().map(|item| item.expected_tokens);
    estimates
        .map(|tokens| if tokens == 0 { DEFAULT_TOKENS } else { tokens })
        .sum()
}

fn refusal_from(error: JobError) -> ResponseKind {
    let reason = match error {
        JobError::NotFound => Reason::NOT_OWNER,
        JobError::Unavailable(_) => Reason::NOT_READY,
    };
    refused(reason, &error.to_string())
}

pub(super) fn refused(reason: Reason, detail: &str) -> ResponseKind {
    ResponseKind::refused(Refused {
        reason,
        detail: detail.to_owned(),
        retry_after_ms: 0,
    })
}
