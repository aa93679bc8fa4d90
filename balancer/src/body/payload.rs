//! Bodies on their way. Small ones are taken whole; large ones pass on as they come, both ways, with no more of them in
//! memory than a few frames.
use crate::inbound::client_stream::Written;
use crate::telemetry::metrics::{InFlightRequest, Outcome};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant, Sleep};

/// Bodies up to this are taken whole before they pass on, so that a spoilt one reaches nobody.
pub const WHOLE_MOST: usize = 64 << 10;
/// Largest body, both ways.
pub const BODY_MOST: u64 = 32 << 20;
/// A caller may be waited for this long in one request.
pub const REQUEST_WAIT: Duration = Duration::from_millis(2500);
/// And besides as long as what came of its body takes at half of the least rate promised, 64 kB/s: what comes no
/// faster is on purpose.
const LEAST_PER_S: f64 = 32_000.0;
/// A body that nobody takes on, or of which an upstream sends nothing, is given up after this long.
pub const STALLED: Duration = Duration::from_secs(10);
/// Frames of an answer between its upstream and its caller.
const FRAMES: usize = 2;

/// What is wrong with a caller's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It did not come.
    Slow,
    /// It broke off, or can't be read.
    Broken,
    /// It is too large.
    Large,
}

impl Fault {
    /// What its caller is answered.
    pub fn status(self) -> StatusCode {
        match self {
            Fault::Slow => StatusCode::REQUEST_TIMEOUT,
            Fault::Broken => StatusCode::BAD_REQUEST,
            Fault::Large => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Slow => "the body did not come",
            Fault::Broken => "the body is broken",
            Fault::Large => "the body is too large",
        })
    }
}

impl Error for Fault {}

/// A caller's body, with the time its caller lets itself be waited for.
pub struct Paced {
    body: Incoming,
    received: u64,
    waited: Duration,
    /// While it is waited for: since when, and until when at most.
    waits: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl Paced {
    /// The caller of this has been waited for this long already.
    pub fn new(body: Incoming, waited: Duration) -> Paced {
        Paced {
            body,
            received: 0,
            waited,
            waits: None,
        }
    }

    /// Its whole length, if it is stated.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// What comes next of it.
    pub async fn next(&mut self) -> Option<Result<Bytes, Fault>> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => return self.wait(cx).map(|()| Some(Err(Fault::Slow))),
            };
            if let Some((since, _)) = self.waits.take() {
                self.waited += since.elapsed();
            }
            return Poll::Ready(match frame {
                None => None,
                Some(Err(_)) => Some(Err(Fault::Broken)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => continue,
                    Ok(data) => {
                        self.received += data.len() as u64;
                        Some(if self.received > BODY_MOST {
                            Err(Fault::Large)
                        } else {
                            Ok(data)
                        })
                    }
                    // Trailers are not passed on.
                    Err(_) => continue,
                },
            });
        }
    }

    /// Ready once the caller has been waited for long enough.
    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let (received, waited) = (self.received, self.waited);
        let (_, until) = self.waits.get_or_insert_with(|| {
            let most = REQUEST_WAIT + Duration::from_secs_f64(received as f64 / LEAST_PER_S);
            (Instant::now(), Box::pin(sleep(most.saturating_sub(waited))))
        });
        until.as_mut().poll(cx)
    }
}

/// Learns how far the body of an open request has come.
pub trait UploadObserver {
    /// All of it has come.
    fn completed(&self);

    /// What has come of it is no longer held, so that no other attempt can send it.
    fn released(&self);
}

/// A request's large body, which goes on while it comes.
pub struct Upload {
    state: RefCell<Coming>,
    length: Option<u64>,
    /// Told when all of it has come, and when it is no longer held.
    observer: RefCell<Option<Box<dyn UploadObserver>>>,
    fault: Cell<Option<Fault>>,
    /// When something of it was asked for last.
    asked: Cell<Instant>,
}

struct Coming {
    rest: Paced,
    /// What has come so far, while it is not more than [`WHOLE_MOST`].
    held: Option<Vec<Bytes>>,
    whole: bool,
}

