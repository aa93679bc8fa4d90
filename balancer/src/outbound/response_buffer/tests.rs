//! How long responses are buffered.
use super::*;

/// Guards against first bytes that are late because the process is held up for 0.15 s.
#[tokio::test(flavor = "local", start_paused = true)]
async fn body_of_undeclared_length_is_relayed_before_its_request_expires() {
    let buffer_times_ms = [
        (15_000, 1_000),
        (1_150, 1_000),
        (600, 450),
        (200, 100),
        (0, 0),
    ];
    let now = Instant::now();
    for (remaining_ms, expected_ms) in buffer_times_ms {
        let expires_at = now + Duration::from_millis(remaining_ms);
        let times = RelayTimes::new(now, expires_at);
        assert_eq!(
            times.buffered - now,
            Duration::from_millis(expected_ms),
            "{remaining_ms} ms remain"
        );
        assert!(times.latest >= times.buffered && times.latest <= expires_at);
    }
}
