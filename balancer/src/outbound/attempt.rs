//! One attempt: sends a request to one upstream once, and receives its response.
use crate::body::request_body::{AttemptBody, RequestBody};
use crate::invariants::{Guard, WriteConditions};
use crate::memory::budget::{MemoryBudget, MemoryUse, Reservation};
use crate::memory::report::MemoryRefusal;
use crate::net::shared_stream::{SharedStream, WriteProgress};
use crate::outbound::attempt::reception::StartedResponse;
use crate::outbound::attempt_result::{AttemptResult, SendRequestError};
use crate::outbound::connection_pool::Upstream;
use crate::outbound::connector::{AcquiredConnection, ConnectionOrigin, Connector};
use crate::outbound::headers::DEADLINE_HEADER;
use crate::outbound::message::{FinalResponse, OutboundRequest};
use crate::outbound::response_outcome::{outcome_of_read_error, outcome_of_response};
use crate::outbound::response_progress::ResponseProgress;
use crate::outbound::reuse_lease::ReuseLease;
use balancer_core::AttemptOutcome;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

mod reception;

/// How long the body of a request is withheld on a connection from the pool. If the upstream has
/// closed the connection, the upstream's reset arrives within this time. A request whose last byte
/// is unwritten has not run, so it may then use another connection.
const BODY_DELAY_ON_POOLED_CONNECTION: Duration = Duration::from_millis(2);

/// Memory of an attempt that opens a connection, apart from the head of its request.
const ATTEMPT_BYTES: usize = 28 << 10;

/// The connector and the write checks that all attempts share.
#[derive(Clone)]
pub struct Transport {
    connector: Connector,
    body_delay_on_pooled_connection: Duration,
    guard: Guard,
    memory: MemoryBudget,
}

impl Transport {
    /// Creates a transport whose attempts use the connections of `connector`; `guard` checks their
    /// writes, and `memory` limits the memory of buffered responses.
    pub fn new(connector: Connector, guard: Guard, memory: MemoryBudget) -> Self {
        Transport {
            connector,
            body_delay_on_pooled_connection: BODY_DELAY_ON_POOLED_CONNECTION,
            guard,
            memory,
        }
    }

    /// How long connections may be idle.
    pub fn idle_limit(&self) -> Duration {
        self.connector.idle_limit()
    }

    /// Whether the descriptor budget has no free permit, so that no connection can be opened.
    pub fn descriptors_exhausted(&self) -> bool {
        self.connector.descriptors_exhausted()
    }

    /// Carries out one attempt, which writes its request at most once. Dropping the future closes
    /// the connection.
    ///
    /// Records in `progress` what has arrived of the response. Calls `on_connected` each time the
    /// attempt has got a connection. Passes a large or slow response to `on_response_started` once its
    /// head and, where its length is unstated, the first bytes of its body have arrived; the attempt
    /// then lasts until the end of that body.
    pub async fn attempt(
        &self,
        upstream: Rc<Upstream>,
        request: Rc<OutboundRequest>,
        deadline: Instant,
        progress: Rc<ResponseProgress>,
        on_connected: impl Fn(),
        on_response_started: impl FnOnce(FinalResponse),
    ) -> AttemptResult {
        let attempt = Attempt {
            transport: self,
            upstream,
            request,
            deadline,
            progress,
        };
        let started = match attempt.send_request(on_connected).await {
            Ok(started) => started,
            Err(error) => return error.into(),
        };
        // Boxed, so that attempts take no memory for it before there is a response.
        Box::pin(attempt.receive_response(started, on_response_started))
            .await
            .unwrap_or_else(AttemptResult::from)
    }
}

/// A request that is being sent to one upstream.
struct Attempt<'a> {
    transport: &'a Transport,
    upstream: Rc<Upstream>,
    request: Rc<OutboundRequest>,
    /// When the attempt must have ended, or its response be in progress.
    deadline: Instant,
    progress: Rc<ResponseProgress>,
}

