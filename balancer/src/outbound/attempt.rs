//! Attempts: one request to one upstream, once.
use crate::body::payload::{
    frames, AttemptBody, BodySender, Fault, RequestBody, ResponseContent, BODY_MOST, STALLED,
    WHOLE_MOST,
};
use crate::control::invariants::{Guard, WriteConditions};
use crate::inbound::client_stream::{ClientStream, Written};
use crate::outbound::connection_pool::Upstream;
use crate::outbound::connector::{Connected, Connector};
use crate::outbound::message::{FinalResponse, OutboundRequest};
use balancer_core::AttemptOutcome;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// How long a body is held back on a connection that has rested. Some go stale unseen: only what is written to them
/// brings the reset, several round trips of a data centre sooner than this. While a request's last byte is not
/// written it has surely not run, so that it can go out on another connection.
const TRIAL: Duration = Duration::from_millis(2);
/// An answer that does not state its length is held back for this long at most, to see whether it is a small one.
const HELD: Duration = Duration::from_secs(1);
/// How long a connection may take to be ready for its next request once an answer has been read whole.
const SETTLE: Duration = Duration::from_millis(5);

/// Tells how long an attempt will be waited for.
pub const DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// Headers that belong to one connection and are not passed on.
const HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Takes out the headers that belong to one connection; the length of a body is framed anew.
pub fn end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|v| v.trim().parse().ok())
        .collect();
    for name in HOP
        .iter()
        .chain(&named)
        .chain(&[header::CONTENT_LENGTH, header::EXPECT])
    {
        headers.remove(name);
    }
}

/// What all attempts share.
#[derive(Clone)]
pub struct Transport {
    connector: Connector,
    /// How long a connection that has rested is tried with a request's head before the body follows.
    trial: Duration,
    guard: Guard,
}

impl Transport {
    /// Attempts on the connections of this connector.
    pub fn new(connector: Connector, guard: Guard) -> Self {
        Transport {
            connector,
            trial: TRIAL,
            guard,
        }
    }

    /// How long connections may be idle.
    pub fn idle_limit(&self) -> Duration {
        self.connector.idle_limit()
    }

    /// Whether no more sockets may be opened.
    pub fn sockets_exhausted(&self) -> bool {
        self.connector.sockets_exhausted()
    }

    /// Has the request's first byte denied if something has changed since it was handed over: the connection's task may
    /// write it later, and the whole process may be held up in between. Tells whether that happened.
    fn guard_first_byte(
        &self,
        socket: &ClientStream,
        to: &Rc<Upstream>,
        out: &Rc<OutboundRequest>,
        until: Instant,
    ) -> Rc<Cell<bool>> {
        let denied = Rc::new(Cell::new(false));
        let (told, guard, to, out) = (denied.clone(), self.guard.clone(), to.clone(), out.clone());
        socket.set_permit(Box::new(move || {
            told.set(
                guard
                    .write(conditions(&to, &out, until, out.client_left()))
                    .is_err(),
            );
            !told.get()
        }));
        denied
    }

