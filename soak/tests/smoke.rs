//! The soak itself, on real balancers of the workspace's build: short runs with the system calls that once lost requests.
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Mutex;

/// One run at a time: each needs the processors.
static ALONE: Mutex<()> = Mutex::new(());

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("the workspace's root")
}

/// Builds what a run starts. With the arguments of the deployment file this finds what `.ci/run` has built.
fn build() -> PathBuf {
    let cargo = std::env::var_os("CARGO").expect("tests are run by cargo");
    let arguments = ["build", "--release", "--locked", "--workspace"];
    let built = Command::new(cargo)
        .args(arguments)
        .current_dir(root())
        .status()
        .expect("cargo runs");
    assert!(built.success(), "the workspace is built");
    root().join("target/release/soak")
}

fn soak(arguments: &[&str]) -> Output {
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(arguments.join("-").replace(',', "_"));
    let mut command = Command::new(build());
    command
        .args([
            "--seconds",
            "5",
            "--balancers",
            "4",
            "--upstreams",
            "4",
            "--logs",
        ])
        .arg(logs)
        .args(arguments);
    command.output().expect("runs")
}

/// Plays a run and checks that it broke no rule and did serve.
fn holds(arguments: &[&str]) {
    let _alone = ALONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let output = soak(arguments);
    let report = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{report}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        report.contains("\"Answered(200)\": ") && report.contains("violations: {}"),
        "{report}"
    );
}

#[test]
fn short_and_interrupted_transfers_lose_no_request() {
    holds(&[
        "--seed",
        "31",
        "--mode",
        "push",
        "--only",
        "shorttransfers,interrupted,brokenreads",
    ]);
}

#[test]
fn failing_sockets_and_disks_keep_no_balancer_from_restarting() {
    holds(&[
        "--seed",
        "32",
        "--mode",
        "ask",
        "--only",
        "failingsockets,disk,kill",
    ]);
}

#[test]
fn an_unknown_trouble_is_refused() {
    let output = soak(&["--only", "sunshine"]);
    assert!(!output.status.success() && output.stdout.is_empty());
}
