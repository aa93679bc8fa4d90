//! The one owner of the decision module: feeds it events in order, carries out its actions, keeps its clock,
//! its timers and the ids of requests and attempts. Nothing is decided here.
use crate::body::request_body::RequestBody;
use crate::body::upload::UploadObserver;
use crate::control::clock::{from_millis, to_millis, Clock};
use crate::control::invariants::{never_ran, AttemptHistory, Guard};
use crate::discovery::endpoints::{upstream_id, EndpointConsumer, EndpointUpdate};
use crate::outbound::dispatch::Dispatch;
use crate::outbound::endpoint_table::EndpointTable;
use crate::outbound::message::{FinalResponse, OutboundRequest, SubmitError};
use crate::telemetry::log::LogOutput;
use balancer_core::{
    Action, AttemptOutcome, Balancer, EndpointCounts, EndpointEvent, Event, Idempotency, Millis,
    Request, RequestId, UpstreamId,
};
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time for the last answer to reach the client before it stops waiting.
const ANSWER_MARGIN: Millis = 5.0;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(250);
/// Longest timer that the module may ask for.
const TIMER_MOST: Millis = 71.0 * 60_000.0;

struct PendingRequest {
    /// InFlightRequest when the final answer is given or the client is gone.
    reply: Option<oneshot::Sender<FinalResponse>>,
    out: Rc<OutboundRequest>,
    /// How long its client waits once all of it has come, and until when that is; infinite while it comes.
    client_timeout: Millis,
    deadline: Millis,
    history: AttemptHistory,
    /// Whether its answer is being passed on.
    answering: bool,
}

impl PendingRequest {
    /// The answer that may be given now in place of this one.
    fn checked(&self, answer: FinalResponse, now: Millis, guard: &Guard) -> FinalResponse {
        if self.reply.is_none() {
            return answer;
        }
        guard.answer(now - self.deadline, &self.out.label());
        match answer {
            FinalResponse::Rejected { .. } if !guard.refuse(&self.history, &self.out.label()) => {
                FinalResponse::Failed
            }
            answer => answer,
        }
    }

    /// The way to the client, once; the request is over with it.
    fn end(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.out.ended.set(true);
        self.reply.take()
    }
}

struct Attempt {
    upstream: UpstreamId,
    started: Instant,
    /// When all of it had come to be sent and there was a connection to send it on.
    sent: Option<Instant>,
    /// How long after that its answer began, once it is passed on.
    began: Option<Duration>,
    task: AbortHandle,
    /// Its time-out, while it has one.
    due: Option<(Instant, u64)>,
}

impl Attempt {
    /// There is a connection to write to. Guards against taking the time to connect for the upstream's answer time:
    /// a network that is slow to connect would look like upstreams that are overloaded.
    fn connected(&mut self, now: Instant) {
        self.sent = self.sent.map(|sent| sent.max(now));
    }

    fn took(&self) -> Duration {
        self.began
            .or(self.sent.map(|sent| sent.elapsed()))
            .unwrap_or_default()
    }
}

/// An open request, as its body sees it.
struct PendingUpload {
    handle: DriverHandle,
    id: RequestId,
}

impl UploadObserver for PendingUpload {
    fn completed(&self) {
        self.handle.whole(self.id);
    }

    fn released(&self) {
        self.handle.feed(Event::BodyDiscarded(self.id));
    }
}

enum TimerEvent {
    Module(u32),
    Attempt(RequestId, u32),
    Sweep,
}

struct Driver {
    balancer: Balancer,
    clock: Clock,
    dispatch: Dispatch,
    log: LogOutput,
    max_open: usize,
    /// The idempotency_by_class of the classes, by position; and whether upstreams also shed work that they had begun.
    idempotency_by_class: Vec<Idempotency>,
    rejects_after_start: bool,
    guard: Guard,
    /// Every request has its answer by then.
    last: Millis,
    next_id: u32,
    open: HashMap<RequestId, PendingRequest>,
    /// The callers' names of the requests that are open.
    names: HashSet<HeaderValue>,
    attempts: HashMap<(RequestId, u32), Attempt>,
    endpoints: EndpointTable,
    timers: BTreeMap<(Instant, u64), TimerEvent>,
    timer_seq: u64,
    events: VecDeque<Event>,
}

