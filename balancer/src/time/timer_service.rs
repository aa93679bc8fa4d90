//! Fires timers through a timer descriptor that the event loop watches. Nothing here wakes the
//! event loop in any other way, and each error of the descriptor is handled.
use crate::net::socket_io::retry_interrupted;
use crate::net::watched_descriptor::WatchedDescriptor;
use crate::time::timer_queue::{TimerKey, TimerQueue};
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Shortest time for which the descriptor can be armed; zero would disarm it.
const MIN_EXPIRATION: Duration = Duration::from_nanos(1);

thread_local! {
    static INSTALLED: RefCell<Option<Rc<TimerService>>> = const { RefCell::new(None) };
}

/// Fires the timers of one thread.
pub struct TimerService {
    queue: RefCell<TimerQueue>,
    descriptor: WatchedDescriptor<TimerFd>,
    /// When the descriptor expires next.
    expires_at: Cell<Option<Instant>>,
    /// Notified when arming the descriptor failed.
    arming_failed: Notify,
}

impl TimerService {
    /// The service of this thread, if one is installed.
    pub fn installed() -> Option<Rc<TimerService>> {
        INSTALLED.with_borrow(Clone::clone)
    }

    /// Opens a timer descriptor and installs a service for the timers of this thread. Must be
    /// called on a local runtime, which drives the service.
    pub fn install() -> io::Result<()> {
        let flags = TimerFlags::TFD_NONBLOCK | TimerFlags::TFD_CLOEXEC;
        let timer = TimerFd::new(ClockId::CLOCK_MONOTONIC, flags)?;
        let descriptor = WatchedDescriptor::register_for_reading(timer)?;
        let service = Rc::new(TimerService {
            queue: RefCell::default(),
            descriptor,
            expires_at: Cell::new(None),
            arming_failed: Notify::new(),
        });
        INSTALLED.set(Some(service.clone()));
        tokio::task::spawn_local(async move { service.run().await });
        Ok(())
    }

    /// Adds a timer that wakes `waker` at `deadline`.
    pub fn insert(&self, deadline: Instant, waker: Waker) -> TimerKey {
        let key = self.queue.borrow_mut().insert(deadline, waker);
        if self
            .expires_at
            .get()
            .is_none_or(|expires_at| deadline < expires_at)
        {
            self.arm(deadline);
        }
        key
    }

    /// Replaces the waker of a timer, unless it has fired.
    pub fn replace_waker(&self, key: TimerKey, waker: &Waker) {
        self.queue.borrow_mut().replace_waker(key, waker);
    }

    /// Removes a timer, if it has not fired. The descriptor may still expire at its deadline.
    pub fn remove(&self, key: TimerKey) {
        self.queue.borrow_mut().remove(key);
    }

    /// Fires timers forever.
    async fn run(&self) {
        loop {
            tokio::select! {
                // After an error the descriptor is read again at once. Timers that are due fire even
                // so.
                _ = self.descriptor.read(read_expirations) => {}
                // The other tasks run before the next attempt to arm the descriptor.
                () = self.arming_failed.notified() => tokio::task::yield_now().await,
            }
            self.fire_due();
        }
    }

    fn fire_due(&self) {
        self.expires_at.set(None);
        let now = Instant::now();
        loop {
            let due = self.queue.borrow_mut().pop_due(now);
            match due {
                Some(waker) => waker.wake(),
                None => break,
            }
        }
        let earliest = self.queue.borrow().earliest();
        if let Some(deadline) = earliest {
            self.arm(deadline);
        }
    }

    fn arm(&self, deadline: Instant) {
        let wait = deadline
            .saturating_duration_since(Instant::now())
            .max(MIN_EXPIRATION);
        let expiration = Expiration::OneShot(TimeSpec::from_duration(wait));
        let armed = retry_interrupted(|| {
            let timer = self.descriptor.get();
            Ok(timer.set(expiration, TimerSetTimeFlags::empty())?)
        });
        match armed {
            Ok(()) => self.expires_at.set(Some(deadline)),
            Err(_) => {
                self.expires_at.set(None);
                self.arming_failed.notify_one();
            }
        }
    }
}

fn read_expirations(timer: &TimerFd) -> io::Result<()> {
    let mut expirations = [0; size_of::<u64>()];
    nix::unistd::read(timer, &mut expirations)?;
    Ok(())
}
