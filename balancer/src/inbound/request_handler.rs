//! Handles one request of a client: reads it, submits it to the driver and returns the final
//! response.
use crate::body::body_buffer::BodyBuffer;
use crate::body::body_error::BodyError;
use crate::body::limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::body::request_body::RequestBody;
use crate::body::request_end::RequestEnd;
use crate::body::time_limited_body::TimeLimitedBody;
use crate::body::upload::Upload;
use crate::clock::{from_millis, to_millis};
use crate::control::driver::ResponseFuture;
use crate::control::request_claims::RequestIdHash;
use crate::inbound::client_connection::{ActiveRequestGuard, ClientConnection};
use crate::inbound::context::ServerContext;
use crate::inbound::forwarded_head::ForwardedHead;
use crate::inbound::request_framing::AmbiguousFraming;
use crate::inbound::request_head::{HeadError, RequestHead};
use crate::inbound::responses::{
    client_response, empty_response, input_error_response, rejection, ClientResponse,
};
use crate::memory::budget::{MemoryBudget, MemoryExhausted};
use crate::memory::report::MemoryRefusal;
use crate::outbound::message::{FinalResponse, SubmitError};
use crate::phase::Phase;
use crate::telemetry::metrics::{InFlightRequest, RequestOutcome};
use balancer_core::{Idempotency, Millis};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use thiserror::Error;
use tokio::time::Instant;

/// `Retry-After` of a rejection because of too many pending requests or too little memory, in
/// milliseconds.
const AT_CAPACITY_RETRY_AFTER_MS: Millis = 500.0;
/// Path of the readiness check.
const READY_PATH: &str = "/-/ready";
/// Path of the service, and the prefix of the paths below it.
const SERVICE_PATH: &str = "/api";
const SERVICE_PREFIX: &str = "/api/";

/// A response to a client. The connection counts as active until all of it is written.
type Response = ClientResponse<ActiveRequestGuard>;

