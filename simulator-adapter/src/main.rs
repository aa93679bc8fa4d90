//! Connects balancer-core instances to the simulator: reads batches of events from standard input and writes replies
//! to standard output.
mod host;
mod wire;

use host::{BatchError, Host};
use std::io::{self, Write};
use std::process::ExitCode;
use thiserror::Error;
use wire::WireError;

/// Why the adapter stopped before the end of its input.
#[derive(Debug, Error)]
enum AdapterError {
    /// A frame cannot be read or decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A record cannot be handled.
    #[error("frame {frame}, {source}")]
    Batch { frame: u64, source: BatchError },
    /// Writing to standard output failed.
    #[error("cannot write the reply to standard output: {0}")]
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
