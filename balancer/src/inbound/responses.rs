//! Responses to clients.
use crate::body::response_body::{ClientResponseBody, UpstreamResponseBody};
use crate::outbound::compact_headers::CompactHeaders;
use crate::outbound::message::FinalResponse;
use crate::telemetry::metrics::{InFlightRequest, RequestOutcome};
use balancer_core::Millis;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A response to a client. Its body may hold a guard of type `G` until the body is dropped.
pub type ClientResponse<G> = Response<ClientResponseBody<G>>;

/// A response with this status and without a body.
pub fn empty_response<G>(status: StatusCode) -> ClientResponse<G> {
    response_with_body(status, Bytes::new())
}

/// A response to invalid input. Its body says what is wrong.
pub fn input_error_response<G>(status: StatusCode, text: &str) -> ClientResponse<G> {
    response_with_body(status, Bytes::from(format!("{text}\n")))
}

fn response_with_body<G>(status: StatusCode, body: Bytes) -> ClientResponse<G> {
    let mut response = Response::new(ClientResponseBody::buffered(body));
    *response.status_mut() = status;
    response
}

/// Rejects a request that has not run: the client may retry after `retry_after_ms`. With zero there
/// is no `Retry-After` header.
pub fn rejection<G>(retry_after_ms: Millis) -> ClientResponse<G> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after_ms > 0.0 {
        // Digits and a point are a valid header value.
        if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after_ms / 1000.0)) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// Converts the final response of a request to its response to the client. Sets the request's
/// outcome; that of a streamed body is set at the end of the body.
pub fn client_response<G>(
    final_response: FinalResponse,
    request: InFlightRequest,
) -> ClientResponse<G> {
    match final_response {
        FinalResponse::Served {
            headers,
            memory,
            body,
        } => {
            let mut response = served_response(headers, body, request);
            response.body_mut().hold_memory_for_head(memory);
            response
        }
        FinalResponse::Rejected { retry_after } => {
            request.set_outcome(RequestOutcome::Rejected);
            rejection(retry_after)
        }
        FinalResponse::ClientError(status) => {
            request.set_outcome(RequestOutcome::Failed);
            input_error_response(status, "the upstream found the request invalid")
        }
        FinalResponse::RequestBodyFailed(error) => {
            request.set_outcome(RequestOutcome::Failed);
            input_error_response(error.status(), &error.to_string())
        }
        FinalResponse::Failed => {
            request.set_outcome(RequestOutcome::Failed);
            empty_response(StatusCode::BAD_GATEWAY)
        }
    }
}

fn served_response<G>(
    headers: CompactHeaders,
    body: UpstreamResponseBody,
    request: InFlightRequest,
) -> ClientResponse<G> {
    let body = match body {
        UpstreamResponseBody::Buffered(body) => {
            request.set_outcome(RequestOutcome::Served);
            ClientResponseBody::buffered(body)
        }
        UpstreamResponseBody::Streamed(stream) => ClientResponseBody::streamed(stream, request),
    };
    let mut response = Response::new(body);
    *response.headers_mut() = headers.to_map();
    response
}
