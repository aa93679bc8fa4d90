//! The command: the smoke experiment from end to end, invalid input, and interruption.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::OnceLock;

const DEPLOYMENT: &str = "deploy/balancer.toml";
const SMOKE: &str = "scale/experiments/smoke.toml";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("the workspace's root")
}

/// Builds the program that the deployment file names. The arguments are those of that file, so that the build of
/// `.ci/run` is reused.
fn build_balancer() {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| {
        let cargo = std::env::var_os("CARGO").expect("tests are run by cargo");
        let arguments = ["build", "--release", "--locked", "--workspace"];
        let built = Command::new(cargo)
            .args(arguments)
            .current_dir(root())
            .status()
            .expect("cargo runs");
        assert!(built.success(), "the balancer is built");
    });
}

fn scale(experiment: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_scale"));
    command.current_dir(root()).arg("run").arg(experiment);
    command
}

/// An empty directory of one test.
fn empty_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("a directory");
    directory
}

/// The smoke experiment with one text in it replaced.
fn smoke_with_replacement(name: &str, from: &str, to: &str) -> PathBuf {
    let smoke = fs::read_to_string(root().join(SMOKE)).expect("the smoke experiment");
    assert!(
        smoke.contains(from),
        "{from:?} stands in the smoke experiment"
    );
    let path = empty_directory(name).join("experiment.toml");
    fs::write(&path, smoke.replacen(from, to, 1)).expect("writes");
    path
}

/// Checks that the command failed before it started anything, with one line of plain text that contains `wanted`.
fn assert_rejected(output: &Output, wanted: &str) {
    let errors = String::from_utf8(output.stderr.clone()).expect("text");
    assert!(!output.status.success(), "it fails: {errors}");
    assert_eq!(errors.lines().count(), 1, "one line: {errors}");
    assert!(
        errors.starts_with("scale: "),
        "the error is a line that starts with scale: {errors}"
    );
    assert!(errors.contains(wanted), "{wanted:?} in {errors}");
    assert!(output.stdout.is_empty(), "nothing was measured");
}

/// The ids of the processes that this log says were started.
fn started_processes(log: &str) -> Vec<u64> {
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines
        .filter_map(|line| line["fields"]["pid"].as_u64())
        .collect()
}

fn assert_ended(processes: &[u64]) {
    for pid in processes {
        assert!(
            !Path::new(&format!("/proc/{pid}")).exists(),
            "process {pid} has ended"
        );
    }
}

#[test]
fn runs_smoke_experiment_from_end_to_end() {
    build_balancer();
    let out = empty_directory("smoke-report");
    let output = scale(Path::new(SMOKE))
        .arg("--out")
        .arg(&out)
        .output()
        .expect("runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{log}");
    let processes = started_processes(&log);
    assert!(
        !processes.is_empty(),
        "structured lines name the processes: {log}"
    );
    assert_ended(&processes);

    let report = fs::read(out.join("smoke.json")).expect("a report");
    let report: Value = serde_json::from_slice(&report).expect("JSON");
    let calls = report["calls"].as_array().expect("points");
    assert_eq!(calls.len(), 4);
    for point in calls {
        let through = &point["repeats"][0]["through"]["outcomes"];
        let served = through["served"].as_u64().expect("a count");
        assert!(served > 0, "{point}");
        let depth = point["size"]["depth"].as_u64().expect("a depth");
        let attempts = point["repeats"][0]["attempts_per_call"]
            .as_array()
            .expect("attempts");
        assert_eq!(
            attempts.len() as u64,
            depth,
            "one number of attempts for each service"
        );
    }
    let control = &report["control"][0]["repeats"][0];
    assert_eq!(control["real"].as_array().map(Vec::len), Some(3));
    assert_eq!(control["hollow"].as_array().map(Vec::len), Some(2));
    assert_eq!(control["balancers"], 43);
    assert!(control["messages_per_second"].as_f64().expect("a figure") > 0.0);

    let table = String::from_utf8(output.stdout).expect("text");
    assert!(
        table.contains("added_p99_us") && table.contains("64 endpoints"),
        "{table}"
    );
}

#[test]
fn rejects_unknown_key() {
    let experiment = smoke_with_replacement("unknown-key", "cores =", "corse =");
    let output = scale(&experiment).output().expect("runs");
    assert_rejected(&output, "corse");
    assert_rejected(&output, "line 12");
}

#[test]
fn rejects_missing_experiment_file() {
    let output = scale(Path::new("scale/experiments/none.toml"))
        .output()
        .expect("runs");
    assert_rejected(&output, "none.toml");
}

