//! The callers' side: takes requests whole, hands them to the driver and writes the one final answer.
use crate::body::payload::{
    Fault, Paced, RequestBody, ResponseBody, Upload, BODY_MOST, REQUEST_WAIT, WHOLE_MOST,
};
use crate::clock::to_millis;
use crate::control::driver::{DriverHandle, ResponseFuture};
use crate::control::invariants::Guard;
use crate::inbound::client_stream::{ClientStream, RequestTracker, TrackedStream, HEAD_MOST};
use crate::inbound::request_head::RequestHead;
use crate::inbound::responses::{final_answer, plain, refusal, refuse_input};
use crate::net::descriptor_budget::{is_shortage, ConnectionPermit, DescriptorBudget};
use crate::outbound::attempt::{end_to_end, DEADLINE};
use crate::outbound::message::{OutboundRequest, SubmitError};
use crate::telemetry::metrics::{CloseReason, InFlightRequest, Metrics, Outcome};
use balancer_core::Millis;
use balancer_settings::Deployment;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A caller that has been answered may keep its connection unused for this long.
const IDLE_WAIT: Duration = Duration::from_secs(10);
/// A connection that has asked for nothing yet makes way for new ones after this long.
const NEWCOMER: Duration = Duration::from_millis(30);
/// Or, while none that was used has rested for [`RESTED`] and these are not the most, after this long.
const NEWCOMER_LEAST: Duration = Duration::from_millis(5);
/// A connection that was used makes way before young newcomers after this long.
const RESTED: Duration = Duration::from_secs(2);
/// What a caller goes on sending after it was turned away is read for this long, and this much of it: closing
/// on bytes unread would destroy the answer on its way.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: usize = 64 << 20;
/// How often a connection's waits are looked at.
const LOOK: Duration = Duration::from_secs(1);
/// A connection that is to end is closed once it has rested for this long, and is looked at as often: one that rests
/// for less has its next request on the way, whose answer ends it, where a close would cross that request.
const RESTS: Duration = Duration::from_millis(100);
/// And for as long as callers are promised if it has asked for nothing yet: its caller came for a request, and may
/// write slowly.
const RESTS_NEW: Duration = Duration::from_secs(2);
/// A connection that is to close, and owes no answer, has this long to take what was written.
const FLUSH_WAIT: Duration = Duration::from_secs(2);
/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Accepts that fail one after the other as the listener is closed, at the most.
const ACCEPT_TRIES: usize = 64;
/// While all callers' connections are busy, the next look for one that may be closed comes after this.
const CROWDED_PAUSE: Duration = Duration::from_millis(10);
/// When a caller may come again that found as many requests open as may be.
const FULL_PAUSE: Millis = 500.0;
const READY: &str = "/-/ready";
const SERVICE: &str = "/api";

/// Whether clients are welcome, and how far the end of the program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not yet serving.
    Starting,
    /// Serving.
    Serving,
    /// Sent away by staff: those that still come are served, on connections that end with their next answer.
    Paused,
    /// Told to end: new connections are still accepted, and kept ones go on being served.
    ShutdownRequested,
    /// No connection is accepted any more; those that there are go on being served.
    Draining,
    /// Told to end while another process of this balancer serves: no connection is accepted any more, and those
    /// that there are end with their next answer, so that callers go over.
    HandedOff,
    /// Connections end with their next answer, and those between requests are closed.
    Closing,
}

impl Phase {
    /// Whether connections end with their next answer, and those between requests are closed.
    fn ends_connections(self) -> bool {
        matches!(self, Phase::Paused | Phase::HandedOff | Phase::Closing)
    }
}

/// A connection between requests: whether it has carried one, and its turn.
type IdleKey = (bool, u64);

/// What every connection needs.
pub struct Server {
    driver: DriverHandle,
    deployment: Deployment,
    sockets: DescriptorBudget,
    metrics: Rc<Metrics>,
    guard: Guard,
    phase: watch::Receiver<Phase>,
    /// Connections between requests and how to close them, those that never asked for anything first, and among
    /// these the one that rested longest.
    idle: RefCell<BTreeMap<IdleKey, (Instant, Rc<Notify>)>>,
    /// Whether connections are accepted.
    listening: Cell<bool>,
    /// Orders the connections by when they last fell idle.
    turn: Cell<u64>,
}

