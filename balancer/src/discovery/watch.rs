//! The watch that keeps the endpoint list up to date.
//!
//! The core decides when to poll ([`balancer_core::Action::PollEndpoints`]); the consumer of the updates tells
//! this module ([`EndpointConsumer::poll_requested`]). An established watch is kept open here without being asked for
//! again.
use crate::discovery::call_timeouts::{CallKind, CallLimits, CallTimeouts, UpdateMode};
use crate::discovery::client::{CallError, DiscoveryClient};
use crate::discovery::consumer::{CallFailure, EndpointConsumer};
use crate::discovery::endpoints::{EndpointUpdate, TopologyNames};
use crate::telemetry::log::LogOutput;
use crate::time::{sleep, timeout};
use balancer_settings::Deployment;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

pub use crate::discovery::call_timeouts::POLL_ACKNOWLEDGE_TIMEOUT;

/// First pause before a failed call to a new address is repeated. It doubles with each failure, up to
/// [`MAX_MIGRATION_BACKOFF`]. Both are short, because 4 s after the signal that announced the migration discovery
/// counts this balancer as notified of the changes at the new address.
const INITIAL_MIGRATION_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause before a failed call to a new address is repeated.
const MAX_MIGRATION_BACKOFF: Duration = Duration::from_millis(500);
/// Limits of the pause before a pushed list is fetched again after a failure. See [`EndpointWatch::new`].
const MIN_PUSHED_RETRY_PAUSE: Duration = Duration::from_millis(20);
const MAX_PUSHED_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How the calls after a migration ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MigrationOutcome {
    /// The new address has responded with a list.
    Completed,
    /// The new address has rejected the call. The core decides when to poll again.
    Rejected,
}

/// What an endpoint watch is built from.
pub struct EndpointWatchOptions<'a> {
    /// Holds the current address of discovery.
    pub addresses: watch::Receiver<SocketAddr>,
    /// The settings of the deployment.
    pub deployment: &'a Deployment,
    /// The version of the list that the balancer already has, if any.
    pub known_version: Option<u64>,
    /// Receives log lines.
    pub log: LogOutput,
}

/// Keeps the endpoint list up to date: polls when requested, and then keeps a watch open.
pub struct EndpointWatch {
    client: DiscoveryClient,
    addresses: watch::Receiver<SocketAddr>,
    mode: UpdateMode,
    timeouts: CallTimeouts,
    /// Pause before a pushed list is fetched again after a failure.
    pushed_retry_pause: Duration,
    /// The version of the newest list.
    version: Option<u64>,
    /// The last logged error; `None` once a call has succeeded since.
    logged_error: Option<String>,
    log: LogOutput,
}

impl EndpointWatch {
    /// A watch that has not connected yet.
    pub fn new(options: EndpointWatchOptions) -> EndpointWatch {
        let deployment = options.deployment;
        let mode = if deployment.core.poll_endpoints {
            UpdateMode::Polled
        } else {
            UpdateMode::Pushed
        };
        let address = *options.addresses.borrow();
        // If updates are pushed, the agent on this machine acknowledges a change even while this watch is broken. The
        // next call has to return the change well before attempts to a draining upstream must end, hence a third of the
        // grace.
        let drain_grace = deployment.drain_grace;
        EndpointWatch {
            client: DiscoveryClient::new(address, TopologyNames::of(deployment)),
            addresses: options.addresses,
            mode,
            timeouts: CallTimeouts::of(mode),
            pushed_retry_pause: (drain_grace / 3)
                .clamp(MIN_PUSHED_RETRY_PAUSE, MAX_PUSHED_RETRY_PAUSE),
            version: options.known_version,
            logged_error: None,
            log: options.log,
        }
    }

    /// Keeps the list up to date until the sender of addresses is dropped.
    pub async fn run(mut self, consumer: impl EndpointConsumer) {
        let mut addresses = self.addresses.clone();
        let mut migrated = false;
        loop {
            // A migration interrupts whatever is in progress at the old address: connecting, a call or a pause.
            tokio::select! {
                biased;
                changed = addresses.changed() => match changed {
                    Ok(()) => {
                        migrated = true;
                        self.migrate(*addresses.borrow_and_update());
                    }
                    // The process is shutting down.
                    Err(_) => return,
                },
                () = self.poll_and_watch(&consumer, migrated) => {}
            }
        }
    }

    /// Switches to another address. The versions of the old one have no meaning there.
    fn migrate(&mut self, address: SocketAddr) {
        self.log.write_line(&format!("discovery: now at {address}"));
        self.client.migrate(address);
        self.version = None;
    }

