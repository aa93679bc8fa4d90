//! The signals that a run sends to balancers.
use std::process::Command;

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM, which starts a graceful shutdown.
    Terminate,
    /// SIGHUP, which reloads the configuration.
    Hangup,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

impl Signal {
    /// The option of the `kill` program that selects this signal.
    fn kill_option(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Hangup => "-HUP",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }

    /// Sends the signal to a process. A failure is ignored: the process may have exited.
    pub(super) fn send(self, process_id: u32) {
        let _ = Command::new("kill")
            .args([self.kill_option(), &process_id.to_string()])
            .status();
    }
}
