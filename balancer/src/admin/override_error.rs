//! Errors of the override store.
use crate::admin::disk_worker::DiskWorkerError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why the overrides could not be read.
#[derive(Debug, Error)]
pub enum OverrideReadError {
    /// The system failed to read the file, perhaps only temporarily.
    #[error("cannot read {file_name}: {source}")]
    Unreadable {
        /// The name of the file.
        file_name: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The file is larger than any that the balancer writes.
    #[error("{}: the file is too large", .path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// The content of the file is not in the format of stored overrides.
    #[error("{}: invalid content: {source}", .path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The file has a format version that this program does not know.
    #[error("{}: format version {found} is not supported, only {supported} is", .path.display())]
    UnsupportedVersion {
        /// The file.
        path: PathBuf,
        /// The file's version.
        found: u32,
        /// The version that this program reads.
        supported: u32,
    },
}

impl OverrideReadError {
    /// Whether the content of the file is invalid, so that reading it again would give the same error.
    pub fn is_content_invalid(&self) -> bool {
        !matches!(self, OverrideReadError::Unreadable { .. })
    }
}

/// Why a change of the overrides was not stored.
#[derive(Debug, Error)]
pub enum OverrideChangeError {
    /// The lock file could not be created or locked, or the overrides could not be read before the change or written
    /// after it.
    #[error("could not store overrides in {}: {source}", .directory.display())]
    NotStored {
        /// The directory of the file.
        directory: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The job that stores the change failed; see [`DiskWorkerError`].
    #[error("could not store overrides: {0}")]
    Worker(#[from] DiskWorkerError),
}
