//! The response bodies that upstreams send and clients expect.

/// Requests whose id has this suffix get a large response.
pub const LARGE_REQUEST_SUFFIX: &str = "-large";
/// A large body repeats the small one this many times, which makes it at least 120 KB long.
pub const LARGE_BODY_REPEATS: usize = 10_000;

/// What each body starts with, before the id of its request.
const BODY_START: &str = "served ";

/// Builds the body of the response to a request. It contains the request's id, so that a client
/// detects the response to another request.
pub fn expected_body(request_id: &str) -> String {
    let body = format!("{BODY_START}{request_id}");
    if request_id.ends_with(LARGE_REQUEST_SUFFIX) {
        body.repeat(LARGE_BODY_REPEATS)
    } else {
        body
    }
}

/// The id of the request that a body names; empty if it names none.
pub fn request_id_in(body: &str) -> &str {
    body.split(BODY_START).nth(1).unwrap_or_default()
}
