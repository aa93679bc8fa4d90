//! Everything that can end a run before its time. Each message fits on one line.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a run did not start or did not finish.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A file that is needed cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file is not TOML, or holds an unknown key or a value of the wrong type.
    #[error("{}: line {line}: {message}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where in it.
        line: usize,
        /// What is wrong there.
        message: String,
    },
    /// A value of the experiment cannot be run.
    #[error("{key}: {must}")]
    Impossible {
        /// The key at fault.
        key: &'static str,
        /// What it must be.
        must: String,
    },
    /// The balancer that the deployment file names has not been built.
    #[error("{} is missing: build it with `{build}`", program.display())]
    MissingBuild {
        /// The program that is not there.
        program: PathBuf,
        /// The command that builds it.
        build: String,
    },
    /// The report cannot be written.
    #[error("{}: {source}", path.display())]
    Unwritable {
        /// Where it should go.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The configuration of hollow balancers is not valid.
    #[error("configuration: {0}")]
    Configuration(String),
    /// A process could not be started.
    #[error("{name} did not start: {source}")]
    NotStarted {
        /// Its name.
        name: String,
        /// What the system says.
        source: io::Error,
    },
    /// A process ended while it was needed.
    #[error("{name} ended by itself ({status}): {log}")]
    Ended {
        /// Its name.
        name: String,
        /// How it ended.
        status: String,
        /// The last line of its log.
        log: String,
    },
    /// Balancers did not become ready.
    #[error("{name} was not ready within {seconds} s")]
    NotReady {
        /// Its name.
        name: String,
        /// How long it was given.
        seconds: u64,
    },
    /// The process table could not be read.
    #[error("process {pid}: {source}")]
    Process {
        /// The process.
        pid: u32,
        /// What the system says.
        source: procfs::ProcError,
    },
    /// The machine's figures could not be read.
    #[error("the machine's memory: {0}")]
    Machine(procfs::ProcError),
    /// All processes together use more memory than a run may.
    #[error("{used_mb:.0} MB are in use and {allowed_mb:.0} MB, half of the machine's memory, are allowed")]
    TooMuchMemory {
        /// In use.
        used_mb: f64,
        /// Allowed.
        allowed_mb: f64,
    },
    /// The run took far longer than its experiment says.
    #[error("not finished after {0} s")]
    TooLong(u64),
    /// SIGINT or SIGTERM came.
    #[error("interrupted")]
    Interrupted,
    /// A socket of the stand-ins failed.
    #[error("sockets: {0}")]
    Socket(#[from] io::Error),
    /// A part of the run ended by a panic.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
    /// The report could not be put into words.
    #[error("report: {0}")]
    Report(#[from] serde_json::Error),
}
