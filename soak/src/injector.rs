//! Injects the faults of a plan. Each submodule injects the faults of one part of the testbed.
mod balancers;
mod clients;
mod crowds;
mod discovery;
mod failing_calls;
mod overrides;
mod own_descriptors;
mod system_calls;
mod upstreams;

use crate::fault::Fault;
use crate::ids::{BalancerId, UpstreamId};
use crate::plan::PlannedFault;
use crate::testbed::Testbed;
use failing_calls::{
    BROKEN_READS, INTERRUPTIONS, LOG_FAILURES, REGISTRATION_FAILURES, SHORT_TRANSFERS,
    SOCKET_FAILURES,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Injects one fault into a testbed.
pub struct FaultInjector {
    testbed: Arc<Testbed>,
    duration: Duration,
    random: StdRng,
}

impl FaultInjector {
    /// Prepares a planned fault, which draws its choices from its own seed.
    pub fn new(testbed: Arc<Testbed>, planned: PlannedFault) -> FaultInjector {
        FaultInjector {
            testbed,
            duration: planned.duration,
            random: StdRng::seed_from_u64(planned.seed),
        }
    }

    /// Injects a fault, from its start to its end.
    pub async fn inject(mut self, fault: Fault) {
        match fault {
            Fault::Restart => self.restart_balancers().await,
            Fault::Kill => self.kill_balancers().await,
            Fault::Reload => self.reload_balancers().await,
            Fault::Stall => self.stall_balancer().await,
            Fault::Release => self.release_upstreams().await,
            Fault::UpstreamCrash => self.crash_upstream().await,
            Fault::BadUpstreams => self.make_upstreams_misbehave().await,
            Fault::DiscoveryDown => self.take_discovery_down().await,
            Fault::SilentWatches => self.testbed.discovery().silence_watches(),
            Fault::MalformedLists => self.send_malformed_lists().await,
            Fault::ShortTransfers => self.fail_system_calls(&SHORT_TRANSFERS).await,
            Fault::Interrupted => self.fail_system_calls(&INTERRUPTIONS).await,
            Fault::FailingSockets => self.fail_system_calls(&SOCKET_FAILURES).await,
            Fault::BrokenReads => self.fail_system_calls(&BROKEN_READS).await,
            Fault::ClockStep => self.step_clock().await,
            Fault::ClockOffset => self.start_with_clock_offset().await,
            Fault::Disk => self.fail_disk().await,
            Fault::Overrides => self.change_overrides().await,
            Fault::Burst => self.send_burst().await,
            Fault::IdleConnections => self.open_idle_connections().await,
            Fault::Upgrade => self.upgrade_balancers().await,
            Fault::SignalSeries => self.send_signal_series().await,
            Fault::EventDescriptors => self.fail_event_descriptors().await,
            Fault::Registrations => self.fail_system_calls(&REGISTRATION_FAILURES).await,
            Fault::FailingLog => self.fail_system_calls(&LOG_FAILURES).await,
            Fault::FailingStart => self.fail_start().await,
            Fault::SlowClients => self.crowd_with_slow_clients().await,
        }
    }

    fn ends_at(&self) -> Instant {
        Instant::now() + self.duration
    }

    fn draw_balancer(&mut self) -> BalancerId {
        BalancerId(self.random.random_range(0..self.testbed.balancer_count()))
    }

    fn draw_upstream(&mut self) -> UpstreamId {
        UpstreamId(self.random.random_range(0..self.testbed.upstream_count()))
    }

    /// Draws up to half of the balancers. One may be drawn several times.
    fn draw_balancers(&mut self) -> Vec<BalancerId> {
        let max_count = self.testbed.balancer_count().div_ceil(2);
        let count = self.random.random_range(1..=max_count);
        (0..count).map(|_| self.draw_balancer()).collect()
    }

    /// Draws up to half of the upstreams. One may be drawn several times.
    fn draw_upstreams(&mut self) -> Vec<UpstreamId> {
        let max_count = self.testbed.upstream_count().div_ceil(2);
        let count = self.random.random_range(1..=max_count);
        (0..count).map(|_| self.draw_upstream()).collect()
    }

    /// Draws a duration in whole milliseconds.
    fn draw_duration(&mut self, milliseconds: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(milliseconds))
    }
}