impl Upload {
    /// Of which `held` has come.
    pub fn new(rest: Paced, held: Vec<Bytes>) -> Rc<Upload> {
        let length = rest
            .length()
            .map(|left| left + held.iter().map(|b| b.len() as u64).sum::<u64>());
        let state = RefCell::new(Coming {
            rest,
            held: Some(held),
            whole: false,
        });
        let (observer, fault, asked) = (
            RefCell::default(),
            Cell::new(None),
            Cell::new(Instant::now()),
        );
        Rc::new(Upload {
            state,
            length,
            observer,
            fault,
            asked,
        })
    }

    /// Names whoever is told when all of it has come, and when it is no longer held.
    pub fn observe(&self, observer: Box<dyn UploadObserver>) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Whether all of it has come.
    pub fn whole(&self) -> bool {
        self.state.borrow().whole
    }

    /// What was wrong with it.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// Returns once nobody has taken any of it for long though there was some.
    pub async fn stalled(&self) {
        loop {
            sleep(STALLED / 10).await;
            let state = self.state.borrow();
            if !state.whole && state.rest.waits.is_none() && self.asked.get().elapsed() >= STALLED {
                return;
            }
        }
    }

    /// What comes behind the first `at` pieces.
    fn poll_next(
        &self,
        cx: &mut Context<'_>,
        at: &mut usize,
    ) -> Poll<Option<Result<Bytes, Fault>>> {
        self.asked.set(Instant::now());
        let (next, spent, ended) = {
            let mut state = self.state.borrow_mut();
            let Coming { rest, held, whole } = &mut *state;
            if let Some(piece) = held.as_ref().and_then(|held| held.get(*at)) {
                *at += 1;
                return Poll::Ready(Some(Ok(piece.clone())));
            }
            if *whole {
                return Poll::Ready(None);
            }
            let next = ready!(rest.poll_next(cx));
            let mut spent = false;
            if let Some(Ok(piece)) = &next {
                let fits = rest.received <= WHOLE_MOST as u64;
                spent = !fits && held.is_some();
                match held {
                    Some(held) if fits => held.push(piece.clone()),
                    _ => *held = None,
                }
                *at += 1;
            }
            let ended = next.is_none() || rest.length() == Some(0);
            *whole |= ended;
            (next, spent, ended)
        };
        // Only now, as what they do may come back here.
        if let Some(observer) = self.observer.borrow().as_ref() {
            if spent {
                observer.released();
            }
            if ended {
                observer.completed();
            }
        }
        if let Some(Err(fault)) = next {
            self.fault.set(Some(fault));
        }
        Poll::Ready(next)
    }
}

/// The body of a request that goes on.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it.
    Whole(Bytes),
    /// Still coming.
    Upload(Rc<Upload>),
}

/// A request's body as one attempt writes it: only once its connection has been tried with the head.
pub struct AttemptBody {
    left: Left,
    /// Until when the connection is on trial.
    trial: Option<Pin<Box<Sleep>>>,
    written: Rc<Cell<Written>>,
}

enum Left {
    Nothing,
    Whole(Bytes),
    Upload(Rc<Upload>, usize),
}

impl AttemptBody {
    /// `written` is told once the whole request has been handed over; without a body that is so with its head. None
    /// if some of the body is no longer held.
    pub fn new(
        body: &RequestBody,
        trial: Option<Duration>,
        written: Rc<Cell<Written>>,
    ) -> Option<AttemptBody> {
        let left = match body {
            RequestBody::Whole(body) if body.is_empty() => Left::Nothing,
            RequestBody::Whole(body) => Left::Whole(body.clone()),
            RequestBody::Upload(upload) => {
                upload.state.borrow().held.as_ref()?;
                Left::Upload(upload.clone(), 0)
            }
        };
        written.set(if matches!(left, Left::Nothing) {
            Written::HandedOver
        } else {
            Written::Partly
        });
        Some(AttemptBody {
            left,
            trial: trial.map(|t| Box::pin(sleep(t))),
            written,
        })
    }

