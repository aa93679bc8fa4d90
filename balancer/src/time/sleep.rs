//! Futures that become ready at a point in time.
use crate::time::timer_queue::TimerKey;
use crate::time::timer_service::TimerService;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Longest sleep. Points in time that are further away cannot always be represented.
const MAX_SLEEP: Duration = Duration::from_secs(365 * 24 * 3600);

/// Waits until a point in time.
#[expect(
    clippy::disallowed_methods,
    reason = "without an installed timer service the runtime's timers are used"
)]
pub fn sleep_until(deadline: Instant) -> Sleep {
    Sleep(match TimerService::installed() {
        Some(service) => Timer::Service(ServiceSleep {
            service,
            deadline,
            key: None,
        }),
        None => Timer::Runtime(Box::pin(tokio::time::sleep_until(deadline))),
    })
}

/// Waits for this long, from the call on.
pub fn sleep(duration: Duration) -> Sleep {
    sleep_until(Instant::now() + duration.min(MAX_SLEEP))
}

/// Becomes ready at its deadline.
pub struct Sleep(Timer);

enum Timer {
    Service(ServiceSleep),
    Runtime(Pin<Box<tokio::time::Sleep>>),
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.0 {
            Timer::Service(sleep) => sleep.poll(cx),
            Timer::Runtime(sleep) => sleep.as_mut().poll(cx),
        }
    }
}

/// A sleep whose timer the timer service fires.
struct ServiceSleep {
    service: Rc<TimerService>,
    deadline: Instant,
    /// Its timer; `None` until the first poll before the deadline.
    key: Option<TimerKey>,
}

impl ServiceSleep {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        match self.key {
            Some(key) => self.service.replace_waker(key, cx.waker()),
            None => self.key = Some(self.service.insert(self.deadline, cx.waker().clone())),
        }
        Poll::Pending
    }
}

impl Drop for ServiceSleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.service.remove(key);
        }
    }
}
