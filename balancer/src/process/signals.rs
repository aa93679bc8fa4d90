//! The signals that the process catches.
use crate::process::program_error::ProgramError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the process catches.
pub struct Signals {
    /// Reloads the configuration.
    pub hangup: Signal,
    /// Shuts the process down.
    pub shutdown: ShutdownSignals,
}

/// The signals that shut the process down.
pub struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Catches the signals from now on.
    pub fn catch() -> Result<Signals, ProgramError> {
        Ok(Signals {
            hangup: catch(SignalKind::hangup())?,
            shutdown: ShutdownSignals {
                terminate: catch(SignalKind::terminate())?,
                interrupt: catch(SignalKind::interrupt())?,
            },
        })
    }
}

impl ShutdownSignals {
    /// Waits for one of the signals.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn catch(kind: SignalKind) -> Result<Signal, ProgramError> {
    signal(kind).map_err(ProgramError::Signals)
}