impl Server {
    /// Serves callers through `driver`, on what `sockets` leaves.
    pub fn new(
        driver: DriverHandle,
        deployment: Deployment,
        sockets: DescriptorBudget,
        metrics: Rc<Metrics>,
        guard: Guard,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Server> {
        let (idle, turn, listening) = (RefCell::default(), Cell::new(0), Cell::new(true));
        Rc::new(Server {
            driver,
            deployment,
            sockets,
            metrics,
            guard,
            phase,
            idle,
            listening,
            turn,
        })
    }

    /// Whether connections end now. With a successor not before the listener is closed: those that come again because
    /// theirs ended would wait in its queue at that very moment.
    fn ends(&self) -> bool {
        let phase = *self.phase.borrow();
        phase.ends_connections() && !(phase == Phase::HandedOff && self.listening.get())
    }

    /// Notes that a connection is between requests, `used` once it has carried one. Its number is to be taken
    /// out when that ends.
    fn rests(&self, used: bool, close: &Rc<Notify>) -> Option<IdleKey> {
        self.turn.set(self.turn.get() + 1);
        let number = (used, self.turn.get());
        self.idle
            .borrow_mut()
            .insert(number, (Instant::now(), close.clone()));
        Some(number)
    }

    fn rests_no_more(&self, number: Option<IdleKey>) {
        if let Some(number) = number {
            self.idle.borrow_mut().remove(&number);
        }
    }

    /// Closes a connection between requests, if there is one. Guards against silent callers by the hundred that
    /// would shut out those that ask: they go first, once what they may have sent had time to be read. And against
    /// waiting for that time while connections rest that nobody has used for long, or that are most of all there are.
    fn close_one(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let all = |used| idle.range((used, 0)..=(used, u64::MAX));
        let age = |used| all(used).next().map(|(_, (since, _))| since.elapsed());
        let Some(used) = makes_way(
            age(false),
            age(true),
            all(true).count() > all(false).count(),
        ) else {
            return false;
        };
        let Some((&chosen, _)) = all(used).next() else {
            return false;
        };
        idle.remove(&chosen).is_some_and(|(_, close)| {
            close.notify_one();
            true
        })
    }

    /// Room for one more caller. Guards against idle connections that callers keep shutting others out: what is
    /// written to a connection that waits to be accepted counts as taken, so one between requests makes way.
    async fn room(&self) -> Option<ConnectionPermit> {
        loop {
            if let Some(places) = self.sockets.try_acquire_client() {
                return Some(places);
            }
            if !self.close_one() && self.sockets.is_exhausted() {
                self.driver.close_oldest_idle_connection();
            }
            // Whoever closes gives its place back; while all are busy, look again a little later.
            if let Ok(places) = timeout(CROWDED_PAUSE, self.sockets.acquire_client()).await {
                return places;
            }
        }
    }

    /// Accepts callers until the program closes. Returns once every connection has ended.
    pub async fn run(self: Rc<Server>, listener: TcpListener) {
        let (mut phase, mut failing) = (self.phase.clone(), false);
        // For how long connections may have been waiting to be accepted: while others waited for room.
        let mut stalled = Duration::ZERO;
        loop {
            let mut empty = false;
            let accepted = tokio::select! {
                biased;
                accepted = poll_fn(|cx| {
                    let accepted = listener.poll_accept(cx);
                    empty |= accepted.is_pending();
                    accepted
                }) => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = phase.wait_for(|p| *p >= Phase::Draining) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    stalled = if empty { Duration::ZERO } else { stalled };
                    let accepted = Instant::now();
                    let Some(places) = self.room().await else {
                        break;
                    };
                    let came = accepted.checked_sub(stalled).unwrap_or(accepted);
                    stalled += accepted.elapsed();
                    self.clone().begin(stream, places, came);
                }
                // Out of descriptors, or a caller that left at once: no reason to end, nor to spin.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("accept: {e}");
                    }
                    if is_shortage(&e) {
                        self.close_one();
                    }
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        self.empty(listener, stalled).await;
        self.listening.set(false);
        self.sockets.all_clients_closed().await;
    }

    /// Closes the listener with nobody left in its queue. Asks the system: the runtime learns of new connections only
    /// when it next waits.
    async fn empty(self: &Rc<Server>, listener: TcpListener, stalled: Duration) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Some((stream, _)) = next_in_queue(|| listener.accept()).await {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            let (Ok(stream), Some(places)) = (stream, self.room().await) else {
                continue;
            };
            let accepted = Instant::now();
            self.clone().begin(
                stream,
                places,
                accepted.checked_sub(stalled).unwrap_or(accepted),
            );
        }
    }

