//! Runs work that may block on the disk on threads of its own.
//!
//! The loop learns of the end of a job by the end of a pipe that the job holds open: closing it
//! cannot fail in a way that would lose the event.
use crate::net::retry_io::retry_io;
use crate::net::watched_descriptor::WatchedDescriptor;
use std::io::{self, PipeReader, PipeWriter};
use std::sync::mpsc::{sync_channel, Receiver, TryRecvError};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// How long the descriptors and the thread of a job are asked for again while the system is short
/// of them.
const START_RETRY_LIMIT: Duration = Duration::from_millis(500);

/// Why a job has no result.
#[derive(Debug, Error)]
pub enum DiskWorkerError {
    /// The system did not provide what the job needs. The job did not run.
    #[error("no job for the disk could be started: {0}")]
    NotStarted(#[from] io::Error),
    /// The job panicked.
    #[error("a job for the disk failed")]
    Panicked,
}

/// Runs one job on a thread of its own, and waits for its result without blocking the loop. A job
/// that the disk holds up delays no other.
pub async fn run_on_disk_thread<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, DiskWorkerError> {
    let (pipe_reader, pipe_writer) = retry_io(START_RETRY_LIMIT, open_pipe).await?;
    let (result_sender, result_receiver) = sync_channel(1);
    let mut job = Some(move || {
        // Dropped last, and so after the result was sent, even if the work panics.
        let _pipe_writer = pipe_writer;
        let result_sender = result_sender;
        // Fails if nothing waits for the result any more.
        let _ = result_sender.send(work());
    });
    retry_io(START_RETRY_LIMIT, || start_thread(&mut job)).await?;
    pipe_reader
        .read(|_| take_result(&result_receiver))
        .await?
        .ok_or(DiskWorkerError::Panicked)
}

/// The loop's end of a pipe, which it watches, and the end that a job holds open.
fn open_pipe() -> io::Result<(WatchedDescriptor<PipeReader>, PipeWriter)> {
    let (reader, writer) = io::pipe()?;
    Ok((WatchedDescriptor::new(reader)?, writer))
}

/// Starts a thread that takes the job. Without a thread the job stays where it is.
fn start_thread<J: FnOnce() + Send + 'static>(job: &mut Option<J>) -> io::Result<()> {
    let (job_sender, job_receiver) = sync_channel(1);
    thread::Builder::new()
        .name("disk".to_string())
        .spawn(move || job_receiver.into_iter().for_each(|job: J| job()))?;
    if let Some(job) = job.take() {
        // The thread waits for it.
        let _ = job_sender.send(job);
    }
    Ok(())
}

/// The result of a job whose pipe has ended; `None` if it has none. Fails with `WouldBlock` before.
fn take_result<T>(result_receiver: &Receiver<T>) -> io::Result<Option<T>> {
    match result_receiver.try_recv() {
        Ok(result) => Ok(Some(result)),
        Err(TryRecvError::Empty) => Err(io::ErrorKind::WouldBlock.into()),
        Err(TryRecvError::Disconnected) => Ok(None),
    }
}

#[cfg(test)]
mod tests;
