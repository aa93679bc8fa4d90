//! Plain log lines, and structured events that report what happened to each request.
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::fmt::Arguments;
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::str::FromStr;
use thiserror::Error;
use tracing::Level;

/// The environment variable that turns on structured events and sets their level.
const LEVEL_VARIABLE: &str = "NODE_LOG";
/// `PIPE_BUF` of Linux, in bytes: a pipe that polls as writable has space for this many.
const PIPE_BUF: usize = 4096;

/// Writes one line to standard error, with the arguments of [`format!`].
macro_rules! log_line {
    ($($argument:tt)*) => {
        $crate::telemetry::log::write_line(format_args!($($argument)*))
    };
}
pub(crate) use log_line;

/// Writes one line to standard error. A line that cannot be written is lost: `eprintln!` would panic
/// if standard error is a pipe without a reader, or a file on a full disk.
pub(crate) fn write_line(line: Arguments<'_>) {
    // One write for the whole line, up to `PIPE_BUF` bytes, so that lines of several processes do
    // not mix.
    let line = format!("{line}\n");
    let _ = LogWriter.write_all(line.as_bytes());
}

/// Writes to standard error without blocking: output for which a pipe has no space, because nobody
/// reads it, is lost.
struct LogWriter;

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !is_writable(io::stderr().as_fd()) {
            return Ok(bytes.len());
        }
        let chunk = &bytes[..bytes.len().min(PIPE_BUF)];
        io::stderr().write(chunk)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a write of [`PIPE_BUF`] bytes does not block. If the system cannot tell, the write is
/// tried.
fn is_writable(descriptor: BorrowedFd<'_>) -> bool {
    let mut polled = [PollFd::new(descriptor, PollFlags::POLLOUT)];
    let is_ready = poll(&mut polled, PollTimeout::ZERO).map(|ready| ready > 0);
    is_ready.unwrap_or(true)
}

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
            LogOutput::StandardError => log_line!("{line}"),
            LogOutput::Discard => {}
        }
    }
}

/// The value of [`LEVEL_VARIABLE`] is not a log level.
#[derive(Debug, PartialEq, Eq, Error)]
#[error(
    "{variable}: {0:?} is not a log level; the levels are error, warn, info, debug and trace",
    variable = LEVEL_VARIABLE
)]
struct UnknownLevel(String);

fn parse_level(level: &str) -> Result<Level, UnknownLevel> {
    Level::from_str(level).map_err(|_| UnknownLevel(level.to_string()))
}

/// From now on, writes structured events as JSON lines to standard error, if the variable `NODE_LOG`
/// is set. At the level `debug` there is one event for each request, attempt, closed connection and
/// call to discovery. An unknown level is logged after the balancer's `name`, and no events are
/// written.
pub fn init_event_log(name: &str) {
    let level = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    if level.is_empty() {
        return;
    }
    match parse_level(&level) {
        Ok(level) => {
            let subscriber = tracing_subscriber::fmt()
                .json()
                .with_max_level(level)
                .with_writer(|| LogWriter)
                // An event that cannot be written is lost; reporting that would panic.
                .log_internal_errors(false)
                .finish();
            // Fails only for a second subscriber in the same process; the first one stays.
            let _ = tracing::subscriber::set_global_default(subscriber);
        }
        Err(unknown) => log_line!("{name}: {unknown}"),
    }
}

#[cfg(test)]
mod tests;
