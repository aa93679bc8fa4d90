//! Surplus responses of upstreams, and the clients that got one.
use crate::ids::{BalancerId, UpstreamId};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// A surplus response that is at least this late may reach one client before its balancer knows that the upstream sends
/// such responses.
const MIN_UNDETECTED_DELAY: Duration = Duration::from_millis(10);

/// One process of a balancer, by the number of processes before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BalancerProcess {
    balancer: BalancerId,
    number: usize,
}

/// A surplus response.
#[derive(Clone, Copy, Debug)]
struct SurplusResponse {
    upstream: UpstreamId,
    /// Time between the response and this one.
    delay: Duration,
}

/// Surplus responses, and which processes have passed one on.
#[derive(Debug, Default)]
pub(super) struct SurplusResponses {
    /// By the id of the request that the response belongs to.
    sent: HashMap<String, SurplusResponse>,
    process_counts: HashMap<BalancerId, usize>,
    passed_on: HashSet<(UpstreamId, BalancerProcess)>,
}

impl SurplusResponses {
    /// A process of a balancer starts.
    pub(super) fn record_process_start(&mut self, balancer: BalancerId) {
        *self.process_counts.entry(balancer).or_default() += 1;
    }

    /// An upstream sends the response to a request again.
    pub(super) fn record_sent(&mut self, request_id: &str, upstream: UpstreamId, delay: Duration) {
        let surplus = SurplusResponse { upstream, delay };
        self.sent.insert(request_id.to_string(), surplus);
    }

    /// A client got the response to the request `source`. Returns whether it may have: it was a late surplus response, the
    /// first from this upstream that the balancer's process has passed on.
    pub(super) fn record_passed_on(&mut self, source: &str, balancer: BalancerId) -> bool {
        let Some(surplus) = self.sent.get(source) else {
            return false;
        };
        let number = self.process_counts.get(&balancer).copied().unwrap_or(0);
        let process = BalancerProcess { balancer, number };
        surplus.delay >= MIN_UNDETECTED_DELAY && self.passed_on.insert((surplus.upstream, process))
    }
}
