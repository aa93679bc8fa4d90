//! Clients of a balancer.
use super::{connect, read_message, Message};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A client with one connection.
pub struct Client(BufReader<TcpStream>);

/// How a client disconnects while its request waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disconnect {
    Close,
    Reset,
    /// Closes its sending side, and can go on reading.
    HalfClose,
}

/// All ways to disconnect.
pub const DISCONNECTS: [Disconnect; 3] =
    [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];

impl Client {
    /// Connects to this address.
    pub fn connect(address: SocketAddr) -> Client {
        Client(connect(address))
    }

    /// A client on this connection.
    pub fn on(connection: BufReader<TcpStream>) -> Client {
        Client(connection)
    }

    /// Disconnects. Returns the client if it only half-closed its connection: it can still read
    /// responses.
    pub fn disconnect(self, how: Disconnect) -> Option<Client> {
        let stream = self.0.get_ref();
        match how {
            Disconnect::Close => None,
            Disconnect::Reset => {
                let no_linger = Some(Duration::ZERO);
                socket2::SockRef::from(stream)
                    .set_linger(no_linger)
                    .expect("sets SO_LINGER");
                None
            }
            Disconnect::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("half-closes");
                Some(self)
            }
        }
    }

    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        // An error is ignored: reading the response shows that the connection is closed.
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// The next response; `None` if the connection ended.
    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Sends a request and reads its response.
    pub fn call(&mut self, request: &str) -> Message {
        self.send(request);
        self.read_response().expect("a response")
    }
}
