//! What the shared stream tells of reads, writes and heads.
use super::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Guards against taking a request for one that may have run whose last byte no connection took: what was
/// handed over counts as written only once the socket has it, and then once.
#[tokio::test]
async fn what_was_handed_over_is_written_whole_once_the_socket_has_it() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds");
    let addr = listener.local_addr().expect("an address");
    let (stream, peer) = tokio::join!(TcpStream::connect(addr), listener.accept());
    let whole = Rc::new(Cell::new(0));
    let (mut stream, (peer, _)) = (
        ClientStream::new(stream.expect("connects"), whole.clone()),
        peer.expect("accepts"),
    );
    let written = stream.written();
    stream.flush().await.expect("it is open");
    assert_eq!((written.get(), whole.get()), (Written::Partly, 0));
    written.set(Written::HandedOver);
    stream.write_all(b"whole").await.expect("it is open");
    assert_eq!((written.get(), whole.get()), (Written::HandedOver, 0));
    stream.flush().await.expect("it is open");
    stream.flush().await.expect("it is open");
    assert_eq!((written.get(), whole.get()), (Written::Whole, 1));
    drop(peer);
}

fn kind(head: &str) -> String {
    match framing(head.as_bytes()) {
        Ok(At::Body(n)) => n.to_string(),
        Ok(_) => "lost".into(),
        Err(Ambiguous) => "ambiguous".into(),
    }
}

#[test]
fn heads_tell_where_their_body_ends() {
    for (headers, wanted) in [
        ("", "0"),
        ("Content-Length: 12\r\n", "12"),
        ("content-length:\t7 \n", "7"),
        ("Content-Length: -1\r\n", "lost"),
        ("Transfer-Encoding: chunked\r\n", "lost"),
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
            kind(&format!("POST /api HTTP/1.1\r\n{headers}\r\n")),
            wanted,
            "{headers:?}"
        );
    }
}

/// Guards against taking a read that returned less than was asked for, as the system may end one early, for news that
/// nothing more is there: the rest would be read only once still more comes. Here a mark in the stream ends it.
#[tokio::test]
async fn a_short_read_hides_nothing_that_is_there() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds");
    let addr = listener.local_addr().expect("an address");
    let (stream, peer) = tokio::join!(TcpStream::connect(addr), listener.accept());
    let (mut stream, (mut peer, _)) = (
        ClientStream::new(stream.expect("connects"), Rc::default()),
        peer.expect("accepts"),
    );
    peer.write_all(b"first").await.expect("writes");
    socket2::SockRef::from(&peer)
        .send_out_of_band(b"!")
        .expect("writes the mark");
    peer.write_all(b"second").await.expect("writes");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut read = Vec::new();
    while !read.ends_with(b"second") {
        let some = tokio::time::timeout(Duration::from_secs(2), stream.read_buf(&mut read)).await;
        assert!(some.expect("what is there is read").expect("it is open") > 0);
    }
    assert_eq!(read, b"firstsecond");
}
