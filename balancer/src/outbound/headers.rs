//! Headers that the balancer adds, reads or removes when it forwards requests and responses.
use crate::outbound::compact_headers::CompactHeaders;
use hyper::header::{self, HeaderMap, HeaderName};

/// Tells an upstream the remaining time of an attempt, in microseconds with the suffix `u`.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("req-deadline");
/// Marks a response whose upstream rejected the request without running it.
pub const REJECTED_HEADER: HeaderName = HeaderName::from_static("srv-declined");

/// Headers that belong to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The headers of a message that are forwarded with it.
pub fn end_to_end_headers(mut headers: HeaderMap) -> CompactHeaders {
    remove_hop_by_hop_headers(&mut headers);
    CompactHeaders::from(&headers)
}

/// Removes the headers that belong to one connection, `Expect`, and `Content-Length`; the body is
/// framed anew for the next connection.
fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|option| option.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS
        .iter()
        .chain(&connection_options)
        .chain(&[header::CONTENT_LENGTH, header::EXPECT])
    {
        headers.remove(name);
    }
}