/// Why a request is answered without being submitted to the driver, or why the driver rejected it.
#[derive(Debug, Error)]
enum RequestError {
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error(transparent)]
    MemoryExhausted(#[from] MemoryExhausted),
    #[error("a GET request must not have a body")]
    UnexpectedBody,
    #[error("the client disconnected")]
    ClientDisconnected,
    #[error(transparent)]
    Submit(#[from] SubmitError),
}

impl RequestError {
    fn response(&self) -> Response {
        let text = self.to_string();
        match self {
            RequestError::Head(_) | RequestError::UnexpectedBody => {
                input_error_response(StatusCode::BAD_REQUEST, &text)
            }
            RequestError::Body(error) => input_error_response(error.status(), &text),
            RequestError::Submit(SubmitError::DuplicateRequestId | SubmitError::MayHaveRun) => {
                input_error_response(StatusCode::CONFLICT, &text)
            }
            RequestError::Submit(SubmitError::AtCapacity) | RequestError::MemoryExhausted(_) => {
                rejection(AT_CAPACITY_RETRY_AFTER_MS)
            }
            RequestError::ClientDisconnected => rejection(0.0),
        }
    }
}

/// A request that the driver has accepted.
struct SubmittedRequest {
    response: ResponseFuture,
    in_flight: InFlightRequest,
    /// Its body, if it is too large to be buffered.
    upload: Option<Rc<Upload>>,
}

/// A response, and what [`finish_response`] needs to decide whether its connection closes.
struct RoutedResponse {
    response: Response,
    /// Whether the connection closes with the response.
    closes_connection: bool,
    /// Whether part of the request's body is unread.
    has_unread_body: bool,
}

impl From<Response> for RoutedResponse {
    fn from(response: Response) -> RoutedResponse {
        RoutedResponse {
            response,
            closes_connection: false,
            has_unread_body: false,
        }
    }
}

/// Responds to a request on the connection that `active` guards.
pub async fn respond(
    context: &ServerContext,
    request: Request<Incoming>,
    active: ActiveRequestGuard,
) -> Response {
    let connection = active.connection().clone();
    // The request may have waited behind another one on its connection, or in the listener's queue.
    let head_arrived_at = connection.tracker().record_dispatch();
    let routed = route(context, request, &connection, head_arrived_at).await;
    let mut response = finish_response(context, &connection, routed);
    connection.delivery().begin_response();
    response.body().set_reception(connection.reception());
    response.body_mut().hold(active);
    response
}

async fn route(
    context: &ServerContext,
    request: Request<Incoming>,
    connection: &ClientConnection,
    head_arrived_at: Instant,
) -> RoutedResponse {
    // Guards against request smuggling: no further request is read from the connection after a head
    // with ambiguous framing, nor after a chunked body, whose end the tracker does not determine.
    if connection.tracker().is_framing_ambiguous() {
        let text = AmbiguousFraming.to_string();
        return RoutedResponse {
            response: input_error_response(StatusCode::BAD_REQUEST, &text),
            closes_connection: true,
            has_unread_body: false,
        };
    }
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut routed = match request.uri().path() {
        READY_PATH => empty_response(readiness_status(context)).into(),
        path if path == SERVICE_PATH || path.starts_with(SERVICE_PREFIX) => {
            serve(context, request, connection, head_arrived_at).await
        }
        _ => empty_response(StatusCode::NOT_FOUND).into(),
    };
    routed.closes_connection |= is_chunked;
    routed
}

/// The status of the response to a readiness check. After a handoff it is still 200, because the
/// successor serves the clients.
fn readiness_status(context: &ServerContext) -> StatusCode {
    let is_serving = matches!(*context.phase.borrow(), Phase::Serving | Phase::HandedOff);
    if context.driver.has_ever_listed_endpoints() && is_serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Submits a request and waits for its final response, or until the client disconnects.
async fn serve(
    context: &ServerContext,
    request: Request<Incoming>,
    connection: &ClientConnection,
    head_arrived_at: Instant,
) -> RoutedResponse {
    let submitted = match submit(context, request, connection, head_arrived_at).await {
        Ok(submitted) => submitted,
        Err(error) => {
            return RoutedResponse {
                has_unread_body: matches!(error, RequestError::MemoryExhausted(_)),
                ..error.response().into()
            }
        }
    };
    connection
        .delivery()
        .await_response(submitted.upload.clone());
    // Dropping the response future notifies the driver that the client has disconnected.
    let final_response = tokio::select! {
        biased;
        response = submitted.response.response() => Some(response),
        () = connection.stream().wait_for_disconnect() => None,
    };
    if final_response
        .as_ref()
        .is_some_and(FinalResponse::is_streamed)
    {
        connection.stream().limit_unsent_bytes();
    }
    RoutedResponse {
        has_unread_body: submitted.upload.is_some_and(|upload| !upload.is_complete()),
        closes_connection: final_response.is_none(),
        response: response_to_client(final_response, submitted.in_flight),
    }
}

/// The response to the client: `final_response`, or 502 if the client disconnected first. A client
/// that has closed only its sending side still reads the 502. This is not a rejection, because the
/// request may have run.
fn response_to_client(
    final_response: Option<FinalResponse>,
    in_flight: InFlightRequest,
) -> Response {
    match final_response {
        Some(response) => client_response(response, in_flight),
        None => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Adds `Connection: close` if the connection ends with this response.
fn finish_response(
    context: &ServerContext,
    connection: &ClientConnection,
    routed: RoutedResponse,
) -> Response {
    let mut response = routed.response;
    let discards_input_before_close = response.status().is_client_error() || routed.has_unread_body;
    connection.set_discards_input_before_close(discards_input_before_close);
    // During shutdown, requests that are pipelined behind this one are still served.
    let stream = connection.stream();
    let ends_now = context.closes_connections()
        && !connection.tracker().has_pending_input()
        && stream.is_open_without_unread_bytes();
    let ends_connection = ends_now || stream.peer_disconnected();
    if discards_input_before_close || routed.closes_connection || ends_connection {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a request and submits it to the driver. When this returns, the rest of a large body may
/// still be arriving.
async fn submit(
    context: &ServerContext,
    request: Request<Incoming>,
    connection: &ClientConnection,
    head_arrived_at: Instant,
) -> Result<SubmittedRequest, RequestError> {
    let time_waited = connection.tracker().waiting_since().elapsed();
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&parts.method, &parts.headers, &context.deployment)?;
    check_body(&parts.method, &body)?;
    let forwarded = ForwardedHead::from(parts);
    let end = Rc::new(RequestEnd::new(connection.stream().peer(), head_arrived_at));
    let body = TimeLimitedBody::new(body, time_waited);
    let body = read_body(body, &end, &context.memory).await;
    if let Err(RequestError::MemoryExhausted(_)) = body {
        context.memory.record_refused(MemoryRefusal::RequestBody);
        context
            .metrics
            .record_completed(head.class, RequestOutcome::Rejected);
    }
    let body = body?;
    claim_if_unrepeatable(context, head.class, &forwarded).await?;
    // An upload counts the time since its request's end itself.
    let time_used_ms = match &body {
        RequestBody::Buffered(_) => to_millis(end.earliest().elapsed()),
        RequestBody::Streamed(_) => 0.0,
    };
    let client_timeout = from_millis(head.client_timeout_ms - time_used_ms);
    let upload = match &body {
        RequestBody::Streamed(upload) => Some(upload.clone()),
        RequestBody::Buffered(_) => None,
    };
    let outbound = forwarded.into_request(body, connection.stream().peer(), client_timeout);
    // The client may have disconnected while its connection waited for a permit or in the
    // listener's queue. Nothing has been sent to an upstream yet, so the request can be rejected.
    if connection.stream().peer_disconnected() {
        return Err(RequestError::ClientDisconnected);
    }
    let submitted = context.driver.submit(head.class, head.tenant, outbound);
    if let Err(SubmitError::AtCapacity) = submitted {
        context
            .metrics
            .record_completed(head.class, RequestOutcome::Rejected);
    }
    Ok(SubmittedRequest {
        response: submitted?,
        in_flight: InFlightRequest::new(&context.metrics, head.class),
        upload,
    })
}

/// Claims a request that must not run twice, while another process of this balancer serves.
async fn claim_if_unrepeatable(
    context: &ServerContext,
    class: usize,
    head: &ForwardedHead,
) -> Result<(), SubmitError> {
    let idempotency = context.deployment.core.classes[class].idempotency;
    let (Some(claims), Some(id)) = (&context.claims, head.request_id()) else {
        return Ok(());
    };
    if idempotency != Idempotency::NonIdempotent || !claims.is_required() {
        return Ok(());
    }
    if claims.claim(RequestIdHash::of(id)).await {
        return Ok(());
    }
    Err(SubmitError::MayHaveRun)
}

fn check_body(method: &Method, body: &Incoming) -> Result<(), RequestError> {
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(BodyError::TooLarge.into());
    }
    if method == Method::GET && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    Ok(())
}

/// Buffers a small body completely. Of a large one, only the start is read; an upload reads the
/// rest.
async fn read_body(
    mut body: TimeLimitedBody,
    end: &Rc<RequestEnd>,
    memory: &MemoryBudget,
) -> Result<RequestBody, RequestError> {
    let stated_length = body.remaining_length();
    let mut is_large = stated_length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
    let mut buffered = BodyBuffer::for_request(stated_length, memory);
    while !is_large {
        let Some(chunk) = body.next().await else {
            return Ok(RequestBody::Buffered(buffered.into_bytes()));
        };
        buffered.append(&chunk?)?;
        is_large = buffered.len() > MAX_BUFFERED_BODY_BYTES;
    }
    Ok(RequestBody::Streamed(Upload::new(
        body,
        buffered,
        end.clone(),
        memory,
    )))
}
