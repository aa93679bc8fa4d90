//! Surplus responses of upstreams, and the clients that got one.
use crate::ids::{BalancerId, UpstreamId};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Shortest delay of a surplus response that may reach a client: one response for each upstream and process of a
/// balancer, as the process does not yet know that the upstream sends such responses. A balancer must always detect a
/// surplus response with a shorter delay.
const MIN_UNDETECTED_DELAY: Duration = Duration::from_millis(10);

/// One process of a balancer. Its number is how many processes of the balancer have started when it passes on a
/// response; during an upgrade the old process has the number of its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BalancerProcess {
    balancer: BalancerId,
    number: usize,
}

/// A surplus response.
#[derive(Clone, Copy, Debug)]
struct SurplusResponse {
    upstream: UpstreamId,
    /// Time from the first response to the surplus one.
    delay: Duration,
}

/// Surplus responses, and the processes that have passed one on to a client.
#[derive(Debug, Default)]
pub(super) struct SurplusResponses {
    /// By the id of the request that the response belongs to.
    sent: HashMap<String, SurplusResponse>,
    process_counts: HashMap<BalancerId, usize>,
    /// The upstreams of which a process has already passed on a surplus response to a client.
    passed_on: HashSet<(UpstreamId, BalancerProcess)>,
}

impl SurplusResponses {
    /// Records that a process of a balancer starts.
    pub(super) fn record_process_start(&mut self, balancer: BalancerId) {
        *self.process_counts.entry(balancer).or_default() += 1;
    }

    /// Records that an upstream sends the response to a request again.
    pub(super) fn record_sent(&mut self, request_id: &str, upstream: UpstreamId, delay: Duration) {
        let surplus = SurplusResponse { upstream, delay };
        self.sent.insert(request_id.to_string(), surplus);
    }

    /// Records that another request got the response to the request `answered_request_id`. Returns whether that
    /// is allowed: it was a late surplus response, and the first from this upstream that the balancer's process has passed
    /// on.
    pub(super) fn record_passed_on(
        &mut self,
        answered_request_id: &str,
        balancer: BalancerId,
    ) -> bool {
        let Some(surplus) = self.sent.get(answered_request_id) else {
            return false;
        };
        let number = self.process_counts.get(&balancer).copied().unwrap_or(0);
        let process = BalancerProcess { balancer, number };
        surplus.delay >= MIN_UNDETECTED_DELAY && self.passed_on.insert((surplus.upstream, process))
    }
}
