//! The clock of a measurement, and the times that a service reports in its responses.
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Separates the times from the padding in a response body.
const TIMES_END: u8 = b'\n';
const PADDING: u8 = b'.';

/// A clock that the clients and services of one measurement of calls share.
#[derive(Clone, Copy, Debug)]
pub struct MeasurementClock {
    started_at: Instant,
}

impl MeasurementClock {
    /// A clock that starts now.
    pub fn start() -> MeasurementClock {
        MeasurementClock {
            started_at: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The instant at this time since the start.
    pub fn instant(&self, time: Duration) -> Instant {
        self.started_at + time
    }
}

/// When a service received a request and when it responded, as times since the measurement's start. Each response body
/// begins with them, so that a client can subtract the service's own time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ServiceTimes {
    /// When the request's last byte had been read.
    #[serde(rename = "received")]
    pub received_at: Duration,
    /// When the response was ready.
    #[serde(rename = "answered")]
    pub responded_at: Duration,
}

impl ServiceTimes {
    /// A response body that begins with the times and has at least this size in bytes.
    pub fn to_body(&self, min_bytes: usize) -> Vec<u8> {
        // Durations always serialize.
        let mut body = serde_json::to_vec(self).unwrap_or_default();
        body.push(TIMES_END);
        body.resize(body.len().max(min_bytes), PADDING);
        body
    }

    /// The times at the start of a response body.
    pub fn from_body(body: &[u8]) -> Option<ServiceTimes> {
        let head = body.split(|&byte| byte == TIMES_END).next()?;
        serde_json::from_slice(head).ok()
    }

    /// Time between the request's last byte and the response.
    pub fn service_time(&self) -> Duration {
        self.responded_at.saturating_sub(self.received_at)
    }
}
