//! Processes that a run starts. Each is killed when its value is dropped.
use crate::error::ScaleError;
use crate::machine::Usage;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// A running process. It is killed when dropped.
pub struct ChildProcess {
    name: String,
    child: Child,
    last_log_line: Arc<Mutex<String>>,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // `kill` and `wait` fail only for a process that has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ChildProcess {
    /// Starts a command and reads its log, of which it keeps the last line.
    pub fn start(name: &str, command: &mut Command) -> Result<ChildProcess, ScaleError> {
        let not_started = |source| ScaleError::NotStarted {
            name: name.to_string(),
            source,
        };
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn().map_err(not_started)?;
        let last_log_line = follow_log(name, &mut child);
        tracing::info!(process = name, pid = child.id(), "process started");
        Ok(ChildProcess {
            name: name.to_string(),
            child,
            last_log_line,
        })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Fails if the process has ended.
    pub fn ensure_running(&mut self) -> Result<(), ScaleError> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(status) => Err(ScaleError::ProcessExited {
                name: self.name.clone(),
                status: status.to_string(),
                log: lock(&self.last_log_line).clone(),
            }),
        }
    }

    /// Its resource usage since its start.
    pub fn usage(&self) -> Result<Usage, ScaleError> {
        Usage::of(self.child.id())
    }
}

/// Reads a process's log until its end, so that the process never blocks on a full pipe. The returned value
/// always holds the last line read so far.
fn follow_log(name: &str, child: &mut Child) -> Arc<Mutex<String>> {
    let last_line = Arc::new(Mutex::new(String::new()));
    let Some(log) = child.stderr.take() else {
        return last_line;
    };
    let name = name.to_string();
    let shared_last_line = last_line.clone();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            tracing::debug!(process = name, line, "log");
            *lock(&shared_last_line) = line;
        }
    });
    last_line
}

fn lock(line: &Mutex<String>) -> MutexGuard<'_, String> {
    line.lock().unwrap_or_else(PoisonError::into_inner)
}
