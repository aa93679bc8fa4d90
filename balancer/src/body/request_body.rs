//! Request bodies as they are forwarded to upstreams.
use crate::body::body_error::BodyError;
use crate::body::upload::Upload;
use crate::net::shared_stream::{Output, SharedStream, WriteProgress};
use crate::time::{sleep, Sleep};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// The body of a request that is forwarded.
#[derive(Clone)]
pub enum RequestBody {
    /// The complete body.
    Buffered(Bytes),
    /// A large body that the client may still be sending.
    Streamed(Rc<Upload>),
}

impl RequestBody {
    /// The client's failure to send the body, if there was one.
    pub fn error(&self) -> Option<BodyError> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => upload.error(),
        }
    }
}

/// A request's body as one attempt writes it.
pub struct AttemptBody {
    unsent: UnsentBody,
    /// Delays the body on a reused connection: if the upstream has closed the connection, that is
    /// noticed within the delay, before any of the body is sent.
    delay: Option<Pin<Box<Sleep>>>,
    write_progress: Rc<Cell<WriteProgress>>,
    /// The state of writing to the upstream.
    output: Rc<Output>,
}

/// The unwritten part of a body.
enum UnsentBody {
    Nothing,
    Buffered(Bytes),
    Streamed {
        upload: Rc<Upload>,
        /// How many bytes have been written.
        position: usize,
    },
}

impl UnsentBody {
    fn is_empty(&self) -> bool {
        matches!(self, UnsentBody::Nothing)
    }
}

impl AttemptBody {
    /// A body that is written after `delay`. The socket's write progress becomes
    /// [`WriteProgress::HandedOver`] with the last byte of the request. Returns `None` if the start
    /// of the body is no longer buffered. The body is written to `socket`.
    pub fn new(
        body: &RequestBody,
        delay: Option<Duration>,
        socket: &SharedStream,
    ) -> Option<AttemptBody> {
        let write_progress = socket.write_progress();
        let unsent = match body {
            RequestBody::Buffered(body) if body.is_empty() => UnsentBody::Nothing,
            RequestBody::Buffered(body) => UnsentBody::Buffered(body.clone()),
            RequestBody::Streamed(upload) if !upload.is_replayable() => return None,
            RequestBody::Streamed(upload) => UnsentBody::Streamed {
                upload: upload.clone(),
                position: 0,
            },
        };
        write_progress.set(if unsent.is_empty() {
            WriteProgress::HandedOver
        } else {
            WriteProgress::Partial
        });
        Some(AttemptBody {
            unsent,
            delay: delay.map(|delay| Box::pin(sleep(delay))),
            write_progress,
            output: socket.output().clone(),
        })
    }

    fn finish(&mut self) {
        self.unsent = UnsentBody::Nothing;
        self.write_progress.set(WriteProgress::HandedOver);
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(delay) = &mut self.delay {
            ready!(delay.as_mut().poll(cx));
            self.delay = None;
        }
        let is_blocked = self.output.is_blocked();
        let next = match &mut self.unsent {
            UnsentBody::Nothing => None,
            UnsentBody::Buffered(body) => {
                let body = std::mem::take(body);
                self.finish();
                Some(Ok(body))
            }
            UnsentBody::Streamed { upload, position } => {
                let next = ready!(upload.poll_next(cx, position, is_blocked));
                if next.is_none() || upload.ends_at(*position) {
                    self.finish();
                }
                next
            }
        };
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.unsent {
            UnsentBody::Nothing => SizeHint::with_exact(0),
            UnsentBody::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            UnsentBody::Streamed { upload, .. } => upload
                .length()
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
