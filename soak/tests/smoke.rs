//! Short runs of the soak on real balancers of the workspace's build, with faults of system calls.
// A helper function that fails ends its test, as a failed assertion does.
#![allow(clippy::expect_used)]
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};

/// Held during a run, as each needs the processors for itself.
static RUN_LOCK: Mutex<()> = Mutex::new(());

fn workspace_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("the workspace's root")
}

/// Builds the programs of a run. It uses the arguments of the deployment file, so that cargo reuses what
/// `.ci/run` has built.
fn build_soak() -> PathBuf {
    let cargo = std::env::var_os("CARGO").expect("tests are run by cargo");
    let arguments = ["build", "--release", "--locked", "--workspace"];
    let status = Command::new(cargo)
        .args(arguments)
        .current_dir(workspace_root())
        .status()
        .expect("cargo runs");
    assert!(status.success(), "`cargo build` failed: {status}");
    workspace_root().join("target/release/soak")
}

fn run_soak(arguments: &[&str]) -> Output {
    let folder_name = arguments.join("-").replace(',', "_");
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder_name);
    let mut command = Command::new(build_soak());
    command
        .args(["--seconds", "5"])
        .args(["--balancers", "4"])
        .args(["--upstreams", "4"])
        .arg("--logs")
        .arg(logs)
        .args(arguments);
    command.output().expect("soak runs")
}

/// Carries out a run and checks that it had no violation and served requests.
fn assert_run_passes(arguments: &[&str]) {
    let _run = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let output = run_soak(arguments);
    let report = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{report}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        report.contains("\"Response(200)\": ") && report.contains("violations: {}"),
        "{report}"
    );
}

#[test]
fn loses_no_request_with_short_and_interrupted_transfers() {
    let faults = "shorttransfers,interrupted,brokenreads";
    assert_run_passes(&["--seed", "31", "--mode", "push", "--only", faults]);
}

#[test]
fn balancers_restart_while_sockets_and_disks_fail() {
    let faults = "failingsockets,disk,kill";
    assert_run_passes(&["--seed", "32", "--mode", "ask", "--only", faults]);
}

#[test]
fn serves_while_calls_on_own_descriptors_fail() {
    let faults = "eventdescriptors,registrations,failinglog,failingstart";
    assert_run_passes(&["--seed", "33", "--mode", "push", "--only", faults]);
}

#[test]
fn rejects_an_unknown_fault() {
    let output = run_soak(&["--only", "sunshine"]);
    assert!(!output.status.success() && output.stdout.is_empty());
}