struct DriverState {
    driver: RefCell<Driver>,
    timers: Notify,
    subscribe: Notify,
    told: Notify,
}

/// The driver as everything else sees it.
#[derive(Clone)]
pub struct DriverHandle(Rc<DriverState>);

/// What a driver is built from.
pub struct DriverOptions {
    /// The module.
    pub balancer: Balancer,
    /// The module's clock.
    pub clock: Clock,
    /// How attempts are carried out.
    pub dispatch: Dispatch,
    /// Within this time after the news sends to a draining upstream must end.
    pub drain_grace: Duration,
    /// Most requests open at once.
    pub max_open: usize,
    /// The idempotency_by_class of the classes, by position.
    pub idempotency_by_class: Vec<Idempotency>,
    /// Upstreams also shed work that they had begun.
    pub rejects_after_start: bool,
    /// Checks what the module wants done.
    pub guard: Guard,
    /// Where the module's log lines go.
    pub log: LogOutput,
}

/// A request that waits for its final answer. Dropping it tells the module that the client is gone.
pub struct ResponseFuture {
    handle: DriverHandle,
    id: RequestId,
    answer: oneshot::Receiver<FinalResponse>,
    done: bool,
}

impl ResponseFuture {
    /// The final answer.
    pub async fn response(mut self) -> FinalResponse {
        let answer = (&mut self.answer).await.unwrap_or(FinalResponse::Failed);
        self.done = true;
        answer
    }
}

impl Drop for ResponseFuture {
    fn drop(&mut self) {
        if !self.done {
            self.handle.client_gone(self.id);
        }
    }
}

impl DriverHandle {
    /// Sets the driver up; [`DriverHandle::run`] must run for its timers to fire.
    pub fn new(parts: DriverOptions) -> DriverHandle {
        let DriverOptions {
            balancer,
            clock,
            dispatch,
            drain_grace,
            max_open,
            idempotency_by_class,
            rejects_after_start,
            guard,
            log,
        } = parts;
        let driver = Driver {
            balancer,
            clock,
            dispatch,
            log,
            max_open,
            idempotency_by_class,
            rejects_after_start,
            guard,
            last: f64::INFINITY,
            next_id: 0,
            open: HashMap::new(),
            names: HashSet::new(),
            attempts: HashMap::new(),
            endpoints: EndpointTable::new(drain_grace),
            timers: BTreeMap::new(),
            timer_seq: 0,
            events: VecDeque::new(),
        };
        let shared = DriverState {
            driver: RefCell::new(driver),
            timers: Notify::new(),
            subscribe: Notify::new(),
            told: Notify::new(),
        };
        DriverHandle(Rc::new(shared))
    }

