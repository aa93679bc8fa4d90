//! How balancers learn of the endpoint list.

/// How balancers learn of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent beside each balancer holds the list and pushes changes.
    Push,
    /// Balancers poll discovery, which serves all of them from one queue.
    Poll,
}

impl DiscoveryMode {
    /// The name of this mode in a balancer's settings.
    pub fn settings_name(self) -> &'static str {
        match self {
            DiscoveryMode::Push => "pushed",
            DiscoveryMode::Poll => "on_request",
        }
    }
}
