//! How far the responses to clients are delivered. A response is delivered once the client's socket
//! has accepted all of it, not when hyper has taken the last part of its body.
use crate::body::response_body::ClientReception;
use crate::body::upload::Upload;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;
use tokio::time::Instant;

/// How far the newest request of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// No request is open: hyper has taken all of the last response.
    NoRequest,
    /// The head of a request has been read, and the request is not submitted yet.
    Receiving,
    /// The request waits for its response.
    AwaitingResponse,
    /// hyper has taken the head of the response, and not yet all of its body.
    Responding,
}

/// The delivery of the responses on one connection.
pub struct ResponseDelivery {
    state: Cell<RequestState>,
    /// The body of a request that waits for its response, if that body may still be incomplete.
    upload: RefCell<Option<Rc<Upload>>>,
    /// Whether the socket has not yet accepted all of the responses so far.
    has_unwritten_response: Cell<bool>,
    /// Since when the socket accepts no bytes, although there are some to write.
    blocked_since: Cell<Option<Instant>>,
}

impl ResponseDelivery {
    fn new() -> ResponseDelivery {
        ResponseDelivery {
            state: Cell::new(RequestState::NoRequest),
            upload: RefCell::default(),
            has_unwritten_response: Cell::new(false),
            blocked_since: Cell::new(None),
        }
    }

    /// The head of a request has been read.
    pub fn begin_request(&self) {
        self.state.set(RequestState::Receiving);
    }

    /// The request is submitted. `upload` is its body, if that may still be incomplete.
    pub fn await_response(&self, upload: Option<Rc<Upload>>) {
        self.upload.replace(upload);
        self.state.set(RequestState::AwaitingResponse);
    }

    /// The response to the request begins.
    pub fn begin_response(&self) {
        self.upload.take();
        self.has_unwritten_response.set(true);
        self.state.set(RequestState::Responding);
    }

    /// hyper has taken all of the response, or the request has ended with its connection.
    pub fn end_request(&self) {
        self.upload.take();
        self.state.set(RequestState::NoRequest);
    }

    /// The socket has accepted bytes.
    pub fn record_written(&self) {
        self.blocked_since.set(None);
    }

    /// The socket does not accept bytes now.
    pub fn record_blocked(&self) {
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set(Some(since));
    }

    /// The socket has accepted all that hyper had taken. Returns whether the last response of the
    /// connection is delivered by that.
    pub fn record_flushed(&self) -> bool {
        if self.state.get() == RequestState::Responding {
            return false;
        }
        let was_unwritten = self.has_unwritten_response.replace(false);
        was_unwritten && !self.has_open_request()
    }

    /// Whether a request is open: hyper has not yet taken all of its response.
    pub fn has_open_request(&self) -> bool {
        self.state.get() != RequestState::NoRequest
    }

    /// Whether a request has been received to its end and its response is not delivered.
    pub fn is_outstanding(&self) -> bool {
        self.has_unwritten_response.get()
            || (self.state.get() == RequestState::AwaitingResponse && self.is_upload_complete())
    }

    /// Since when the client has taken nothing, although part of a response waits for it.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get()
    }

    fn is_upload_complete(&self) -> bool {
        let upload = self.upload.borrow();
        upload.as_ref().is_none_or(|upload| upload.is_complete())
    }
}

impl ClientReception for ResponseDelivery {
    fn is_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }
}

/// The deliveries of all client connections.
#[derive(Default)]
pub struct ResponseDeliveries {
    by_key: RefCell<BTreeMap<u64, Rc<ResponseDelivery>>>,
    last_key: Cell<u64>,
}

impl ResponseDeliveries {
    /// Registers a new connection, for as long as the returned value lives.
    pub fn register(self: &Rc<Self>) -> RegisteredDelivery {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let delivery = Rc::new(ResponseDelivery::new());
        self.by_key.borrow_mut().insert(key, delivery.clone());
        RegisteredDelivery {
            deliveries: self.clone(),
            key,
            delivery,
        }
    }

    /// How many connections have an outstanding response that satisfies `condition`.
    pub fn count_outstanding(&self, condition: impl Fn(&ResponseDelivery) -> bool) -> usize {
        let deliveries = self.by_key.borrow();
        deliveries
            .values()
            .filter(|delivery| delivery.is_outstanding() && condition(delivery))
            .count()
    }
}

/// The delivery of a connection that is registered among all deliveries.
pub struct RegisteredDelivery {
    deliveries: Rc<ResponseDeliveries>,
    key: u64,
    delivery: Rc<ResponseDelivery>,
}

impl RegisteredDelivery {
    /// The client's end of the responses that are delivered.
    pub fn reception(&self) -> Rc<dyn ClientReception> {
        self.delivery.clone()
    }
}

impl Deref for RegisteredDelivery {
    type Target = ResponseDelivery;

    fn deref(&self) -> &ResponseDelivery {
        &self.delivery
    }
}

impl Drop for RegisteredDelivery {
    fn drop(&mut self) {
        self.deliveries.by_key.borrow_mut().remove(&self.key);
    }
}

#[cfg(test)]
mod tests;
