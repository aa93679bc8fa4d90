//! How long calls to discovery may take.
use std::time::Duration;

/// Discovery counts a balancer as notified of a change this long after discovery could be reached. A call of the
/// balancer has to succeed within this time, even after a call without response, a malformed response or a pause.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Upper limit of the core's `poll_acknowledge_timeout` at real discovery. The core pauses for up to a third of that
/// setting between two calls of which the first failed, so that both calls fit into [`NOTIFICATION_DEADLINE`].
pub const POLL_ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(3);
const _: () = assert!(
    NOTIFICATION_DEADLINE.as_millis() == 2 * POLL_ACKNOWLEDGE_TIMEOUT.as_millis(),
    "the poll acknowledge timeout is half of the notification deadline"
);

/// How endpoint updates reach this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateMode {
    /// An agent on this machine receives updates. The balancer keeps a watch open at the agent at all times.
    Pushed,
    /// Discovery has to be polled when the core requests it.
    Polled,
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The complete list, as no version is known.
    Snapshot,
    /// The first call of a watch.
    FirstOfWatch,
    /// A further call of a watch that is established.
    NextOfWatch,
}

/// The limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// How long discovery may hold the call until something changes.
    pub long_poll_timeout: Duration,
    /// How long after its start the call counts as failed.
    pub call_timeout: Duration,
}

/// Time limits of the calls. Discovery holds a call of a watch until something changes. As long as discovery may hold
/// the call, a broken watch looks the same as one without changes.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// How long discovery may hold a call of a watch.
    long_poll_timeout: Duration,
    /// The same for the first call of a watch, to which discovery responds immediately if there are changes.
    initial_long_poll_timeout: Duration,
    /// Time for the response after `long_poll_timeout`.
    response_timeout: Duration,
    /// Total time of the first call of a watch.
    initial_call_timeout: Duration,
    /// Total time of a call for the complete list.
    snapshot_timeout: Duration,
    /// Total time of a call after discovery has migrated to another address.
    migration_timeout: Duration,
}

impl CallTimeouts {
    /// The agent that receives pushed updates is on this machine: calls to it are fast and put no load on discovery.
    const PUSHED: CallTimeouts = CallTimeouts {
        long_poll_timeout: Duration::from_secs(1),
        initial_long_poll_timeout: Duration::from_secs(1),
        response_timeout: Duration::from_millis(500),
        initial_call_timeout: Duration::from_millis(1500),
        snapshot_timeout: Duration::from_millis(500),
        migration_timeout: Duration::from_millis(500),
    };
    /// Polled discovery serves all balancers from one queue. The first call of a watch waits in that queue; abandoning
    /// it early wastes the work done for it, and if every balancer did so, discovery would serve nobody. A broken
    /// watch, the longest first pause of the core (0.4 s) and a call in the queue take 5.7 s of
    /// [`NOTIFICATION_DEADLINE`]; two calls in the queue with that pause between them take 6 s.
    const POLLED: CallTimeouts = CallTimeouts {
        long_poll_timeout: Duration::from_millis(1500),
        initial_long_poll_timeout: Duration::from_millis(50),
        response_timeout: Duration::from_secs(1),
        initial_call_timeout: Duration::from_millis(2800),
        snapshot_timeout: Duration::from_millis(2800),
        migration_timeout: Duration::from_millis(2200),
    };

    /// The time limits for an update mode.
    pub fn of(mode: UpdateMode) -> CallTimeouts {
        match mode {
            UpdateMode::Pushed => CallTimeouts::PUSHED,
            UpdateMode::Polled => CallTimeouts::POLLED,
        }
    }

    /// The limits of a call.
    pub fn limits(&self, kind: CallKind) -> CallLimits {
        match kind {
            CallKind::Snapshot => CallLimits {
                long_poll_timeout: Duration::ZERO,
                call_timeout: self.snapshot_timeout,
            },
            CallKind::FirstOfWatch => CallLimits {
                long_poll_timeout: self.initial_long_poll_timeout,
                call_timeout: self.initial_call_timeout,
            },
            CallKind::NextOfWatch => CallLimits {
                long_poll_timeout: self.long_poll_timeout,
                call_timeout: self.long_poll_timeout + self.response_timeout,
            },
        }
    }

    /// The limits of a call after discovery has migrated. The call is for the complete list, so discovery does not hold
    /// it.
    pub fn migration_limits(&self) -> CallLimits {
        CallLimits {
            long_poll_timeout: Duration::ZERO,
            call_timeout: self.migration_timeout,
        }
    }
}
