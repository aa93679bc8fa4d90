//! Where log lines go, and the structured events that tell what became of each request.
use std::fmt;
use std::str::FromStr;
use tracing::Level;

/// The environment variable that turns structured events on.
const LEVEL: &str = "NODE_LOG";

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

/// What [`LEVEL`] may not say.
#[derive(Debug, PartialEq, Eq)]
struct UnknownLevel(String);

impl fmt::Display for UnknownLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{LEVEL}: {:?} is no level; there are error, warn, info, debug and trace",
            self.0
        )
    }
}

fn parse(level: &str) -> Result<Level, UnknownLevel> {
    Level::from_str(level).map_err(|_| UnknownLevel(level.to_string()))
}

/// Writes structured events as JSON lines to standard error, if the environment asks for them. At `debug` there is one
/// for each request, attempt, closed connection and call to discovery; without the variable there are none.
pub fn start_events(name: &str) {
    let Some(level) = std::env::var(LEVEL).ok().filter(|level| !level.is_empty()) else {
        return;
    };
    match parse(&level) {
        Ok(level) => {
            let subscriber = tracing_subscriber::fmt()
                .json()
                .with_max_level(level)
                .with_writer(std::io::stderr)
                .finish();
            // Only a second one in the same process is refused, and then the first one goes on.
            let _ = tracing::subscriber::set_global_default(subscriber);
        }
        Err(unknown) => eprintln!("{name}: {unknown}"),
    }
}

#[cfg(test)]
mod tests;
