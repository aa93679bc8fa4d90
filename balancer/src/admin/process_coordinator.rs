//! Handoff between two processes of one balancer during an upgrade.
use crate::admin::override_error::OverrideChangeError;
use crate::admin::override_store::ProcessLock;
use crate::admin::override_sync::OverrideSync;
use crate::admin::shared_claims::SharedClaims;
use crate::control::driver::DriverHandle;
use crate::control::request_claims::RequestClaims;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::phase::Phase;
use crate::telemetry::log::log_line;
use crate::time::{sleep, timeout};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Interval between reads of the store. It is much shorter than the grace period of a suspension.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a process that shuts down waits for the read that shows whether it has a successor.
const SUCCESSOR_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a process that starts waits until the system can read the overrides.
const OVERRIDE_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a process that starts beside another one waits for its first endpoint list if lists are pushed. Its agent
/// responds immediately, or not until discovery is available again.
pub const PUSHED_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// The same if lists are polled: 2 s, after which discovery may reject a call that waits in its queue, and 6 s, within
/// which a balancer receives its list once discovery can serve it. Without a new list this process would start on the
/// cached one, although changes that the old process was notified of in the meantime count as notified to this one too.
/// It must be ready within 10 s.
pub const POLLED_LIST_TIMEOUT: Duration = Duration::from_secs(8);

/// Coordinates this process with a predecessor and a successor.
pub struct ProcessCoordinator {
    driver: DriverHandle,
    descriptors: DescriptorBudget,
    phase: Rc<watch::Sender<Phase>>,
    overrides: Rc<OverrideSync>,
    claims: Rc<SharedClaims>,
    /// How long this process waits for its first endpoint list if another process is serving.
    endpoint_list_timeout: Duration,
    /// This process's number among those of this balancer; zero until it is registered.
    process_number: Cell<u64>,
    /// Held once no other process of this balancer runs.
    process_lock: RefCell<Option<ProcessLock>>,
    /// Whether this process has left half of its descriptors to a successor.
    has_yielded_descriptors: Cell<bool>,
    /// Whether a successor knows what this process has in flight.
    has_published_claims: Cell<bool>,
    /// Whether this process may hold the process lock: true until it starts to drain without a successor.
    may_hold_process_lock: Cell<bool>,
}

impl ProcessCoordinator {
    /// A coordinator for a process that is not registered yet.
    pub fn new(
        driver: DriverHandle,
        descriptors: DescriptorBudget,
        phase: Rc<watch::Sender<Phase>>,
        overrides: Rc<OverrideSync>,
        claims: Rc<SharedClaims>,
        endpoint_list_timeout: Duration,
    ) -> Rc<ProcessCoordinator> {
        Rc::new(ProcessCoordinator {
            driver,
            descriptors,
            phase,
            overrides,
            claims,
            endpoint_list_timeout,
            process_number: Cell::new(0),
            process_lock: RefCell::default(),
            has_yielded_descriptors: Cell::new(false),
            has_published_claims: Cell::new(false),
            may_hold_process_lock: Cell::new(true),
        })
    }

    /// The claims of requests that no other process may run.
    pub fn claims(&self) -> Rc<dyn RequestClaims> {
        self.claims.clone()
    }

    /// Prepares for serving: applies the stored overrides. If another process is serving, leaves it half of the
    /// descriptors and waits for the first endpoint list. Returns once this process may listen.
    pub async fn prepare_to_serve(&self) {
        let deadline = Instant::now() + OVERRIDE_READ_TIMEOUT;
        while !self.overrides.refresh().await && Instant::now() < deadline {
            sleep(REFRESH_INTERVAL).await;
        }
        if !self.lock_or_detect_other_process(deadline).await {
            return;
        }
        log_line!("another process of this balancer is serving");
        self.claims.begin_beside_predecessor();
        self.descriptors.yield_half().await;
        // If no list arrives within `endpoint_list_timeout`, the cached one is used.
        let _ = timeout(
            self.endpoint_list_timeout,
            self.wait_for_endpoints_or_lock(),
        )
        .await;
    }

    /// Takes the process lock. Returns whether another process holds it. If the system cannot tell before `deadline`,
    /// returns false: other processes are not detected, and this one starts as if it were alone.
    async fn lock_or_detect_other_process(&self, deadline: Instant) -> bool {
        loop {
            match self.try_lock_process().await {
                Ok(has_lock) => return !has_lock,
                Err(error) if Instant::now() >= deadline => {
                    log_line!(
                        "cannot take the process lock: {error}: other processes are not detected"
                    );
                    return false;
                }
                Err(_) => sleep(REFRESH_INTERVAL).await,
            }
        }
    }

