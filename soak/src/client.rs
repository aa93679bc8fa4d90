//! Stand-ins for clients. Some follow the protocol, some disconnect and some misbehave.
mod exchange;
mod group;
mod misbehavior;
mod request;

pub use group::{ClientGroup, ClientKind};

use crate::observations::ClientOutcome;
use crate::recorder::Recorder;
use crate::wire::MessageReader;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause before a client that could not connect tries again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a request, in seconds.
const MAX_REQUEST_PAUSE_SECONDS: f64 = 3.0;
/// Multiplier of a client's number, which makes the seeds of consecutive clients differ in many bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

struct Connection {
    reader: MessageReader,
    writer: OwnedWriteHalf,
    /// Whether it has carried a request.
    used: bool,
}

/// One client.
pub struct Client {
    group: Arc<ClientGroup>,
    kind: ClientKind,
    number: u64,
    random: StdRng,
    requests_prepared: u64,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client. `number` is unique in the run.
    pub fn new(group: Arc<ClientGroup>, kind: ClientKind, number: u64, seed: u64) -> Client {
        Client {
            group,
            kind,
            number,
            random: StdRng::seed_from_u64(seed ^ number.wrapping_mul(SEED_MULTIPLIER)),
            requests_prepared: 0,
            connection: None,
        }
    }

    /// Sends requests until the group is stopped.
    pub async fn run(mut self) {
        while !self.group.is_stopped() {
            // Exponentially distributed with mean 1.
            let pause_factor = -(1.0 - self.random.random::<f64>()).ln();
            let pause_seconds = pause_factor / self.group.request_rate();
            sleep(Duration::from_secs_f64(
                pause_seconds.min(MAX_REQUEST_PAUSE_SECONDS),
            ))
            .await;
            if self.kind == ClientKind::ConnectionPerRequest {
                self.connection = None;
            }
            if !self.connect().await {
                sleep(RECONNECT_PAUSE).await;
                continue;
            }
            self.send_next().await;
        }
    }

    async fn send_next(&mut self) {
        match self.kind {
            ClientKind::KeepAlive
            | ClientKind::ConnectionPerRequest
            | ClientKind::SlowWriter
            | ClientKind::LargeBodies => self.send_and_receive().await,
            ClientKind::Disconnecting => self.send_and_disconnect().await,
            ClientKind::Pipelining => self.send_pipelined().await,
            ClientKind::PartialRequest | ClientKind::RandomBytes | ClientKind::Silent => {
                self.misbehave().await;
            }
        }
    }

    /// Connects unless the client has a connection. Returns whether the client has a connection afterwards.
    async fn connect(&mut self) -> bool {
        if self.connection.is_some() {
            return true;
        }
        if !self.group.may_connect() {
            return false;
        }
        let Ok(stream) = TcpStream::connect(self.group.address()).await else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        self.connection = Some(Connection {
            reader: MessageReader::new(read_half),
            writer,
            used: false,
        });
        true
    }

    fn recorder(&self) -> &Recorder {
        self.group.recorder()
    }

    fn record_outcome(&self, request_id: &str, outcome: ClientOutcome) {
        self.recorder().lock().record_outcome(request_id, outcome);
    }
}