    /// Serves a connection, which `came` to the listener's queue then at the earliest.
    fn begin(self: Rc<Server>, stream: TcpStream, places: ConnectionPermit, came: Instant) {
        // Without it answers wait for the caller's acknowledgements; where it fails the caller is gone.
        if stream.set_nodelay(true).is_ok() {
            let link = self.welcome(stream);
            link.stream.note_unread(came);
            tokio::task::spawn_local(self.connection(link, places));
        }
    }

    /// Notes a new connection, at once, so that it is the one to make way and not an older one in use.
    fn welcome(&self, stream: TcpStream) -> Rc<ClientConnection> {
        let link = Rc::new(ClientConnection {
            watch: RequestTracker::new(),
            stream: ClientStream::new(stream, Rc::default()),
            close: Rc::new(Notify::new()),
            place: Cell::new(None),
            refused: Cell::new(false),
        });
        link.place.set(self.rests(false, &link.close));
        link
    }

    async fn connection(self: Rc<Server>, link: Rc<ClientConnection>, _places: ConnectionPermit) {
        let mut stream = link.stream.clone();
        let (server, at) = (self.clone(), link.clone());
        let service = service_fn(move |request| {
            let (server, link) = (server.clone(), at.clone());
            async move {
                Ok::<_, Infallible>(
                    server
                        .respond(request, ActiveRequestGuard::new(&server, &link))
                        .await,
                )
            }
        });
        {
            let io = TokioIo::new(TrackedStream::new(stream.clone(), link.watch.clone()));
            // A caller that ends its sending is seen by whoever waits for its answer, and is still owed one.
            let mut builder = http1::Builder::new();
            let connection = builder
                .half_close(true)
                .max_buf_size(HEAD_MOST)
                .serve_connection(io, service);
            let mut connection = std::pin::pin!(connection);
            let mut phase = self.phase.clone();
            let reason = loop {
                let mut crowded = false;
                let ends = phase.borrow_and_update().ends_connections();
                tokio::select! {
                    // A caller's broken connection or garbage ends this connection only.
                    // hyper has answered by itself what it could not read.
                    ended = connection.as_mut() => break match ended {
                        Err(e) if e.is_parse() => CloseReason::Malformed,
                        _ => CloseReason::Finished,
                    },
                    // Nothing is owed, and half a request may be in the way of a graceful end.
                    () = link.overdue() => break CloseReason::Overdue,
                    () = link.close.notified() => crowded = true,
                    changed = phase.changed() => if changed.is_err() {
                        // The program is ending.
                        break CloseReason::Shutdown;
                    },
                    () = sleep(RESTS), if ends => {}
                }
                // What has been written whole to this connection counts as taken, also if nobody has read it yet; half
                // a head on a connection that never asked for anything does not.
                let half = link.watch.midway.get();
                if crowded && half && link.watch.given.get() == 0 {
                    break CloseReason::MakesWay;
                }
                let rests = if link.watch.given.get() == 0 {
                    RESTS_NEW
                } else {
                    RESTS
                };
                let ends = crowded || self.ends() && link.watch.since.get().elapsed() >= rests;
                if ends && link.place.get().is_some() && !half && stream.quiet() {
                    connection.as_mut().graceful_shutdown();
                    // Guards against callers that never read their answer: no hold on us.
                    let _ = timeout(FLUSH_WAIT, connection.as_mut()).await;
                    break if crowded {
                        CloseReason::MakesWay
                    } else {
                        CloseReason::Shutdown
                    };
                }
            };
            self.closed(&link, reason);
        }
        self.rests_no_more(link.place.take());
        if link.refused.get() {
            let _ = timeout(LINGER, drain(&mut stream)).await;
        }
    }

