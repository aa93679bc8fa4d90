//! Limits of size and time that apply to bodies in both directions.
use std::time::Duration;

/// Bodies up to this size are buffered completely before they are forwarded, so that a malformed
/// one is not forwarded at all.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Largest request or response body that is forwarded.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Longest time in which a body makes no progress, because its receiver reads nothing or the
/// upstream sends nothing or next to nothing. The time of its request may be longer, and then holds
/// instead.
pub const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);