impl Attempt<'_> {
    /// Connects, writes the request and reads the head of its response. Takes another connection
    /// whenever an idle one turns out to be stale: an upstream that closes an idle connection has
    /// not failed.
    async fn send_request(
        &self,
        on_connected: impl Fn(),
    ) -> Result<StartedResponse, SendRequestError> {
        loop {
            let memory = self.reserve_memory()?;
            let connector = &self.transport.connector;
            let acquired = connector.connect(&self.upstream, self.deadline).await?;
            on_connected();
            if let Some(started) = self.send_request_on(acquired, memory).await? {
                return Ok(started);
            }
        }
    }

    /// Writes the request to this connection and reads the head of its response. `None` if the
    /// request has not run and needs another connection: this one was closed while it was idle, or
    /// its next response may belong to an earlier request.
    async fn send_request_on(
        &self,
        acquired: AcquiredConnection,
        memory: Reservation,
    ) -> Result<Option<StartedResponse>, SendRequestError> {
        let AcquiredConnection {
            mut connection,
            origin,
        } = acquired;
        let connected_at = Instant::now();
        let lease = ReuseLease::new(&self.upstream, &connection);
        self.check_write_allowed()?;
        let write_denied = self.recheck_at_first_byte(&connection.socket, memory);
        let progress = connection.socket.write_progress();
        let request = self.build_request(origin, &connection.socket, connected_at)?;
        let sent = tokio::select! {
            biased;
            sent = connection.sender.try_send_request(request) => sent,
            () = lease.revoked() => {
                // A request whose last byte is unwritten has not run, and may use another
                // connection.
                return match progress.get() {
                    WriteProgress::Complete => Err(AttemptOutcome::Error.into()),
                    WriteProgress::Partial | WriteProgress::HandedOver => Ok(None),
                };
            }
        };
        if let Some(error) = self.request.body.error() {
            return Err(SendRequestError::RequestBody(error));
        }
        match sent {
            Ok(response) if self.is_surplus(&lease, progress.get(), &response) => {
                connection.surplus_reporter().report_early_response();
                Ok(None)
            }
            Ok(response) => Ok(Some(StartedResponse {
                connection,
                lease,
                response,
            })),
            Err(_) if write_denied.get() => Err(AttemptOutcome::NotSent.into()),
            Err(error) => {
                connection
                    .surplus_reporter()
                    .report_if_surplus_caused(error.error());
                require_stale_connection(error, origin, progress.get())?;
                Ok(None)
            }
        }
    }

    /// Whether a response belongs to an earlier request. On a connection from the pool the body is
    /// withheld at first, so the upstream cannot have served a request whose body is not written
    /// yet.
    fn is_surplus(
        &self,
        lease: &ReuseLease,
        progress: WriteProgress,
        response: &Response<Incoming>,
    ) -> bool {
        lease.carried_earlier_request()
            && progress == WriteProgress::Partial
            && matches!(self.request.body, RequestBody::Buffered(_))
            && outcome_of_response(response) == AttemptOutcome::Success
    }

    /// Reserves the memory that the attempt takes until the head of its request is written. A shortage
    /// in this process is no evidence of a failure of the upstream.
    fn reserve_memory(&self) -> Result<Reservation, AttemptOutcome> {
        let memory = &self.transport.memory;
        let needed = ATTEMPT_BYTES + self.request.headers.sending_bytes();
        memory.reserve(MemoryUse::Completion, needed).map_err(|_| {
            memory.record_refused(MemoryRefusal::Attempt);
            AttemptOutcome::NotSent
        })
    }

    /// Checks the write conditions, which may have changed while the attempt connected.
    fn check_write_allowed(&self) -> Result<(), AttemptOutcome> {
        let conditions = write_conditions(&self.upstream, &self.request, self.deadline, false);
        self.transport
            .guard
            .check_write(conditions)
            .map_err(|_| AttemptOutcome::NotSent)
    }

    /// Sets a second check of the write conditions, which runs when the request's first write is
    /// tried: the connection's task may try it later than this call, and the whole process may be
    /// suspended between the two. The returned flag tells whether the second check denied the
    /// write. The reserved memory is allocated by then.
    fn recheck_at_first_byte(&self, socket: &SharedStream, memory: Reservation) -> Rc<Cell<bool>> {
        let denied = Rc::new(Cell::new(false));
        let denied_by_check = denied.clone();
        let guard = self.transport.guard.clone();
        let upstream = self.upstream.clone();
        let request = self.request.clone();
        let deadline = self.deadline;
        socket.set_write_check(Box::new(move || {
            drop(memory);
            let client_disconnected = request.client_disconnected();
            let conditions = write_conditions(&upstream, &request, deadline, client_disconnected);
            denied_by_check.set(guard.check_write(conditions).is_err());
            !denied_by_check.get()
        }));
        denied
    }

    /// Builds the request to write: with its remaining time, in microseconds, as a header, and on a
    /// connection from the pool with a body that is withheld until the connection is known to be
    /// open.
    fn build_request(
        &self,
        origin: ConnectionOrigin,
        socket: &SharedStream,
        now: Instant,
    ) -> Result<Request<AttemptBody>, AttemptOutcome> {
        let body_delay = match origin {
            ConnectionOrigin::Pooled => Some(self.transport.body_delay_on_pooled_connection),
            ConnectionOrigin::New => None,
        };
        let body = AttemptBody::new(&self.request.body, body_delay, socket)
            .ok_or(AttemptOutcome::NotSent)?;
        let mut request = self
            .request
            .to_http(body)
            .map_err(|_| AttemptOutcome::NotSent)?;
        let remaining_us = (self.deadline - now).as_micros();
        if let Ok(remaining) = HeaderValue::try_from(format!("{remaining_us}u")) {
            request.headers_mut().insert(DEADLINE_HEADER, remaining);
        }
        Ok(request)
    }
}

/// Returns the outcome of the attempt as an error, unless `error` shows that an idle connection was
/// stale: the request's last byte is unwritten, so the request has not run.
fn require_stale_connection(
    mut error: TrySendError<Request<AttemptBody>>,
    origin: ConnectionOrigin,
    progress: WriteProgress,
) -> Result<(), AttemptOutcome> {
    let has_unwritten_bytes = progress != WriteProgress::Complete || error.take_message().is_some();
    if !has_unwritten_bytes {
        return Err(outcome_of_read_error(error.error()));
    }
    match origin {
        ConnectionOrigin::Pooled => Ok(()),
        ConnectionOrigin::New => Err(AttemptOutcome::ConnectFailed),
    }
}

/// What decides whether the request may be written, as of now: each field that is true forbids it.
/// The attempt ends at `deadline`.
fn write_conditions(
    upstream: &Upstream,
    request: &OutboundRequest,
    deadline: Instant,
    client_disconnected: bool,
) -> WriteConditions {
    let now = Instant::now();
    WriteConditions {
        endpoint_closed: upstream.is_closed_for_writes(now),
        expired: now >= deadline,
        request_ended: request.ended.get(),
        client_disconnected,
    }
}

#[cfg(test)]
mod tests;
