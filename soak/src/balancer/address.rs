//! Addresses on which balancers listen.
use super::error::BalancerError;
use crate::loopback::loopback_address;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port. It is below the ephemeral ports, which outgoing connections use.
const FIRST_PORT: u16 = 20_000;

/// Finds a free address. Each call returns another one, so that no two balancers of this process share it.
pub(super) fn free_address() -> Result<SocketAddr, BalancerError> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed).max(FIRST_PORT);
        match TcpListener::bind((loopback_address(), port)) {
            Ok(listener) => return listener.local_addr().map_err(BalancerError::Address),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(BalancerError::Address(error)),
        }
    }
}
