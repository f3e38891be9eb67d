//! Batch jobs: accepted once a majority of store disks holds them, run item by item, read at any front.

mod appending;
mod confirmation;
mod context;
mod digest;
mod done;
mod events;
mod group_listing;
mod handover;
mod lengths;
mod local_job;
mod locating;
mod lock;
mod migration;
mod owner;
mod peer_handler;
mod peer_requests;
mod preferred_owner;
mod queue;
mod reading;
mod region_bounds;
mod registry;
mod relay;
mod result_cache;
mod run;
mod run_context;
mod run_end;
mod scheduling;
mod scoring;
mod state;
mod stream;
mod text;
mod text_reuse;
mod trainer_steps;
mod unfinished;

pub use confirmation::Confirmation;
pub use context::JobContext;
pub use digest::{FoundLog, LogDigest};
pub use events::{Event, EventParser};
pub use group_listing::GroupListing;
pub use lengths::TextLengths;
pub use migration::{
    EventIntervals, expected_remaining_events, is_move_worthwhile, remaining_demand,
};
pub use preferred_owner::{home, preferred_owner_in_region};
pub use queue::EntryQueue;
pub use reading::ReadError;
pub use region_bounds::{OutOfBounds, check_keepers};
pub use registry::{AcceptError, JobRegistry};
pub use run_context::{first_event_timeout, refusal_pause};
pub use state::{JobState, encode_entry};
pub use text::ItemText;
pub use trainer_steps::NewestSteps;

/// Prefix of the jobs' logs in the journal; the job's id follows.
pub const LOG_PREFIX: &str = "job/";

/// By what a job is known among the nodes and in the journal: jobs of two tenants that have the same id are two jobs. Without
/// tenants it is the id itself. A tenant's name may hold any sign, so what would end it is escaped.
pub fn job_key(tenant: Option<&str>, id: &str) -> String {
    match tenant {
        Some(tenant) => {
            let tenant = tenant.replace('%', "%25").replace('/', "%2f");
            format!("{tenant}/{id}")
        }
        None => id.to_owned(),
    }
}

/// Name of a job's log.
pub fn log_name(job: &str) -> String {
    format!("{LOG_PREFIX}{job}")
}
