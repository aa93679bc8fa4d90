//! Faults of upstreams: releases, crashes and misbehavior.
use super::FaultInjector;
use crate::discovery::EndpointState;
use crate::ids::UpstreamId;
use crate::upstream::UpstreamProfile;
use rand::RngExt;
use std::ops::Range;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, Instant};

/// Time for which an upstream drains, in milliseconds.
const DRAIN_MS: Range<u64> = 500..9000;
/// Time for which a released upstream is gone, in milliseconds.
const RELEASE_DOWNTIME_MS: Range<u64> = 100..1500;
/// Time for which a crashed upstream is gone, in milliseconds.
const CRASH_DOWNTIME_MS: Range<u64> = 50..800;
/// Probability that an upstream rejects requests while it drains. Otherwise it serves them.
const REJECTION_WHILE_DRAINING_PROBABILITY: f64 = 0.5;
/// Lowest mean latency of an upstream that misbehaves, in milliseconds.
const MIN_MEAN_LATENCY_MS: f64 = 5.0;
/// Limit of what a fault adds to that latency, in milliseconds.
const MAX_ADDED_LATENCY_MS: f64 = 200.0;

impl FaultInjector {
    /// Releases one upstream after the other: it drains, is removed and starts again in slow start.
    pub(super) async fn release_upstreams(&mut self) {
        let ends_at = self.ends_at();
        while Instant::now() < ends_at {
            let upstream = self.draw_upstream();
            let testbed = self.testbed.clone();
            let Ok(_reservation) = testbed.try_reserve_upstream(upstream) else {
                continue;
            };
            testbed
                .discovery()
                .set_endpoint_state(upstream, EndpointState::Draining);
            let rejects = self.random.random::<f64>() < REJECTION_WHILE_DRAINING_PROBABILITY;
            testbed.upstream(upstream).set_rejecting(rejects);
            sleep(self.draw_duration(DRAIN_MS)).await;
            testbed
                .discovery()
                .set_endpoint_state(upstream, EndpointState::Removed);
            testbed.upstream(upstream).stop();
            sleep(self.draw_duration(RELEASE_DOWNTIME_MS)).await;
            self.start_upstream(upstream).await;
        }
    }

    /// Stops one upstream without notice. It starts again within a second, in slow start.
    pub(super) async fn crash_upstream(&mut self) {
        let upstream = self.draw_upstream();
        let testbed = self.testbed.clone();
        let Ok(_reservation) = testbed.try_reserve_upstream(upstream) else {
            return;
        };
        testbed.upstream(upstream).stop();
        sleep(self.draw_duration(CRASH_DOWNTIME_MS)).await;
        self.start_upstream(upstream).await;
    }

    async fn start_upstream(&self, upstream: UpstreamId) {
        if let Err(error) = self.testbed.upstream(upstream).restart().await {
            eprintln!("cannot restart upstream {upstream}: {error}");
            return;
        }
        self.testbed
            .recorder()
            .lock()
            .record_upstream_restart(upstream);
        self.testbed
            .discovery()
            .set_endpoint_started(upstream, unix_time_ms());
    }

    /// Makes some upstreams misbehave, then restores their previous profiles.
    pub(super) async fn make_upstreams_misbehave(&mut self) {
        let upstreams = self.draw_upstreams();
        let previous: Vec<UpstreamProfile> = upstreams
            .iter()
            .map(|&upstream| self.testbed.upstream(upstream).profile())
            .collect();
        for &upstream in &upstreams {
            let profile = self.draw_misbehaving_profile();
            self.testbed.upstream(upstream).set_profile(profile);
        }
        sleep(self.duration).await;
        for (upstream, profile) in upstreams.into_iter().zip(previous) {
            self.testbed.upstream(upstream).set_profile(profile);
        }
    }

    /// Draws a profile. The fields are drawn in the order in which they are written.
    fn draw_misbehaving_profile(&mut self) -> UpstreamProfile {
        let mut draw_below = |limit: f64| self.random.random_range(0.0..limit);
        UpstreamProfile {
            mean_latency_ms: MIN_MEAN_LATENCY_MS + draw_below(MAX_ADDED_LATENCY_MS),
            error: draw_below(0.2),
            rejection: draw_below(0.2),
            reset: draw_below(0.1),
            early_reset: draw_below(0.1),
            no_response: draw_below(0.1),
            truncated_response: draw_below(0.1),
            malformed_response: draw_below(0.05),
            surplus_response: draw_below(0.1),
            response_without_length: draw_below(0.1),
            idle_close: draw_below(0.3),
            unresponsive_connection: draw_below(0.1),
        }
    }
}

/// The wall clock, in milliseconds since the Unix epoch.
fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
