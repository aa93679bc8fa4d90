//! Where request bodies end, as determined from the heads of their requests.
use super::*;

fn describe_framing(head: &str) -> String {
    match parse_framing(head.as_bytes()) {
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
        assert_eq!(
            describe_framing(&format!("POST /api HTTP/1.1\r\n{headers}\r\n")),
            expected,
            "{headers:?}"
        );
    }
}
