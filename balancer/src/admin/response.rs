//! The responses of the admin protocol.
use crate::admin::command::CommandError;
use crate::admin::override_error::OverrideChangeError;
use std::fmt;
use thiserror::Error;

/// The response to a command that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// This process serves.
    Serving,
    /// This process serves, and is paused.
    ServingPaused,
    /// This balancer is paused from now on.
    Paused,
    /// The upstream is suspended.
    Suspended(String),
    /// The upstream is restored.
    Restored(String),
    /// The metrics, one per line.
    Metrics(String),
}

impl fmt::Display for AdminResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminResponse::Serving => f.write_str("YES serving\n"),
            AdminResponse::ServingPaused => {
                f.write_str("YES serving, paused: clients are sent away\n")
            }
            AdminResponse::Paused => f.write_str("YES paused\n"),
            AdminResponse::Suspended(upstream) => writeln!(f, "YES {upstream} is left out"),
            AdminResponse::Restored(upstream) => writeln!(f, "YES {upstream} is in use"),
            AdminResponse::Metrics(metrics) => writeln!(f, "{metrics}END"),
        }
    }
}

/// Why a command was not carried out.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The line is not a valid command.
    #[error("{0}")]
    Command(#[from] CommandError),
    /// This process does not serve yet.
    #[error("starting")]
    Starting,
    /// No endpoint list has arrived yet.
    #[error("no upstream is known yet")]
    NoUpstreams,
    /// This process shuts down.
    #[error("ending")]
    ShuttingDown,
    /// No upstream has this name.
    #[error("no upstream {0:?} is known")]
    UnknownUpstream(String),
    /// The change of the overrides was not stored.
    #[error("{0}")]
    Override(#[from] OverrideChangeError),
}

/// Formats a response as the admin protocol writes it.
pub fn to_wire(response: Result<AdminResponse, AdminError>) -> String {
    match response {
        Ok(response) => response.to_string(),
        Err(error) => format!("NO {error}\n"),
    }
}
