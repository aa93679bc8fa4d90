//! Where log lines go.

/// Where a balancer's log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Log {
    /// To standard error, one line each.
    #[default]
    StandardError,
    /// Nowhere: thousands of balancers in one process would flood the log with the same line.
    Discard,
}

impl Log {
    /// Writes one line.
    pub fn line(self, line: &str) {
        match self {
            Log::StandardError => eprintln!("{line}"),
            Log::Discard => {}
        }
    }
}