    /// Polls and watches; never returns. After a migration the first call does not wait for the core to request a poll:
    /// until the complete list has arrived, the balancer uses the old one.
    async fn poll_and_watch(&mut self, consumer: &impl EndpointConsumer, migrated: bool) {
        let mut is_watching =
            migrated && self.complete_migration(consumer).await == MigrationOutcome::Completed;
        loop {
            if self.mode == UpdateMode::Polled && !is_watching {
                consumer.poll_requested().await;
            }
            let error = self.watch_until_failure(consumer, is_watching).await;
            is_watching = false;
            self.handle_call_error(&error);
            consumer.call_failed(call_failure(&error));
            if self.mode == UpdateMode::Pushed {
                sleep(self.pushed_retry_pause).await;
            }
        }
    }

    /// Calls repeatedly, and passes updates on, until a call fails.
    async fn watch_until_failure(
        &mut self,
        consumer: &impl EndpointConsumer,
        mut is_watching: bool,
    ) -> CallError {
        loop {
            let limits = self.timeouts.limits(self.next_call(is_watching));
            match self.call(limits).await {
                Ok(update) if update.full || !update.endpoints.is_empty() => {
                    consumer.apply(&update);
                }
                Ok(_) => consumer.endpoints_unchanged(),
                Err(error) => return error,
            }
            is_watching = true;
        }
    }

    fn next_call(&self, is_watching: bool) -> CallKind {
        if self.version.is_none() {
            return CallKind::Snapshot;
        }
        if is_watching {
            CallKind::NextOfWatch
        } else {
            CallKind::FirstOfWatch
        }
    }

    /// Calls a new address until it responds. If polled discovery rejects the call, it is busy with a fleet of
    /// balancers that migrated together, and the core decides when to poll again.
    async fn complete_migration(&mut self, consumer: &impl EndpointConsumer) -> MigrationOutcome {
        consumer.discovery_migrated();
        let mut backoff = INITIAL_MIGRATION_BACKOFF;
        loop {
            let error = match self.call(self.timeouts.migration_limits()).await {
                Ok(update) => {
                    consumer.apply(&update);
                    return MigrationOutcome::Completed;
                }
                Err(error) => error,
            };
            self.handle_call_error(&error);
            let failure = call_failure(&error);
            if failure == CallFailure::Rejected && self.mode == UpdateMode::Polled {
                consumer.call_failed(failure);
                return MigrationOutcome::Rejected;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_MIGRATION_BACKOFF);
        }
    }

    /// Closes the connection and logs the error. An error that repeats is logged once, so that the log does not fill
    /// with it while discovery is down.
    fn handle_call_error(&mut self, error: &CallError) {
        self.client.disconnect();
        let error = error.to_string();
        if self.logged_error.as_ref() != Some(&error) {
            self.log.write_line(&format!("discovery: {error}"));
            self.logged_error = Some(error);
        }
    }

    /// Makes one call. A malformed response is an error and changes nothing. An update that does not follow the known
    /// version is an error too: discovery may have been restarted, but the response may also be stale. The next call is
    /// then for the complete list, which is accepted whatever its version.
    async fn call(&mut self, limits: CallLimits) -> Result<EndpointUpdate, CallError> {
        let started_at = Instant::now();
        let fetch = self.client.fetch(self.version, limits.long_poll_timeout);
        let fetched = timeout(limits.call_timeout, fetch)
            .await
            .unwrap_or(Err(CallError::Timeout));
        self.trace_call(&fetched, started_at.elapsed());
        let update = fetched?;
        if !self.follows_known_version(&update) {
            // Keeping a version that discovery no longer knows would fail every further call.
            let known = self.version.take().unwrap_or(0);
            return Err(CallError::DoesNotFollow {
                version: update.version,
                known,
            });
        }
        self.version = Some(update.version);
        self.logged_error = None;
        Ok(update)
    }

    fn follows_known_version(&self, update: &EndpointUpdate) -> bool {
        match self.version {
            Some(known) => update.version >= known,
            None => update.full,
        }
    }

    fn trace_call(&self, fetched: &Result<EndpointUpdate, CallError>, took: Duration) {
        let took_ms = took.as_millis() as u64;
        match fetched {
            Ok(update) => tracing::debug!(
                since = self.version,
                version = update.version,
                full = update.full,
                endpoints = update.endpoints.len(),
                took_ms,
                "discovery responded"
            ),
            Err(error) => {
                tracing::debug!(since = self.version, %error, took_ms, "discovery call failed")
            }
        }
    }
}

/// The failure that is reported to the consumer for an error.
fn call_failure(error: &CallError) -> CallFailure {
    match error {
        CallError::Rejected(_) => CallFailure::Rejected,
        _ => CallFailure::Failed,
    }
}
