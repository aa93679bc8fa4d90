//! `soak`: runs balancers under randomized faults and reports violations of the rules. See the README.
use clap::{Parser, ValueEnum};
use soak::build_output::find_build_output;
use soak::discovery_mode::DiscoveryMode;
use soak::fault::Fault;
use soak::options::RunOptions;
use soak::report::Report;
use soak::run::run;
use soak::testbed::SetupError;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Threads of the runtime on which the stand-ins run.
const WORKER_THREADS: usize = 3;

/// Runs real balancers on loopback under randomized faults and checks that they follow the rules.
#[derive(Debug, Parser)]
#[command(name = "soak", about)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, run one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Length of the run of each seed, in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// How balancers learn of the endpoint list; `both` alternates between seeds.
    #[arg(long, value_enum, default_value_t = ModeChoice::Both)]
    mode: ModeChoice,
    /// Number of balancers.
    #[arg(long, default_value_t = 12)]
    balancers: usize,
    /// Number of upstreams.
    #[arg(long, default_value_t = 10)]
    upstreams: usize,
    /// Inject only these kinds of fault, such as `restart,shorttransfers`.
    #[arg(long, value_delimiter = ',')]
    only: Vec<Fault>,
    /// Leave these kinds of fault out of those that a seed draws, without changing the others.
    #[arg(long, value_delimiter = ',')]
    without: Vec<Fault>,
    /// Multiplies the number of faults.
    #[arg(long, default_value_t = 1)]
    intensity: usize,
    /// The balancer program; by default the one in the workspace's build output.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for configurations and logs; by default one in the system's temporary folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Also keep the logs of runs without violations.
    #[arg(long)]
    keep_logs: bool,
    /// Maximum number of violations of each rule to show for a run.
    #[arg(long, default_value_t = 12)]
    show: usize,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum ModeChoice {
    Push,
    #[value(name = "ask")]
    Poll,
    Both,
}

impl ModeChoice {
    fn for_seed(self, seed: u64) -> DiscoveryMode {
        match self {
            ModeChoice::Push => DiscoveryMode::Push,
            ModeChoice::Poll => DiscoveryMode::Poll,
            ModeChoice::Both if seed.is_multiple_of(2) => DiscoveryMode::Push,
            ModeChoice::Both => DiscoveryMode::Poll,
        }
    }
}

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
enum SoakError {
    #[error("cannot find {file} in the build output; build the workspace first")]
    NotBuilt { file: &'static str },
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error("cannot create the log folder {folder}: {source}", folder = folder.display())]
    LogFolder {
        folder: PathBuf,
        #[source]
        source: io::Error,
    },
    #[error(transparent)]
    Setup(#[from] SetupError),
}

/// The files of the build that runs use.
struct BuildFiles {
    program: PathBuf,
    library: PathBuf,
}

impl BuildFiles {
    fn find(arguments: &Arguments) -> Result<BuildFiles, SoakError> {
        let program = match &arguments.program {
            Some(program) => program.clone(),
            None => require_build_output("balancer")?,
        };
        Ok(BuildFiles {
            program,
            library: require_build_output("libfault_injection.so")?,
        })
    }
}

fn require_build_output(file: &'static str) -> Result<PathBuf, SoakError> {
    find_build_output(file).ok_or(SoakError::NotBuilt { file })
}

fn main() -> ExitCode {
    match run_seeds(&Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Carries out the runs of all seeds. Returns whether none had a violation.
fn run_seeds(arguments: &Arguments) -> Result<bool, SoakError> {
    let files = BuildFiles::find(arguments)?;
    let folder = arguments
        .logs
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(SoakError::Runtime)?;
    let mut passed = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let options = RunOptions {
            seed,
            length: Duration::from_secs_f64(arguments.seconds),
            mode: arguments.mode.for_seed(seed),
            balancers: arguments.balancers,
            upstreams: arguments.upstreams,
            only: arguments.only.clone(),
            without: arguments.without.clone(),
            intensity: arguments.intensity,
            program: files.program.clone(),
            library: files.library.clone(),
            folder: folder.join(format!("seed-{seed}")),
        };
        passed &= run_seed(&runtime, options, arguments)?;
    }
    Ok(passed)
}

/// Carries out one run and prints its report. Returns whether it had no violation. The logs of a run without violations
/// are removed unless `--keep-logs` is set.
fn run_seed(
    runtime: &Runtime,
    options: RunOptions,
    arguments: &Arguments,
) -> Result<bool, SoakError> {
    let folder = options.folder.clone();
    std::fs::create_dir_all(&folder).map_err(|source| SoakError::LogFolder {
        folder: folder.clone(),
        source,
    })?;
    let seed = options.seed;
    let mode = options.mode;
    let result = runtime.block_on(run(options))?;
    let report = Report {
        seed,
        mode,
        result: &result,
        max_shown: arguments.show,
    };
    print!("{report}");
    let passed = result.violations.is_empty();
    if passed && !arguments.keep_logs {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("  logs: {}", folder.display());
    }
    Ok(passed)
}
