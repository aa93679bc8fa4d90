//! The unit of time.

/// Milliseconds: a point in time on the host's clock, or a span.
///
/// Points and spans share one clock that never goes back. The balancer does not read a clock itself.
pub type Millis = f64;
