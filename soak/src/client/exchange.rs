//! Clients that send complete requests: they wait for the responses or disconnect.
use super::request::PreparedRequest;
use super::{Client, ClientKind};
use crate::observations::ClientOutcome;
use crate::response_body::{expected_body, request_id_in};
use crate::wire::{write_in_pieces, Message, ReadError};
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Time after its deadline for which a client still waits for a response.
const EXTRA_RESPONSE_WAIT: Duration = Duration::from_millis(900);
/// Time, in milliseconds, after which a disconnecting client disconnects.
const DISCONNECT_DELAY_MS: Range<u64> = 0..120;
/// Number of requests that a pipelining client sends at once.
const PIPELINED_REQUESTS: Range<u32> = 2..5;
/// Number of pieces in which a slow client writes a request.
const SLOW_WRITE_PIECES: Range<usize> = 2..6;
/// Pause between two pieces of a request.
const SLOW_WRITE_PAUSE: Duration = Duration::from_millis(20);

impl Client {
    /// Sends one request and waits for its response.
    pub(super) async fn send_and_receive(&mut self) {
        let request = self.prepare_request(true);
        let pieces = match self.kind {
            ClientKind::SlowWriter => self.random.random_range(SLOW_WRITE_PIECES),
            _ => 1,
        };
        let recorder = self.group.recorder();
        let Some(connection) = self.connection.as_mut() else {
            return;
        };
        recorder
            .lock()
            .record_request(&request.id, request.properties);
        let written = write_in_pieces(
            &mut connection.writer,
            &request.bytes,
            pieces,
            SLOW_WRITE_PAUSE,
        )
        .await;
        recorder.lock().record_request_sent(&request.id);
        connection.used = true;
        if written.is_err() {
            // The connection was closed while the request was written. Only its attempts at the upstreams show whether the
            // balancer read it.
            self.record_outcome(&request.id, ClientOutcome::Disconnected);
            self.connection = None;
            return;
        }
        self.receive(&request).await;
    }

    /// Waits for the response to a request that has been sent.
    async fn receive(&mut self, request: &PreparedRequest) {
        let Some(connection) = self.connection.as_mut() else {
            return;
        };
        let wait = request.properties.response_timeout + EXTRA_RESPONSE_WAIT;
        let received = timeout(wait, connection.reader.read_message()).await;
        let keeps_connection = matches!(&received, Ok(Ok(response)) if keeps_alive(response));
        let outcome = match received {
            Err(_) => ClientOutcome::NoResponse,
            Ok(Ok(response)) => self.check_response(&request.id, &response),
            Ok(Err(ReadError::Truncated | ReadError::Malformed)) => {
                ClientOutcome::TruncatedResponse
            }
            Ok(Err(ReadError::Closed | ReadError::Io(_))) => ClientOutcome::ConnectionClosed,
        };
        self.record_outcome(&request.id, outcome);
        if !keeps_connection {
            self.connection = None;
        }
    }

    /// Records a wrong response if the body of a response with status 200 is not the one expected for the request.
    /// Returns the outcome.
    fn check_response(&self, request_id: &str, response: &Message) -> ClientOutcome {
        let status = response.status().unwrap_or(0);
        if status == 200 && response.body != expected_body(request_id).as_bytes() {
            let body = String::from_utf8_lossy(&response.body);
            let details = format!("request {request_id} got a wrong response body: {body:?}");
            self.recorder()
                .lock()
                .record_wrong_response(request_id, request_id_in(&body), details);
        }
        ClientOutcome::Response(status)
    }

    /// Sends one request and disconnects while it is in flight.
    pub(super) async fn send_and_disconnect(&mut self) {
        let request = self.prepare_request(true);
        let delay = Duration::from_millis(self.random.random_range(DISCONNECT_DELAY_MS));
        let with_reset = self.random.random::<bool>();
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        self.recorder()
            .lock()
            .record_request(&request.id, request.properties);
        if connection.writer.write_all(&request.bytes).await.is_err() {
            self.record_outcome(&request.id, ClientOutcome::Disconnected);
            return;
        }
        self.recorder().lock().record_request_sent(&request.id);
        let outcome = match timeout(delay, connection.reader.read_message()).await {
            Ok(Ok(response)) => self.check_response(&request.id, &response),
            _ => ClientOutcome::Disconnected,
        };
        if with_reset {
            connection.reader.reset_connection(connection.writer);
        } else {
            // Dropping the halves one by one would shut down the write direction before the connection is closed.
            drop(connection.reader.reunite(connection.writer));
        }
        self.record_outcome(&request.id, outcome);
    }

    /// Sends several requests at once and waits for their responses.
    pub(super) async fn send_pipelined(&mut self) {
        let count = self.random.random_range(PIPELINED_REQUESTS);
        let mut requests: Vec<PreparedRequest> =
            (0..count).map(|_| self.prepare_request(true)).collect();
        let mut longest_deadline = Duration::ZERO;
        for request in &mut requests {
            longest_deadline = longest_deadline.max(request.properties.deadline);
            request.properties.response_timeout = longest_deadline;
        }
        if !self.write_pipelined(&requests).await {
            self.connection = None;
            return;
        }
        for request in &requests {
            if self.connection.is_none() {
                // An earlier response announced the close of the connection, or did not arrive. Requests that the balancer
                // did not read may be sent again elsewhere.
                self.record_outcome(&request.id, ClientOutcome::Disconnected);
                continue;
            }
            self.receive(request).await;
        }
    }

    /// Writes all requests at once. Returns whether that succeeded; if not, they count as disconnected.
    async fn write_pipelined(&mut self, requests: &[PreparedRequest]) -> bool {
        let recorder = self.group.recorder();
        let Some(connection) = self.connection.as_mut() else {
            return false;
        };
        let mut bytes = Vec::new();
        for request in requests {
            bytes.extend_from_slice(&request.bytes);
            recorder
                .lock()
                .record_request(&request.id, request.properties);
        }
        let written = connection.writer.write_all(&bytes).await.is_ok();
        connection.used = true;
        for request in requests {
            let mut observations = recorder.lock();
            observations.record_request_sent(&request.id);
            if !written {
                observations.record_outcome(&request.id, ClientOutcome::Disconnected);
            }
        }
        written
    }
}

/// Whether the connection stays open after this response.
fn keeps_alive(response: &Message) -> bool {
    response
        .header("connection")
        .is_none_or(|value| !value.eq_ignore_ascii_case("close"))
}