    /// Carries one attempt out: its request is written once at most. Dropping the future closes the connection.
    /// `connected` is told when there is a connection to write to. A large answer is handed to `begun` when it begins,
    /// and the attempt ends with it.
    pub async fn attempt(
        &self,
        to: Rc<Upstream>,
        out: Rc<OutboundRequest>,
        until: Instant,
        connected: impl Fn(),
        begun: impl FnOnce(FinalResponse),
    ) -> (AttemptOutcome, Option<FinalResponse>) {
        let (mut conn, answer) = loop {
            let (mut conn, reused) = match self.connector.connect(&to, until).await {
                Ok(Connected::Idle(conn)) => (conn, true),
                Ok(Connected::New(conn)) => (conn, false),
                Err(ending) => return (ending, None),
            };
            connected();
            let now = Instant::now();
            // Guards against what was decided before dialling and must not be written after it: the upstream's
            // grace, the attempt's time or the request itself may be over by now.
            if self
                .guard
                .write(conditions(&to, &out, until, false))
                .is_err()
            {
                return (AttemptOutcome::NotSent, None);
            }
            let denied = self.guard_first_byte(&conn.socket, &to, &out, until);
            let written = conn.socket.written();
            let body = AttemptBody::new(&out.body, reused.then_some(self.trial), written.clone());
            let Some(Ok(mut request)) = body.map(|body| out.request(body)) else {
                return (AttemptOutcome::NotSent, None);
            };
            let left = (until - now).as_micros();
            if let Ok(left) = HeaderValue::try_from(format!("{left}u")) {
                request.headers_mut().insert(DEADLINE, left);
            }
            let answer = tokio::select! {
                biased;
                answer = conn.sender.try_send_request(request) => answer,
                // Guards against upstreams that leave a body half read. A request that never ended never ran.
                () = out.stalled() => return (AttemptOutcome::ConnectFailed, None),
            };
            if let Some(fault) = out.fault() {
                return (
                    AttemptOutcome::Cancelled,
                    Some(FinalResponse::Unsent(fault)),
                );
            }
            match answer {
                Ok(answer) => break (conn, answer),
                Err(_) if denied.get() => return (AttemptOutcome::NotSent, None),
                Err(mut e) => {
                    // The last byte was never written. A connection that rested and had been closed meanwhile says
                    // nothing about the upstream, so the next one is tried; each is tried once.
                    let unwritten = written.get() != Written::Whole || e.take_message().is_some();
                    match (unwritten, reused) {
                        (true, true) => {}
                        (true, false) => return (AttemptOutcome::ConnectFailed, None),
                        (false, _) => return (broken(e.error()), None),
                    }
                }
            }
        };
        let length = answer.body().size_hint().exact();
        if !has_an_end(&answer) || length.is_some_and(|length| length > BODY_MOST) {
            return (AttemptOutcome::Error, None);
        }
        let ending = ending(&answer);
        let (mut head, mut body) = answer.into_parts();
        let large = length.is_some_and(|length| length > WHOLE_MOST as u64);
        let mut held = BytesMut::new();
        // One that says that it is small comes whole or not at all: its attempt has a time-out.
        let most = length.is_none().then_some(HELD);
        let whole = if large {
            Ok(false)
        } else {
            hold(&mut body, &mut held, most).await
        };
        let answer = match (whole, ending) {
            (Err(ending), _) => return (ending, None),
            (Ok(false), AttemptOutcome::Success) => {
                end_to_end(&mut head.headers);
                let (give, frames) = frames(length);
                begun(FinalResponse::Served {
                    headers: head.headers,
                    body: ResponseContent::Frames(frames),
                });
                if let Err(ending) =
                    pass_on(give, held.freeze(), body, (!large).then_some(until)).await
                {
                    return (ending, None);
                }
                None
            }
            // Whoever has more to say than that has not been read to the end.
            (Ok(false), AttemptOutcome::Cancelled) => {
                return (ending, Some(FinalResponse::Unusable(head.status)))
            }
            (Ok(false), _) => return (ending, None),
            (Ok(true), AttemptOutcome::Success) => {
                end_to_end(&mut head.headers);
                Some(FinalResponse::Served {
                    headers: head.headers,
                    body: ResponseContent::Whole(held.freeze()),
                })
            }
            // Guards against callers whose bad input makes upstreams look bad: it says nothing about the upstream,
            // and sent to another it would be turned away again.
            (Ok(true), AttemptOutcome::Cancelled) => Some(FinalResponse::Unusable(head.status)),
            (Ok(true), _) => None,
        };
        // Back before the outcome is told: what the module sends next may go on this connection.
        if let Ok(Ok(())) = timeout(SETTLE, conn.sender.ready()).await {
            to.put_answered(conn);
        }
        (ending, answer)
    }
}

/// What holds now of an attempt that must be written by `until`.
fn conditions(
    to: &Upstream,
    out: &OutboundRequest,
    until: Instant,
    client_left: bool,
) -> WriteConditions {
    let now = Instant::now();
    WriteConditions {
        endpoint_closed: to.closed(now),
        expired: now >= until,
        request_ended: out.over.get(),
        client_left,
    }
}

/// Reads an answer while it may be a small one, for so long at most. Tells whether this was all of it.
async fn hold(
    body: &mut Incoming,
    held: &mut BytesMut,
    most: Option<Duration>,
) -> Result<bool, AttemptOutcome> {
    let until = most.map(|most| Instant::now() + most);
    while held.len() <= WHOLE_MOST {
        let frame = match until {
            Some(until) if !held.is_empty() => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(false),
            },
            // Or nothing of it has come that could be passed on.
            _ => body.frame().await,
        };
        match frame {
            None => return Ok(true),
            Some(Ok(frame)) => held.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Some(Err(e)) => return Err(broken(&e)),
        }
    }
    Ok(false)
}

