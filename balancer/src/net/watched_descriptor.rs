//! A descriptor that the loop watches for readiness.
use crate::contained_panic::contain;
use crate::net::socket_io::retry_interrupted;
use std::future::{poll_fn, Future};
use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::pin::pin;
use std::task::{ready, Context, Poll, Waker};
use thiserror::Error;
use tokio::io::unix::AsyncFd;
use tokio::io::Interest;

/// A descriptor that the loop watches. Its owner cannot be replaced while it is watched.
pub struct WatchedDescriptor<T> {
    /// Taken when dropped only.
    watched: Option<AsyncFd<Owner<T>>>,
}

impl<T> Drop for WatchedDescriptor<T> {
    /// The runtime wakes its loop when several watches have ended, and panics if that fails. By then
    /// the watch has ended, and the loop, whose thread this is, need not be woken.
    fn drop(&mut self) {
        let watched = self.watched.take();
        let _ = contain(|| drop(watched));
    }
}

/// The loop could not watch a descriptor, which is unchanged.
#[derive(Debug, Error)]
#[error("{source}")]
pub struct RegistrationError<T> {
    /// The owner of the descriptor.
    pub descriptor: T,
    /// The system's error.
    pub source: io::Error,
}

/// The owner of a descriptor, and the number under which it is registered.
struct Owner<T> {
    descriptor: T,
    number: RawFd,
}

impl<T> AsRawFd for Owner<T> {
    fn as_raw_fd(&self) -> RawFd {
        self.number
    }
}

impl<T: AsFd> AsFd for Owner<T> {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.descriptor.as_fd()
    }
}

impl<T: AsFd> WatchedDescriptor<T> {
    /// Has the loop watch a descriptor that does not block.
    pub fn register(
        descriptor: T,
        interest: Interest,
    ) -> Result<WatchedDescriptor<T>, RegistrationError<T>> {
        let number = descriptor.as_fd().as_raw_fd();
        let owner = Owner { descriptor, number };
        // SAFETY: the owner keeps the descriptor open until the registration has ended, as it is
        // neither replaced nor given out before, and its number stays the same.
        #[allow(unsafe_code)]
        let watched = unsafe { AsyncFd::register_with_interest(owner, interest) };
        let watched = watched.map(|watched| WatchedDescriptor {
            watched: Some(watched),
        });
        watched.map_err(|error| {
            let (owner, source) = error.into_parts();
            RegistrationError {
                descriptor: owner.descriptor,
                source,
            }
        })
    }

    /// Has the loop watch a descriptor that is read only. It is closed if that fails.
    pub fn new(descriptor: T) -> io::Result<WatchedDescriptor<T>> {
        WatchedDescriptor::register(descriptor, Interest::READABLE).map_err(|error| error.source)
    }

    /// The watched descriptor.
    pub fn get(&self) -> &T {
        &self.watched().get_ref().descriptor
    }

    #[expect(clippy::expect_used, reason = "only the drop takes it")]
    fn watched(&self) -> &AsyncFd<Owner<T>> {
        self.watched.as_ref().expect("a watched descriptor")
    }

    /// Waits until the descriptor is readable, and calls `read`, which fails with `WouldBlock` if it
    /// is not. A call that a signal interrupted is repeated. After another error the descriptor
    /// counts as readable, so that the next call reads at once.
    pub async fn read<R>(&self, mut read: impl FnMut(&T) -> io::Result<R>) -> io::Result<R> {
        poll_fn(|cx| self.poll_read(cx, &mut read)).await
    }

    /// Polls for what [`WatchedDescriptor::read`] waits for.
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

    /// Makes a call if the descriptor may be ready for it. If the call fails with `WouldBlock`, the
    /// descriptor counts as not ready until the next event.
    pub fn try_io<R>(
        &self,
        interest: Interest,
        mut call: impl FnMut(&T) -> io::Result<R>,
    ) -> io::Result<R> {
        self.watched().try_io(interest, |owner| {
            retry_interrupted(|| call(&owner.descriptor))
        })
    }

    /// Whether the loop has learned that nothing more can be read.
    pub fn is_read_closed(&self) -> bool {
        let readiness = pin!(self.watched().ready(Interest::READABLE))
            .poll(&mut Context::from_waker(Waker::noop()));
        matches!(readiness, Poll::Ready(Ok(guard)) if guard.ready().is_read_closed())
    }
}
