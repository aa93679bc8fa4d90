//! The agents of discovery, which serve the connections of one balancer each.
use super::condition::DiscoveryCondition;
use super::queue::{Admission, QUEUE_TIMEOUT};
use super::state::DrawnFaults;
use super::Discovery;
use crate::discovery_mode::DiscoveryMode;
use crate::ids::BalancerId;
use crate::loopback::loopback_address;
use crate::wire::{format_response, write_in_pieces, Message, MessageReader};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A request continues a watch if it arrives this soon after the previous response.
const WATCH_CONTINUATION: Duration = Duration::from_millis(200);
/// Number of pieces of a response that is split.
const SPLIT_PIECES: usize = 4;
/// Pause after each piece of a response that is split.
const SPLIT_PAUSE: Duration = Duration::from_millis(5);

/// A request for the endpoint list.
#[derive(Clone, Copy, Debug)]
struct ListRequest {
    /// The version that the balancer has; none if it wants a snapshot.
    since_version: Option<u64>,
    /// How long discovery may wait for a change before it responds.
    long_poll_timeout: Duration,
    /// Whether it continues a watch, which needs no turn in the queue.
    continues_watch: bool,
    received_at: Instant,
}

impl ListRequest {
    fn new(message: &Message, last_response_at: Option<Instant>) -> ListRequest {
        let timeout_ms = message.query_parameter("timeout_ms").unwrap_or(0);
        ListRequest {
            since_version: message.query_parameter("since"),
            long_poll_timeout: Duration::from_millis(timeout_ms),
            continues_watch: last_response_at.is_some_and(|at| at.elapsed() <= WATCH_CONTINUATION),
            received_at: Instant::now(),
        }
    }
}

/// What discovery does with one request.
enum AgentAction {
    /// Does not respond.
    Ignore,
    /// Closes the connection.
    Disconnect,
    /// Responds with status 503.
    Reject,
    /// Responds with part of a list and closes the connection.
    SendMalformed,
    /// Sends the changes since a version, or a snapshot without one.
    SendList {
        since_version: Option<u64>,
        split: bool,
    },
}

/// Serves one connection between a balancer and its agent.
struct AgentConnection {
    discovery: Arc<Discovery>,
    balancer: BalancerId,
    random: StdRng,
}

impl Discovery {
    /// Opens an agent for a balancer. It accepts connections until the runtime shuts down.
    pub async fn open_agent(
        self: &Arc<Self>,
        balancer: BalancerId,
        seed: u64,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((loopback_address(), 0)).await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        tokio::spawn(async move {
            let mut connection_seed = seed;
            while let Ok((stream, _)) = listener.accept().await {
                connection_seed = connection_seed.wrapping_add(1);
                let connection = AgentConnection {
                    discovery: discovery.clone(),
                    balancer,
                    random: StdRng::seed_from_u64(connection_seed),
                };
                tokio::spawn(connection.serve(stream));
            }
        });
        Ok(address)
    }
}

