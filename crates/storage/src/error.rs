//! Error types of the storage.

use std::path::PathBuf;

/// Error of opening a data folder. A folder that cannot be opened is never replaced by an empty
/// one.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The operating system returned an error.
    #[error("{}: {source}", path.display())]
    Io {
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Another process has the file open.
    #[error("{}: in use by another process", path.display())]
    InUse {
        /// Path of the file.
        path: PathBuf,
    },
    /// The file is corrupted.
    #[error("{}: damaged: {cause}", path.display())]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// Description of the corruption.
        cause: String,
    },
    /// A file is missing although its companion file exists.
    #[error("{}: missing, although {} exists", path.display(), companion.display())]
    Missing {
        /// Path of the missing file.
        path: PathBuf,
        /// Path of the companion file.
        companion: PathBuf,
    },
    /// The file lacks commits that were already acknowledged.
    #[error("{}: holds commits up to {found}, but commits up to {acknowledged} were acknowledged", path.display())]
    LostCommits {
        /// Path of the file.
        path: PathBuf,
        /// Number of the last acknowledged commit.
        acknowledged: u64,
        /// Number of the last commit in the file.
        found: u64,
    },
}

/// Error of a request to the storage.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// The disk failed. Requests fail until the folder could be reopened; the outcome of this one
    /// is unknown.
    #[error("storage failed: {0}")]
    Failed(String),
    /// Staged entries of a copied log are missing; the copy must be repeated.
    #[error("staged entries of {log} are missing")]
    PartsMissing {
        /// Name of the log.
        log: String,
    },
    /// No replica set is stored yet.
    #[error("no replica set is known here yet")]
    NoReplicaSet,
    /// This replica is not a member of the stored replica set.
    #[error("this replica is not in replica set {version}")]
    NotAReplica {
        /// Stored version.
        version: u64,
    },
    /// The request names an older replica set than the stored one.
    #[error("replica set {asked} is older than {known}")]
    StaleReplicaSet {
        /// Version in the request.
        asked: u64,
        /// Stored version.
        known: u64,
    },
}
