//! The balancer under test, with stand-ins for clients, upstreams and discovery on loopback ports.
//! Every wait ends when its event has happened; [`TEST_TIMEOUT`] only ends a test that has failed.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
#![allow(dead_code, unused_imports)]

mod admin;
mod balancer_process;
mod client;
mod configuration;
mod crowd;
mod ending;
mod http;
mod listeners;
mod memory;
mod piecewise;
mod raw_http;
mod scripted_discovery;
mod slow_reader;
mod slow_upstream;
mod stub_discovery;
mod stub_upstream;
mod wire_body;

pub use admin::*;
pub use balancer_process::*;
pub use client::*;
pub use configuration::*;
pub use crowd::*;
pub use ending::*;
pub use http::*;
pub use listeners::*;
pub use memory::*;
pub use piecewise::*;
pub use raw_http::*;
pub use scripted_discovery::*;
pub use slow_reader::*;
pub use slow_upstream::*;
pub use stub_discovery::*;
pub use stub_upstream::*;
pub use wire_body::*;

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for an event in a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection whose reads fail after [`TEST_TIMEOUT`].
pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("connects");
    with_read_timeout(stream)
}

/// Buffers this stream, and sets a timeout so that its reads fail after [`TEST_TIMEOUT`].
pub fn with_read_timeout(stream: TcpStream) -> BufReader<TcpStream> {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("sets a read timeout");
    BufReader::new(stream)
}
