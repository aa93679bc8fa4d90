//! The task of one client connection: serves its requests, and decides when it is closed.
use crate::body::response_body::ClientResponseBody;
use crate::inbound::client_connection::{ActiveRequestGuard, ClientConnection};
use crate::inbound::context::ServerContext;
use crate::inbound::request_handler::respond;
use crate::inbound::tracked_stream::TrackedStream;
use crate::net::descriptor_budget::ConnectionPermit;
use crate::net::shared_stream::{SharedStream, MAX_HEAD_BYTES};
use crate::telemetry::metrics::CloseReason;
use crate::time::{sleep, timeout};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// While connections are being closed (see [`Phase::closes_connections`]), one that has been idle
/// for this long is closed. If it has been idle for less, its next request may be on the way; then
/// the connection closes with the response to that request. This is also the interval between two
/// checks.
///
/// [`Phase::closes_connections`]: crate::phase::Phase::closes_connections
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(100);
/// [`IDLE_BEFORE_CLOSE`] of a connection that has carried no request yet: its client may write its
/// first request slowly.
const NEW_CONNECTION_IDLE_BEFORE_CLOSE: Duration = Duration::from_secs(2);
/// Time allowed to flush responses before an idle connection is closed.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the rest of a request is read and discarded after a response that did not wait for it:
/// closing a socket with unread bytes resets the connection, and the client may lose the response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of bytes that are discarded in that time.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// Response to a request that is rejected before it is parsed.
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\n\
                         Content-Length: 0\r\nConnection: close\r\n\r\n";
/// Size of the buffer for discarded input.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

type HttpConnection<S> = http1::Connection<TokioIo<TrackedStream>, S>;

/// Serves a connection until it is closed, and then releases its permit.
pub async fn serve_connection(
    context: Rc<ServerContext>,
    connection: Rc<ClientConnection>,
    _permit: ConnectionPermit,
) {
    serve_requests(&context, &connection).await;
    connection.unmark_idle();
    if connection.discards_input_before_close() {
        let mut stream = connection.stream().clone();
        // The client of a truncated response learns of its end at once. hyper has done the same after
        // a complete one.
        let _ = stream.shutdown().await;
        let _ = timeout(DISCARD_TIMEOUT, discard_input(&mut stream)).await;
    }
}

async fn serve_requests(context: &Rc<ServerContext>, connection: &Rc<ClientConnection>) {
    let service = service_fn(|request: Request<Incoming>| {
        let context = context.clone();
        let connection = connection.clone();
        async move {
            let active = ActiveRequestGuard::new(&connection);
            Ok::<_, Infallible>(respond(&context, request, active).await)
        }
    });
    let stream = TrackedStream::new(connection, &context.memory);
    let http = pin!(http1::Builder::new()
        // A client that closes its sending side still gets its response.
        .half_close(true)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service));
    let reason = run_until_closed(context, connection, http).await;
    record_closed(context, connection, reason);
}

async fn run_until_closed<S>(
    context: &ServerContext,
    connection: &ClientConnection,
    mut http: Pin<&mut HttpConnection<S>>,
) -> CloseReason
where
    S: HttpService<Incoming, ResBody = ClientResponseBody<ActiveRequestGuard>>,
{
    let mut phase = context.phase.clone();
    loop {
        let mut is_evicted = false;
        let closes_connections = phase.borrow_and_update().closes_connections();
        tokio::select! {
            result = http.as_mut() => return close_reason(result),
            () = connection.timed_out(), if !connection.is_rejected() => {
                return CloseReason::TimedOut;
            }
            () = connection.evicted() => is_evicted = true,
            () = connection.request_rejected() => {}
            changed = phase.changed() => if changed.is_err() {
                return CloseReason::Shutdown;
            },
            () = sleep(IDLE_BEFORE_CLOSE), if closes_connections => {}
        }
        if connection.is_rejected() {
            reject_unparsed(connection).await;
            return CloseReason::MemoryShort;
        }
        if is_evicted && has_only_partial_first_head(connection) {
            return CloseReason::Evicted;
        }
        if (is_evicted || is_due_to_close(context, connection)) && is_closable(connection) {
            http.as_mut().graceful_shutdown();
            // Guards against clients that never read their response.
            let _ = timeout(RESPONSE_FLUSH_TIMEOUT, http.as_mut()).await;
            return if is_evicted {
                CloseReason::Evicted
            } else {
                CloseReason::Shutdown
            };
        }
    }
}

/// Rejects the request that is being read, of which hyper knows nothing. The earlier responses on the
/// connection are delivered.
async fn reject_unparsed(connection: &ClientConnection) {
    connection.unmark_idle();
    connection.set_discards_input_before_close(true);
    let mut stream = connection.stream().clone();
    let rejection = stream.write_all(REJECTION.as_bytes());
    // Guards against clients that never read it.
    let _ = timeout(RESPONSE_FLUSH_TIMEOUT, rejection).await;
}

/// Why a connection was closed, by the result of hyper's connection future. hyper itself has
/// responded to a request that it cannot parse.
fn close_reason(result: hyper::Result<()>) -> CloseReason {
    match result {
        Err(error) if error.is_parse() => CloseReason::Malformed,
        _ => CloseReason::Finished,
    }
}

/// Whether only part of the first head has arrived, so that no request is accepted yet.
fn has_only_partial_first_head(connection: &ClientConnection) -> bool {
    let tracker = connection.tracker();
    tracker.has_partial_head() && !tracker.has_dispatched()
}

/// Whether connections are being closed, and this one has been idle for long enough.
fn is_due_to_close(context: &ServerContext, connection: &ClientConnection) -> bool {
    let tracker = connection.tracker();
    let idle_before_close = if tracker.has_dispatched() {
        IDLE_BEFORE_CLOSE
    } else {
        NEW_CONNECTION_IDLE_BEFORE_CLOSE
    };
    context.closes_connections() && tracker.waiting_since().elapsed() >= idle_before_close
}

/// Whether the connection can be closed without losing a request: a request that is written to it
/// counts as accepted, even if it is unread.
fn is_closable(connection: &ClientConnection) -> bool {
    connection.is_idle()
        && !connection.tracker().has_partial_head()
        && connection.stream().is_open_without_unread_bytes()
}

/// Counts a connection as closed, and reports a request on it that the balancer has left without a
/// response.
fn record_closed(context: &ServerContext, connection: &ClientConnection, reason: CloseReason) {
    context.metrics.record_connection_closed(reason);
    let has_request =
        connection.delivery().has_open_request() || connection.tracker().has_undispatched_request();
    let is_answered = matches!(reason, CloseReason::Malformed | CloseReason::MemoryShort);
    let unanswered = has_request && !is_answered && !connection.stream().peer_disconnected();
    tracing::debug!(
        reason = reason.name(),
        unanswered,
        "client connection closed"
    );
    if unanswered {
        context.guard.closed_unanswered(reason.name());
    }
}

/// Reads and discards the rest of the client's input.
async fn discard_input(stream: &mut SharedStream) {
    let mut remaining = MAX_DISCARDED_BYTES;
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    while remaining > 0 {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => remaining = remaining.saturating_sub(count),
            _ => return,
        }
    }
}
