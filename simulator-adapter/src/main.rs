//! Hosts balancer-core instances on the simulator's wire: batches of events on standard input, replies on standard
//! output.
mod host;
mod wire;

use host::{BatchError, Host};
use std::io::{self, Write};
use std::process::ExitCode;
use thiserror::Error;
use wire::WireError;

/// Why the adapter ended before its input.
#[derive(Debug, Error)]
enum AdapterError {
    /// A frame cannot be read.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A record cannot be handled.
    #[error("frame {frame}, {source}")]
    Batch { frame: u64, source: BatchError },
    /// Standard output failed.
    #[error("writing the reply: {0}")]
    Write(#[source] io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until standard input ends.
fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut frame = 0;
    while let Some(bytes) = wire::read_frame(&mut input, frame)? {
        let batch = wire::decode_batch(&bytes, frame)?;
        let reply = host
            .handle_batch(batch)
            .map_err(|source| AdapterError::Batch { frame, source })?;
        output.write_all(&reply).map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
        frame += 1;
    }
    Ok(())
}