    /// Waits until discovery has confirmed or updated the endpoint list. If the other process ends earlier, takes the
    /// process lock and the whole descriptor budget, and returns.
    async fn wait_for_endpoints_or_lock(&self) {
        while timeout(REFRESH_INTERVAL, self.driver.discovery_responded())
            .await
            .is_err()
        {
            if matches!(self.try_lock_process().await, Ok(true)) {
                self.end_sharing().await;
                return;
            }
        }
    }

    /// Starts to serve: reports it to the predecessor, enters the serving phase, and follows the other processes from
    /// now on.
    pub async fn serve(self: &Rc<ProcessCoordinator>) {
        if let Err(error) = self.register().await {
            log_line!("cannot register this process: {error}: will be retried");
        }
        let phase = if self.overrides.is_paused() {
            Phase::Paused
        } else {
            Phase::Serving
        };
        self.phase.send_replace(phase);
        tokio::task::spawn_local(self.clone().follow_other_processes());
    }

    /// Whether another process of this balancer has started to serve after this one. A slow disk delays the answer by
    /// at most [`SUCCESSOR_CHECK_TIMEOUT`]. The successor then knows what this process has in flight, which may end soon.
    pub async fn check_for_successor(&self) -> bool {
        let _ = timeout(SUCCESSOR_CHECK_TIMEOUT, self.overrides.refresh()).await;
        self.prepare_successor().await;
        self.has_successor()
    }

    /// Leaves half of the limits to a successor if there is one, and tells it what this process has in flight.
    async fn prepare_successor(&self) {
        if self.has_successor() {
            self.yield_to_successor();
            self.publish_claims().await;
        }
    }

    /// Counts this process among those of this balancer that serve.
    async fn register(&self) -> Result<(), OverrideChangeError> {
        self.overrides
            .change(|overrides| overrides.register_process())
            .await?;
        self.process_number.set(self.overrides.started_processes());
        self.claims.record_registered(self.process_number.get());
        Ok(())
    }

    fn is_registered(&self) -> bool {
        self.process_number.get() > 0
    }

    fn has_successor(&self) -> bool {
        self.is_registered() && self.overrides.started_processes() > self.process_number.get()
    }

    /// Applies overrides that were set at another process, and detects when such a process starts or ends.
    async fn follow_other_processes(self: Rc<ProcessCoordinator>) {
        loop {
            sleep(REFRESH_INTERVAL).await;
            self.overrides.refresh().await;
            if !self.is_registered() {
                // The directory could not be written when this process started to serve. Until this process is
                // registered, the predecessor does not know of it and keeps its own clients.
                let _ = self.register().await;
            }
            let holds_process_lock = self.process_lock.borrow().is_some();
            let may_lock = !holds_process_lock && self.may_hold_process_lock.get();
            if may_lock && matches!(self.try_lock_process().await, Ok(true)) {
                self.end_sharing().await;
            }
            self.prepare_successor().await;
        }
    }

    /// Leaves half of the limits to a successor.
    fn yield_to_successor(&self) {
        if self.has_yielded_descriptors.replace(true) {
            return;
        }
        self.descriptors.begin_sharing();
        let descriptors = self.descriptors.clone();
        tokio::task::spawn_local(async move { descriptors.yield_half_while_shared().await });
    }

    /// Tells a successor which requests it must not run. Requests that are accepted from now on are claimed one by one.
    async fn publish_claims(&self) {
        if self.has_published_claims.get() {
            return;
        }
        let ids = self.driver.unrepeatable_requests();
        let successor = self.overrides.started_processes();
        let is_published = self.claims.publish(ids, successor).await;
        self.has_published_claims.set(is_published);
    }

    /// No other process runs any more: takes over its claims and its half of the limits.
    async fn end_sharing(&self) {
        self.driver.remember_departed(self.claims.take_all().await);
        self.descriptors.reclaim();
    }

    /// Takes the process lock unless another process holds it. Returns whether this process now holds it. Fails if the
    /// system cannot tell.
    async fn try_lock_process(&self) -> io::Result<bool> {
        let lock = self.overrides.try_lock_process().await?;
        let lock = lock.filter(|_| self.may_hold_process_lock.get());
        let has_lock = lock.is_some();
        *self.process_lock.borrow_mut() = lock;
        Ok(has_lock)
    }

    /// Releases the process lock for good. To be called once this process accepts no more clients, if it has no
    /// successor: a process that starts from then on serves without waiting for this one.
    pub fn release_process_lock(&self) {
        self.may_hold_process_lock.set(false);
        self.process_lock.take();
    }
}
