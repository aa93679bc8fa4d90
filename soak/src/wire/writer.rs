//! Formats and writes messages.
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

/// Formats a response whose length is stated. `status` is the status line after the version; it may include further
/// header lines.
pub fn format_response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Writes a message in up to this many pieces, with a pause between them.
pub async fn write_in_pieces(
    writer: &mut OwnedWriteHalf,
    message: &[u8],
    pieces: usize,
    pause: Duration,
) -> io::Result<()> {
    let piece_bytes = message.len() / pieces + 1;
    for (number, piece) in message.chunks(piece_bytes).enumerate() {
        if number > 0 {
            sleep(pause).await;
        }
        writer.write_all(piece).await?;
    }
    Ok(())
}
