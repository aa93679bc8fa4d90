//! One connection of an upstream: reads requests, records the attempts and responds.
use super::profile::ResponseAction;
use super::state::State;
use crate::observations::AttemptOutcome;
use crate::response_body::expected_body;
use crate::rules::Rule;
use crate::wire::{format_response, Message, MessageReader, ReadError};
use rand::rngs::StdRng;
use rand::RngExt;
use std::io;
use std::ops::{Range, RangeInclusive};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

/// Longest time for which a request without a response, or an unresponsive connection, stays open.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before a surplus response, in milliseconds.
const SURPLUS_RESPONSE_DELAY_MS: RangeInclusive<u64> = 1..=1000;
/// Longest time to respond, in milliseconds.
const MAX_LATENCY_MS: f64 = 2000.0;
/// Time after a response, in milliseconds, after which the idle connection is closed.
const IDLE_CLOSE_DELAY_MS: Range<u64> = 0..40;

/// What happens to the connection after a request.
enum ConnectionAction {
    Keep,
    Close,
    Reset,
}

impl ConnectionAction {
    fn after_write(written: io::Result<()>) -> ConnectionAction {
        match written {
            Ok(()) => ConnectionAction::Keep,
            Err(_) => ConnectionAction::Close,
        }
    }
}

/// One attempt that the connection serves.
struct Attempt {
    request_id: String,
    /// Its number among the request's attempts.
    number: usize,
}

/// A response that is sent again.
struct PendingSurplusResponse {
    due_at: Instant,
    response: String,
}

struct Connection {
    state: Arc<State>,
    random: StdRng,
    writer: OwnedWriteHalf,
    /// A surplus response to an earlier request that is still to be sent.
    surplus: Option<PendingSurplusResponse>,
    /// The upstream's generation when the connection was accepted.
    generation: u64,
}

/// Serves one connection until it is closed.
pub(super) async fn serve(stream: TcpStream, state: Arc<State>, mut random: StdRng) {
    let _ = stream.set_nodelay(true);
    let generation = state.generation();
    if random.random::<f64>() < state.profile().unresponsive_connection {
        sleep(UNRESPONSIVE_TIMEOUT).await;
        return;
    }
    let (read_half, writer) = stream.into_split();
    let mut reader = MessageReader::new(read_half);
    let mut connection = Connection {
        state,
        random,
        writer,
        surplus: None,
        generation,
    };
    loop {
        match connection.serve_request(&mut reader).await {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => return,
            ConnectionAction::Reset => return reader.reset_connection(connection.writer),
        }
    }
}

impl Connection {
    async fn serve_request(&mut self, reader: &mut MessageReader) -> ConnectionAction {
        let Ok(started_at) = self.wait_for_request(reader).await else {
            return ConnectionAction::Close;
        };
        if self.random.random::<f64>() < self.state.profile().early_reset {
            return ConnectionAction::Reset;
        }
        let Ok(request) = reader.read_message().await else {
            return ConnectionAction::Close;
        };
        if self.state.generation() != self.generation {
            return ConnectionAction::Reset;
        }
        let Some(attempt) = self.record_attempt(&request, started_at) else {
            return ConnectionAction::Close;
        };
        let connection_action = tokio::select! {
            biased;
            connection_action = self.respond(&attempt) => connection_action,
            () = reader.wait_for_close() => {
                self.record_outcome(&attempt, AttemptOutcome::Cancelled);
                return ConnectionAction::Close;
            }
        };
        if matches!(connection_action, ConnectionAction::Keep)
            && self.closes_idle_connection().await
        {
            return ConnectionAction::Close;
        }
        connection_action
    }

    /// Records a complete attempt. None if the request has no id or no client has sent it.
    fn record_attempt(&self, request: &Message, started_at: Instant) -> Option<Attempt> {
        let request_id = request.header("req-id")?.to_string();
        let forwarded_deadline = request.duration_header("req-deadline");
        let mut observations = self.state.recorder().lock();
        let number = observations.record_attempt(
            &request_id,
            self.state.id(),
            started_at,
            forwarded_deadline,
        );
        let Some(number) = number else {
            observations.record_violation(
                Rule::WrongResponse,
                format!("an upstream got a request that no client sent: {request_id}"),
            );
            return None;
        };
        observations.record_attempt_received(&request_id, number);
        Some(Attempt { request_id, number })
    }

    fn record_outcome(&self, attempt: &Attempt, outcome: AttemptOutcome) {
        self.state.recorder().lock().record_attempt_outcome(
            &attempt.request_id,
            attempt.number,
            outcome,
        );
    }

    async fn closes_idle_connection(&mut self) -> bool {
        let closes = self.random.random::<f64>() < self.state.profile().idle_close;
        if closes {
            let delay_ms = self.random.random_range(IDLE_CLOSE_DELAY_MS);
            sleep(Duration::from_millis(delay_ms)).await;
        }
        closes
    }

