//! The command line.
use crate::balancer::Deployment;
use crate::error::ScaleError;
use crate::experiment::Experiment;
use crate::hollow;
use crate::report::Report;
use crate::run;
use clap::{Parser, Subcommand};
use std::fs;
use std::path::{Path, PathBuf};

/// Threads for the stand-ins. The balancers run in other processes.
const STAND_IN_THREADS: usize = 4;

/// Measures how a balancer's costs grow with size, on loopback.
#[derive(Debug, Parser)]
#[command(name = "scale", about)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs an experiment; a table goes to standard output and the log to standard error.
    Run {
        /// The experiment, a TOML file.
        experiment: PathBuf,
        /// Writes the JSON report into this directory instead of to standard output.
        #[arg(long)]
        out: Option<PathBuf>,
        /// The repository's root, with `deploy/balancer.toml`.
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
    /// Runs hollow balancers. The `run` command starts this as a child process.
    #[command(hide = true)]
    Hollow {
        /// The configuration file of the hollow balancers.
        configuration: PathBuf,
        /// Number of hollow balancers.
        balancers: u32,
    },
}

/// Executes the command.
pub fn execute(arguments: Arguments) -> Result<(), ScaleError> {
    match arguments.command {
        Command::Run {
            experiment,
            out,
            root,
        } => run_experiment(&experiment, out.as_deref(), &root),
        Command::Hollow {
            configuration,
            balancers,
        } => hollow::serve(&configuration, balancers),
    }
}

fn run_experiment(path: &Path, out: Option<&Path>, root: &Path) -> Result<(), ScaleError> {
    let experiment = Experiment::read(path)?;
    let deployment = Deployment::read(root)?;
    if let Some(directory) = out {
        let unwritable = |source| ScaleError::Unwritable {
            path: directory.to_path_buf(),
            source,
        };
        fs::create_dir_all(directory).map_err(unwritable)?;
    }
    log_to_standard_error();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_IN_THREADS)
        .enable_all()
        .build()?;
    let report = runtime.block_on(run::run(experiment, deployment))?;
    write_report(&report, out)
}

fn write_report(report: &Report, out: Option<&Path>) -> Result<(), ScaleError> {
    let json = serde_json::to_string(report)?;
    match out {
        None => println!("{json}"),
        Some(directory) => {
            let path = directory.join(format!("{}.json", report.experiment.name));
            let unwritable = |source| ScaleError::Unwritable {
                path: path.clone(),
                source,
            };
            fs::write(&path, json + "\n").map_err(unwritable)?;
            println!("{}", path.display());
        }
    }
    println!("{}", report.table());
    Ok(())
}

fn log_to_standard_error() {
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .finish();
    // This fails only if the process already has a logger, which then stays in use.
    let _ = tracing::subscriber::set_global_default(subscriber);
}
