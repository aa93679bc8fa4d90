//! The decisions of a load balancer for services that call services, as a sans-I/O state machine.
//!
//! The host passes each [`Event`] to a [`Balancer`] and carries out the [`Action`]s that it returns. The
//! balancer opens no socket, reads no clock and shares no state with other balancers. Its decisions depend
//! only on its settings, its seed and the events.
//!
//! ```
//! use balancer_core::{
//!     Action, AttemptOutcome, Availability, Balancer, Endpoint, EndpointEvent, Event, Request,
//!     RequestId, Settings, UpstreamId,
//! };
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, 0.0).expect("settings should be valid");
//! let mut actions = Vec::new();
//! let endpoint = Endpoint {
//!     id: UpstreamId(1),
//!     zone: 0,
//!     kind: 0,
//!     group: 0,
//!     availability: Availability::Ready,
//!     started_at: 0.0,
//! };
//! let list = EndpointEvent::Snapshot(vec![endpoint]);
//! balancer.handle(0.0, Event::Endpoints(list), &mut actions);
//! actions.clear();
//!
//! let id = RequestId(1);
//! let request = Request {
//!     id,
//!     class: 0,
//!     tenant: 0,
//!     deadline: 3000.0,
//! };
//! balancer.handle(1.0, Event::Request(request), &mut actions);
//! assert!(matches!(
//!     actions[0],
//!     Action::Send { request, upstream: UpstreamId(1), .. } if request == id
//! ));
//!
//! actions.clear();
//! let ended = Event::AttemptEnded {
//!     request: id,
//!     attempt: 0,
//!     outcome: AttemptOutcome::Success,
//!     duration: 20.0,
//!     request_completed: true,
//! };
//! balancer.handle(21.0, ended, &mut actions);
//! assert!(actions.is_empty(), "a completed request needs no action");
//! ```
mod action;
mod class;
mod endpoint;
mod event;
mod policy;
mod request;
mod settings;
mod time;

pub use action::Action;
pub use class::{Class, DedupScope, Idempotency};
pub use endpoint::{Availability, Endpoint, EndpointCounts, EndpointEvent, UpstreamId};
pub use event::Event;
pub use policy::{tenant_limits, Balancer};
pub use request::{AttemptOutcome, Request, RequestId};
pub use settings::{Settings, SettingsError, Tenant};
pub use time::Millis;

/// Runs the README's example with the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../README.md")]
struct Readme;