    fn end(&mut self) {
        self.left = Left::Nothing;
        self.written.set(Written::HandedOver);
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if let Some(trial) = &mut self.trial {
            ready!(trial.as_mut().poll(cx));
            self.trial = None;
        }
        let next = match &mut self.left {
            Left::Nothing => None,
            Left::Whole(body) => {
                let body = std::mem::take(body);
                self.end();
                Some(Ok(body))
            }
            Left::Upload(upload, at) => {
                let next = ready!(upload.poll_next(cx, at));
                let held = upload.state.borrow().held.as_ref().map_or(0, Vec::len);
                if next.is_none() || (upload.whole() && *at >= held) {
                    self.end();
                }
                next
            }
        };
        Poll::Ready(next.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.left, Left::Nothing)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.left {
            Left::Nothing => SizeHint::with_exact(0),
            Left::Whole(body) => SizeHint::with_exact(body.len() as u64),
            Left::Upload(upload, _) => upload
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// The large body of an answer, as its upstream gives it.
pub struct Frames {
    pieces: mpsc::Receiver<Bytes>,
    /// What is still to come, if its length is stated.
    left: Option<u64>,
    whole: Rc<Cell<bool>>,
}

/// Where an upstream's answer is handed over, piece by piece. Dropped before [`BodySender::end`] the answer has broken off.
pub struct BodySender {
    pieces: mpsc::Sender<Bytes>,
    whole: Rc<Cell<bool>>,
}

impl BodySender {
    /// Hands a piece over once there is room. Fails if its caller has gone, or takes nothing for long.
    pub async fn give(&self, piece: Bytes) -> Result<(), ()> {
        self.pieces
            .send_timeout(piece, STALLED)
            .await
            .map_err(|_| ())
    }

    /// All has been given.
    pub fn end(self) {
        self.whole.set(true);
    }
}

/// An answer that will be handed over, of this length if it is stated.
pub fn frames(length: Option<u64>) -> (BodySender, Frames) {
    let (give, pieces) = mpsc::channel(FRAMES);
    let whole = Rc::new(Cell::new(false));
    (
        BodySender {
            pieces: give,
            whole: whole.clone(),
        },
        Frames {
            pieces,
            left: length,
            whole,
        },
    )
}

/// The body of an upstream's answer.
pub enum ResponseContent {
    /// All of it.
    Whole(Bytes),
    /// Still coming.
    Frames(Frames),
}

impl fmt::Debug for ResponseContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseContent::Whole(body) => write!(f, "{} bytes", body.len()),
            ResponseContent::Frames(frames) => write!(f, "{:?} bytes to come", frames.left),
        }
    }
}

/// The body of the final answer. Its request ends with it.
pub enum ResponseBody<G> {
    /// All of it.
    Whole(Full<Bytes>),
    /// Still coming; with the request's place in the metrics, and what is released with its end.
    Frames(Frames, InFlightRequest, #[allow(dead_code)] G),
}

/// An upstream broke off in the middle of its answer. The caller's connection ends with it, so that it can tell.
#[derive(Debug)]
pub struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl Error for BrokenOff {}

impl<G: Unpin> Body for ResponseBody<G> {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let (frames, taken) = match self.get_mut() {
            ResponseBody::Whole(body) => {
                return Pin::new(body)
                    .poll_frame(cx)
                    .map_err(|never| match never {})
            }
            ResponseBody::Frames(frames, taken, _) => (frames, taken),
        };
        let next = match ready!(frames.pieces.poll_recv(cx)) {
            Some(piece) => {
                frames.left = frames
                    .left
                    .map(|left| left.saturating_sub(piece.len() as u64));
                Some(Ok(Frame::data(piece)))
            }
            None if frames.whole.get() => None,
            None => Some(Err(BrokenOff)),
        };
        match next {
            Some(Err(_)) => taken.ends(Outcome::Errors),
            Some(Ok(_)) if frames.left != Some(0) => {}
            _ => taken.ends(Outcome::Ok),
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(body) => body.is_end_stream(),
            ResponseBody::Frames(frames, ..) => frames.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(body) => body.size_hint(),
            ResponseBody::Frames(frames, ..) => frames
                .left
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests;
