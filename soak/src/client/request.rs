//! Draws the requests that clients send.
use super::{Client, ClientKind};
use crate::observations::RequestProperties;
use crate::request_class::{Idempotency, RequestClass, REQUEST_CLASSES};
use crate::response_body::{LARGE_BODY_REPEATS, LARGE_REQUEST_SUFFIX};
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;

/// Range of the deadlines of requests, in milliseconds.
const DEADLINES_MS: Range<u64> = 250..2000;
/// A small request body, which a large one repeats.
const SMALL_BODY: &str = "twelve bytes";

/// A request that is ready to be sent.
pub(super) struct PreparedRequest {
    /// Unique in the run.
    pub(super) id: String,
    /// The complete message.
    pub(super) bytes: Vec<u8>,
    /// Its properties, which are recorded when it is sent.
    pub(super) properties: RequestProperties,
}

impl Client {
    /// Draws the next request. `complete` says whether the client will send all of it.
    pub(super) fn prepare_request(&mut self, complete: bool) -> PreparedRequest {
        self.requests_prepared += 1;
        let class = REQUEST_CLASSES[self.random.random_range(0..REQUEST_CLASSES.len())];
        let deadline = Duration::from_millis(self.random.random_range(DEADLINES_MS));
        let id = self.next_request_id();
        let bytes = format_request(&id, class, deadline, &self.request_body(class.idempotency));
        let new_connection = self
            .connection
            .as_ref()
            .is_some_and(|connection| !connection.used);
        let properties = RequestProperties {
            idempotency: class.idempotency,
            balancer: self.group.balancer(),
            deadline,
            response_timeout: deadline,
            new_connection,
            complete,
        };
        PreparedRequest {
            id,
            bytes,
            properties,
        }
    }

    fn next_request_id(&self) -> String {
        let suffix = if self.kind == ClientKind::LargeBodies {
            LARGE_REQUEST_SUFFIX
        } else {
            ""
        };
        format!("c{}-{}{suffix}", self.number, self.requests_prepared)
    }

    fn request_body(&self, idempotency: Idempotency) -> String {
        let repeats = if self.kind == ClientKind::LargeBodies {
            LARGE_BODY_REPEATS
        } else {
            1
        };
        match idempotency {
            Idempotency::Idempotent => String::new(),
            Idempotency::IdempotencyKey | Idempotency::NonIdempotent => SMALL_BODY.repeat(repeats),
        }
    }
}

fn format_request(id: &str, class: RequestClass, deadline: Duration, body: &str) -> Vec<u8> {
    let method = match class.idempotency {
        Idempotency::Idempotent => "GET",
        Idempotency::IdempotencyKey | Idempotency::NonIdempotent => "POST",
    };
    let mut head = format!(
        "{method} /api HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: {}\r\nReq-Owner: club\r\nReq-Deadline: {}m\r\n",
        class.name,
        deadline.as_millis()
    );
    if class.idempotency == Idempotency::IdempotencyKey {
        head.push_str(&format!("Idempotency-Key: k-{id}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    format!("{head}\r\n{body}").into_bytes()
}
