//! The order in which timers fire.
use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::Wake;
use std::time::Duration;

#[derive(Default)]
struct WakeCounter(AtomicUsize);

impl Wake for WakeCounter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

#[test]
fn fires_due_timers_in_the_order_of_their_deadlines() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut queue = TimerQueue::default();
    let counters: Vec<_> = (0..3).map(|_| Arc::<WakeCounter>::default()).collect();
    for (counter, millis) in counters.iter().zip([20, 10, 10]) {
        queue.insert(at(millis), counter.clone().into());
    }
    assert_eq!(queue.earliest(), Some(at(10)));
    assert!(queue.pop_due(at(9)).is_none());
    let mut wake_due = |now| {
        while let Some(waker) = queue.pop_due(now) {
            waker.wake();
        }
        counters
            .iter()
            .map(|counter| counter.0.load(Ordering::Relaxed))
            .collect::<Vec<_>>()
    };
    assert_eq!(wake_due(at(10)), [0, 1, 1]);
    assert_eq!(wake_due(at(30)), [1, 1, 1]);
    assert_eq!(queue.earliest(), None);
}

#[test]
fn does_not_wake_removed_or_replaced_wakers() {
    let now = Instant::now();
    let mut queue = TimerQueue::default();
    let (removed, replaced, latest) = (
        Arc::<WakeCounter>::default(),
        Arc::<WakeCounter>::default(),
        Arc::<WakeCounter>::default(),
    );
    let key = queue.insert(now, removed.clone().into());
    queue.remove(key);
    let key = queue.insert(now, replaced.clone().into());
    queue.replace_waker(key, &latest.clone().into());
    queue.pop_due(now).expect("one timer is due").wake();
    assert!(queue.pop_due(now).is_none());
    assert_eq!(removed.0.load(Ordering::Relaxed), 0);
    assert_eq!(replaced.0.load(Ordering::Relaxed), 0);
    assert_eq!(latest.0.load(Ordering::Relaxed), 1);
}
