//! The answers that clients get.
use crate::body::payload::{ResponseBody, ResponseContent};
use crate::outbound::message::FinalResponse;
use crate::telemetry::metrics::{InFlightRequest, Outcome};
use balancer_core::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// An answer with this status and no body.
pub fn plain<G>(status: StatusCode) -> Response<ResponseBody<G>> {
    let mut response = Response::new(ResponseBody::Whole(Full::default()));
    *response.status_mut() = status;
    response
}

/// An answer to input that cannot be used, which says what is wrong.
pub fn refuse_input<G>(status: StatusCode, what: &str) -> Response<ResponseBody<G>> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(Bytes::from(format!(
        "{what}\n"
    )))));
    *response.status_mut() = status;
    response
}

/// A refusal: another try does no harm, after `retry_after` if that is above 0.
pub fn refusal<G>(retry_after: Millis) -> Response<ResponseBody<G>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > 0.0 {
        // Digits and a point only, so this cannot fail.
        if let Ok(after) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
            response.headers_mut().insert(header::RETRY_AFTER, after);
        }
    }
    response
}

/// The one final answer to a request, which counts in the metrics as it ends; `released` is held until then.
pub fn final_answer<G>(
    answer: FinalResponse,
    taken: InFlightRequest,
    released: G,
) -> Response<ResponseBody<G>> {
    match answer {
        FinalResponse::Served { headers, body } => {
            let body = match body {
                ResponseContent::Whole(body) => {
                    taken.ends(Outcome::Ok);
                    ResponseBody::Whole(Full::new(body))
                }
                ResponseContent::Frames(frames) => ResponseBody::Frames(frames, taken, released),
            };
            let mut response = Response::new(body);
            *response.headers_mut() = headers;
            response
        }
        FinalResponse::Refused { retry_after } => {
            taken.ends(Outcome::Shed);
            refusal(retry_after)
        }
        FinalResponse::Unusable(status) => {
            taken.ends(Outcome::Errors);
            refuse_input(status, "turned away by the service")
        }
        FinalResponse::Unsent(fault) => {
            taken.ends(Outcome::Errors);
            refuse_input(fault.status(), &fault.to_string())
        }
        FinalResponse::Failed => {
            taken.ends(Outcome::Errors);
            plain(StatusCode::BAD_GATEWAY)
        }
    }
}
