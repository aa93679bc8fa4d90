//! How far the response of one attempt has come: the attempt's task records it, and the driver asks
//! for it when the attempt's time is over.
use crate::outbound::body_pace::BodyPace;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;
use tokio::time::Instant;

/// What has arrived of a response that is not passed on yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ResponseStage {
    /// Nothing, or the start of a body that must be complete before it is passed on.
    #[default]
    Awaited,
    /// The head, and perhaps the start of a body that may be passed on incomplete.
    Begun,
    /// All of it.
    Complete,
}

/// The response of one attempt. The attempt's task and the driver share it.
#[derive(Default)]
pub struct ResponseProgress {
    stage: Cell<ResponseStage>,
    pace: RefCell<BodyPace>,
    /// Notified when the response is to be passed on.
    relay_requested: Notify,
}

impl ResponseProgress {
    /// A response has begun whose body may be passed on incomplete.
    pub fn record_begin(&self) {
        self.stage.set(ResponseStage::Begun);
    }

    /// The response has arrived completely.
    pub fn record_complete(&self) {
        self.stage.set(ResponseStage::Complete);
    }

    /// The upstream is awaited from now on, unless it is already.
    pub fn begin_wait(&self) {
        self.pace.borrow_mut().begin_wait(Instant::now());
    }

    /// So many bytes of the body have arrived.
    pub fn record_data(&self, length: usize) {
        self.pace.borrow_mut().record_data(Instant::now(), length);
    }

    /// Whether more of the body has arrived after this time, and at the least rate so far.
    pub fn made_progress_after(&self, time: Instant) -> bool {
        self.pace.borrow().made_progress_after(time)
    }

    /// Until when the body counts as in progress if nothing more arrives; `None` if nothing has
    /// arrived yet.
    pub fn in_progress_until(&self, now: Instant) -> Option<Instant> {
        self.pace.borrow().in_progress_until(now)
    }

    /// When the body has stalled if nothing more arrives.
    pub fn stalls_at(&self, now: Instant) -> Instant {
        self.pace.borrow().stalls_at(now)
    }

    /// Whether the response has arrived completely.
    pub fn is_complete(&self) -> bool {
        self.stage.get() == ResponseStage::Complete
    }

    /// Until when a response that may be passed on incomplete counts as in progress if nothing more
    /// arrives; `None` if it does not now.
    pub fn relayable_until(&self, now: Instant) -> Option<Instant> {
        let has_begun = self.stage.get() == ResponseStage::Begun;
        self.in_progress_until(now)
            .filter(|until| has_begun && *until > now)
    }

    /// The time of the request is over. Returns whether the response is passed on nevertheless: one
    /// that is complete is about to be, and one that may be incomplete is from now on if its body has
    /// begun. Whether it is in progress shows later.
    pub fn pass_on(&self) -> bool {
        match self.stage.get() {
            ResponseStage::Awaited => false,
            ResponseStage::Begun => {
                let has_received = self.pace.borrow().has_received();
                if has_received {
                    self.relay_requested.notify_one();
                }
                has_received
            }
            ResponseStage::Complete => true,
        }
    }

    /// Waits until the response is to be passed on, because the time of its request is over.
    pub async fn relay_requested(&self) {
        self.relay_requested.notified().await;
    }
}

#[cfg(test)]
mod tests;