    /// Fires timers for ever.
    pub async fn run(&self) {
        self.set_sweep();
        loop {
            let next = self
                .0
                .driver
                .borrow()
                .timers
                .first_key_value()
                .map(|(&(at, _), _)| at);
            match next {
                Some(at) if at <= Instant::now() => self.fire(),
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = self.0.timers.notified() => {}
                },
                None => self.0.timers.notified().await,
            }
        }
    }

    fn fire(&self) {
        let Some((_, due)) = self.0.driver.borrow_mut().timers.pop_first() else {
            return;
        };
        match due {
            TimerEvent::Module(token) => self.feed(Event::Timer(token)),
            TimerEvent::Attempt(id, number) => {
                self.ended(id, number, AttemptOutcome::Timeout, None)
            }
            TimerEvent::Sweep => self.sweep(),
        }
    }

    /// Sets the timer for the next look at idle connections, if there can be any.
    fn set_sweep(&self) {
        let mut d = self.0.driver.borrow_mut();
        if d.dispatch.idle_limit().is_some() {
            d.set_timer(Instant::now() + SWEEP, TimerEvent::Sweep);
        }
    }

    fn sweep(&self) {
        {
            let d = self.0.driver.borrow();
            let Some(idle_limit) = d.dispatch.idle_limit() else {
                return;
            };
            d.endpoints.close_expired(idle_limit);
        }
        self.set_sweep();
    }

    /// The decision module's clock.
    pub fn now(&self) -> Millis {
        self.0.driver.borrow().now()
    }

    /// Whether upstreams are known, so that requests can be served.
    pub fn has_endpoints(&self) -> bool {
        self.0.driver.borrow().endpoints.has_ever_listed()
    }

    /// Requests that have come whole and have not ended: they wait for an answer, or it is being passed on.
    pub fn active_requests(&self) -> usize {
        let d = self.0.driver.borrow();
        d.open
            .values()
            .filter(|o| o.deadline.is_finite() && (o.reply.is_some() || o.answering))
            .count()
    }

    /// Requests that are taken from now on have their answer after this time at the latest.
    pub fn set_response_deadline(&self, time: Duration) {
        let mut d = self.0.driver.borrow_mut();
        d.last = d.now() + to_millis(time);
    }

    /// Ends every request that is open: no answer of its own comes in time. It may have run.
    pub fn fail_pending(&self) {
        let open: Vec<RequestId> = {
            let mut d = self.0.driver.borrow_mut();
            let open = d.open.iter_mut().filter_map(|(&id, o)| {
                // A client that left in the same instant gets nothing; it is no longer owed anything.
                o.end()
                    .map(|reply| drop(reply.send(FinalResponse::Failed)))
                    .map(|()| id)
            });
            open.collect()
        };
        for id in open {
            self.0.driver.borrow_mut().forget(id);
            self.feed(Event::ClientDisconnected(id));
        }
    }

    /// Closes an idle connection to an upstream, if there is one: its socket is needed elsewhere.
    pub fn close_oldest_idle_connection(&self) {
        self.0.driver.borrow().endpoints.close_oldest_idle();
    }

    /// Waits until discovery has answered.
    pub async fn endpoints_notified(&self) {
        self.0.told.notified().await;
    }

    /// Takes the cached snapshot.
    pub fn apply_cached(&self, snapshot: Option<&EndpointUpdate>) {
        let members = snapshot
            .iter()
            .flat_map(|snapshot| snapshot.members())
            .collect();
        if let Some(snapshot) = snapshot {
            self.0.driver.borrow_mut().apply_endpoints(snapshot, true);
        }
        self.feed(Event::Endpoints(EndpointEvent::CachedSnapshot(members)));
    }

    /// Whether an upstream of this name is listed or left out by staff.
    pub fn is_known_upstream(&self, name: &str) -> bool {
        let (d, id) = (self.0.driver.borrow(), upstream_id(name));
        d.balancer.is_suspended(id) || d.endpoints.is_listed(id)
    }

    /// Staff leave an upstream out from now on. What is out may end; nothing more is written there.
    pub fn suspend(&self, name: &str) {
        let id = upstream_id(name);
        self.0.driver.borrow().endpoints.suspend(id);
        self.feed(Event::Suspend(id));
    }

    /// Staff use an upstream again, since then. It was restarted while it was left out.
    pub fn restore(&self, name: &str, since: Millis) {
        let id = upstream_id(name);
        self.0.driver.borrow().endpoints.restore(id);
        self.feed(Event::Restore {
            upstream: id,
            restored_at: since,
        });
    }

    /// How many upstreams are listed, and how many of them calls avoid now.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let d = self.0.driver.borrow();
        d.balancer.endpoint_counts(d.now())
    }

    /// Takes a request: from now on one final answer is owed.
    pub fn submit(
        &self,
        class: usize,
        tenant: usize,
        client_timeout: Millis,
        out: OutboundRequest,
    ) -> Result<ResponseFuture, SubmitError> {
        let (reply, answer) = oneshot::channel();
        let (id, deadline) = {
            let mut d = self.0.driver.borrow_mut();
            if d.open.len() >= d.max_open {
                return Err(SubmitError::AtCapacity);
            }
            // Guards against one request's id on another while anything of the first is out: upstreams tell
            // repeats by it.
            if out
                .request_id
                .as_ref()
                .is_some_and(|name| !d.names.insert(name.clone()))
            {
                return Err(SubmitError::DuplicateRequestId);
            }
            while d.open.contains_key(&RequestId(d.next_id)) {
                d.next_id = d.next_id.wrapping_add(1);
            }
            let id = RequestId(d.next_id);
            d.next_id = d.next_id.wrapping_add(1);
            let effect = d
                .idempotency_by_class
                .get(class)
                .copied()
                .unwrap_or(Idempotency::NonIdempotent);
            let client_timeout = (client_timeout - ANSWER_MARGIN).max(0.0);
            let deadline = match &out.body {
                RequestBody::Buffered(_) => (d.now() + client_timeout).min(d.last),
                RequestBody::Streamed(upload) => {
                    upload.observe(Box::new(PendingUpload {
                        handle: self.clone(),
                        id,
                    }));
                    f64::INFINITY
                }
            };
            let open = PendingRequest {
                reply: Some(reply),
                out: Rc::new(out),
                client_timeout,
                deadline,
                history: AttemptHistory::new(effect),
                answering: false,
            };
            d.open.insert(id, open);
            tracing::debug!(
                request = id.0,
                class,
                tenant,
                client_timeout_ms = client_timeout,
                "request taken"
            );
            (id, deadline)
        };
        self.feed(Event::Request(Request {
            id,
            class,
            tenant,
            deadline,
        }));
        Ok(ResponseFuture {
            handle: self.clone(),
            id,
            answer,
            done: false,
        })
    }

    /// All of a request has come that was taken before.
    fn whole(&self, id: RequestId) {
        let deadline = {
            let mut d = self.0.driver.borrow_mut();
            let (now, last) = (d.now(), d.last);
            let Some(open) = d.open.get_mut(&id) else {
                return;
            };
            open.deadline = (now + open.client_timeout).min(last);
            let (deadline, number) = (open.deadline, open.history.started().wrapping_sub(1));
            let until = Instant::now() + from_millis(deadline - now);
            let due = d.set_timer(until, TimerEvent::Attempt(id, number));
            match d.attempts.get_mut(&(id, number)) {
                // One whose answer has begun already has no time-out.
                Some(attempt) if attempt.began.is_none() => {
                    (attempt.sent, attempt.due) = (Some(Instant::now()), Some(due));
                    self.0.timers.notify_one();
                }
                _ => drop(d.timers.remove(&due)),
            }
            deadline
        };
        self.feed(Event::RequestBodyComplete {
            request: id,
            deadline,
        });
    }

    /// An attempt has a connection to write to.
    fn connected(&self, id: RequestId, number: u32) {
        if let Some(attempt) = self.0.driver.borrow_mut().attempts.get_mut(&(id, number)) {
            attempt.connected(Instant::now());
        }
    }

    /// The answer to an attempt has begun, and goes to the client from now on.
    fn begun(&self, id: RequestId, number: u32, answer: FinalResponse) {
        {
            let mut d = self.0.driver.borrow_mut();
            let Some(attempt) = d.attempts.get_mut(&(id, number)) else {
                return;
            };
            attempt.began = Some(attempt.took());
            if let Some(due) = attempt.due.take() {
                d.timers.remove(&due);
            }
            if let Some((reply, open)) = d.open.get_mut(&id).and_then(|o| Some((o.end()?, o))) {
                // A client that left in the same instant gets nothing; it is no longer owed anything.
                open.answering = reply.send(answer).is_ok();
            }
        }
        self.feed(Event::ResponseStarted {
            request: id,
            attempt: number,
        });
    }

    fn client_gone(&self, id: RequestId) {
        {
            let mut d = self.0.driver.borrow_mut();
            // Answered in the same instant: the module has ended it already.
            if d.open.get_mut(&id).and_then(PendingRequest::end).is_none() {
                return;
            }
            tracing::debug!(request = id.0, "client left");
            d.forget(id);
        }
        self.feed(Event::ClientDisconnected(id));
    }

    /// An attempt has ended: tells the module, unless an earlier end of it counts.
    fn ended(
        &self,
        id: RequestId,
        number: u32,
        outcome: AttemptOutcome,
        answer: Option<FinalResponse>,
    ) {
        let event = self.0.driver.borrow_mut().end(id, number, outcome, answer);
        if let Some(event) = event {
            self.feed(event);
        }
    }

    /// Hands the module an event and carries out what it wants, and so on for what follows at once from that.
    fn feed(&self, event: Event) {
        let mut d = self.0.driver.borrow_mut();
        d.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = d.events.pop_front() {
            let now = d.now();
            d.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(&mut d, action);
            }
        }
    }

    fn perform(&self, d: &mut Driver, action: Action) {
        match action {
            Action::Send {
                request,
                upstream,
                timeout,
            } => self.send(d, request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(event) = d.end(request, attempt, AttemptOutcome::Cancelled, None) {
                    d.events.push_back(event);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => d.answer(request, FinalResponse::Rejected { retry_after }),
            Action::Fail { request } => d.answer(request, FinalResponse::Failed),
            Action::CloseIdleConnections(id) => {
                if let Some(upstream) = d.endpoints.upstream(id) {
                    upstream.close_idle();
                }
            }
            Action::PollEndpoints => self.0.subscribe.notify_one(),
            Action::SetTimer { after, token } => {
                let after = Duration::from_secs_f64(after.clamp(0.0, TIMER_MOST) / 1000.0);
                d.set_timer(Instant::now() + after, TimerEvent::Module(token));
                self.0.timers.notify_one();
            }
            Action::Log(line) => d.log.write_line(&line),
        }
    }

    fn send(&self, d: &mut Driver, id: RequestId, to: UpstreamId, timeout: Millis) {
        let (now, now_ms) = (Instant::now(), d.now());
        let Some(open) = d.open.get_mut(&id) else {
            return;
        };
        let number = open.history.started();
        if d.guard.start(&mut open.history, &open.out.label()).is_err() {
            // What the module knows of this request is wrong: it ends here, whatever is decided next.
            d.events.push_back(Event::ClientDisconnected(id));
            return d.answer(id, FinalResponse::Failed);
        }
        let target = d.endpoints.upstream(to).cloned();
        let (Some(target), true) = (target, open.reply.is_some()) else {
            let request_completed = open.reply.is_none();
            let outcome = AttemptOutcome::NotSent;
            open.history.end(now, true);
            d.events.push_back(Event::AttemptEnded {
                request: id,
                attempt: number,
                outcome,
                duration: 0.0,
                request_completed,
            });
            return;
        };
        let whole = open.deadline.is_finite();
        let left = if whole {
            (open.deadline - now_ms).max(0.0)
        } else {
            open.client_timeout
        };
        let wait = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        let until = now + from_millis(wait);
        let out = open.out.clone();
        tracing::debug!(
            request = id.0,
            id = %out.label(),
            attempt = number,
            upstream = %target.address(),
            wait_ms = wait,
            "attempt started"
        );
        let (dispatch, handle) = (d.dispatch.clone(), self.clone());
        if target.oldest_idle_since().is_none() && dispatch.sockets_exhausted() {
            d.endpoints.close_oldest_idle();
        }
        let task = tokio::task::spawn_local(async move {
            let connected = || handle.connected(id, number);
            let begun = |answer| handle.begun(id, number, answer);
            let result = dispatch.attempt(target, out, until, connected, begun).await;
            handle.ended(id, number, result.outcome, result.response);
        });
        let due = whole.then(|| d.set_timer(until, TimerEvent::Attempt(id, number)));
        let (sent, task) = (whole.then_some(now), task.abort_handle());
        let attempt = Attempt {
            upstream: to,
            started: now,
            sent,
            began: None,
            task,
            due,
        };
        d.attempts.insert((id, number), attempt);
        self.0.timers.notify_one();
    }
}

impl EndpointConsumer for DriverHandle {
    async fn subscribed(&self) {
        self.0.subscribe.notified().await;
    }

    fn apply(&self, update: &EndpointUpdate) {
        self.0
            .driver
            .borrow_mut()
            .apply_endpoints(update, update.full);
        tracing::debug!(
            version = update.version,
            full = update.full,
            "endpoints updated"
        );
        let members = update.members().collect();
        let membership = if update.full {
            EndpointEvent::Snapshot(members)
        } else {
            EndpointEvent::Delta(members)
        };
        self.feed(Event::Endpoints(membership));
        self.0.told.notify_one();
    }

    fn confirm(&self) {
        self.feed(Event::Endpoints(EndpointEvent::Unchanged));
    }

    fn moved(&self) {
        self.feed(Event::Endpoints(EndpointEvent::DiscoveryMigrated));
    }

    fn update_failed(&self, refused: bool) {
        self.feed(Event::Endpoints(if refused {
            EndpointEvent::DiscoveryRejected
        } else {
            EndpointEvent::DiscoveryFailed
        }));
    }
}

impl Driver {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn set_timer(&mut self, at: Instant, due: TimerEvent) -> (Instant, u64) {
        self.timer_seq += 1;
        self.timers.insert((at, self.timer_seq), due);
        (at, self.timer_seq)
    }

    /// Books the end of an attempt; only the first one counts. What still runs for it stops, and its connection
    /// is closed. The event is the module's one outcome for its send.
    fn end(
        &mut self,
        id: RequestId,
        number: u32,
        outcome: AttemptOutcome,
        answer: Option<FinalResponse>,
    ) -> Option<Event> {
        let attempt = self.attempts.remove(&(id, number))?;
        attempt.task.abort();
        if let Some(due) = &attempt.due {
            self.timers.remove(due);
        }
        self.forget_upstream(attempt.upstream);
        let duration = to_millis(attempt.took());
        tracing::debug!(
            request = id.0,
            attempt = number,
            ?outcome,
            duration_ms = duration,
            "attempt ended"
        );
        let mut request_completed = true;
        if let Some(open) = self.open.get_mut(&id) {
            open.history.end(
                attempt.started,
                never_ran(outcome, self.rejects_after_start),
            );
            if let Some((reply, answer)) = answer.and_then(|a| Some((open.end()?, a))) {
                // A client that left in the same instant gets nothing; it is no longer owed anything.
                let _ = reply.send(answer);
            }
            request_completed = open.reply.is_none();
        }
        self.forget(id);
        Some(Event::AttemptEnded {
            request: id,
            attempt: number,
            outcome,
            duration,
            request_completed,
        })
    }

    fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        let now = self.now();
        tracing::debug!(request = id.0, ?answer, "request answered");
        let checked = self
            .open
            .get(&id)
            .map(|open| open.checked(answer, now, &self.guard));
        let Some(answer) = checked else { return };
        if let Some(reply) = self.open.get_mut(&id).and_then(PendingRequest::end) {
            // A client that left in the same instant gets nothing; it is no longer owed anything.
            let _ = reply.send(answer);
        }
        self.forget(id);
    }

    /// Forgets a request that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|o| o.reply.is_none() && o.history.in_flight() == 0)
        {
            if let Some(name) = self.open.remove(&id).and_then(|o| o.out.request_id.clone()) {
                self.names.remove(&name);
            }
        }
    }

    /// Forgets an upstream that is gone once nothing is out to it.
    fn forget_upstream(&mut self, id: UpstreamId) {
        if self.endpoints.is_removed(id) && !self.attempts.values().any(|a| a.upstream == id) {
            self.endpoints.forget(id);
        }
    }

    /// Keeps addresses and connections in step with the list.
    fn apply_endpoints(&mut self, update: &EndpointUpdate, full: bool) {
        self.endpoints
            .apply(update, full, |id| self.balancer.is_suspended(id));
        for id in self.endpoints.removed() {
            self.forget_upstream(id);
        }
    }
}

#[cfg(test)]
mod tests;
