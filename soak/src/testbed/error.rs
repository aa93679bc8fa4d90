//! Why the testbed of a run could not be built.
use crate::balancer::BalancerError;
use crate::ids::{BalancerId, UpstreamId};
use std::io;

/// Why the testbed of a run could not be built.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// An upstream cannot listen.
    #[error("cannot start upstream {upstream}: {source}")]
    Upstream {
        /// The upstream.
        upstream: UpstreamId,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// An agent of discovery cannot listen.
    #[error("cannot start discovery for balancer {balancer}: {source}")]
    Discovery {
        /// The balancer.
        balancer: BalancerId,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A balancer cannot be prepared.
    #[error("cannot prepare balancer {balancer}: {source}")]
    Balancer {
        /// The balancer.
        balancer: BalancerId,
        /// The cause.
        #[source]
        source: BalancerError,
    },
}
