//! Determines from the head of a client's request where its body ends. hyper does not report this:
//! it drops `Content-Length` if there is a `Transfer-Encoding`.
use thiserror::Error;

/// How the end of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The end of the body is not determined here: the body is chunked, or hyper rejects the head.
    Untracked,
}

/// A head with more than one header that determines the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the Content-Length and Transfer-Encoding headers must not be repeated or combined")]
pub struct AmbiguousFraming;

/// Reads the framing of a request's body from the complete head.
pub fn parse_framing(head: &[u8]) -> Result<BodyFraming, AmbiguousFraming> {
    let mut length_headers = 0;
    let mut coding_headers = 0;
    let mut length = Some(0);
    for line in head.split(|&byte| byte == b'\n') {
        let mut parts = line.splitn(2, |&byte| byte == b':');
        let (Some(name), Some(value)) = (parts.next(), parts.next()) else {
            continue;
        };
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            length_headers += 1;
            length = parse_length(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            coding_headers += 1;
        }
    }
    match (length_headers, coding_headers) {
        (0 | 1, 0) => Ok(length.map_or(BodyFraming::Untracked, BodyFraming::Length)),
        (0, 1) => Ok(BodyFraming::Untracked),
        _ => Err(AmbiguousFraming),
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value.trim_ascii()).ok()?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

#[cfg(test)]
mod tests;
