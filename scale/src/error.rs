//! Why a run fails. Each message fits on one line.
use std::error::Error;
use std::io;
use std::path::PathBuf;

/// Why a run did not start or did not finish.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A required file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
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
        /// The key whose value is invalid.
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
    /// A file or directory cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The configuration of hollow balancers is not valid.
    #[error("invalid configuration of hollow balancers: {0}")]
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
    #[error("not ready within {seconds} s: {balancers}")]
    NotReady {
        /// The process that is not ready, or how many balancers are ready.
        balancers: String,
        /// The time allowed.
        seconds: u64,
    },
    /// The resource usage of a process could not be read.
    #[error("cannot read the resource usage of process {pid}: {source}")]
    UsageUnreadable {
        /// The process.
        pid: u32,
        /// The cause.
        source: procfs::ProcError,
    },
    /// The size of the machine's memory could not be read.
    #[error("cannot read the size of the machine's memory: {0}")]
    MemoryUnreadable(#[source] procfs::ProcError),
    /// All processes together use more memory than a run may use.
    #[error("the run uses {used_mb:.0} MiB; the limit is {allowed_mb:.0} MiB, half of the machine's memory")]
    TooMuchMemory {
        /// Memory in use, in MiB.
        used_mb: f64,
        /// Memory allowed, in MiB.
        allowed_mb: f64,
    },
    /// The run exceeded its time limit, in seconds.
    #[error("the run exceeded its time limit of {0} s")]
    TimeLimit(u64),
    /// The process received SIGINT or SIGTERM.
    #[error("interrupted")]
    Interrupted,
    /// An operation on a socket, signal, process or temporary directory failed.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
    /// A task panicked.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
    /// The report could not be serialized.
    #[error("cannot serialize the report: {0}")]
    Report(#[from] serde_json::Error),
}
