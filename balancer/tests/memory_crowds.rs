//! Memory that crowds of clients cause: it stays within the limit of the configuration, and ordinary
//! requests beside them are answered.
mod common;

use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The limits of a balancer.
#[derive(Clone, Copy, Debug)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

/// The least memory and the most descriptors that the pages allow.
const TIGHTEST_LIMITS: Limits = Limits {
    memory_mb: 32,
    sockets: 1024,
};
/// Limits of other deployments.
const OTHER_LIMITS: [Limits; 3] = [
    Limits {
        memory_mb: 32,
        sockets: 256,
    },
    Limits {
        memory_mb: 48,
        sockets: 672,
    },
    Limits {
        memory_mb: 96,
        sockets: 1024,
    },
];
/// How long a crowd of one kind plays.
const PLAY_TIME: Duration = Duration::from_secs(4);
/// How long crowds of all kinds play, and each of them.
const WAVES_TIME: Duration = Duration::from_secs(15);
const WAVE_TIME: Duration = Duration::from_millis(400);
/// Time of an ordinary request, and how much later its answer may come.
const ORDINARY_TIME: Duration = Duration::from_secs(2);
const ANSWER_GRACE: Duration = Duration::from_millis(550);
/// Pause between two ordinary requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(20);
/// Within this time after a crowd has left its memory is returned.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// A configuration with these limits, and the discovery that it names.
fn configure(limits: Limits, upstream: SocketAddr) -> (String, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let endpoints = active_endpoints(&[upstream]);
    discovery.respond(&endpoints);
    let config = balancer_config(discovery.address, limits.sockets, &endpoints);
    let limit = format!("\"memory_mb\":{}", limits.memory_mb);
    let config = config.replacen("\"memory_mb\":192", &limit, 1);
    (config, discovery)
}

fn start_balancer(limits: Limits) -> BalancerProcess {
    let (config, discovery) = configure(limits, start_crowd_upstream());
    BalancerProcess::run(balancer_command(&with_admin_endpoint(&config)), discovery)
}

fn expect_within_limit(limits: Limits, sampler: MemorySampler, play: &str) {
    let peak_kb = sampler.stop();
    println!("{play}: {peak_kb} kB, {limits:?}");
    assert!(
        peak_kb < limits.memory_mb << 10,
        "{play}: {peak_kb} kB, {limits:?}"
    );
}

/// Plays a crowd of one kind: as many clients as may have requests, and as many as are accepted.
fn play_crowd(kind: CrowdClient, piece: usize) {
    let limits = TIGHTEST_LIMITS;
    for clients in [limits.sockets / 3, limits.sockets * 3 / 4] {
        let balancer = start_balancer(limits);
        let sampler = balancer.sample_memory();
        let mut crowd = Crowd::new(balancer.address);
        crowd.grow_to(clients, || kind);
        assert!(crowd.len() > clients / 2, "few clients: {}", crowd.len());
        crowd.play(PLAY_TIME, piece);
        let play = format!("{clients} clients, {kind:?}, pieces of {piece}");
        expect_within_limit(limits, sampler, &play);
        balancer.wait_for_metric("node_violations{rule=\"closed_unanswered\"} 0");
    }
}

/// Guards against heads that are kept twice while they are incomplete.
#[test]
fn incomplete_heads_of_many_clients_stay_within_the_memory_limit() {
    play_crowd(CrowdClient::IncompleteHead, 700);
}

/// Guards against header maps of kilobytes for heads of many short fields.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    play_crowd(CrowdClient::ManyShortFields, 64);
}

/// Guards against keeping the buffer of a large head as long as its request waits.
#[test]
fn large_heads_of_many_clients_stay_within_the_memory_limit() {
    play_crowd(CrowdClient::LargeHead, 700);
}

/// The same for the heads of responses.
#[test]
fn response_heads_of_many_fields_stay_within_the_memory_limit() {
    play_crowd(CrowdClient::ManyResponseFields, 64 << 10);
}

/// Guards against uploads that hold more than their budget while their clients and upstreams stand
/// still.
#[test]
fn uploads_that_stop_half_way_stay_within_the_memory_limit() {
    play_crowd(CrowdClient::StoppedUpload, 9000);
    play_crowd(CrowdClient::StoppedSmallUpload, 9000);
}

/// Guards against responses that are relayed without a budget.
#[test]
fn large_responses_that_are_read_slowly_stay_within_the_memory_limit() {
    play_crowd(CrowdClient::SlowReader, 64 << 10);
}

