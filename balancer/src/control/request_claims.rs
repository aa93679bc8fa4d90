//! Claims of requests that must not run twice, where several processes of one balancer serve.
use hyper::header::HeaderValue;
use std::future::Future;
use std::pin::Pin;

/// The hash of a client's request id. It is the same in all processes of a balancer, also of other
/// versions. If two ids have the same hash, a request may be rejected that could have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdHash(pub u64);

impl RequestIdHash {
    /// FNV-1a with 64 bits.
    pub fn of(id: &HeaderValue) -> RequestIdHash {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let hash = id.as_bytes().iter().fold(OFFSET_BASIS, |hash, &byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        });
        RequestIdHash(hash)
    }
}

/// Claims requests before they are sent, so that no other process of this balancer sends them.
pub trait RequestClaims {
    /// Whether another process serves, so that requests have to be claimed.
    fn is_required(&self) -> bool;

    /// Claims a request. Returns false if another process has it.
    fn claim(&self, id: RequestIdHash) -> Pin<Box<dyn Future<Output = bool> + '_>>;
}
