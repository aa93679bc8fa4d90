//! What ends a balancer.
use super::BalancerProcess;

/// What ends a balancer.
#[derive(Clone, Copy, Debug)]
pub enum Ending {
    Terminate,
    /// A pause by operators, and SIGTERM.
    PauseAndTerminate,
    /// SIGTERM while another process of the balancer serves.
    Upgrade,
}

/// All endings.
pub const ENDINGS: [Ending; 3] = [
    Ending::Terminate,
    Ending::PauseAndTerminate,
    Ending::Upgrade,
];

impl Ending {
    /// Ends a balancer. Returns its successor, if there is one, which `start` starts.
    pub fn end(
        self,
        balancer: &BalancerProcess,
        start: impl Fn() -> BalancerProcess,
    ) -> Option<BalancerProcess> {
        let successor = match self {
            Ending::Terminate => None,
            Ending::PauseAndTerminate => {
                assert!(balancer.call_admin(b"PAUSE\n").starts_with("YES"));
                None
            }
            Ending::Upgrade => Some(start()),
        };
        balancer.terminate();
        successor
    }
}