impl AgentConnection {
    /// Serves the connection until it is closed.
    async fn serve(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read_half, mut writer) = stream.into_split();
        let mut reader = MessageReader::new(read_half);
        let mut last_response_at: Option<Instant> = None;
        while let Ok(message) = reader.read_message().await {
            let request = ListRequest::new(&message, last_response_at);
            let action = tokio::select! {
                action = self.decide(request) => action,
                () = reader.wait_for_close() => return,
            };
            match action {
                AgentAction::Ignore => return reader.wait_for_close().await,
                AgentAction::Disconnect => return,
                AgentAction::SendMalformed => return send_malformed(&mut writer).await,
                AgentAction::Reject => {
                    let response = format_response("503 Service Unavailable", "");
                    if writer.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                    last_response_at = None;
                }
                AgentAction::SendList {
                    since_version,
                    split,
                } => {
                    let list = self.discovery.list_for(self.balancer, since_version);
                    if send_list(&mut writer, &list, split).await.is_err() {
                        return;
                    }
                    last_response_at = Some(Instant::now());
                }
            }
        }
    }

    /// Waits until the request can be served and decides how.
    async fn decide(&mut self, request: ListRequest) -> AgentAction {
        let needs_turn = !request.continues_watch || request.since_version.is_none();
        if needs_turn && !self.wait_for_turn().await {
            return AgentAction::Reject;
        }
        let faults = self.discovery.state().draw_faults(&mut self.random);
        let has_changes = self.wait_for_changes(request).await;
        if self.discovery.mode == DiscoveryMode::Push {
            self.wait_until_up().await;
        }
        let condition = {
            let state = self.discovery.state();
            if request.since_version.is_some() && state.is_silent_watch(request.received_at) {
                return AgentAction::Ignore;
            }
            state.condition
        };
        match condition {
            DiscoveryCondition::Unresponsive => AgentAction::Ignore,
            DiscoveryCondition::Disconnecting => AgentAction::Disconnect,
            DiscoveryCondition::Rejecting => AgentAction::Reject,
            DiscoveryCondition::Up => choose_response(request, &faults, has_changes),
        }
    }

    /// Waits in the queue for a request's turn, in poll mode. Returns false if the queue rejects the request.
    async fn wait_for_turn(&self) -> bool {
        if self.discovery.mode == DiscoveryMode::Push {
            return true;
        }
        let admission = {
            let mut state = self.discovery.state();
            match state.condition {
                DiscoveryCondition::Up => Some(state.queue.admit(Instant::now())),
                _ => None,
            }
        };
        match admission {
            Some(Admission::ServedAt(turn)) => sleep_until(turn).await,
            Some(Admission::TimesOut) => {
                sleep(QUEUE_TIMEOUT).await;
                return false;
            }
            Some(Admission::Rejected) => return false,
            // Discovery is down: `decide` acts on its condition. A rejection comes only after `QUEUE_TIMEOUT`.
            None => {
                let condition = self.discovery.state().condition;
                if condition == DiscoveryCondition::Rejecting {
                    sleep(QUEUE_TIMEOUT).await;
                }
            }
        }
        true
    }

    /// Waits until discovery is up. Until then an agent does not respond.
    async fn wait_until_up(&self) {
        let mut changes = self.discovery.changes.subscribe();
        while !self.discovery.state().condition.is_up() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until a request can be answered. Returns whether that was before its long-poll timeout.
    async fn wait_for_changes(&self, request: ListRequest) -> bool {
        let Some(since_version) = request.since_version else {
            return true;
        };
        let mut changes = self.discovery.changes.subscribe();
        let is_due = || {
            let state = self.discovery.state();
            state.list.version() > since_version
                || !state.condition.is_up()
                || state.is_silent_watch(request.received_at)
        };
        let due = async {
            while !is_due() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(request.long_poll_timeout, due).await.is_ok()
    }
}

/// Decides how to respond while discovery is up.
fn choose_response(request: ListRequest, faults: &DrawnFaults, has_changes: bool) -> AgentAction {
    if faults.malformed {
        return AgentAction::SendMalformed;
    }
    if faults.disconnect {
        return AgentAction::Disconnect;
    }
    let forces_snapshot = has_changes && faults.snapshot && !request.continues_watch;
    let since_version = if forces_snapshot {
        None
    } else {
        request.since_version
    };
    AgentAction::SendList {
        since_version,
        split: faults.split,
    }
}

async fn send_malformed(writer: &mut OwnedWriteHalf) {
    let response = format_response("200 OK", "{\"version\": ");
    let _ = writer.write_all(response.as_bytes()).await;
}

async fn send_list(writer: &mut OwnedWriteHalf, list: &str, split: bool) -> io::Result<()> {
    let response = format_response("200 OK", list);
    if !split {
        return writer.write_all(response.as_bytes()).await;
    }
    write_in_pieces(writer, response.as_bytes(), SPLIT_PIECES, SPLIT_PAUSE).await?;
    sleep(SPLIT_PAUSE).await;
    Ok(())
}
