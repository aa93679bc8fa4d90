//! Where request bodies end, as determined from the heads of their requests.
use super::*;

/// The framing of a complete head that arrives in pieces of this size.
fn describe_framing(head: &str, piece: usize) -> String {
    let mut scanner = HeadScanner::default();
    let mut ends = head
        .as_bytes()
        .chunks(piece)
        .map(|part| scanner.scan(part).is_some())
        .collect::<Vec<_>>();
    assert_eq!(ends.pop(), Some(true), "{head:?} is complete");
    assert!(!ends.contains(&true), "{head:?} ends early");
    assert_eq!(scanner.size().bytes, head.len());
    match scanner.framing() {
        Ok(BodyFraming::Length(length)) => length.to_string(),
        Ok(BodyFraming::Untracked) => "untracked".into(),
        Err(AmbiguousFraming) => "ambiguous".into(),
    }
}

#[test]
fn determines_where_a_request_body_ends() {
    for (headers, expected) in [
        ("", "0"),
        ("Content-Length: 12\r\n", "12"),
        ("content-length:\t7 \n", "7"),
        ("Content-Length: -1\r\n", "untracked"),
        ("Transfer-Encoding: chunked\r\n", "untracked"),
        (
            "Transfer-Encoding: chunked\r\nX: y\r\nCONTENT-LENGTH: 3\r\n",
            "ambiguous",
        ),
        (
            "Content-Length: x\r\nTransfer-Encoding: odd\r\n",
            "ambiguous",
        ),
        ("Content-Length: 3\r\nContent-Length: 3\r\n", "ambiguous"),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "ambiguous",
        ),
    ] {
        let head = format!("POST /api HTTP/1.1\r\n{headers}\r\n");
        for piece in [1, 7, head.len()] {
            assert_eq!(describe_framing(&head, piece), expected, "{headers:?}");
        }
    }
}

#[test]
fn long_framing_headers_are_ambiguous_and_other_long_headers_are_not() {
    let padding = " ".repeat(MAX_KEPT_LINE_BYTES);
    for (header, expected) in [
        (format!("Content-Length:{padding}5\r\n"), "ambiguous"),
        (
            format!("Transfer-Encoding:{padding}chunked\r\n"),
            "ambiguous",
        ),
        (format!("X-Long:{padding}5\r\nContent-Length: 5\r\n"), "5"),
    ] {
        let head = format!("POST /api HTTP/1.1\r\n{header}\r\n");
        assert_eq!(describe_framing(&head, 100), expected);
    }
}

/// Guards against heads that are kept twice while they are incomplete.
#[test]
fn keeps_only_the_start_of_the_current_line() {
    let mut scanner = HeadScanner::default();
    for _ in 0..100 {
        assert_eq!(scanner.scan(&[b'x'; 1000]), None);
        assert!(scanner.line.capacity() <= 2 * MAX_KEPT_LINE_BYTES);
    }
    assert_eq!(scanner.size().bytes, 100_000);
}

#[test]
fn leaves_what_follows_the_head() {
    let mut scanner = HeadScanner::default();
    assert_eq!(scanner.scan(b"GET /api HTTP/1.1\r\n\r\nGET"), Some(21));
    assert_eq!(scanner.size().lines, 2);
}
