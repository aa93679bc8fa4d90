//! The unit of time.

/// Milliseconds: a point in time on the host's clock, or a duration.
///
/// All points in time are on one monotonic clock. The balancer does not read a clock itself.
pub type Millis = f64;
