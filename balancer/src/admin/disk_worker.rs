//! Runs jobs that may block on the disk, each on a thread of its own.
//!
//! A job holds the writer of a pipe open and closes it when the job ends. The closed pipe notifies
//! the event loop. Closing the writer cannot fail in a way that would lose the notification.
use crate::net::retry_io::retry_io;
use crate::net::watched_descriptor::WatchedDescriptor;
use std::io::{self, PipeReader, PipeWriter};
use std::sync::mpsc::{sync_channel, Receiver, TryRecvError};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// How long to retry opening the pipe and starting the thread of a job while the system is short of
/// descriptors or threads.
const START_RETRY_LIMIT: Duration = Duration::from_millis(500);

/// Why a job has no result.
#[derive(Debug, Error)]
pub enum DiskWorkerError {
    /// The system did not provide the pipe or the thread that the job needs, or reading the pipe
    /// failed. Only in the last case may the job have run.
    #[error("a job on a disk thread failed: {0}")]
    Io(#[from] io::Error),
    /// The job panicked.
    #[error("a job on a disk thread panicked")]
    Panicked,
}

/// Runs one job on a thread of its own, and waits for its result without blocking the event loop. A
/// job that the disk delays does not delay other jobs.
pub async fn run_on_disk_thread<T: Send + 'static>(
    job: impl FnOnce() -> T + Send + 'static,
) -> Result<T, DiskWorkerError> {
    let (pipe_reader, pipe_writer) = retry_io(START_RETRY_LIMIT, open_pipe).await?;
    let (result_sender, result_receiver) = sync_channel(1);
    let mut thread_main = Some(move || {
        // Dropped last, even if the job panics: once the pipe is closed, the result has been sent,
        // or the channel is closed without a result.
        let _pipe_writer = pipe_writer;
        let result_sender = result_sender;
        // Fails if the caller no longer waits for the result.
        let _ = result_sender.send(job());
    });
    retry_io(START_RETRY_LIMIT, || start_thread(&mut thread_main)).await?;
    pipe_reader
        .read(|_| take_result(&result_receiver))
        .await?
        .ok_or(DiskWorkerError::Panicked)
}

/// Opens a pipe. The event loop watches the reader, and a job holds the writer open.
fn open_pipe() -> io::Result<(WatchedDescriptor<PipeReader>, PipeWriter)> {
    let (reader, writer) = io::pipe()?;
    Ok((WatchedDescriptor::register_for_reading(reader)?, writer))
}

/// Starts a thread that runs `thread_main`, which is left in place if no thread can be started.
fn start_thread<M: FnOnce() + Send + 'static>(thread_main: &mut Option<M>) -> io::Result<()> {
    let (sender, receiver) = sync_channel(1);
    thread::Builder::new()
        .name("disk".to_string())
        .spawn(move || receiver.into_iter().for_each(|main: M| main()))?;
    if let Some(thread_main) = thread_main.take() {
        // Cannot fail: the thread waits for it.
        let _ = sender.send(thread_main);
    }
    Ok(())
}

/// The result of a job; `None` if the job ended without one. Fails with `WouldBlock` while it runs.
fn take_result<T>(result_receiver: &Receiver<T>) -> io::Result<Option<T>> {
    match result_receiver.try_recv() {
        Ok(result) => Ok(Some(result)),
        Err(TryRecvError::Empty) => Err(io::ErrorKind::WouldBlock.into()),
        Err(TryRecvError::Disconnected) => Ok(None),
    }
}

#[cfg(test)]
mod tests;
