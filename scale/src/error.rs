//! Why a run fails. Each message fits on one line.
use std::error::Error;
use std::io;
use std::path::PathBuf;

/// Why a run did not start or did not finish.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A required file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not TOML, or holds an unknown key or a value of the wrong type.
    #[error("{}: line {line}: {message}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, counted from one.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// A value of the experiment is invalid.
    #[error("{key}: {requirement}")]
    InvalidValue {
        /// The key at fault.
        key: &'static str,
        /// What the value must be.
        requirement: String,
    },
    /// The balancer that the deployment file names has not been built.
    #[error("{} is missing: build it with `{build}`", program.display())]
    MissingBuild {
        /// The program that is missing.
        program: PathBuf,
        /// The command that builds it.
        build: String,
    },
    /// A file cannot be written.
    #[error("{}: {source}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The configuration of hollow balancers is not valid.
    #[error("configuration: {0}")]
    Configuration(#[source] Box<dyn Error + Send + Sync>),
    /// A process could not be started.
    #[error("{name} did not start: {source}")]
    NotStarted {
        /// Its name.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// A process exited during the run.
    #[error("{name} ended by itself ({status}): {log}")]
    ProcessExited {
        /// Its name.
        name: String,
        /// Its exit status.
        status: String,
        /// The last line of its log.
        log: String,
    },
    /// Balancers did not become ready.
    #[error("{name} was not ready within {seconds} s")]
    NotReady {
        /// Its name.
        name: String,
        /// The time allowed.
        seconds: u64,
    },
    /// The process table could not be read.
    #[error("process {pid}: {source}")]
    UsageUnreadable {
        /// The process.
        pid: u32,
        /// The cause.
        source: procfs::ProcError,
    },
    /// The size of the machine's memory could not be read.
    #[error("the machine's memory: {0}")]
    MemoryUnreadable(#[source] procfs::ProcError),
    /// All processes together use more memory than a run may use.
    #[error("{used_mb:.0} MB are in use and {allowed_mb:.0} MB, half of the machine's memory, are allowed")]
    TooMuchMemory {
        /// Memory in use.
        used_mb: f64,
        /// Memory allowed.
        allowed_mb: f64,
    },
    /// The run exceeded its time limit, in seconds.
    #[error("not finished after {0} s")]
    TimeLimit(u64),
    /// The process received SIGINT or SIGTERM.
    #[error("interrupted")]
    Interrupted,
    /// A socket of the stand-ins failed.
    #[error("sockets: {0}")]
    Io(#[from] io::Error),
    /// A task panicked.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
    /// The report could not be serialized.
    #[error("report: {0}")]
    Report(#[from] serde_json::Error),
}
