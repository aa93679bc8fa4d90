//! Restarts: a balancer is ready within 10 s, whatever the state of discovery, the cached list, clients and
//! the system.
mod common;
use common::*;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Number of endpoints in a large list: more than any fleet has had.
const ENDPOINTS: usize = 1024;
/// Longest time from the start of a process until it is ready.
const READINESS_LIMIT: Duration = Duration::from_secs(10);

/// A list of [`ENDPOINTS`] endpoints at one address.
fn endpoints_at(addr: SocketAddr) -> Vec<(usize, SocketAddr, &'static str)> {
    (0..ENDPOINTS).map(|n| (n, addr, "active")).collect()
}

/// Waits until the readiness check succeeds, and asserts that it does within [`READINESS_LIMIT`].
fn wait_until_ready(balancer: &BalancerProcess, since: Instant) {
    while balancer
        .client()
        .call("GET /-/ready HTTP/1.1\r\n\r\n")
        .status()
        != 200
    {
        assert!(
            since.elapsed() < READINESS_LIMIT,
            "not ready within {READINESS_LIMIT:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(
        since.elapsed() < READINESS_LIMIT,
        "ready after {:?}",
        since.elapsed()
    );
}

/// The configuration, with endpoint lists pushed instead of polled if `pushed` is true.
fn with_list_mode(config: String, pushed: bool) -> String {
    if pushed {
        config.replace("on_request", "pushed")
    } else {
        config
    }
}

#[test]
fn serves_from_large_cached_list_while_discovery_is_down_or_unresponsive() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("binds");
    for discovery in [
        refusing_address(),
        unresponsive.local_addr().expect("an address"),
    ] {
        for pushed in [true, false] {
            let config = balancer_config(
                discovery,
                1024,
                &endpoint_list(1, true, &endpoints_at(upstream.address)),
            );
            let started_at = Instant::now();
            let balancer = BalancerProcess::run(
                balancer_command(&with_list_mode(config, pushed)),
                StubDiscovery::start(),
            );
            wait_until_ready(&balancer, started_at);
            assert_eq!(
                balancer.client().call(&get_request("r1", "5000m")).status(),
                200
            );
        }
    }
}

#[test]
fn ignores_malformed_cached_list_and_does_not_log_it_while_serving() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    for pushed in [true, false] {
        let discovery = StubDiscovery::start();
        let known = endpoint_list(1, true, &[(0, refusing_address(), "odd")]);
        let config = balancer_config(discovery.address, 1024, &known);
        let started_at = Instant::now();
        let balancer =
            BalancerProcess::run(balancer_command(&with_list_mode(config, pushed)), discovery);
        assert_eq!(balancer.discovery.next_call_path(), "/api/targets");
        balancer
            .discovery
            .respond(&endpoint_list(3, true, &[(1, upstream.address, "active")]));
        wait_until_ready(&balancer, started_at);
        assert_eq!(
            balancer.client().call(&get_request("r1", "5000m")).status(),
            200
        );
        // The line that reports the malformed list precedes "serving on", and `log_lines` has only later lines: none of
        // them may mention the list.
        assert!(
            !balancer
                .log_lines()
                .iter()
                .any(|line| line.contains("known")),
            "{:?}",
            balancer.log_lines()
        );
    }
}

