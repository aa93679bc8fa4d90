//! Why a balancer could not be prepared, started or upgraded.
use super::READINESS_TIMEOUT;
use std::io;
use std::path::PathBuf;

/// Why a balancer could not be prepared or started.
#[derive(Debug, thiserror::Error)]
pub enum BalancerError {
    /// A file or folder of the balancer cannot be written.
    #[error("cannot write {path}: {source}", path = path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// No loopback address is free for the balancer.
    #[error("cannot find a free loopback address: {0}")]
    Address(#[source] io::Error),
    /// The process cannot be started.
    #[error("cannot start {program}: {source}", program = program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
}

impl BalancerError {
    pub(super) fn file(path: PathBuf, source: io::Error) -> BalancerError {
        BalancerError::File { path, source }
    }
}

/// Why a process was not replaced by its successor.
#[derive(Debug, thiserror::Error)]
pub enum UpgradeError {
    /// The successor could not be started.
    #[error(transparent)]
    Start(#[from] BalancerError),
    /// The successor exited.
    #[error("the successor exited before it served: {status}")]
    SuccessorExited {
        /// Its exit status.
        status: String,
    },
    /// The successor did not serve in time.
    #[error("the successor did not serve within {READINESS_TIMEOUT:?}")]
    SuccessorNotReady,
    /// The old process did not exit with code 0 in time.
    #[error("the old process did not exit with code 0 in time: exit code {exit_code:?} (None: killed by a signal, or still running)")]
    OldProcessFailed {
        /// Its exit code; none if it was killed or did not exit in time.
        exit_code: Option<i32>,
    },
}
