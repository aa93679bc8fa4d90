//! The signals that the process handles, read from signal descriptors.
//!
//! The signals are blocked, so that the system keeps them pending until they are read. A failed
//! read is repeated, and loses no signal.
use crate::net::retry_io::retry_io;
use crate::net::watched_descriptor::WatchedDescriptor;
use crate::process::program_error::ProgramError;
use crate::telemetry::log::log_line;
use crate::time::sleep;
use nix::sys::signal::{SigSet, Signal};
use nix::sys::signalfd::{SfdFlags, SignalFd};
use std::io;
use std::time::Duration;

/// The signals that shut the process down.
const SHUTDOWN_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];
/// The signals that reload the configuration.
const RELOAD_SIGNALS: [Signal; 1] = [Signal::SIGHUP];
/// Pause after a read that failed.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The signals that the process handles.
pub struct Signals {
    /// Reload the configuration.
    pub reload: SignalStream,
    /// Shut the process down.
    pub shutdown: SignalStream,
}

impl Signals {
    /// Blocks the signals for this thread and the threads that it starts: from now on none of them
    /// ends the process, and each is kept pending until it is read.
    pub fn block() -> Result<(), ProgramError> {
        let handled: SigSet = RELOAD_SIGNALS.into_iter().chain(SHUTDOWN_SIGNALS).collect();
        handled
            .thread_block()
            .map_err(|error| ProgramError::Signals(error.into()))
    }

    /// Opens the descriptors from which the signals are read. If that fails for a transient reason,
    /// retries for up to `retry_limit`.
    pub async fn open(retry_limit: Duration) -> Result<Signals, ProgramError> {
        let open =
            |signals: &'static [Signal]| retry_io(retry_limit, || SignalStream::open(signals));
        Ok(Signals {
            reload: open(&RELOAD_SIGNALS).await.map_err(ProgramError::Signals)?,
            shutdown: open(&SHUTDOWN_SIGNALS)
                .await
                .map_err(ProgramError::Signals)?,
        })
    }
}

/// Some blocked signals, in the order in which they arrive.
pub struct SignalStream(WatchedDescriptor<SignalFd>);

impl SignalStream {
    fn open(signals: &[Signal]) -> io::Result<SignalStream> {
        let signals: SigSet = signals.iter().copied().collect();
        let flags = SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC;
        let descriptor = SignalFd::with_flags(&signals, flags)?;
        Ok(SignalStream(WatchedDescriptor::register_for_reading(
            descriptor,
        )?))
    }

    /// Waits for the next signal.
    pub async fn received(&self) {
        while let Err(error) = self.0.read(read_signal).await {
            log_line!("cannot read signals: {error}");
            sleep(READ_RETRY_DELAY).await;
        }
    }
}

fn read_signal(descriptor: &SignalFd) -> io::Result<()> {
    let signal = descriptor.read_signal()?;
    signal.map(drop).ok_or(io::ErrorKind::WouldBlock.into())
}
