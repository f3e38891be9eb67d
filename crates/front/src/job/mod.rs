//! Batch jobs: accepted once a majority of store disks holds them, run item by item, readable at
//! any front.
//!
//! A job consists of items, each of which generates one text. A job of a trainer is one training
//! step; its items form groups, and the trainer needs a number of complete groups. One front is the
//! owner of a job: it runs the items and is the only writer of the job's log in the journal.

mod accepting;
mod appending;
mod confirmation;
mod context;
mod digest;
mod done;
mod events;
mod failures;
mod group_listing;
mod handover;
mod job_memory;
mod kept_texts;
mod lengths;
mod local_job;
mod locating;
mod lock;
mod migration;
mod new_job;
mod orphans;
mod owner;
mod peer_handler;
mod peer_requests;
mod preferred_owner;
mod queue;
mod reading;
mod recorded_owners;
mod region_bounds;
mod registry;
mod relay;
mod replay;
mod result_cache;
mod run;
mod run_context;
mod run_end;
mod run_route;
mod scheduling;
mod scoring;
mod stall_timeout;
mod stalled_run;
mod state;
mod stream;
mod text;
mod text_reuse;
mod trainer_steps;
mod unfinished;

pub use accepting::AcceptError;
pub use confirmation::QuorumConfirmation;
pub use context::JobContext;
pub use digest::{FoundLog, LogDigest};
pub use events::{Event, EventParser};
pub use failures::ItemFailures;
pub use group_listing::GroupListing;
pub use job_memory::JobMemory;
pub use lengths::LongestTexts;
pub use migration::{
    EventIntervals, expected_interval_at_instance, expected_remaining_events,
    is_migration_worthwhile, remaining_demand,
};
pub use new_job::LARGE_JOB_BYTES;
pub use preferred_owner::{preferred_owner, preferred_owner_in_region};
pub use queue::EntryQueue;
pub use reading::{COMMIT_TIMEOUT, JobError, text_bytes};
pub use region_bounds::{RegionBoundsError, check_node_regions};
pub use registry::JobRegistry;
pub use replay::{ReplayedLog, replay_log};
pub use result_cache::{CachedRead, DEFAULT_RESULT_CACHE_BYTES, ResultCache};
pub use run_context::{exclusion_after_rejection, first_event_timeout};
pub use state::{JobState, encode_accepted, encode_entry};
pub use text::ItemText;
pub use trainer_steps::LatestSteps;

/// Prefix of the names of job logs in the journal; the job key follows.
pub const LOG_PREFIX: &str = "job/";

/// Returns the key that identifies a job among the nodes and in the journal. It includes the
/// tenant, as two tenants may use the same id. Separators in the tenant's name are escaped.
pub fn job_key(tenant: Option<&str>, id: &str) -> String {
    match tenant {
        Some(tenant) => {
            let tenant = tenant.replace('%', "%25").replace('/', "%2f");
            format!("{tenant}/{id}")
        }
        None => id.to_owned(),
    }
}

/// Returns the name of a job's log.
pub fn log_name(job: &str) -> String {
    format!("{LOG_PREFIX}{job}")
}
