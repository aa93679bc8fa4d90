//! The requests on a client connection as far as its input has been read: complete heads, partial
//! heads and when they arrived.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::Instant;

/// The requests on one client connection, as far as its bytes have been read.
pub struct RequestTracker {
    /// How many complete heads have been read.
    requests_read: Cell<u64>,
    /// How many of these requests hyper has dispatched to the service.
    requests_dispatched: Cell<u64>,
    /// Whether part of a head has been read.
    has_partial_head: Cell<bool>,
    /// When the heads arrived that are not yet dispatched.
    arrivals: RefCell<VecDeque<Instant>>,
    /// Since when the balancer has waited for the client: the start of the connection, the first
    /// byte of a later head, or the end of the last response.
    waiting_since: Cell<Instant>,
    /// Number of the request with ambiguous framing, counted from 1 on its connection.
    ambiguous_request: Cell<Option<u64>>,
}

impl RequestTracker {
    /// Tracks a new connection.
    pub fn new() -> Rc<RequestTracker> {
        Rc::new(RequestTracker {
            requests_read: Cell::new(0),
            requests_dispatched: Cell::new(0),
            has_partial_head: Cell::new(false),
            arrivals: RefCell::default(),
            waiting_since: Cell::new(Instant::now()),
            ambiguous_request: Cell::new(None),
        })
    }

    /// Records that the next request is dispatched to the service, and returns when its head
    /// arrived.
    pub fn record_dispatch(&self) -> Instant {
        self.requests_dispatched
            .set(self.requests_dispatched.get() + 1);
        self.arrivals
            .borrow_mut()
            .pop_front()
            .unwrap_or_else(Instant::now)
    }

    /// Whether any request has been dispatched.
    pub fn has_dispatched(&self) -> bool {
        self.requests_dispatched.get() > 0
    }

    /// Whether part of a head has been read.
    pub fn has_partial_head(&self) -> bool {
        self.has_partial_head.get()
    }

    /// Whether complete requests have been read that are not yet dispatched.
    pub fn has_undispatched_request(&self) -> bool {
        self.requests_read.get() > self.requests_dispatched.get()
    }

    /// Whether input has been read that is not yet dispatched.
    pub fn has_pending_input(&self) -> bool {
        self.has_partial_head() || self.has_undispatched_request()
    }

    /// Whether the framing of the last dispatched request is ambiguous.
    pub fn is_framing_ambiguous(&self) -> bool {
        self.ambiguous_request.get() == Some(self.requests_dispatched.get())
    }

    /// Since when the balancer has waited for the client.
    pub fn waiting_since(&self) -> Instant {
        self.waiting_since.get()
    }

    /// Starts waiting for the client now.
    pub fn restart_wait(&self) {
        self.waiting_since.set(Instant::now());
    }

    /// Records the first byte of a head.
    pub fn record_head_start(&self) {
        if self.has_dispatched() {
            self.restart_wait();
        }
    }

    /// Records that a head is complete, whose last bytes arrived at `arrival`.
    pub fn record_head_end(&self, arrival: Instant) {
        self.requests_read.set(self.requests_read.get() + 1);
        self.arrivals.borrow_mut().push_back(arrival);
    }

    /// Records that the framing of the newest head is ambiguous.
    pub fn record_ambiguous_head(&self) {
        self.ambiguous_request.set(Some(self.requests_read.get()));
    }

    /// Records whether part of a head has been read.
    pub fn set_partial_head(&self, has_partial_head: bool) {
        self.has_partial_head.set(has_partial_head);
    }
}
