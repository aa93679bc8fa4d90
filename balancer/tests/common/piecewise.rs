//! Peers that write in small pieces.
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// Pause after a round in which each peer has written a piece. The balancer reads it meanwhile.
const PAUSE: Duration = Duration::from_millis(2);

/// Connections to this address whose writes do not wait.
pub fn connect_piecewise(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| {
            let stream = TcpStream::connect(address).expect("connects");
            prepare_for_pieces(&stream);
            stream
        })
        .collect()
}

/// Sends small writes on this connection at once, and lets no write wait.
pub fn prepare_for_pieces(stream: &TcpStream) {
    stream.set_nonblocking(true).expect("sets O_NONBLOCK");
    stream.set_nodelay(true).expect("sets TCP_NODELAY");
}

/// Writes these bytes to each of the streams in pieces, so that the balancer reads each piece alone.
pub fn write_in_pieces(streams: &mut [TcpStream], bytes: &[u8], piece: usize) {
    for part in bytes.chunks(piece) {
        for stream in &mut *streams {
            // The balancer may have stopped reading, and the buffers may be full.
            let _ = stream.write(part);
        }
        sleep(PAUSE);
    }
}
