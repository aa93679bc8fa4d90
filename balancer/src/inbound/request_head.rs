//! The head of a client's request, validated against the settings.
use balancer_core::{Idempotency, Millis};
use balancer_settings::Deployment;
use hyper::header::HeaderMap;
use hyper::Method;
use thiserror::Error;

/// Longest request id.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// Longest timeout that a client may state, in milliseconds: one day.
const MAX_CLIENT_TIMEOUT_MS: Millis = 86_400_000.0;

const REQUEST_ID_HEADER: &str = "Req-Id";
const CLASS_HEADER: &str = "Req-Kind";
const TENANT_HEADER: &str = "Req-Owner";
const DEADLINE_HEADER: &str = "Req-Deadline";
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Class, tenant and timeout of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestHead {
    /// Position of the class in the settings.
    pub class: usize,
    /// Position of the tenant in the settings.
    pub tenant: usize,
    /// How long the client waits for the response.
    pub client_timeout_ms: Millis,
}

/// What is wrong with a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// A header does not have exactly one value that is text: it is absent, occurs more than once,
    /// or is not text.
    #[error("the {0} header is missing, repeated or not text")]
    NotSingleValue(&'static str),
    /// A header's value is malformed.
    #[error("the {0} header has an invalid value")]
    Malformed(&'static str),
    /// The settings do not list a header's value.
    #[error("the {0} header has a value that is not in the settings")]
    Unknown(&'static str),
    /// The method or the idempotency key does not match the class.
    #[error("the method or the Idempotency-Key header does not match the class of the request")]
    ClassMismatch,
}

impl RequestHead {
    /// Parses and validates a head.
    pub fn parse(
        method: &Method,
        headers: &HeaderMap,
        deployment: &Deployment,
    ) -> Result<RequestHead, HeadError> {
        check_request_id(headers)?;
        let class = listed_position(&deployment.classes, headers, CLASS_HEADER)?;
        let tenant = if deployment.tenants.is_empty() {
            0
        } else {
            listed_position(&deployment.tenants, headers, TENANT_HEADER)?
        };
        let client_timeout_ms = parse_time_span_ms(single_value(headers, DEADLINE_HEADER)?)
            .ok_or(HeadError::Malformed(DEADLINE_HEADER))?;
        let idempotency = deployment.core.classes[class].idempotency;
        if !matches_idempotency(idempotency, method, headers) {
            return Err(HeadError::ClassMismatch);
        }
        Ok(RequestHead {
            class,
            tenant,
            client_timeout_ms,
        })
    }
}

fn check_request_id(headers: &HeaderMap) -> Result<(), HeadError> {
    let id = single_value(headers, REQUEST_ID_HEADER)?;
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
        return Err(HeadError::Malformed(REQUEST_ID_HEADER));
    }
    Ok(())
}

/// Whether the method and the idempotency key match the idempotency of a class.
fn matches_idempotency(idempotency: Idempotency, method: &Method, headers: &HeaderMap) -> bool {
    match idempotency {
        Idempotency::Idempotent => method == Method::GET,
        Idempotency::IdempotencyKey { .. } => {
            let has_key =
                single_value(headers, IDEMPOTENCY_KEY_HEADER).is_ok_and(|key| !key.is_empty());
            method == Method::POST && has_key
        }
        Idempotency::NonIdempotent => {
            method == Method::POST && !headers.contains_key(IDEMPOTENCY_KEY_HEADER)
        }
    }
}

/// The value of a header that must occur once.
fn single_value<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, HeadError> {
    let mut values = headers.get_all(name).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(HeadError::NotSingleValue(name));
    };
    value.to_str().map_err(|_| HeadError::NotSingleValue(name))
}

/// The position of a header's value in a list of the settings.
fn listed_position(
    names: &[String],
    headers: &HeaderMap,
    header: &'static str,
) -> Result<usize, HeadError> {
    let value = single_value(headers, header)?;
    names
        .iter()
        .position(|name| name == value)
        .ok_or(HeadError::Unknown(header))
}

/// Parses a time span as clients write it: a number and `m` for milliseconds or `u` for
/// microseconds.
fn parse_time_span_ms(text: &str) -> Option<Millis> {
    let text = text.trim();
    let (number, unit_ms) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1.0),
        (_, Some(number)) => (number, 0.001),
        _ => return None,
    };
    let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if number.is_empty() || !number.bytes().all(is_decimal) {
        return None;
    }
    let span_ms = number.parse::<f64>().ok()? * unit_ms;
    (0.0..=MAX_CLIENT_TIMEOUT_MS)
        .contains(&span_ms)
        .then_some(span_ms)
}

#[cfg(test)]
mod tests;
