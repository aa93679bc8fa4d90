//! Runs work that may block on the disk on a thread of its own.
//!
//! The loop learns of the end of a job by the end of a pipe that the job holds open: closing it
//! cannot fail in a way that would lose the event.
use crate::net::retry_io::retry_io;
use crate::net::watched_descriptor::WatchedDescriptor;
use std::cell::RefCell;
use std::io::{self, PipeReader, PipeWriter};
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, TryRecvError};
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

type Job = Box<dyn FnOnce() + Send>;

/// A thread that runs jobs one after the other. It starts with the first job.
#[derive(Default)]
pub struct DiskWorker {
    jobs: RefCell<Option<Sender<Job>>>,
}

impl DiskWorker {
    /// Runs one job, and waits for its result without blocking the loop.
    pub async fn run<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, DiskWorkerError> {
        let (ended, running) = retry_io(START_RETRY_LIMIT, open_pipe).await?;
        let (result_sender, result) = sync_channel(1);
        let job = move || {
            // Dropped last, and so after the result was sent, even if the work panics.
            let _running = running;
            let result_sender = result_sender;
            // Fails if nothing waits for the result any more.
            let _ = result_sender.send(work());
        };
        // The thread never ends. If it did, the job would be dropped, and the pipe would end.
        let _ = self.jobs().await?.send(Box::new(job));
        ended
            .read(|_| take_result(&result))
            .await?
            .ok_or(DiskWorkerError::Panicked)
    }

    /// The queue of the thread, which starts if there is none.
    async fn jobs(&self) -> io::Result<Sender<Job>> {
        if let Some(jobs) = &*self.jobs.borrow() {
            return Ok(jobs.clone());
        }
        let jobs = retry_io(START_RETRY_LIMIT, start_thread).await?;
        self.jobs.replace(Some(jobs.clone()));
        Ok(jobs)
    }
}

/// The loop's end of a pipe, which it watches, and the end that a job holds open.
fn open_pipe() -> io::Result<(WatchedDescriptor<PipeReader>, PipeWriter)> {
    let (reader, writer) = io::pipe()?;
    Ok((WatchedDescriptor::new(reader)?, writer))
}

fn start_thread() -> io::Result<Sender<Job>> {
    let (sender, jobs) = channel::<Job>();
    thread::Builder::new()
        .name("disk".to_string())
        .spawn(move || jobs.into_iter().for_each(run_job))?;
    Ok(sender)
}

/// A job that panics has no result, and its pipe ends. The thread goes on with the next one.
fn run_job(job: Job) {
    // What the job shares is locked, and checks itself after a panic.
    let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(job));
}

/// The result of a job whose pipe has ended; `None` if it has none. Fails with `WouldBlock` before.
fn take_result<T>(result: &Receiver<T>) -> io::Result<Option<T>> {
    match result.try_recv() {
        Ok(result) => Ok(Some(result)),
        Err(TryRecvError::Empty) => Err(io::ErrorKind::WouldBlock.into()),
        Err(TryRecvError::Disconnected) => Ok(None),
    }
}

#[cfg(test)]
mod tests;
