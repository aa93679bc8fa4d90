//! A file descriptor that the event loop watches for readiness.
use crate::harmless_panic::catch_harmless_panic;
use crate::net::socket_io::retry_interrupted;
use std::future::{poll_fn, Future};
use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::pin::pin;
use std::task::{ready, Context, Poll, Waker};
use thiserror::Error;
use tokio::io::unix::AsyncFd;
use tokio::io::Interest;

/// A file descriptor that the event loop watches. `T` is the value that owns the descriptor; while
/// the event loop watches the descriptor, that value can be neither replaced nor taken out.
pub struct WatchedDescriptor<T> {
    /// `None` only while this value is dropped.
    watched: Option<AsyncFd<WatchedOwner<T>>>,
}

impl<T> Drop for WatchedDescriptor<T> {
    /// Catches a panic of the runtime: after several registrations have ended, the runtime wakes
    /// its event loop, and panics if it cannot. When it panics, this registration has ended
    /// already, and the event loop need not be woken, as it runs on this thread.
    fn drop(&mut self) {
        let watched = self.watched.take();
        let _ = catch_harmless_panic(|| drop(watched));
    }
}

/// A descriptor could not be registered with the event loop. The descriptor is unchanged.
#[derive(Debug, Error)]
#[error("cannot register a descriptor with the event loop: {source}")]
pub struct RegistrationError<T> {
    /// The owner of the descriptor.
    pub owner: T,
    /// The operating system's error.
    pub source: io::Error,
}

/// The owner of a watched descriptor, and the descriptor's number at its registration.
struct WatchedOwner<T> {
    owner: T,
    number: RawFd,
}

impl<T> AsRawFd for WatchedOwner<T> {
    fn as_raw_fd(&self) -> RawFd {
        self.number
    }
}

impl<T: AsFd> AsFd for WatchedOwner<T> {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.owner.as_fd()
    }
}

impl<T: AsFd> WatchedDescriptor<T> {
    /// Registers a non-blocking descriptor with the event loop.
    pub fn register(
        owner: T,
        interest: Interest,
    ) -> Result<WatchedDescriptor<T>, RegistrationError<T>> {
        let number = owner.as_fd().as_raw_fd();
        let watched_owner = WatchedOwner { owner, number };
        // SAFETY: the descriptor stays open until the registration has ended, as its owner is
        // neither replaced nor given away before, and its number stays the same.
        #[allow(unsafe_code)]
        let watched = unsafe { AsyncFd::register_with_interest(watched_owner, interest) };
        let watched = watched.map(|watched| WatchedDescriptor {
            watched: Some(watched),
        });
        watched.map_err(|error| {
            let (watched_owner, source) = error.into_parts();
            RegistrationError {
                owner: watched_owner.owner,
                source,
            }
        })
    }

    /// Registers a non-blocking descriptor that is only read. If that fails, drops the owner, which
    /// closes the descriptor.
    pub fn register_for_reading(owner: T) -> io::Result<WatchedDescriptor<T>> {
        WatchedDescriptor::register(owner, Interest::READABLE).map_err(|error| error.source)
    }

    /// The owner of the watched descriptor.
    pub fn get(&self) -> &T {
        &self.watched().get_ref().owner
    }

    #[expect(clippy::expect_used, reason = "only `drop` takes the value")]
    fn watched(&self) -> &AsyncFd<WatchedOwner<T>> {
        self.watched
            .as_ref()
            .expect("the registration is taken only in drop")
    }

    /// Waits until the descriptor is readable, and calls `read`, which must fail with `WouldBlock`
    /// if it is not. A call that a signal interrupted is repeated. After any other error the
    /// descriptor still counts as readable, so that the next call reads at once.
    pub async fn read<R>(&self, mut read: impl FnMut(&T) -> io::Result<R>) -> io::Result<R> {
        poll_fn(|cx| self.poll_read(cx, &mut read)).await
    }

    /// The polling form of [`WatchedDescriptor::read`].
    pub fn poll_read<R>(
        &self,
        cx: &mut Context<'_>,
        mut read: impl FnMut(&T) -> io::Result<R>,
    ) -> Poll<io::Result<R>> {
        loop {
            ready!(self.poll_read_ready(cx))?;
            match self.try_io(Interest::READABLE, &mut read) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Polls until the descriptor may be readable.
    pub fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.watched().poll_read_ready(cx).map_ok(drop)
    }

    /// Polls until the descriptor may be writable.
    pub fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.watched().poll_write_ready(cx).map_ok(drop)
    }

    /// Calls `call` if the descriptor may be ready for it. If that fails with `WouldBlock`, the
    /// descriptor counts as not ready until the next event. A call that a signal interrupted is
    /// repeated.
    pub fn try_io<R>(
        &self,
        interest: Interest,
        mut call: impl FnMut(&T) -> io::Result<R>,
    ) -> io::Result<R> {
        self.watched().try_io(interest, |watched_owner| {
            retry_interrupted(|| call(&watched_owner.owner))
        })
    }

    /// Whether the event loop has learned that the stream has ended for reading. Bytes before the
    /// end may still be unread.
    pub fn is_read_closed(&self) -> bool {
        let readiness = pin!(self.watched().ready(Interest::READABLE))
            .poll(&mut Context::from_waker(Waker::noop()));
        matches!(readiness, Poll::Ready(Ok(guard)) if guard.ready().is_read_closed())
    }
}
