//! The request classes of a run. Balancers read them from their settings, clients send requests of each class.

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request carries an idempotency key: upstreams discard repeats within the repeat window.
    IdempotencyKey,
    /// The request must not be executed twice.
    NonIdempotent,
}

impl Idempotency {
    /// The name of this value in a balancer's settings.
    pub fn settings_name(self) -> &'static str {
        match self {
            Idempotency::Idempotent => "free",
            Idempotency::IdempotencyKey => "guarded",
            Idempotency::NonIdempotent => "single_shot",
        }
    }
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Its name in the settings and in the `Req-Kind` header.
    pub name: &'static str,
    /// Whether one of its requests may be executed more than once.
    pub idempotency: Idempotency,
}

/// All request classes of a run.
pub const REQUEST_CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "read",
        idempotency: Idempotency::Idempotent,
    },
    RequestClass {
        name: "order",
        idempotency: Idempotency::IdempotencyKey,
    },
    RequestClass {
        name: "pay",
        idempotency: Idempotency::NonIdempotent,
    },
];
