//! Accepting and registering connections.
use super::*;
use crate::net::socket_io::Socket;
use std::io::Write;
use tokio::io::AsyncReadExt;

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

#[tokio::test]
async fn accepts_a_connection_and_registers_it_with_the_event_loop() {
    let listener = Listener::bind(loopback(), false).expect("listens");
    let address = listener.local_addr().expect("an address");
    let mut client = std::net::TcpStream::connect(address).expect("connects");
    client.write_all(b"x").expect("writes");
    let accepted = listener.accept().await.expect("accepts");
    let registered = register_accepted(accepted).await.expect("is open");
    let mut socket = Socket::new(registered);
    assert_eq!(socket.read(&mut [0; 2]).await.expect("one byte"), 1);
}

/// Guards against dropping a request whose client closes or half-closes the connection before the
/// connection is registered.
#[test]
fn distinguishes_a_disconnected_client_from_one_whose_request_is_unread() {
    let listener = TcpListener::bind(loopback()).expect("listens");
    let address = listener.local_addr().expect("an address");
    for (request, has_ended) in [("", true), ("GET", false)] {
        let mut client = std::net::TcpStream::connect(address).expect("connects");
        let accepted = listener.accept().expect("accepts").0;
        accepted.set_nonblocking(true).expect("a socket");
        assert!(!has_ended_without_unread_bytes(&accepted));
        client.write_all(request.as_bytes()).expect("writes");
        drop(client);
        std::thread::sleep(REGISTRATION_RETRY_DELAY);
        assert_eq!(
            has_ended_without_unread_bytes(&accepted),
            has_ended,
            "{request:?}"
        );
    }
}