#[test]
fn updates_stale_cached_list() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let balancer = BalancerProcess::start(
        1024,
        &endpoint_list(1, true, &[(0, refusing_address(), "active")]),
    );
    let started_at = Instant::now();
    assert!(balancer
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=1&"));
    let changes = [
        (0, refusing_address(), "left"),
        (1, upstream.address, "active"),
    ];
    balancer
        .discovery
        .respond(&endpoint_list(9, false, &changes));
    assert!(balancer
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=9&"));
    wait_until_ready(&balancer, started_at);
    assert_eq!(
        balancer.client().call(&get_request("r1", "5000m")).status(),
        200
    );
}

/// The lists are large and indented; they are applied in both modes, pushed and polled.
#[test]
fn applies_and_changes_list_of_over_a_thousand_upstreams() {
    let old = StubUpstream::start(|_| ok_response("old"));
    let new = StubUpstream::start(|_| ok_response("new"));
    for pushed in [true, false] {
        let discovery = StubDiscovery::start();
        let config = balancer_config(discovery.address, 1024, "null");
        let started_at = Instant::now();
        let balancer =
            BalancerProcess::run(balancer_command(&with_list_mode(config, pushed)), discovery);
        balancer.discovery.next_call_path();
        balancer.discovery.respond(
            &endpoint_list(1, true, &endpoints_at(old.address))
                .replace(',', ",\n                    "),
        );
        wait_until_ready(&balancer, started_at);
        let mut client = balancer.client();
        for i in 0..50 {
            assert_eq!(
                client.call(&get_request(&format!("r{i}"), "5000m")).body,
                b"old"
            );
        }
        assert!(balancer.discovery.next_call_path().contains("since=1&"));
        // All endpoints move to another address.
        let moved: Vec<_> = (0..ENDPOINTS).map(|n| (n, new.address, "active")).collect();
        balancer.discovery.respond(&endpoint_list(2, false, &moved));
        assert!(balancer.discovery.next_call_path().contains("since=2&"));
        for i in 50..100 {
            assert_eq!(
                client.call(&get_request(&format!("r{i}"), "5000m")).body,
                b"new"
            );
        }
        assert!(
            balancer.resident_kb() < 32 << 10,
            "resident memory is {} KiB",
            balancer.resident_kb()
        );
    }
}

/// Silent clients take every descriptor they can get while discovery is down. Descriptors remain for connections from
/// operators, to upstreams, and to discovery once discovery has recovered.
#[test]
fn silent_clients_that_fill_descriptors_do_not_block_endpoint_updates() {
    let old = StubUpstream::start(|_| ok_response("old"));
    let new = StubUpstream::start(|_| ok_response("new"));
    for pushed in [true, false] {
        let down = refusing_address();
        let config = balancer_config(
            down,
            64,
            &endpoint_list(1, true, &[(0, old.address, "active")]),
        );
        let balancer = BalancerProcess::run(
            balancer_command(&with_list_mode(with_admin_endpoint(&config), pushed)),
            StubDiscovery::start(),
        );
        let _idle: Vec<Client> = (0..200).map(|_| balancer.client()).collect();
        assert_eq!(
            balancer.client().call(&get_request("r1", "15000m")).body,
            b"old"
        );
        assert!(balancer.call_admin(b"STATUS\n").starts_with("YES"));
        let listener = TcpListener::bind(down).expect("its port is still free");
        let recovered_at = Instant::now();
        let mut call = std::io::BufReader::new(listener.accept().expect("a call").0);
        assert!(read_message(&mut call)
            .expect("a call")
            .start_line
            .contains("since=1&"));
        let update = endpoint_list(2, true, &[(1, new.address, "active")]);
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{update}",
            update.len()
        );
        std::io::Write::write_all(call.get_mut(), response.as_bytes()).expect("writes");
        assert!(read_message(&mut call)
            .expect("the next call of the watch")
            .start_line
            .contains("since=2&"));
        assert!(
            recovered_at.elapsed() < Duration::from_secs(6),
            "the list was applied {:?} after discovery recovered",
            recovered_at.elapsed()
        );
        assert_eq!(
            balancer.client().call(&get_request("r2", "15000m")).body,
            b"new"
        );
    }
}

/// A start-up operation that fails temporarily is retried; here the address is still in use.
#[test]
fn retries_to_listen_while_address_is_in_use() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let occupied = TcpListener::bind("127.0.0.1:0").expect("binds");
    let listen = format!(
        "\"listen\":\"{}\"",
        occupied.local_addr().expect("an address")
    );
    let discovery = StubDiscovery::start();
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let config = balancer_config(discovery.address, 1024, &known)
        .replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let since = Instant::now();
    let release = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(800));
        drop(occupied);
    });
    let balancer = BalancerProcess::run(balancer_command(&config), discovery);
    wait_until_ready(&balancer, since);
    release.join().expect("no panic");
}