/// Guards against clients that read but whose response is held back or cut off, because others that do
/// not read hold the memory.
#[test]
fn client_that_reads_gets_a_large_response_beside_slow_readers() {
    let limits = TIGHTEST_LIMITS;
    let balancer = start_balancer(limits);
    let mut crowd = Crowd::new(balancer.address);
    crowd.grow_to(limits.sockets / 3, || CrowdClient::SlowReader);
    let crowd = thread::spawn(move || crowd.play(PLAY_TIME * 2, 64 << 10));
    sleep(PLAY_TIME / 2);
    let started_at = Instant::now();
    for number in 0.. {
        assert!(started_at.elapsed() < PLAY_TIME, "only rejections");
        let mut client = connect(balancer.address);
        let request = large_response_request(&format!("reader-{number}"));
        client.get_mut().write_all(&request).expect("writes");
        let received = receive(client, Instant::now());
        if received.head.starts_with("HTTP/1.1 503 ") {
            sleep(ORDINARY_PAUSE);
            continue;
        }
        assert!(
            received.head.starts_with("HTTP/1.1 200 "),
            "{}",
            received.head
        );
        assert_eq!(received.body.len(), LARGE_RESPONSE_BYTES);
        break;
    }
    balancer.wait_for_log("memory is short");
    assert!(crowd.join().is_ok());
}

/// Guards against rejecting all requests because many connections are open.
#[test]
fn serves_requests_with_bodies_however_many_clients_are_idle() {
    let limits = TIGHTEST_LIMITS;
    let upstream = StubUpstream::start(|_| ok_response("ok"));
    let (config, discovery) = configure(limits, upstream.address);
    let balancer = BalancerProcess::run(balancer_command(&config), discovery);
    let idle: Vec<_> = (0..limits.sockets)
        .map_while(|_| connect_slow_reader(balancer.address))
        .collect();
    assert!(
        idle.len() > limits.sockets / 2,
        "few clients: {}",
        idle.len()
    );
    let body = "b".repeat(60_000);
    for number in 0..20 {
        let framing = format!("Content-Length: {}", body.len());
        let request = upload_head(&format!("beside-idle-{number}"), &framing) + &body;
        assert_eq!(balancer.client().call(&request).status(), 200);
    }
}

/// Guards against a final response that comes seconds late, because a large request waits for memory
/// that others hold, or for its upstream, which reads nothing.
#[test]
fn large_request_is_answered_in_time_beside_a_crowd() {
    let limits = TIGHTEST_LIMITS;
    let balancer = start_balancer(limits);
    let mut crowd = Crowd::new(balancer.address);
    crowd.grow_to(limits.sockets / 3, || CrowdClient::StoppedUpload);
    let crowd = thread::spawn(move || crowd.play(PLAY_TIME * 3 / 2, 9000));
    sleep(PLAY_TIME / 2);
    let time = format!("{}m", ORDINARY_TIME.as_millis());
    for number in 0..4 {
        let head = upload_head(&format!("large-{number}"), "Content-Length: 300000");
        let mut request = head.replace("15000m", &time).into_bytes();
        request.resize(request.len() + 300_000, b'x');
        let mut client = connect(balancer.address);
        // The balancer may reject the request before it has read all of it.
        let _ = client.get_mut().write_all(&request);
        let received = receive(client, Instant::now());
        assert!(
            received.is_complete && received.ended_after < ORDINARY_TIME + ANSWER_GRACE,
            "{:?} after {:?}",
            received.head,
            received.ended_after
        );
        assert!(
            received.head.starts_with("HTTP/1.1 50"),
            "{}",
            received.head
        );
    }
    assert!(crowd.join().is_ok());
}

/// Guards against two processes of an upgrade that together exceed the limit, which they share.
#[test]
fn crowd_at_an_upgrade_stays_within_the_memory_limit() {
    let limits = TIGHTEST_LIMITS;
    let folder = state_folder("crowd-upgrade");
    let upstream = start_crowd_upstream();
    let (config, discovery) = configure(limits, upstream);
    let old = BalancerProcess::beside(&folder, None, &config, discovery);
    let mut random = Random(7);
    let mut crowd = Crowd::new(old.address);
    crowd.grow_to(limits.sockets / 2, || random.crowd_client());
    crowd.play(PLAY_TIME / 2, 9000);
    let (config, discovery) = configure(limits, upstream);
    let new = BalancerProcess::beside(&folder, Some(&old), &config, discovery);
    let sampler = MemorySampler::start_sum(&[old.process_id(), new.process_id()]);
    old.terminate();
    for _ in 0..10 {
        crowd.shrink_to(crowd.len() * 3 / 4);
        crowd.grow_to(limits.sockets / 2, || random.crowd_client());
        crowd.play(WAVE_TIME, 9000);
    }
    expect_within_limit(limits, sampler, "an upgrade");
}

