//! Configurations and endpoint lists, and the commands that start a balancer with them.
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// An endpoint list in discovery's format: upstream `n` has id `s-n`.
pub fn endpoint_list(version: u64, full: bool, servers: &[(usize, SocketAddr, &str)]) -> String {
    let entry = |&(number, address, state): &(usize, SocketAddr, &str)| {
        format!(
            r#"{{"id":"s-{number}","addr":"{address}","zone":"a","kind":"m","cell":1,"state":"{state}","weight":1.0,
                "started_ms":0}}"#
        )
    };
    let servers: Vec<String> = servers.iter().map(entry).collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    )
}

/// A complete list with these active upstreams.
pub fn active_endpoints(upstreams: &[SocketAddr]) -> String {
    let servers: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(number, &address)| (number, address, "active"))
        .collect();
    endpoint_list(1, true, &servers)
}

/// A balancer's configuration with this limit of sockets. `known` is the endpoint list that it
/// starts from (JSON, or `null`).
pub fn balancer_config(discovery: SocketAddr, sockets: usize, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
        "settings":{{"balancers":1,"index":0,"membership_mode":"on_request","dcs":["a"],"kinds":["m"],
          "classes":[
            {{"name":"read","objective":1000,"deadline":20000,"effect":"free","late_worth":0.5}},
            {{"name":"order","objective":1000,"deadline":20000,"effect":"guarded","dedup_scope":"all",
              "repeat_window":20000,"late_worth":0.5}},
            {{"name":"pay","objective":1000,"deadline":20000,"effect":"single_shot","late_worth":0.5}}],
          "tenants":[{{"name":"club","share":1.0,"quota_per_s":5000}}],
          "permissions":{{"attempts_cap":5,"cancel":true,"retry_after":true,"max_retry_after":2000,
            "idle_close":60000}},
          "invariants":{{"cold_from":0.3,"ramp_time":9000,"tip_multiple":4,"fall":1000,"drain_grace":1000}}}}}}"#
    )
}

/// This configuration with an admin endpoint.
pub fn with_admin_endpoint(config: &str) -> String {
    config.replacen("\"listen\"", "\"ops\":\"127.0.0.1:0\",\"listen\"", 1)
}

/// An empty folder for the stored state of one balancer.
pub fn state_folder(name: &str) -> PathBuf {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("creates the folder");
    folder
}

/// A command that starts a balancer with this configuration, which is written to a file.
pub fn balancer_command(config: &str) -> Command {
    with_config_file(config, Command::new(env!("CARGO_BIN_EXE_balancer")))
}

/// Like [`balancer_command`], but the balancer runs with this limit of descriptors (`ulimit -n`),
/// which its configuration does not state.
pub fn balancer_command_with_descriptors(config: &str, descriptors: usize) -> Command {
    let mut shell = Command::new("sh");
    let exec = format!(
        "ulimit -n {descriptors}; exec {}",
        env!("CARGO_BIN_EXE_balancer")
    );
    shell.args(["-c", &exec]);
    with_config_file(config, shell)
}

/// Like [`balancer_command`], but the signals that the balancer handles are ignored when it
/// starts, as it inherits this from the shell.
pub fn balancer_command_ignoring_signals(config: &str) -> Command {
    let mut shell = Command::new("sh");
    let exec = format!(
        "trap '' HUP TERM INT; exec {}",
        env!("CARGO_BIN_EXE_balancer")
    );
    shell.args(["-c", &exec]);
    with_config_file(config, shell)
}

fn with_config_file(config: &str, mut command: Command) -> Command {
    static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "node-{}-{}.json",
        std::process::id(),
        FILE_COUNT.fetch_add(1, Ordering::SeqCst)
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("writes the configuration");
    command
        .env("NODE_CONFIG", path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}
