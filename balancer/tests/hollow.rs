//! Hollow balancers in one process that call a simulated discovery service on a loopback port.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
// The test's own runtime has timers.
#![allow(clippy::disallowed_methods)]
mod common;

use balancer::hollow::{AppliedUpdate, HollowBalancer, HollowOptions, RequestOutcome};
use balancer::process::config::Config;
use balancer::telemetry::log::LogOutput;
use common::{balancer_config, endpoint_list, read_message, TEST_TIMEOUT};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::LocalSet;
use tokio::time::timeout;

const BALANCER_COUNT: usize = 40;
const ENDPOINT_COUNT: usize = 30;
/// Time within which each balancer must have applied a change. It is longer than any time within which discovery has to
/// deliver one.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(6);

/// The endpoint list of a simulated discovery service.
struct Endpoints {
    version: u64,
    /// Whether a watch too gets a complete list, not only what has changed.
    always_complete: bool,
    /// For each endpoint number: the version of its last change, its address and its state.
    by_number: BTreeMap<usize, (u64, SocketAddr, &'static str)>,
}

impl Endpoints {
    /// The complete list, or the changes after a version.
    fn response(&self, since: Option<u64>) -> String {
        let since = since.filter(|_| !self.always_complete);
        let newer = |changed: &u64| since.is_none_or(|since| *changed > since);
        let listed = |state: &str| since.is_some() || state != "left";
        let servers: Vec<_> = self
            .by_number
            .iter()
            .filter(|(_, (changed, _, state))| newer(changed) && listed(state))
            .map(|(&number, &(_, addr, state))| (number, addr, state))
            .collect();
        endpoint_list(self.version, since.is_none(), &servers)
    }
}

/// A discovery service that responds to calls for the complete list at once, and to watches once there is a change
/// after their version or their `timeout_ms` has passed.
#[derive(Clone)]
struct SimulatedDiscovery {
    addr: SocketAddr,
    shared: Arc<(Mutex<Endpoints>, Condvar)>,
    calls: Arc<Mutex<Vec<String>>>,
}

impl SimulatedDiscovery {
    fn start(endpoints: usize) -> SimulatedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let by_number =
            (0..endpoints).map(|number| (number, (1, endpoint_address(number), "active")));
        let endpoints = Endpoints {
            version: 1,
            always_complete: false,
            by_number: by_number.collect(),
        };
        let shared = Arc::new((Mutex::new(endpoints), Condvar::new()));
        let discovery = SimulatedDiscovery {
            addr,
            shared,
            calls: Arc::default(),
        };
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(call) = read_message(&mut stream) {
            let path = call
                .start_line
                .split(' ')
                .nth(1)
                .expect("a path")
                .to_string();
            let since = query_parameter(&path, "since");
            let wait =
                query_parameter(&path, "timeout_ms").map_or(Duration::ZERO, Duration::from_millis);
            self.calls
                .lock()
                .expect("no thread panicked while it held the lock")
                .push(path);
            let (endpoints, changed) = &*self.shared;
            let waits =
                |endpoints: &mut Endpoints| since.is_some_and(|since| endpoints.version <= since);
            let guard = endpoints
                .lock()
                .expect("no thread panicked while it held the lock");
            let (guard, _) = changed
                .wait_timeout_while(guard, wait, waits)
                .expect("no thread panicked while it held the lock");
            let body = guard.response(since);
            drop(guard);
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.get_mut().write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sets the state of one endpoint, and returns the new version.
    fn change(&self, number: usize, state: &'static str) -> u64 {
        let (endpoints, changed) = &*self.shared;
        let mut endpoints = endpoints
            .lock()
            .expect("no thread panicked while it held the lock");
        endpoints.version += 1;
        let version = endpoints.version;
        endpoints
            .by_number
            .insert(number, (version, endpoint_address(number), state));
        changed.notify_all();
        version
    }

    fn calls(&self) -> Vec<String> {
        self.calls
            .lock()
            .expect("no thread panicked while it held the lock")
            .clone()
    }
}

fn query_parameter(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let (_, value) = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// An address that nothing connects to.
fn endpoint_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + number as u16))
}

/// The configuration of a balancer with this membership mode.
fn parsed_config(discovery: &SimulatedDiscovery, mode: &str, cached_list: &str) -> Config {
    let text = balancer_config(discovery.addr, 64, cached_list).replace("on_request", mode);
    Config::parse(text.as_bytes()).expect("a configuration")
}

/// Balancers that report the updates that they apply.
struct Fleet {
    balancers: Vec<HollowBalancer>,
    /// Each update, with the number of the balancer that applied it.
    updates: UnboundedReceiver<(usize, AppliedUpdate)>,
}

impl Fleet {
    fn start(config: &Config, count: usize) -> Fleet {
        let (report, updates) = unbounded_channel();
        let cached_snapshot = config
            .cached_snapshot
            .as_ref()
            .expect("a valid endpoint list")
            .as_ref();
        let start = |number: usize| {
            let options = HollowOptions {
                deployment: &config.deployment,
                discovery: config.discovery_address,
                cached_snapshot,
                seed: number as u64,
                log: LogOutput::Discard,
            };
            let report = report.clone();
            let on_update = move |update| {
                // Sending fails once the test is over, as the receiver is gone.
                let _ = report.send((number, update));
            };
            HollowBalancer::start(options, on_update).expect("valid settings")
        };
        Fleet {
            balancers: (0..count).map(start).collect(),
            updates,
        }
    }

