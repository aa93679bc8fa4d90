//! Errors of the override store.
use crate::admin::disk_worker::DiskWorkerError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why the overrides were not read.
#[derive(Debug, Error)]
pub enum OverrideReadError {
    /// The system failed to read the file, perhaps only for a moment.
    #[error("{file_name}: {source}")]
    Unreadable {
        /// The name of the file.
        file_name: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The file is larger than any that the balancer writes.
    #[error("{}: too large", .path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// The file holds no overrides.
    #[error("{}: {source}", .path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The file has a format version that this program does not know.
    #[error("{}: has version {found}, not {supported}", .path.display())]
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
    /// Whether the content of the file is wrong, so that reading it again brings nothing else.
    pub fn is_content_invalid(&self) -> bool {
        !matches!(self, OverrideReadError::Unreadable { .. })
    }
}

/// Why an override was not stored.
#[derive(Debug, Error)]
pub enum OverrideError {
    /// The file could not be written, or not read before.
    #[error("the order is not kept: {}: {source}", .folder.display())]
    NotStored {
        /// The folder of the file.
        folder: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The job that stores it did not run, or failed.
    #[error("the order is not kept: {0}")]
    Worker(#[from] DiskWorkerError),
}
