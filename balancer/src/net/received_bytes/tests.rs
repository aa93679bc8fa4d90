//! Which bytes count as a duplicate of the newest response.
use super::*;

/// The bytes of a connection that received a response, and further bytes after it was complete.
fn received(response: &[u8], further: &[u8]) -> ReceivedBytes {
    let mut received = ReceivedBytes::default();
    received.append(b"an earlier response");
    received.complete_response();
    received.begin_request();
    received.append(response);
    received.complete_response();
    received.append(further);
    received
}

#[test]
fn the_same_bytes_again_are_a_duplicate() {
    assert!(received(b"one", b"one").is_response_repeated());
    assert!(received(b"one", b"oneone").is_response_repeated());
    let at_once = received(b"oneone", b"");
    assert!(at_once.is_response_repeated(), "at once");
}

#[test]
fn other_bytes_are_no_duplicate() {
    for (response, further) in [
        (&b"one"[..], &b""[..]),
        (b"one", b"two"),
        (b"one", b"on"),
        (b"one", b"onetwo"),
        (b"", b""),
    ] {
        let is_repeated = received(response, further).is_response_repeated();
        assert!(!is_repeated, "{response:?} {further:?}");
    }
    assert!(!ReceivedBytes::default().is_response_repeated());
}

#[test]
fn a_response_too_long_to_record_is_no_duplicate() {
    let long = vec![b'x'; MAX_RECORDED_BYTES + 1];
    assert!(!received(&long, &long).is_response_repeated());
    let half = vec![b'x'; MAX_RECORDED_BYTES / 2];
    assert!(received(&half, &half).is_response_repeated());
    let mut next = received(&long, b"");
    next.begin_request();
    next.append(b"one");
    next.complete_response();
    next.append(b"one");
    assert!(next.is_response_repeated(), "the next response is recorded");
}
