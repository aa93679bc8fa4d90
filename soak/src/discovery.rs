//! A stand-in for discovery: one endpoint list, and agents that each balancer reaches on ports of its own, so that the
//! run knows which balancer was notified of which changes, and when.
mod agent;
mod condition;
mod endpoint_list;
mod queue;
mod state;

pub use condition::{DiscoveryCondition, DiscoveryFaults};
pub use endpoint_list::EndpointState;

use crate::discovery_mode::DiscoveryMode;
use crate::ids::{BalancerId, UpstreamId};
use crate::observations::{NoticeSource, Observations, UnavailabilityCause, UpstreamUse};
use crate::recorder::Recorder;
use endpoint_list::EndpointList;
use queue::RequestQueue;
use state::State;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after a reload within which the new address of discovery sends the complete list.
const RELOAD_NOTIFICATION_DEADLINE: Duration = Duration::from_secs(4);

/// The endpoint list and its agents.
pub struct Discovery {
    mode: DiscoveryMode,
    state: Mutex<State>,
    /// Wakes requests that wait for a change of the list or of discovery's condition. Holds the list's version.
    changes: watch::Sender<u64>,
    recorder: Arc<Recorder>,
}

impl Discovery {
    /// Creates a discovery whose list contains these upstreams, active and past their slow start.
    ///
    /// In poll mode, one request that starts a watch or wants a snapshot takes `service_time`.
    pub fn new(
        mode: DiscoveryMode,
        upstreams: &[SocketAddr],
        balancers: usize,
        service_time: Duration,
        recorder: Arc<Recorder>,
    ) -> Discovery {
        let now = Instant::now();
        let list = EndpointList::new(upstreams, now);
        let changes = watch::Sender::new(list.version());
        let queue = RequestQueue::new(service_time, now);
        let state = State::new(list, queue, balancers, now);
        Discovery {
            mode,
            state: Mutex::new(state),
            changes,
            recorder,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the condition of discovery. It also applies to requests that are waiting.
    pub fn set_condition(&self, condition: DiscoveryCondition) {
        self.state().set_condition(condition);
        self.changes.send_modify(|_| ());
    }

    /// Sets the faults in responses from now on.
    pub fn set_faults(&self, faults: DiscoveryFaults) {
        self.state().set_faults(faults);
    }

    /// Sends no more updates to the watches that are open now.
    pub fn silence_watches(&self) {
        self.state().silence_watches();
    }

    /// Changes the state of an upstream in the list.
    pub fn set_endpoint_state(&self, upstream: UpstreamId, endpoint_state: EndpointState) {
        let version = self.state().list.set_state(upstream, endpoint_state);
        self.changes.send_replace(version);
    }

    /// Lists an upstream as active that has started at this time, in milliseconds since the Unix epoch.
    pub fn set_endpoint_started(&self, upstream: UpstreamId, started_at_unix_ms: u64) {
        let version = self.state().list.set_started(upstream, started_at_unix_ms);
        self.changes.send_replace(version);
    }

    /// Notes that a balancer's process starts now.
    pub fn balancer_started(&self, balancer: BalancerId) {
        self.state()
            .set_list_available_from(balancer, Instant::now());
    }

    /// Notes that a balancer is asked to use another address, from which it may take some time to get the list.
    pub fn balancer_reloaded(&self, balancer: BalancerId) {
        let list_available_from = Instant::now() + RELOAD_NOTIFICATION_DEADLINE;
        self.state()
            .set_list_available_from(balancer, list_available_from);
    }

    /// The complete list for the start of a balancer, which is considered notified of it from now on.
    pub fn snapshot(&self, balancer: BalancerId) -> String {
        let state = self.state();
        self.record_notified(&state.list, balancer, NoticeSource::StartupList);
        state.list.snapshot()
    }

    /// The complete list for a successor process.
    ///
    /// The process that it replaces does not get this list. So the balancer is considered notified of the active endpoints
    /// only, not of those that are unavailable.
    pub fn snapshot_for_successor(&self, balancer: BalancerId) -> String {
        let state = self.state();
        let mut observations = self.recorder.lock();
        for (upstream, entry) in state.list.entries() {
            if entry.is_active() {
                observations.record_available(upstream_use(balancer, upstream), Instant::now());
            }
        }
        state.list.snapshot()
    }

    /// The current list for a balancer: the changes since a version, or a snapshot without one.
    fn list_for(&self, balancer: BalancerId, since_version: Option<u64>) -> String {
        let state = self.state();
        self.record_notified(&state.list, balancer, NoticeSource::ListResponse);
        match since_version {
            Some(version) => state.list.delta(version),
            None => state.list.snapshot(),
        }
    }

    /// Records that a balancer is considered notified of the list from now on.
    fn record_notified(&self, list: &EndpointList, balancer: BalancerId, source: NoticeSource) {
        let now = Instant::now();
        let mut observations = self.recorder.lock();
        for (upstream, entry) in list.entries() {
            let notified_at = now.max(entry.changed_at());
            let upstream_use = upstream_use(balancer, upstream);
            if entry.is_active() {
                observations.record_available(upstream_use, notified_at);
            } else {
                observations.record_unavailable(upstream_use, notified_at, source);
            }
        }
    }

    /// Records the changes whose notification is overdue: balancers are considered notified of them even if no list has
    /// arrived. The run calls this at short intervals.
    pub fn record_overdue_notifications(&self) {
        let state = self.state();
        if !state.condition.is_up() {
            return;
        }
        let mut observations = self.recorder.lock();
        for balancer in state.balancer_ids() {
            self.record_overdue_notifications_of(&state, &mut observations, balancer);
        }
    }

    fn record_overdue_notifications_of(
        &self,
        state: &State,
        observations: &mut Observations,
        balancer: BalancerId,
    ) {
        let now = Instant::now();
        for (upstream, entry) in state.list.entries() {
            let due_at = state.notification_due_at(self.mode, balancer, entry.changed_at());
            if now >= due_at && !entry.is_active() {
                observations.record_unavailable(
                    upstream_use(balancer, upstream),
                    due_at,
                    NoticeSource::Deadline,
                );
            }
        }
    }
}

/// The use of an upstream by a balancer, as the endpoint list restricts it.
fn upstream_use(balancer: BalancerId, upstream: UpstreamId) -> UpstreamUse {
    UpstreamUse {
        balancer,
        upstream,
        cause: UnavailabilityCause::EndpointList,
    }
}
