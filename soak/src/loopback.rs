//! The loopback address of this process. Soaks and tests that run at the same time use other addresses, so that none of
//! them can take the port of a stand-in that is stopped for a while.
use std::net::Ipv4Addr;

/// A loopback address derived from the process id, so that most soaks running at the same time use other ones.
pub(crate) fn loopback_address() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high % 200 + 10, low, 3)
}
