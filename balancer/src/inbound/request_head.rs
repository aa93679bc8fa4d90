//! What the head of a client's request says, checked against the settings.
use balancer_core::{Idempotency, Millis};
use balancer_settings::Deployment;
use hyper::header::HeaderMap;
use hyper::Method;
use std::fmt;

/// Longest request id taken.
const ID_MOST: usize = 256;
/// Longest time that a client may state, in milliseconds: a day.
const PATIENCE_MOST: Millis = 86_400_000.0;

/// Class, tenant and client_timeout of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestHead {
    /// Position of the class in the settings.
    pub class: usize,
    /// Position of the tenant in the settings.
    pub tenant: usize,
    /// How long the client waits for the answer.
    pub client_timeout: Millis,
}

/// What is wrong with a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// A header is absent, stated more than once, or no text.
    Missing(&'static str),
    /// A header's value has no valid form.
    Bad(&'static str),
    /// The settings do not list a header's value.
    Unknown(&'static str),
    /// The method or the idempotency key is not that of the class.
    Form,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadError::Missing(name) => write!(f, "{name} is missing"),
            HeadError::Bad(name) => write!(f, "{name} is bad"),
            HeadError::Unknown(name) => write!(f, "{name} is unknown"),
            HeadError::Form => f.write_str("the method or Idempotency-Key does not fit the class"),
        }
    }
}

impl std::error::Error for HeadError {}

impl RequestHead {
    /// Reads a head.
    pub fn read(
        method: &Method,
        headers: &HeaderMap,
        deployment: &Deployment,
    ) -> Result<RequestHead, HeadError> {
        let id = one(headers, "Req-Id")?;
        if id.is_empty() || id.len() > ID_MOST {
            return Err(HeadError::Bad("Req-Id"));
        }
        let class = listed(&deployment.classes, headers, "Req-Kind")?;
        let tenant = match deployment.tenants.is_empty() {
            true => 0,
            false => listed(&deployment.tenants, headers, "Req-Owner")?,
        };
        let client_timeout =
            span(one(headers, "Req-Deadline")?).ok_or(HeadError::Bad("Req-Deadline"))?;
        let keyed = one(headers, "Idempotency-Key").is_ok_and(|key| !key.is_empty());
        let fits = match deployment.policy.classes[class].idempotency {
            Idempotency::Idempotent => method == Method::GET,
            Idempotency::IdempotencyKey { .. } => method == Method::POST && keyed,
            Idempotency::NonIdempotent => {
                method == Method::POST && !headers.contains_key("idempotency-key")
            }
        };
        if !fits {
            return Err(HeadError::Form);
        }
        Ok(RequestHead {
            class,
            tenant,
            client_timeout,
        })
    }
}

/// The one value of a header.
fn one<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, HeadError> {
    let mut all = headers.get_all(name).iter();
    let value = all.next().and_then(|value| value.to_str().ok());
    value
        .filter(|_| all.next().is_none())
        .ok_or(HeadError::Missing(name))
}

/// The position of a header's value in a list of the settings.
fn listed(names: &[String], headers: &HeaderMap, name: &'static str) -> Result<usize, HeadError> {
    let value = one(headers, name)?;
    names
        .iter()
        .position(|known| known == value)
        .ok_or(HeadError::Unknown(name))
}

/// A span of time as callers write it: a number and `m` for milliseconds or `u` for microseconds.
fn span(text: &str) -> Option<Millis> {
    let text = text.trim();
    let (number, unit) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1.0),
        (_, Some(number)) => (number, 0.001),
        _ => return None,
    };
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = plain.then(|| number.parse::<f64>().ok())?? * unit;
    (0.0..=PATIENCE_MOST).contains(&value).then_some(value)
}

#[cfg(test)]
mod tests;