    async fn respond(&mut self, attempt: &Attempt) -> ConnectionAction {
        let profile = self.state.profile();
        let latency_ms = profile.draw_latency_ms(&mut self.random);
        let latency = Duration::from_secs_f64(latency_ms.min(MAX_LATENCY_MS) / 1000.0);
        self.wait_until(Instant::now() + latency).await;
        match self.draw_action() {
            ResponseAction::Respond { status, outcome } => {
                self.send_response(attempt, status, outcome).await
            }
            ResponseAction::Reset => self.reset(attempt),
            ResponseAction::NoResponse => {
                sleep(UNRESPONSIVE_TIMEOUT).await;
                self.reset(attempt)
            }
            ResponseAction::TruncatedResponse => self.send_truncated_response(attempt).await,
            ResponseAction::MalformedResponse => self.send_malformed_response(attempt).await,
            ResponseAction::SurplusResponse => self.send_response_twice(attempt).await,
            ResponseAction::ResponseWithoutLength => {
                self.send_response_without_length(attempt).await
            }
        }
    }

    /// Draws what happens to a request. An upstream that rejects new requests rejects it without a draw.
    fn draw_action(&mut self) -> ResponseAction {
        let profile = self.state.profile();
        if self.state.is_rejecting() {
            return ResponseAction::REJECT;
        }
        profile.draw_action(&mut self.random)
    }

    async fn send_response(
        &mut self,
        attempt: &Attempt,
        status: &str,
        outcome: AttemptOutcome,
    ) -> ConnectionAction {
        let body = match outcome {
            AttemptOutcome::Success => expected_body(&attempt.request_id),
            _ => String::new(),
        };
        self.record_outcome(attempt, outcome);
        ConnectionAction::after_write(self.write(&format_response(status, &body)).await)
    }

    fn reset(&self, attempt: &Attempt) -> ConnectionAction {
        self.record_outcome(attempt, AttemptOutcome::Reset);
        ConnectionAction::Reset
    }

    async fn send_truncated_response(&mut self, attempt: &Attempt) -> ConnectionAction {
        let body = expected_body(&attempt.request_id);
        let response = format_response("200 OK", &body);
        let sent_bytes = response.len() - body.len() / 2;
        let _ = self
            .writer
            .write_all(&response.as_bytes()[..sent_bytes])
            .await;
        self.reset(attempt)
    }

    async fn send_malformed_response(&mut self, attempt: &Attempt) -> ConnectionAction {
        let _ = self.write("SMTP ready\r\n\r\n").await;
        self.record_outcome(attempt, AttemptOutcome::Error);
        ConnectionAction::Close
    }

    async fn send_response_twice(&mut self, attempt: &Attempt) -> ConnectionAction {
        self.record_outcome(attempt, AttemptOutcome::Success);
        let response = format_response("200 OK", &expected_body(&attempt.request_id));
        if self.write(&response).await.is_err() {
            return ConnectionAction::Close;
        }
        let pause = Duration::from_millis(self.random.random_range(SURPLUS_RESPONSE_DELAY_MS));
        self.state.recorder().lock().record_surplus_response(
            &attempt.request_id,
            self.state.id(),
            pause,
        );
        self.surplus = Some(PendingSurplusResponse {
            due_at: Instant::now() + pause,
            response,
        });
        ConnectionAction::Keep
    }

    /// Waits until `until`, and sends the surplus response if it is due by then.
    async fn wait_until(&mut self, until: Instant) {
        if let Some(surplus) = self.surplus.take_if(|surplus| surplus.due_at <= until) {
            sleep_until(surplus.due_at).await;
            // The balancer may have closed the connection.
            let _ = self.write(&surplus.response).await;
        }
        sleep_until(until).await;
    }

    /// Waits for the first byte of the next request, and sends the surplus response if it is due before that.
    async fn wait_for_request(&mut self, reader: &mut MessageReader) -> Result<Instant, ReadError> {
        if let Some(due_at) = self.surplus.as_ref().map(|surplus| surplus.due_at) {
            tokio::select! {
                started_at = reader.wait_for_first_byte() => return started_at,
                () = self.wait_until(due_at) => {}
            }
        }
        reader.wait_for_first_byte().await
    }

    async fn send_response_without_length(&mut self, attempt: &Attempt) -> ConnectionAction {
        self.record_outcome(attempt, AttemptOutcome::Success);
        let body = expected_body(&attempt.request_id);
        let response = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
        let _ = self.write(&response).await;
        ConnectionAction::Close
    }

    async fn write(&mut self, response: &str) -> io::Result<()> {
        self.writer.write_all(response.as_bytes()).await
    }
}
