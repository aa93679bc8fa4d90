//! The driver's state: the core, the pending requests, the attempts in flight, the timers and the endpoints.
//!
//! Each method keeps these tables consistent with one another. None of them makes a decision.
use crate::clock::{to_millis, Clock};
use crate::control::attempts::Attempts;
use crate::control::driver_options::DriverOptions;
use crate::control::pending_requests::PendingRequests;
use crate::control::timers::TimerQueue;
use crate::invariants::Guard;
use crate::outbound::dispatch::Dispatch;
use crate::outbound::endpoint_table::EndpointTable;
use crate::telemetry::log::LogOutput;
use balancer_core::{Action, Balancer, Event, Idempotency, Millis};
use std::collections::VecDeque;
use tokio::time::Instant;

pub mod attempt_lifecycle;
mod endpoints;
pub mod requests;
mod timers;

/// The driver's state.
pub struct DriverState {
    balancer: Balancer,
    clock: Clock,
    dispatch: Dispatch,
    log: LogOutput,
    guard: Guard,
    idempotency_by_class: Vec<Idempotency>,
    rejects_after_start: bool,
    /// Upper limit of the deadlines that are set from now on; `None` until shutdown begins.
    latest_deadline: Option<Instant>,
    pending: PendingRequests,
    attempts: Attempts,
    endpoints: EndpointTable,
    timers: TimerQueue,
    /// Events that the core has not handled yet.
    events: VecDeque<Event>,
}

impl DriverState {
    /// The state before the first event.
    pub fn new(options: DriverOptions) -> DriverState {
        DriverState {
            balancer: options.balancer,
            clock: options.clock,
            dispatch: options.dispatch,
            log: options.log,
            guard: options.guard,
            idempotency_by_class: options.idempotency_by_class,
            rejects_after_start: options.rejects_after_start,
            latest_deadline: None,
            pending: PendingRequests::new(options.max_pending_requests),
            attempts: Attempts::default(),
            endpoints: EndpointTable::new(options.drain_grace),
            timers: TimerQueue::default(),
            events: VecDeque::new(),
        }
    }

    /// The core's time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A point in time as the core counts it.
    fn core_time(&self, at: Instant) -> Millis {
        let now = Instant::now();
        let until = to_millis(at.saturating_duration_since(now));
        let since = to_millis(now.saturating_duration_since(at));
        self.now() + until - since
    }

    /// Adds an event to those that the core has not handled yet.
    pub fn push_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Passes the next event to the core and adds its actions to `actions`. Returns whether there was one.
    pub fn handle_next_event(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(event) = self.events.pop_front() else {
            return false;
        };
        let now = self.now();
        self.balancer.handle(now, event, actions);
        true
    }

    /// What carries out attempts.
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Where log lines go.
    pub fn log(&self) -> LogOutput {
        self.log
    }
}
