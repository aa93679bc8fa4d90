//! What counts as progress of a body.
use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

/// A body that receives `length` bytes after each of these waits, in milliseconds.
struct Body {
    pace: BodyPace,
    now: Instant,
}

impl Body {
    fn new() -> Body {
        Body {
            pace: BodyPace::default(),
            now: Instant::now(),
        }
    }

    fn receive(&mut self, after_ms: u32, length: usize) {
        self.pace.begin_wait(self.now);
        self.now += after_ms * MILLISECOND;
        self.pace.record_data(self.now, length);
    }

    /// Whether it counts as in progress once nothing has arrived for so many milliseconds.
    fn is_in_progress_after(&mut self, silent_ms: u32) -> bool {
        self.pace.begin_wait(self.now);
        self.pace
            .in_progress_until(self.now)
            .is_some_and(|until| self.now + silent_ms * MILLISECOND <= until)
    }
}

#[test]
fn body_without_data_is_not_in_progress() {
    assert!(!Body::new().is_in_progress_after(0));
}

#[test]
fn body_that_begins_with_much_and_stops_is_in_progress_for_the_least_pause() {
    let mut body = Body::new();
    body.receive(2_000, 50_000);
    assert!(body.is_in_progress_after(300));
    assert!(!body.is_in_progress_after(301));
}

#[test]
fn body_may_pause_twice_as_long_as_before() {
    let mut body = Body::new();
    for _ in 0..3 {
        body.receive(700, 5_000);
    }
    assert!(body.is_in_progress_after(1_400));
    assert!(!body.is_in_progress_after(1_401));
}

/// Guards against taking a drip for progress, however steady it is.
#[test]
fn body_below_the_least_rate_is_not_in_progress() {
    for (interval_ms, length, is_in_progress) in [(50, 64, true), (50, 40, false), (500, 1, false)]
    {
        let mut body = Body::new();
        for _ in 0..100 {
            body.receive(interval_ms, length);
        }
        assert_eq!(
            body.is_in_progress_after(1),
            is_in_progress,
            "{length} bytes each {interval_ms} ms"
        );
    }
}

/// Guards against taking the time in which the receiver does not read for a pause of the sender.
#[test]
fn time_without_a_wait_does_not_count() {
    let mut body = Body::new();
    body.receive(10, 1_000);
    body.now += 20_000 * MILLISECOND;
    assert!(body.is_in_progress_after(300));
    body.receive(0, 1_000);
    assert!(body.is_in_progress_after(300));
}

/// Guards against taking the last byte of a drip for a large body that goes on late.
#[test]
fn drip_makes_no_progress_after_any_time() {
    for (length, makes_progress) in [(1, false), (100, true)] {
        let mut body = Body::new();
        for _ in 0..100 {
            body.receive(30, length);
        }
        let before_last = body.now - MILLISECOND;
        assert_eq!(body.pace.made_progress_after(before_last), makes_progress);
        assert!(!body.pace.made_progress_after(body.now));
    }
}

/// After how long a body stalls that receives `length` bytes every `interval_ms`.
fn stalls_after(interval_ms: u32, length: usize) -> Option<Duration> {
    const PIECES: u32 = 2_000;
    let mut body = Body::new();
    let start = body.now;
    for _ in 0..PIECES {
        body.pace.begin_wait(body.now);
        let stalls_at = body.pace.stalls_at(body.now);
        if stalls_at < body.now + interval_ms * MILLISECOND {
            return Some(stalls_at - start);
        }
        body.receive(interval_ms, length);
    }
    None
}

/// Guards against drips that hold their connections for ever, and against ending what is slow.
#[test]
fn body_below_the_least_rate_stalls() {
    let seconds = |count| Duration::from_secs(count);
    assert_eq!(stalls_after(11_000, 1_000_000), Some(seconds(10)));
    assert!(stalls_after(100, 1).is_some_and(|after| after < seconds(11)));
    assert!(stalls_after(1_000, 500).is_some_and(|after| after <= seconds(21)));
    for (interval_ms, length) in [(50, 64), (9_000, 10_000), (1_000, 1_000)] {
        assert_eq!(stalls_after(interval_ms, length), None, "{length} bytes");
    }
}
