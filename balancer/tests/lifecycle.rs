//! Graceful shutdown, and configuration errors at startup.
mod common;
use common::*;
use std::time::{Duration, Instant};

#[test]
fn graceful_shutdown_answers_pending_and_new_requests() {
    let (signal, reply) = hold_first_request("held", "x");
    let upstream = StubUpstream::start(reply);
    let mut balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let (mut early, mut kept) = (balancer.client(), balancer.client());
    early.send(&payment_request("early", "20000m"));
    upstream.next_request();
    assert_eq!(kept.call(&get_request("kept", "5000m")).status(), 200);
    let terminated_at = Instant::now();
    balancer.terminate();
    // The balancer accepts connections for 500 ms after SIGTERM. The test expects this only in the
    // first 400 ms: a slow machine may get here later, and then any outcome passes.
    let elapsed_is_below_ms = |ms| terminated_at.elapsed() < Duration::from_millis(ms);
    match balancer.try_client() {
        Some(mut late) => {
            late.send(&get_request("late", "5000m"));
            let status = late.read_response().map(|a| a.status());
            assert!(
                status == Some(200) || !elapsed_is_below_ms(400),
                "{status:?}"
            );
        }
        None => assert!(
            !elapsed_is_below_ms(400),
            "connection refused within 400 ms of SIGTERM"
        ),
    }
    // Guards against closing existing connections when accepting ends: their clients may find no
    // other balancer. They are served until the balancer closes them between two requests.
    while balancer.try_client().is_some() {
        assert!(
            elapsed_is_below_ms(20_000),
            "the balancer still accepts connections 20 s after SIGTERM"
        );
        std::thread::yield_now();
    }
    let mut served = 0;
    loop {
        kept.send(&get_request("again", "5000m"));
        match kept.read_response() {
            // The loop sends many requests, and the balancer may reject some of them with 503, as it
            // may without a shutdown.
            Some(response) => assert!(matches!(response.status(), 200 | 503), "{response:?}"),
            None => break,
        }
        served += 1;
    }
    assert!(
        served > 0 || !elapsed_is_below_ms(2300),
        "the kept connection closed within 2.3 s of SIGTERM without serving a request"
    );
    signal.send(()).expect("the upstream waits");
    assert_eq!(
        early.read_response().expect("the held response").body,
        b"held"
    );
    assert_eq!(balancer.wait_for_exit().code(), Some(0));
}

/// With short deadlines SIGKILL follows soon after SIGTERM, here after 1.1 s.
#[test]
fn graceful_shutdown_is_shorter_with_short_deadlines() {
    let upstream = StubUpstream::start(|m| {
        if m.start_line.starts_with("POST") {
            Reply::NeverRespond
        } else {
            ok_response("x")
        }
    });
    let discovery = StubDiscovery::start();
    let config = balancer_config(
        discovery.address,
        1024,
        &endpoint_list(1, true, &[(0, upstream.address, "active")]),
    );
    let short_config = config.replace(
        "\"objective\":1000,\"deadline\":20000",
        "\"objective\":300,\"deadline\":400",
    );
    let mut balancer = BalancerProcess::run(balancer_command(&short_config), discovery);
    let mut kept = balancer.client();
    assert_eq!(kept.call(&get_request("kept", "5000m")).status(), 200);
    let terminated_at = Instant::now();
    balancer.terminate();
    balancer.wait_for_log("shutdown requested");
    // The request is answered with 502 because the process exits before the client's deadline.
    assert_eq!(kept.call(&payment_request("late", "20000m")).status(), 502);
    assert!(
        terminated_at.elapsed() < Duration::from_millis(2500),
        "the request was answered {:?} after SIGTERM",
        terminated_at.elapsed()
    );
    assert_eq!(balancer.wait_for_exit().code(), Some(0));
}

#[test]
fn silent_clients_do_not_delay_shutdown() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let mut balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let _silent = balancer.client();
    let mut incomplete = balancer.client();
    incomplete.send("GET /api HTTP/1.1\r\nReq-Id: r1\r\n");
    assert_eq!(
        balancer.client().call(&get_request("r2", "5000m")).status(),
        200
    );
    balancer.terminate();
    assert_eq!(balancer.wait_for_exit().code(), Some(0));
    let log = balancer.log_lines();
    assert!(
        log.iter().any(|l| l.contains("shutdown requested")),
        "{log:?}"
    );
    assert!(
        !log.iter().any(|l| l.contains("at the end")),
        "silent clients delayed the shutdown: {log:?}"
    );
}

#[test]
fn reports_an_invalid_configuration_on_one_line() {
    let valid_config = balancer_config(refusing_address(), 1024, "null");
    for (from, to, field) in [
        ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":5", "seed"),
        ("127.0.0.1:0", "nowhere", "listen"),
        (
            "\"balancers\":1",
            "\"balancers\":\"x\"",
            "settings: balancers",
        ),
        ("\"tip_multiple\":4", "\"other\":4", "tip_multiple"),
        ("\"sockets\":1024", "\"sockets\":-1", "limits.sockets"),
    ] {
        let output = balancer_command(&valid_config.replace(from, to))
            .output()
            .expect("runs");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success());
        assert!(
            log.lines().count() == 1 && log.contains(field),
            "{field}: {log}"
        );
    }
}