#[test]
fn rejects_sizes_out_of_range() {
    for (from, to, key) in [
        ("repeats = 1", "repeats = 0", "repeats"),
        (
            "measure_seconds = 1.0",
            "measure_seconds = 900.0",
            "measure_seconds",
        ),
        ("depth = [1, 3]", "depth = [1, 26]", "calls.depth"),
        ("depth = [1, 3]", "depth = []", "calls.depth"),
        (
            "calls_per_second = [50.0]",
            "calls_per_second = [nan]",
            "calls.calls_per_second",
        ),
        (
            "leaf_failing_percent = [0.0, 10.0]",
            "leaf_failing_percent = [101.0]",
            "calls.leaf_failing_percent",
        ),
        ("instances = 2", "instances = 100", "calls.instances"),
        ("endpoints = [64]", "endpoints = [0]", "control.endpoints"),
        (
            "real_balancers = 3",
            "real_balancers = 100000",
            "control.real_balancers",
        ),
        (
            "hollow_balancers = 40",
            "hollow_balancers = 1000000",
            "control.hollow_balancers",
        ),
        (
            "hollow_processes = 2",
            "hollow_processes = 0",
            "control.hollow_processes",
        ),
        ("name = \"smoke\"", "name = \"../smoke\"", "name"),
    ] {
        let experiment = smoke_with_replacement("out-of-range", from, to);
        let output = scale(&experiment).output().expect("runs");
        assert_rejected(&output, &format!("{key}: "));
    }
}

#[test]
fn rejects_faults_while_not_implemented() {
    let fault =
        "[[faults]]\nkind = \"zone_lost\"\nzone = 1\nat_seconds = 1.0\nfor_seconds = 2.0\n\n[control]";
    let experiment = smoke_with_replacement("faults", "[control]", fault);
    let output = scale(&experiment).output().expect("runs");
    assert_rejected(&output, "faults: ");
}

#[test]
fn rejects_missing_build() {
    let elsewhere = empty_directory("no-build");
    fs::create_dir_all(elsewhere.join("deploy")).expect("a directory");
    fs::copy(root().join(DEPLOYMENT), elsewhere.join(DEPLOYMENT)).expect("copies");
    let output = scale(Path::new(SMOKE))
        .arg("--root")
        .arg(&elsewhere)
        .output()
        .expect("runs");
    assert_rejected(
        &output,
        "target/release/balancer is missing: build it with `cargo build",
    );
}

/// Sends a signal once the first balancer runs, and checks that no process remains.
fn assert_ends_every_process_on(signal: &str) {
    build_balancer();
    let mut child = scale(Path::new(SMOKE))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
    let mut log = String::new();
    while started_processes(&log).is_empty() {
        log += &lines.next().expect("a balancer is started").expect("text");
        log.push('\n');
    }
    let kill = format!("kill -{signal} {}", child.id());
    assert!(Command::new("sh")
        .args(["-c", &kill])
        .status()
        .expect("runs sh")
        .success());
    let remaining: Vec<String> = lines.map(|line| line.expect("text")).collect();
    assert!(!child.wait().expect("ends").success());
    log += &remaining.join("\n");
    assert_eq!(
        remaining.last().map(String::as_str),
        Some("scale: interrupted")
    );
    assert_ended(&started_processes(&log));
}

#[test]
fn ends_every_process_on_sigint() {
    assert_ends_every_process_on("INT");
}

#[test]
fn ends_every_process_on_sigterm() {
    assert_ends_every_process_on("TERM");
}

#[test]
fn ends_every_process_on_error() {
    let elsewhere = empty_directory("bad-program");
    fs::create_dir_all(elsewhere.join("deploy")).expect("a directory");
    // The first balancer exits before it is ready.
    let deployment = "build = \"true\"\nrun = \"exec bin/program\"\n";
    fs::write(elsewhere.join(DEPLOYMENT), deployment).expect("writes");
    fs::create_dir_all(elsewhere.join("bin")).expect("a directory");
    let program = elsewhere.join("bin/program");
    fs::write(&program, "#!/bin/sh\necho no such setting >&2\nexit 3\n").expect("writes");
    let executable = format!("chmod +x {}", program.display());
    assert!(Command::new("sh")
        .args(["-c", &executable])
        .status()
        .expect("runs sh")
        .success());
    let output = scale(Path::new(SMOKE))
        .arg("--root")
        .arg(&elsewhere)
        .output()
        .expect("runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{log}");
    let last = log.lines().last().expect("a line");
    assert!(last.starts_with("scale: tier0-0 ended by itself"), "{last}");
    assert_ended(&started_processes(&log));
}