/// Passes a large answer on as fast as it is taken. One that may still be small is broken off at `until`, the end of its
/// request's time. Guards against answers that begin and never end: their callers would be owed the rest for ever.
async fn pass_on(
    give: BodySender,
    held: Bytes,
    mut body: Incoming,
    until: Option<Instant>,
) -> Result<(), AttemptOutcome> {
    let mut given = held.len() as u64;
    let gone = |()| AttemptOutcome::Cancelled;
    if !held.is_empty() {
        give.give(held).await.map_err(gone)?;
    }
    loop {
        let timed = until.filter(|_| given <= WHOLE_MOST as u64);
        let stalls = Instant::now() + STALLED;
        let (due, ending) = match timed {
            Some(until) if until < stalls => (until, AttemptOutcome::Timeout),
            _ => (stalls, AttemptOutcome::Reset),
        };
        match timeout_at(due, body.frame()).await.map_err(|_| ending)? {
            None => {
                give.end();
                return Ok(());
            }
            Some(Ok(frame)) => {
                let Ok(piece) = frame.into_data() else {
                    continue;
                };
                given += piece.len() as u64;
                if given > BODY_MOST {
                    return Err(AttemptOutcome::Error);
                }
                give.give(piece).await.map_err(gone)?;
            }
            Some(Err(e)) => return Err(broken(&e)),
        }
    }
}

/// How an attempt ended whose answer did not come whole: the connection broke, or what came can't be read. The
/// second says nothing about the connection, and must not make good ones that rest look bad.
fn broken(e: &(dyn Error + 'static)) -> AttemptOutcome {
    let unreadable = match e.downcast_ref::<hyper::Error>() {
        Some(e) if e.is_parse() => true,
        Some(e) => e
            .source()
            .and_then(|s| s.downcast_ref::<io::Error>())
            .is_some_and(|s| {
                // What hyper says of chunks that are none.
                matches!(
                    s.kind(),
                    io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
                )
            }),
        None => false,
    };
    if unreadable {
        AttemptOutcome::Error
    } else {
        AttemptOutcome::Reset
    }
}

/// Whether it is certain where an answer ends: it states its length once, in one way, or else that it ends with its
/// connection. Without either it may be cut short, and one with two framings may be read otherwise than it was meant.
fn has_an_end<B>(answer: &Response<B>) -> bool {
    let all = |name| answer.headers().get_all(name).iter().collect::<Vec<_>>();
    match (
        &all(header::TRANSFER_ENCODING)[..],
        &all(header::CONTENT_LENGTH)[..],
    ) {
        ([], [length]) => length.as_bytes().iter().all(u8::is_ascii_digit),
        ([], []) => {
            let closes = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"close");
            answer
                .headers()
                .get_all(header::CONNECTION)
                .iter()
                .any(closes)
        }
        ([coding], []) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

/// What an answer says. Only a mark that the request was turned away proves that it never ran.
fn ending<B>(answer: &Response<B>) -> AttemptOutcome {
    let declined = answer.headers().get(DECLINED).is_some_and(|v| v == "1");
    match answer.status() {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            AttemptOutcome::Rejected
        }
        // Passed on it would be a refusal, which promises that nothing has run.
        StatusCode::TOO_MANY_REQUESTS => AttemptOutcome::Error,
        status if status.is_client_error() => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Error,
    }
}

impl OutboundRequest {
    /// Returns once nobody has taken any of the body for long though there was some.
    async fn stalled(&self) {
        match &self.body {
            RequestBody::Whole(_) => std::future::pending().await,
            RequestBody::Upload(upload) => upload.stalled().await,
        }
    }

    /// What is wrong with the body on its caller's side.
    fn fault(&self) -> Option<Fault> {
        match &self.body {
            RequestBody::Whole(_) => None,
            RequestBody::Upload(upload) => upload.fault(),
        }
    }

    fn request(&self, body: AttemptBody) -> Result<Request<AttemptBody>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.clone())
            .body(body)?;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}

#[cfg(test)]
mod tests;