    /// Counts a connection as closed, and a request on it that this side leaves without an answer.
    fn closed(&self, link: &ClientConnection, reason: CloseReason) {
        self.metrics.record_connection_closed(reason);
        let unanswered =
            link.place.get().is_none() || link.watch.heads.get() > link.watch.given.get();
        let owed = unanswered && reason != CloseReason::Malformed && !link.stream.left();
        tracing::debug!(reason = reason.name(), owed, "client connection closed");
        if owed {
            self.guard.closed_unanswered(reason.name());
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        busy: ActiveRequestGuard,
    ) -> Response<ResponseBody<ActiveRequestGuard>> {
        let link = busy.link.clone();
        let watch = &link.watch;
        // Behind another request on its connection, or in the listener's queue, it may have waited.
        let queued = watch.give().elapsed();
        // Guards against requests hidden in the body of another: behind a head that states its length in two
        // ways nothing is read, and behind chunks, whose end the watch does not follow, neither.
        let ambiguous = watch.ambiguous.get() == Some(watch.given.get());
        let mut last = ambiguous || request.headers().contains_key(header::TRANSFER_ENCODING);
        let mut unread = false;
        let mut response = match request.uri().path() {
            _ if ambiguous => {
                refuse_input(StatusCode::BAD_REQUEST, "the length is stated in two ways")
            }
            // One that has a successor answers for it.
            READY
                if self.driver.has_endpoints()
                    && matches!(*self.phase.borrow(), Phase::Serving | Phase::HandedOff) =>
            {
                plain(StatusCode::OK)
            }
            READY => plain(StatusCode::SERVICE_UNAVAILABLE),
            path if path == SERVICE || path.starts_with("/api/") => {
                match self
                    .take(request, queued, watch.since.get().elapsed(), &link.stream)
                    .await
                {
                    Ok((waiting, taken, upload)) => {
                        // Dropping what waits tells the driver that the caller is gone.
                        let answer = tokio::select! {
                            biased;
                            answer = waiting.response() => Some(answer),
                            () = link.stream.leaves() => None,
                        };
                        unread = upload.is_some_and(|upload| !upload.whole());
                        last |= answer.is_none();
                        // One that has only ended its sending may still read. It may have run.
                        answer.map_or_else(
                            || plain(StatusCode::BAD_GATEWAY),
                            |answer| final_answer(answer, taken, busy),
                        )
                    }
                    Err(response) => response,
                }
            }
            _ => plain(StatusCode::NOT_FOUND),
        };
        let refused = response.status().is_client_error() || unread;
        link.refused.set(refused);
        // At the end of the program what has been sent behind this request is still answered.
        let leaving = self.ends() && !watch.more() && link.stream.quiet() || link.stream.left();
        if refused || last || leaving {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads a request, a large one while it goes on, and hands it to the driver. It has been `queued` here for so long, and
    /// its caller has been `waited` for.
    async fn take(
        &self,
        request: Request<Incoming>,
        queued: Duration,
        waited: Duration,
        caller: &ClientStream,
    ) -> Result<
        (ResponseFuture, InFlightRequest, Option<Rc<Upload>>),
        Response<ResponseBody<ActiveRequestGuard>>,
    > {
        let (head, body) = request.into_parts();
        let bad = |what: &str| refuse_input(StatusCode::BAD_REQUEST, what);
        let fault = |fault: Fault| refuse_input(fault.status(), &fault.to_string());
        let RequestHead {
            class,
            tenant,
            client_timeout,
        } = RequestHead::read(&head.method, &head.headers, &self.deployment)
            .map_err(|e| bad(&e.to_string()))?;
        let client_timeout = (client_timeout - to_millis(queued)).max(0.0);
        if body.size_hint().lower() > BODY_MOST {
            return Err(fault(Fault::Large));
        }
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(bad("GET has no body"));
        }
        let mut body = Paced::new(body, waited);
        let mut held = Vec::new();
        let mut length = 0;
        let mut large = body
            .length()
            .is_some_and(|length| length > WHOLE_MOST as u64);
        while !large {
            match body.next().await {
                Some(piece) => held.push(piece.map_err(fault)?),
                None => break,
            }
            length += held.last().map_or(0, Bytes::len);
            large = length > WHOLE_MOST;
        }
        let upload = large.then(|| Upload::new(body, std::mem::take(&mut held)));
        let body = upload.clone().map_or_else(
            || RequestBody::Whole(held.concat().into()),
            RequestBody::Upload,
        );
        let mut headers = head.headers;
        end_to_end(&mut headers);
        headers.remove(&DEADLINE);
        let target = head
            .uri
            .path_and_query()
            .map(|p| Uri::from(p.clone()))
            .unwrap_or_default();
        let name = headers.get("req-id").cloned();
        let out = OutboundRequest {
            name,
            method: head.method,
            target,
            headers,
            body,
            over: Cell::new(false),
            client: Some(caller.peer()),
        };
        if caller.left() {
            // It may have waited long, in the queue of the listener or for a place. Nothing was sent.
            return Err(refusal(0.0));
        }
        let waiting = self
            .driver
            .submit(class, tenant, client_timeout, out)
            .map_err(|untaken| match untaken {
                SubmitError::Full => {
                    self.metrics.record_completed(class, Outcome::Shed);
                    refusal(FULL_PAUSE)
                }
                SubmitError::Known => {
                    refuse_input(StatusCode::CONFLICT, "a request with this Req-Id is open")
                }
            })?;
        Ok((waiting, InFlightRequest::new(&self.metrics, class), upload))
    }
}

/// One caller's connection, as its task and its requests see it.
struct ClientConnection {
    watch: Rc<RequestTracker>,
    stream: ClientStream,
    /// Told when it is to make way for another.
    close: Rc<Notify>,
    /// Its number while it is between requests.
    place: Cell<Option<IdleKey>>,
    /// Whether its last answer turned bad input away.
    refused: Cell<bool>,
}

impl ClientConnection {
    /// Returns once the caller has been waited for long enough.
    async fn overdue(&self) {
        let watch = &self.watch;
        loop {
            let now = Instant::now();
            let waiting = self.place.get().is_some();
            let most = if watch.given.get() > 0 && !watch.midway.get() {
                IDLE_WAIT
            } else {
                REQUEST_WAIT
            };
            let due = watch.since.get() + most;
            if waiting && now >= due {
                return;
            }
            // Half a head may come at any time, so that the next look is never far.
            sleep_until(if waiting {
                due.min(now + LOOK)
            } else {
                now + LOOK
            })
            .await;
        }
    }
}

/// A connection that carries a request; it rests again once this is dropped.
struct ActiveRequestGuard {
    server: Rc<Server>,
    link: Rc<ClientConnection>,
}

impl ActiveRequestGuard {
    fn new(server: &Rc<Server>, link: &Rc<ClientConnection>) -> ActiveRequestGuard {
        server.rests_no_more(link.place.take());
        ActiveRequestGuard {
            server: server.clone(),
            link: link.clone(),
        }
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.link.watch.since.set(Instant::now());
        self.link
            .place
            .set(self.server.rests(true, &self.link.close));
    }
}

/// The next connection in a listener's queue; none once nobody waits. Guards against leaving all that wait behind one that
/// failed: the close of the listener resets them.
async fn next_in_queue<T>(mut accept: impl FnMut() -> io::Result<T>) -> Option<T> {
    for _ in 0..ACCEPT_TRIES {
        match accept() {
            Ok(accepted) => return Some(accepted),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
            Err(e) if is_shortage(&e) => sleep(ACCEPT_PAUSE).await,
            Err(_) => {}
        }
    }
    None
}

/// Which of two connections makes way for a new one: the eldest newcomer or (`true`) the one in use that rested
/// longest, by their ages.
fn makes_way(newcomer: Option<Duration>, kept: Option<Duration>, more_kept: bool) -> Option<bool> {
    match (newcomer, kept) {
        (Some(age), _) if age >= NEWCOMER => Some(false),
        (_, Some(rested)) if rested >= RESTED || more_kept => Some(true),
        (Some(age), _) if age >= NEWCOMER_LEAST => Some(false),
        _ => None,
    }
}

/// Reads what still comes, to throw it away.
async fn drain(stream: &mut ClientStream) {
    let mut most = LINGER_MOST;
    let mut buffer = vec![0; HEAD_MOST];
    while most > 0 {
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 => most = most.saturating_sub(n),
            _ => return,
        }
    }
}

#[cfg(test)]
mod tests;