    /// Waits until all balancers have applied this version or a newer one, and returns the update with which each of
    /// them reached it.
    async fn wait_until_applied(&mut self, version: u64) -> Vec<AppliedUpdate> {
        let mut applied = BTreeMap::new();
        while applied.len() < self.balancers.len() {
            let next = timeout(TEST_TIMEOUT, self.updates.recv())
                .await
                .expect("an update in time");
            let (number, update) = next.expect("the balancers run");
            if update.version >= version {
                applied.entry(number).or_insert(update);
            }
        }
        applied.into_values().collect()
    }

    fn listed(&self) -> Vec<usize> {
        self.balancers
            .iter()
            .map(|balancer| balancer.endpoints().listed)
            .collect()
    }
}

fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// The complete list, a change and a removal reach every balancer in time.
fn assert_changes_reach_all_balancers(mode: &str) {
    run_on_one_thread(async {
        let discovery = SimulatedDiscovery::start(ENDPOINT_COUNT);
        let mut fleet = Fleet::start(&parsed_config(&discovery, mode, "null"), BALANCER_COUNT);
        for first in fleet.wait_until_applied(1).await {
            assert!(
                first.full && first.endpoints == ENDPOINT_COUNT,
                "{mode}: {first:?}"
            );
        }
        assert_eq!(fleet.listed(), [ENDPOINT_COUNT; BALANCER_COUNT], "{mode}");

        for (number, state, listed) in [
            (ENDPOINT_COUNT, "active", ENDPOINT_COUNT + 1),
            (3, "left", ENDPOINT_COUNT),
        ] {
            let changed_at = SystemTime::now();
            let version = discovery.change(number, state);
            for update in fleet.wait_until_applied(version).await {
                assert!(!update.full && update.endpoints == 1, "{mode}: {update:?}");
                let took = update
                    .applied_at
                    .duration_since(changed_at)
                    .expect("the update is applied after the change");
                assert!(
                    took < MAX_UPDATE_TIME,
                    "{mode}: the change was applied only after {took:?}"
                );
            }
            assert_eq!(fleet.listed(), [listed; BALANCER_COUNT], "{mode}");
        }
    });
}

#[test]
fn pushed_changes_reach_all_balancers() {
    assert_changes_reach_all_balancers("pushed");
}

#[test]
fn polled_changes_reach_all_balancers() {
    assert_changes_reach_all_balancers("on_request");
}

/// Endpoints that are missing from a complete list are removed.
#[test]
fn complete_list_replaces_previous_one() {
    run_on_one_thread(async {
        let discovery = SimulatedDiscovery::start(ENDPOINT_COUNT);
        discovery
            .shared
            .0
            .lock()
            .expect("no thread panicked while it held the lock")
            .always_complete = true;
        let mut fleet = Fleet::start(&parsed_config(&discovery, "pushed", "null"), BALANCER_COUNT);
        fleet.wait_until_applied(1).await;
        let version = discovery.change(3, "left");
        for update in fleet.wait_until_applied(version).await {
            assert!(
                update.full && update.endpoints == ENDPOINT_COUNT - 1,
                "{update:?}"
            );
        }
        assert_eq!(fleet.listed(), [ENDPOINT_COUNT - 1; BALANCER_COUNT]);
    });
}

/// A balancer that starts with a cached snapshot fetches only what is newer.
#[test]
fn cached_snapshot_saves_fetching_complete_list() {
    run_on_one_thread(async {
        let discovery = SimulatedDiscovery::start(ENDPOINT_COUNT);
        let snapshot = discovery
            .shared
            .0
            .lock()
            .expect("no thread panicked while it held the lock")
            .response(None);
        let version = discovery.change(3, "leaving");
        let mut fleet = Fleet::start(&parsed_config(&discovery, "pushed", &snapshot), 1);
        assert_eq!(
            fleet.listed(),
            [ENDPOINT_COUNT],
            "the cached snapshot is not in force at once"
        );
        let update = fleet.wait_until_applied(version).await[0];
        assert!(!update.full && update.endpoints == 1, "{update:?}");
        assert!(
            discovery.calls()[0].starts_with("/api/targets?since=1&"),
            "{:?}",
            discovery.calls()
        );
    });
}

#[test]
fn serves_requests_once_endpoints_are_known() {
    run_on_one_thread(async {
        let discovery = SimulatedDiscovery::start(ENDPOINT_COUNT);
        let mut fleet = Fleet::start(&parsed_config(&discovery, "pushed", "null"), 1);
        let deadline = Duration::from_secs(1);
        let before = fleet.balancers[0].request(0, 0, deadline).await;
        assert_eq!(
            before,
            RequestOutcome::Rejected,
            "a request before endpoints are known"
        );
        fleet.wait_until_applied(1).await;
        let outcome = fleet.balancers[0].request(0, 0, deadline).await;
        assert_eq!(outcome, RequestOutcome::Served);
    });
}

#[test]
fn dropped_balancer_stops() {
    run_on_one_thread(async {
        let discovery = SimulatedDiscovery::start(ENDPOINT_COUNT);
        let mut fleet = Fleet::start(&parsed_config(&discovery, "pushed", "null"), BALANCER_COUNT);
        fleet.wait_until_applied(1).await;
        fleet.balancers.clear();
        // The channel closes when the tasks of the last balancer have ended.
        let ended = timeout(TEST_TIMEOUT, async {
            while fleet.updates.recv().await.is_some() {}
        })
        .await;
        assert!(ended.is_ok(), "a balancer still runs");
    });
}
