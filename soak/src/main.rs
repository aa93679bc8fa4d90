//! `soak`: plays randomized fault runs and reports the rules that they broke. See the README.
use clap::{Parser, ValueEnum};
use soak::balancer::built;
use soak::discovery::Mode;
use soak::plan::Trouble;
use soak::run::{run, Options};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Plays randomized fault runs of real balancers on loopback and checks their rules.
#[derive(Debug, Parser)]
#[command(name = "soak", about)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds of troubles for each seed.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// How balancers learn of the list; `both` takes turns.
    #[arg(long, value_enum, default_value_t = ModeChoice::Both)]
    mode: ModeChoice,
    /// Balancers in a run.
    #[arg(long, default_value_t = 12)]
    balancers: usize,
    /// Upstreams in a run.
    #[arg(long, default_value_t = 10)]
    upstreams: usize,
    /// Only these kinds of trouble, such as `restart,shorttransfers`.
    #[arg(long, value_delimiter = ',', value_parser = trouble)]
    only: Vec<Trouble>,
    /// How many times as many troubles as usual.
    #[arg(long, default_value_t = 1)]
    intensity: usize,
    /// The program; that of the workspace's build without it.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where configurations and logs go; a folder of the system's temporary one without it.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Violations shown for each run.
    #[arg(long, default_value_t = 12)]
    show: usize,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum ModeChoice {
    Push,
    Ask,
    Both,
}

impl ModeChoice {
    fn of(self, seed: u64) -> Mode {
        match self {
            ModeChoice::Push => Mode::Push,
            ModeChoice::Ask => Mode::Ask,
            ModeChoice::Both if seed.is_multiple_of(2) => Mode::Push,
            ModeChoice::Both => Mode::Ask,
        }
    }
}

fn trouble(name: &str) -> Result<Trouble, String> {
    Trouble::named(name).ok_or_else(|| format!("there are {:?}", Trouble::ALL))
}

fn main() -> ExitCode {
    match play(Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Plays all seeds; whether no rule was broken.
fn play(arguments: Arguments) -> io::Result<bool> {
    let missing = |what: &str| io::Error::other(format!("{what} is not built"));
    let program = arguments.program.clone().or_else(|| built("balancer"));
    let program = program.ok_or_else(|| missing("balancer"))?;
    let library = built("libfault_injection.so").ok_or_else(|| missing("libfault_injection.so"))?;
    let folder = arguments.logs.clone();
    let folder =
        folder.unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let mut clean = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let options = Options {
            seed,
            length: Duration::from_secs_f64(arguments.seconds),
            mode: arguments.mode.of(seed),
            balancers: arguments.balancers,
            upstreams: arguments.upstreams,
            only: arguments.only.clone(),
            intensity: arguments.intensity,
            program: program.clone(),
            library: library.clone(),
            folder: folder.join(format!("seed-{seed}")),
        };
        clean &= play_one(&runtime, options, arguments.show)?;
    }
    Ok(clean)
}

fn play_one(runtime: &tokio::runtime::Runtime, options: Options, show: usize) -> io::Result<bool> {
    let (seed, mode, folder) = (options.seed, options.mode, options.folder.clone());
    std::fs::create_dir_all(&folder)?;
    let verdict = runtime.block_on(run(options))?;
    let troubles: Vec<String> = verdict
        .plan
        .iter()
        .map(|p| {
            format!(
                "{:?} {:.1}-{:.1}",
                p.trouble,
                p.from.as_secs_f64(),
                (p.from + p.lasts).as_secs_f64()
            )
        })
        .collect();
    println!("seed {seed}, {mode:?}: {}", troubles.join(", "));
    println!("  requests: {:?}", verdict.tally);
    let mut rules: BTreeMap<_, usize> = BTreeMap::new();
    verdict
        .violations
        .iter()
        .for_each(|violation| *rules.entry(violation.rule).or_default() += 1);
    println!("  violations: {rules:?}");
    let mut shown: BTreeMap<_, usize> = BTreeMap::new();
    for violation in &verdict.violations {
        let count = shown.entry(violation.rule).or_default();
        *count += 1;
        if *count <= show {
            println!("    {violation}");
        }
    }
    if verdict.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("  logs: {}", folder.display());
    }
    Ok(verdict.violations.is_empty())
}
