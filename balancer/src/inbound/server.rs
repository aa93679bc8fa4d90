//! The listener: accepts client connections within the descriptor budget, and starts a task for
//! each.
use crate::control::driver::DriverHandle;
use crate::control::request_claims::RequestClaims;
use crate::inbound::client_connection::ClientConnection;
use crate::inbound::connection_task::serve_connection;
use crate::inbound::context::ServerContext;
use crate::inbound::response_delivery::ResponseDeliveries;
use crate::invariants::Guard;
use crate::memory::budget::{MemoryBudget, MemoryUse};
use crate::net::descriptor_budget::{is_resource_shortage, ConnectionPermit, DescriptorBudget};
use crate::net::listener::{register_accepted, Listener};
use crate::net::tcp_stream::TcpStream;
use crate::phase::Phase;
use crate::telemetry::log::log_line;
use crate::telemetry::metrics::Metrics;
use crate::time::{sleep, timeout};
use balancer_settings::Deployment;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Pause after an accept that failed, for example because of a shortage of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Largest number of attempts to accept one connection from the queue of a listener that is being
/// closed.
const MAX_QUEUE_ACCEPT_ATTEMPTS: usize = 64;
/// Interval between two attempts to evict a connection while no permit is free.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Idle connections are closed while less than this is left for ordinary requests.
const MIN_ADMISSION_ROOM_BYTES: usize = 256 << 10;
/// Interval between two evictions while memory is short.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);
/// Most connections that are evicted at once, as their memory is returned later.
const MAX_EVICTIONS_AT_ONCE: usize = 4;

/// What a server uses and reports to.
pub struct ServerOptions {
    /// Accepts the requests and selects their upstreams.
    pub driver: DriverHandle,
    /// The settings.
    pub deployment: Deployment,
    /// Limits the number of connections.
    pub descriptors: DescriptorBudget,
    /// Limits the memory of the process.
    pub memory: MemoryBudget,
    /// Counts requests and connections.
    pub metrics: Rc<Metrics>,
    /// Claims requests while another process serves; `None` if there is never one.
    pub claims: Option<Rc<dyn RequestClaims>>,
    /// Checks that requests get a response.
    pub guard: Guard,
    /// The phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// How far the responses are delivered.
    pub deliveries: Rc<ResponseDeliveries>,
}

/// Serves the clients of one listener.
pub struct Server {
    context: Rc<ServerContext>,
}

impl Server {
    /// A server with these parts.
    pub fn new(options: ServerOptions) -> Server {
        Server {
            context: Rc::new(ServerContext {
                driver: options.driver,
                deployment: options.deployment,
                descriptors: options.descriptors,
                memory: options.memory,
                metrics: options.metrics,
                claims: options.claims,
                guard: options.guard,
                phase: options.phase,
                idle_connections: Rc::default(),
                deliveries: options.deliveries,
                is_listening: Cell::new(true),
            }),
        }
    }

    /// Accepts clients until the process drains. Returns once every connection is closed.
    pub async fn run(self, listener: Listener) {
        let context = self.context;
        tokio::task::spawn_local(evict_while_memory_is_short(context.clone()));
        let queue_delay = AcceptLoop::new(&context, &listener).run().await;
        accept_remaining(&context, listener, queue_delay).await;
        context.is_listening.set(false);
        context.descriptors.wait_until_clients_closed().await;
    }
}

/// Accepts connections until the process drains.
struct AcceptLoop<'a> {
    context: &'a Rc<ServerContext>,
    listener: &'a Listener,
    phase: watch::Receiver<Phase>,
    /// Whether the last accept failed.
    is_failing: bool,
    /// How long the next connection may have been in the listener's queue, because earlier ones
    /// waited for permits.
    queue_delay: Duration,
}

struct Accepted {
    result: io::Result<std::net::TcpStream>,
    /// Whether the listener's queue was empty before the connection arrived.
    queue_was_empty: bool,
}

