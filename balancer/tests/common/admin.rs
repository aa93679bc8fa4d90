//! Calls to the operators' admin endpoint.
use super::{connect, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Instant;

/// The complete response of an admin endpoint, or of another server, to these bytes.
pub fn call_admin(address: SocketAddr, bytes: &[u8]) -> String {
    let mut connection = connect(address);
    connection.get_mut().write_all(bytes).expect("writes");
    let mut response = String::new();
    connection
        .read_to_string(&mut response)
        .expect("a response");
    response
}

/// Waits until the metrics at this admin endpoint have this line.
pub fn wait_for_metric(address: SocketAddr, line: &str) {
    let start = Instant::now();
    while !call_admin(address, b"METRICS\n")
        .lines()
        .any(|metric| metric == line)
    {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "no line {line} in the metrics: {}",
            call_admin(address, b"METRICS\n")
        );
    }
}
