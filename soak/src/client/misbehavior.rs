//! Clients that send no complete request.
use super::{Client, ClientKind};
use rand::RngExt;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Time for which a client that misbehaves keeps its connection open.
const MISBEHAVIOR_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of bytes that a client of kind [`ClientKind::RandomBytes`] sends.
const RANDOM_BYTES: usize = 200;

impl Client {
    /// Sends no complete request, then waits until the balancer closes the connection.
    pub(super) async fn misbehave(&mut self) {
        let bytes = match self.kind {
            ClientKind::PartialRequest => {
                let request = self.prepare_request(false);
                let sent_bytes = self.random.random_range(1..request.bytes.len());
                request.bytes[..sent_bytes].to_vec()
            }
            ClientKind::RandomBytes => (0..RANDOM_BYTES)
                .map(|_| self.random.random::<u8>())
                .collect(),
            _ => Vec::new(),
        };
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if connection.writer.write_all(&bytes).await.is_err() {
            return;
        }
        let _ = timeout(MISBEHAVIOR_TIMEOUT, connection.reader.wait_for_close()).await;
    }
}
