//! Calls to discovery: watches, snapshots, and reloads that change its address.
mod common;
use common::*;
use std::net::SocketAddr;

/// The next call asks for updates after this version.
fn expect_call_since(discovery: &StubDiscovery, version: u64, situation: &str) {
    let path = discovery.next_call_path();
    assert!(
        path.starts_with(&format!("/api/targets?since={version}&")),
        "{situation}: expected a call since version {version}, got {path}"
    );
}

/// Lists that must be ignored: one without some fields, one with an unknown state, and one that is
/// not JSON.
fn malformed_lists(address: SocketAddr) -> [String; 3] {
    [
        "{\"version\":8,\"full\":true,\"servers\":[{\"id\":\"s-0\"}]}".to_string(),
        endpoint_list(9, true, &[(0, address, "odd")]),
        "not even".to_string(),
    ]
}

#[test]
fn watch_follows_versions_and_ignores_malformed_lists() {
    let (old, new) = (
        StubUpstream::start(|_| ok_response("old")),
        StubUpstream::start(|_| ok_response("new")),
    );
    let balancer =
        BalancerProcess::start(1024, &endpoint_list(5, true, &[(0, old.address, "active")]));
    let discovery = &balancer.discovery;
    let mut client = balancer.client();
    let mut served_by =
        |id: &str| String::from_utf8(client.call(&get_request(id, "5000m")).body).expect("text");
    assert!(discovery
        .next_call_path()
        .starts_with("/api/targets?since=5&timeout_ms="));
    assert_eq!(served_by("r1"), "old");
    let changes = [(0, old.address, "leaving"), (1, new.address, "active")];
    discovery.respond(&endpoint_list(7, false, &changes));
    // The next call shows that the update has been applied.
    expect_call_since(discovery, 7, "the watch continues");
    for i in 0..10 {
        assert_eq!(served_by(&format!("n{i}")), "new");
    }
    for malformed in malformed_lists(old.address) {
        discovery.respond(&malformed);
        expect_call_since(discovery, 7, &malformed);
        assert_eq!(served_by("r"), "new");
    }
    discovery.respond_unavailable();
    expect_call_since(discovery, 7, "the watch continues");
    assert_eq!(served_by("r"), "new");
    discovery.respond(&endpoint_list(9, true, &[(0, old.address, "active")]));
    expect_call_since(discovery, 9, "the watch continues");
    assert_eq!(
        served_by("r"),
        "old",
        "a snapshot did not remove an unlisted upstream"
    );
    // Guards against asking forever for updates after a version that discovery does not know any
    // more since its restart.
    discovery.respond(&endpoint_list(2, false, &[(1, new.address, "active")]));
    assert_eq!(
        discovery.next_call_path(),
        "/api/targets",
        "a delta with an older version caused no request for a snapshot"
    );
    assert_eq!(served_by("r"), "old");
    discovery.respond(&endpoint_list(2, true, &[(1, new.address, "active")]));
    expect_call_since(discovery, 2, "the watch continues");
    assert_eq!(served_by("r"), "new");
    // A snapshot older than the known version may be stale: it changes nothing until it is
    // confirmed.
    discovery.respond(&endpoint_list(1, true, &[(0, old.address, "active")]));
    assert_eq!(
        discovery.next_call_path(),
        "/api/targets",
        "an older list caused no request for a snapshot"
    );
    assert_eq!(served_by("r"), "new");
    discovery.respond(&endpoint_list(1, true, &[(0, old.address, "active")]));
    expect_call_since(
        discovery,
        1,
        "after a requested snapshot with an older version",
    );
    assert_eq!(served_by("r"), "old");
}

#[test]
fn reload_migrates_discovery_and_keeps_requests_in_flight() {
    let (signal, reply) = hold_first_request("old", "old");
    let old = StubUpstream::start(reply);
    let new = StubUpstream::start(|_| ok_response("new"));
    let mut balancer = BalancerProcess::start(
        1024,
        &endpoint_list(41, true, &[(0, old.address, "active")]),
    );
    assert!(balancer
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=41&"));
    let mut client = balancer.client();
    client.send(&get_request("r1", "15000m"));
    old.next_request();
    // Guards against SIGHUP ending the process, and against an invalid configuration file changing
    // anything.
    balancer.reload("{");
    balancer.wait_for_log("not reloaded");
    // The first reload names an unresponsive address. The second one names another address, and
    // must not wait for the first.
    let (unresponsive, second) = (UnresponsiveListener::start(), StubDiscovery::start());
    balancer.reload(&balancer_config(unresponsive.address, 1024, "null"));
    balancer.wait_for_log(&format!("now at {}", unresponsive.address));
    let mut other = balancer.client();
    assert_eq!(
        other.call(&get_request("r2", "5000m")).body,
        b"old",
        "the known list is not used until the new address sends one"
    );
    balancer.reload(&balancer_config(second.address, 1024, "null"));
    // Versions of the old address do not apply to the new one.
    assert_eq!(second.next_call_path(), "/api/targets");
    second.respond(&endpoint_list(3, true, &[(1, new.address, "active")]));
    assert!(second.next_call_path().starts_with("/api/targets?since=3&"));
    assert_eq!(other.call(&get_request("r3", "5000m")).body, b"new");
    signal.send(()).expect("the upstream waits");
    assert_eq!(
        client.read_response().expect("a response").body,
        b"old",
        "the request in flight did not continue"
    );
    // Another reload to a new address, while the watch waits.
    let third = StubDiscovery::start();
    balancer.reload(&balancer_config(third.address, 1024, "null"));
    assert_eq!(third.next_call_path(), "/api/targets");
    third.respond(&endpoint_list(1, true, &[(0, old.address, "active")]));
    assert!(third.next_call_path().starts_with("/api/targets?since=1&"));
    assert_eq!(other.call(&get_request("r4", "5000m")).body, b"old");
    balancer.terminate();
    assert!(balancer.wait_for_exit().success());
}

#[test]
fn watch_continues_when_discovery_closes_connections() {
    let balancer = BalancerProcess::start(1024, "null");
    balancer.discovery.next_call_path();
    let upstream = StubUpstream::start(|_| ok_response("x"));
    balancer.discovery.respond_with_headers(
        "Connection: close\r\n",
        &endpoint_list(1, true, &[(0, upstream.address, "active")]),
    );
    for version in 1..5 {
        assert!(balancer
            .discovery
            .next_call_path()
            .contains(&format!("since={version}&")));
        balancer.discovery.respond_with_headers(
            "Connection: close\r\n",
            &endpoint_list(version + 1, false, &[]),
        );
    }
    assert!(balancer.discovery.next_call_path().contains("since=5&"));
    assert_eq!(
        balancer.log_lines(),
        Vec::<String>::new(),
        "a closed connection was logged as a failed call"
    );
}
