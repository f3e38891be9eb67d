//! Bundles, the signed configuration documents that operators roll to all daemons: data model,
//! parsing with all findings, checks and signatures.

mod check;
mod difference;
mod document;
mod key;
mod model;
mod signature;

pub use check::{CheckContext, KnownVersions, check};
pub use difference::{Difference, compare};
pub use document::{BundleDocument, MAX_TEXT_BYTES, parse, parse_file};
pub use key::{BundleKey, KeyError, TrustedKeys};
pub use model::{Bundle, ClassSpec, Objective, PoolKind, PoolSpec};
pub use signature::{BundleError, Digest, digest, sign, verify};

pub use crate::document::Finding;

/// Class of live callers, required in every bundle.
pub const LIVE_CLASS: &str = "live";

/// Class of rollout samples, required in every bundle.
pub const ROLLOUT_CLASS: &str = "rollout";
