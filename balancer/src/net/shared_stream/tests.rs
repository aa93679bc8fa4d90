//! Writes and reads on a shared stream.
use super::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn connected_pair(messages_written: Rc<Cell<u64>>) -> (SharedStream, tokio::net::TcpStream) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds");
    let address = listener.local_addr().expect("an address");
    let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let stream = SharedStream::new(stream.expect("connects"), messages_written);
    let (peer, _) = accepted.expect("accepts");
    (stream, peer)
}

/// Guards against reporting a request as possibly run although no socket accepted its last byte: a
/// message counts as written only once the socket has accepted all of it, and is counted once.
#[tokio::test]
async fn counts_a_message_as_written_once_the_socket_has_all_of_it() {
    let messages_written = Rc::new(Cell::new(0));
    let (mut stream, peer) = connected_pair(messages_written.clone()).await;
    let progress = stream.write_progress();
    stream.flush().await.expect("it is open");
    assert_eq!(
        (progress.get(), messages_written.get()),
        (WriteProgress::Partial, 0)
    );
    progress.set(WriteProgress::HandedOver);
    stream.write_all(b"message").await.expect("it is open");
    assert_eq!(
        (progress.get(), messages_written.get()),
        (WriteProgress::HandedOver, 0)
    );
    stream.flush().await.expect("it is open");
    stream.flush().await.expect("it is open");
    assert_eq!(
        (progress.get(), messages_written.get()),
        (WriteProgress::Complete, 1)
    );
    drop(peer);
}

/// Guards against treating a short read as the end of the available bytes: the kernel may end a
/// read early, here at out-of-band data, and the remaining bytes would be read only when further
/// bytes arrive.
#[tokio::test]
async fn reads_all_available_bytes_after_a_short_read() {
    let (mut stream, mut peer) = connected_pair(Rc::default()).await;
    peer.write_all(b"first").await.expect("writes");
    socket2::SockRef::from(&peer)
        .send_out_of_band(b"!")
        .expect("writes the out-of-band byte");
    peer.write_all(b"second").await.expect("writes");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut read = Vec::new();
    while !read.ends_with(b"second") {
        let some = tokio::time::timeout(Duration::from_secs(2), stream.read_buf(&mut read)).await;
        assert!(some.expect("what is there is read").expect("it is open") > 0);
    }
    assert_eq!(read, b"firstsecond");
}