impl<'a> AcceptLoop<'a> {
    fn new(context: &'a Rc<ServerContext>, listener: &'a Listener) -> AcceptLoop<'a> {
        AcceptLoop {
            context,
            listener,
            phase: context.phase.clone(),
            is_failing: false,
            queue_delay: Duration::ZERO,
        }
    }

    /// Accepts connections until the process drains. Returns how long the connections that are
    /// still in the listener's queue may have been there.
    async fn run(mut self) -> Duration {
        while let Some(accepted) = self.accept().await {
            match accepted.result {
                Ok(stream) => {
                    self.is_failing = false;
                    if accepted.queue_was_empty {
                        self.queue_delay = Duration::ZERO;
                    }
                    if self.admit(stream).await.is_break() {
                        break;
                    }
                }
                Err(error) => self.handle_accept_error(&error).await,
            }
        }
        self.queue_delay
    }

    /// The next connection. `None` once the process drains and the queue is empty: a request
    /// written to a queued connection counts as accepted.
    async fn accept(&mut self) -> Option<Accepted> {
        let mut queue_was_empty = false;
        let accept = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            queue_was_empty |= accepted.is_pending();
            accepted
        });
        let accepted = tokio::select! {
            biased;
            accepted = accept => accepted,
            _ = self.phase.wait_for(|phase| *phase >= Phase::Draining) => return None,
        };
        Some(Accepted {
            result: accepted,
            queue_was_empty,
        })
    }

    /// Waits for a permit for an accepted connection and starts the connection's task. Breaks if
    /// there will be no more permits, because the descriptor budget is closed.
    async fn admit(&mut self, stream: std::net::TcpStream) -> ControlFlow<()> {
        let accepted_at = Instant::now();
        let Some(permit) = acquire_permit(self.context).await else {
            return ControlFlow::Break(());
        };
        let arrived_at = earliest_arrival_time(accepted_at, self.queue_delay);
        self.queue_delay += accepted_at.elapsed();
        spawn_connection(self.context, stream, permit, arrived_at);
        ControlFlow::Continue(())
    }

    /// Handles a failed accept: logs the first of consecutive errors, evicts an idle connection if
    /// resources are short, and waits before the next accept. The usual errors are a shortage of
    /// descriptors and a client that disconnected at once.
    async fn handle_accept_error(&mut self, error: &io::Error) {
        if !self.is_failing {
            log_line!("cannot accept a client connection: {error}");
        }
        self.is_failing = true;
        if is_resource_shortage(error) {
            self.context.idle_connections.evict_idle_connection();
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Accepts what is left in the listener's queue, and closes the listener.
async fn accept_remaining(context: &Rc<ServerContext>, listener: Listener, queue_delay: Duration) {
    while let Some(stream) = accept_from_queue(|| listener.accept_queued()).await {
        let Some(permit) = acquire_permit(context).await else {
            continue;
        };
        let arrived_at = earliest_arrival_time(Instant::now(), queue_delay);
        spawn_connection(context, stream, permit, arrived_at);
    }
}

/// The next connection in a listener's queue. Skips connections that failed in the queue: if
/// accepting stopped at one of them, closing the listener would reset the connections behind it.
/// `None` once the queue is empty, or after [`MAX_QUEUE_ACCEPT_ATTEMPTS`] failures.
async fn accept_from_queue<T>(mut accept: impl FnMut() -> io::Result<T>) -> Option<T> {
    for _ in 0..MAX_QUEUE_ACCEPT_ATTEMPTS {
        match accept() {
            Ok(accepted) => return Some(accepted),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) if is_resource_shortage(&error) => sleep(ACCEPT_RETRY_DELAY).await,
            Err(_) => {}
        }
    }
    None
}

/// Earliest time at which a connection may have arrived in the listener's queue.
fn earliest_arrival_time(accepted_at: Instant, queue_delay: Duration) -> Instant {
    accepted_at.checked_sub(queue_delay).unwrap_or(accepted_at)
}

/// Acquires a permit for one more client connection, and evicts idle connections until there is
/// one: a request that is written to a connection in the listener's queue counts as accepted, so
/// idle clients must not keep that connection waiting. `None` if the descriptor budget is closed.
async fn acquire_permit(context: &ServerContext) -> Option<ConnectionPermit> {
    loop {
        if let Some(permit) = context.descriptors.try_acquire_client() {
            return Some(permit);
        }
        let has_evicted = context.idle_connections.evict_idle_connection();
        if !has_evicted && context.descriptors.is_exhausted() {
            context.driver.close_oldest_idle_connection();
        }
        // A connection that closes releases its permit. While all connections are busy, eviction is
        // tried again after the interval.
        let permit = timeout(PERMIT_RETRY_INTERVAL, context.descriptors.acquire_client()).await;
        if let Ok(permit) = permit {
            return permit;
        }
    }
}

/// Closes idle connections while memory for ordinary requests is short.
async fn evict_while_memory_is_short(context: Rc<ServerContext>) {
    let mut shortages = context.memory.shortages();
    while shortages.wait_for(|is_short| *is_short).await.is_ok() {
        let has_room = || {
            context
                .memory
                .has_room(MemoryUse::Admission, MIN_ADMISSION_ROOM_BYTES)
        };
        for _ in 0..MAX_EVICTIONS_AT_ONCE {
            if has_room() {
                break;
            }
            context.idle_connections.evict_for_memory();
            context.driver.close_oldest_idle_connection();
        }
        sleep(EVICTION_INTERVAL).await;
    }
}

/// Starts the task of a connection that arrived in the listener's queue at `arrived_at` at the
/// earliest. If the connection cannot yet be registered with the event loop, it waits until it can,
/// as a connection without a permit does.
fn spawn_connection(
    context: &Rc<ServerContext>,
    stream: std::net::TcpStream,
    permit: ConnectionPermit,
    arrived_at: Instant,
) {
    // Without TCP_NODELAY, responses wait for the client's acknowledgements. Setting it fails if
    // the client has disconnected.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let unregistered = match TcpStream::register(stream) {
        Ok(registered) => {
            serve_registered(context.clone(), registered, permit, arrived_at);
            return;
        }
        Err(failed) => failed.owner,
    };
    let context = context.clone();
    tokio::task::spawn_local(async move {
        if let Some(registered) = register_accepted(unregistered).await {
            serve_registered(context, registered, permit, arrived_at);
        }
    });
}

/// Serves a connection. It counts as idle from the start, so that, while it has carried no request,
/// it can be evicted before an older idle connection that has carried one.
fn serve_registered(
    context: Rc<ServerContext>,
    stream: TcpStream,
    permit: ConnectionPermit,
    arrived_at: Instant,
) {
    let connection =
        ClientConnection::new_idle(stream, &context.idle_connections, &context.deliveries);
    connection.stream().record_unread(arrived_at);
    tokio::task::spawn_local(serve_connection(context, connection, permit));
}

#[cfg(test)]
mod tests;
