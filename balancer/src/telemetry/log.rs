//! Plain log lines, and structured events that report what happened to each request.
use std::str::FromStr;
use thiserror::Error;
use tracing::Level;

/// The environment variable that turns structured events on.
const LEVEL_VARIABLE: &str = "NODE_LOG";

/// Where a balancer's plain log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// To standard error, one line each.
    #[default]
    StandardError,
    /// Nowhere: thousands of balancers in one process would repeat the same line.
    Discard,
}

impl LogOutput {
    /// Writes one line.
    pub fn write_line(self, line: &str) {
        match self {
            LogOutput::StandardError => eprintln!("{line}"),
            LogOutput::Discard => {}
        }
    }
}

/// The value of [`LEVEL_VARIABLE`] is no level.
#[derive(Debug, PartialEq, Eq, Error)]
#[error(
    "{variable}: {0:?} is no level; there are error, warn, info, debug and trace",
    variable = LEVEL_VARIABLE
)]
struct UnknownLevel(String);

fn parse_level(level: &str) -> Result<Level, UnknownLevel> {
    Level::from_str(level).map_err(|_| UnknownLevel(level.to_string()))
}

/// Writes structured events as JSON lines to standard error, if the environment asks for them. At
/// `debug` there is one for each request, attempt, closed connection and call to discovery; without
/// the variable there are none.
pub fn start_events(name: &str) {
    let level = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    if level.is_empty() {
        return;
    }
    match parse_level(&level) {
        Ok(level) => {
            let subscriber = tracing_subscriber::fmt()
                .json()
                .with_max_level(level)
                .with_writer(std::io::stderr)
                .finish();
            // Fails only for a second subscriber in the same process; the first one stays.
            let _ = tracing::subscriber::set_global_default(subscriber);
        }
        Err(unknown) => eprintln!("{name}: {unknown}"),
    }
}

#[cfg(test)]
mod tests;
