//! Batch jobs: accepted once a majority of store disks holds them, run item by item, read at any front.

mod appending;
mod bounds;
mod carrying;
mod confirmation;
mod context;
mod digest;
mod done;
mod events;
mod group_listing;
mod handover;
mod home;
mod leftover;
mod lengths;
mod locating;
mod lock;
mod owner;
mod pace;
mod peers;
mod questions;
mod queue;
mod reading;
mod registry;
mod relay;
mod run;
mod run_context;
mod run_end;
mod scoring;
mod seen;
mod shared;
mod starting;
mod state;
mod stream;
mod text;
mod trainer_steps;

pub use bounds::{RegionBoundsError, check_node_regions};
pub use confirmation::QuorumConfirmation;
pub use context::JobContext;
pub use digest::{FoundLog, LogDigest};
pub use events::{Event, EventParser};
pub use group_listing::GroupListing;
pub use home::{home, home_in_region};
pub use lengths::TextLengths;
pub use pace::{Pace, expected_rest, pays_to_move, rest_demand};
pub use queue::EntryQueue;
pub use reading::ReadError;
pub use registry::{AcceptError, JobRegistry};
pub use run_context::{first_event_limit, refusal_pause};
pub use state::{JobState, entry_bytes};
pub use text::ItemText;
pub use trainer_steps::LatestSteps;

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