/// Pseudo-random numbers that are the same in each run.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % limit
    }

    fn crowd_client(&mut self) -> CrowdClient {
        CROWD_CLIENTS[self.below(CROWD_CLIENTS.len())]
    }
}

/// Clients with small requests beside a crowd. Returns the statuses that they get, sorted.
fn start_ordinary_client(
    balancer: &BalancerProcess,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<u16>> {
    let address = balancer.address;
    let is_over = is_over.clone();
    thread::spawn(move || {
        let mut statuses = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let id = format!("ordinary-{}", statuses.len());
            let request = get_request(&id, &format!("{}m", ORDINARY_TIME.as_millis()));
            let started_at = Instant::now();
            let status = Client::connect(address).call(&request).status();
            let answered_after = started_at.elapsed();
            assert!(
                answered_after < ORDINARY_TIME + ANSWER_GRACE,
                "{status} after {answered_after:?}"
            );
            statuses.push(status);
            sleep(ORDINARY_PAUSE);
        }
        statuses
    })
}

/// Crowds of all kinds come and go. Of each wave, most clients are of one kind.
fn play_waves(balancer: &BalancerProcess, limits: Limits, seed: u64) {
    let mut random = Random(seed);
    let mut crowd = Crowd::new(balancer.address);
    let most_clients = limits.sockets * 3 / 4;
    let started_at = Instant::now();
    while started_at.elapsed() < WAVES_TIME {
        if random.below(3) == 0 {
            crowd.shrink_to(crowd.len() / 2);
        }
        let target = most_clients / 4 + random.below(most_clients * 3 / 4);
        let usual_kind = random.crowd_client();
        crowd.grow_to(target, || match random.below(4) {
            0 => random.crowd_client(),
            _ => usual_kind,
        });
        crowd.play(WAVE_TIME, 700 + random.below(9000));
    }
}

/// Plays waves beside an ordinary client.
fn expect_waves_within_limit(limits: Limits, seed: u64) {
    let balancer = start_balancer(limits);
    let sampler = balancer.sample_memory();
    let is_over = Arc::new(AtomicBool::new(false));
    let ordinary = start_ordinary_client(&balancer, &is_over);
    play_waves(&balancer, limits, seed);
    is_over.store(true, Ordering::SeqCst);
    expect_within_limit(limits, sampler, &format!("waves of seed {seed}"));
    let Ok(statuses) = ordinary.join() else {
        panic!("an ordinary request is not answered in time, {limits:?}");
    };
    let served = statuses.iter().filter(|&&status| status == 200).count();
    assert!(served > 0, "none of {} requests is served", statuses.len());
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    balancer.wait_for_metric("node_violations{rule=\"closed_unanswered\"} 0");
    expect_memory_returned(&balancer, limits);
}

/// Guards against memory that the process keeps after a crowd has left: more than half of the limit
/// is counted as growth.
fn expect_memory_returned(balancer: &BalancerProcess, limits: Limits) {
    let left_at = Instant::now();
    while balancer.resident_kb() > limits.memory_mb << 9 {
        assert!(
            left_at.elapsed() < RETURN_TIME,
            "{} kB are resident, {limits:?}",
            balancer.resident_kb()
        );
        sleep(ORDINARY_PAUSE);
    }
}

/// Guards against a limit that holds for each kind of client alone, and against clients that get no
/// answer because others hold all memory.
#[test]
fn crowds_of_all_kinds_stay_within_the_memory_limit_and_let_others_be_served() {
    for seed in [1, 2] {
        expect_waves_within_limit(TIGHTEST_LIMITS, seed);
    }
}

/// The same with the limits of other deployments.
#[test]
fn crowds_stay_within_the_memory_limits_of_other_deployments() {
    for limits in OTHER_LIMITS {
        expect_waves_within_limit(limits, 3);
    }
}
