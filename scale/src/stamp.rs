//! Points in time that travel in answers, so that a client can tell what the service's own time was.
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The start of a run's clock, which clients and services share.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The instant at this time.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at
    }
}

/// When a service had read a request whole and when it began to answer: the head of each answer's body.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Stamp {
    /// The request's last byte was read.
    pub received: Duration,
    /// The answer was ready.
    pub answered: Duration,
}

impl Stamp {
    /// A body of this size at least that begins with the stamp.
    pub fn body(&self, size: usize) -> Vec<u8> {
        // Numbers always have a form in JSON.
        let mut body = serde_json::to_vec(self).unwrap_or_default();
        body.push(b'\n');
        body.resize(body.len().max(size), b'.');
        body
    }

    /// The stamp at the head of a body.
    pub fn read(body: &[u8]) -> Option<Stamp> {
        let head = body.split(|&byte| byte == b'\n').next()?;
        serde_json::from_slice(head).ok()
    }

    /// How long the service had the request.
    pub fn held(&self) -> Duration {
        self.answered.saturating_sub(self.received)
    }
}
