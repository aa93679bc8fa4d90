//! The store of the overrides: a small file that every process of this balancer reads and writes.
use crate::admin::override_error::{OverrideChangeError, OverrideReadError};
use crate::admin::overrides::{Overrides, FORMAT_VERSION};
use std::fs::{File, TryLockError};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Holds the overrides. Its name must not change: processes of other versions share the file during an upgrade.
const OVERRIDES_FILE: &str = "herondock-orders.json";
/// Holds new overrides until they are completely written and renamed to [`OVERRIDES_FILE`]. Its name must not change.
const NEW_OVERRIDES_FILE: &str = "herondock-orders.new";
/// Locked during a change. Its name must not change: processes of other versions take the same lock.
const CHANGE_LOCK_FILE: &str = "herondock-orders.lock";
/// Locked by at most one process of this balancer; see [`ProcessLock`]. Its name must not change: processes of other
/// versions take the same lock.
const PROCESS_LOCK_FILE: &str = "herondock-process.lock";
/// Largest file that is read, in bytes: enough for thousands of upstreams.
const MAX_FILE_SIZE: u64 = 1 << 20;

/// Stores the overrides. Its methods block on the disk.
#[derive(Clone)]
pub struct OverrideStore {
    /// The directory of the files. If `None`, the overrides are kept in this process only.
    directory: Option<PathBuf>,
    /// The newest overrides that this process has read or stored.
    newest: Arc<Mutex<Overrides>>,
}

impl OverrideStore {
    /// A store in a directory that all processes of this balancer share. No other balancer may use the directory.
    pub fn new(directory: Option<PathBuf>) -> OverrideStore {
        OverrideStore {
            directory,
            newest: Arc::default(),
        }
    }

    fn newest(&self) -> MutexGuard<'_, Overrides> {
        // Overrides are replaced as a whole, so they are valid even if another thread panicked while it held the lock.
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the newest overrides. After an error the overrides that were read before stay in force.
    pub fn read(&self) -> Result<Overrides, OverrideReadError> {
        let Some(directory) = &self.directory else {
            return Ok(self.newest().clone());
        };
        let stored = read_file(&directory.join(OVERRIDES_FILE))?;
        let mut newest = self.newest();
        if let Some(stored) = stored {
            if stored.is_newer_than(&newest) {
                *newest = stored;
            }
        }
        Ok(newest.clone())
    }

    /// Changes the overrides. The change is stored once this returns without an error.
    pub fn change(
        &self,
        change: impl FnOnce(&mut Overrides),
    ) -> Result<Overrides, OverrideChangeError> {
        let Some(directory) = &self.directory else {
            let mut newest = self.newest();
            change(&mut newest);
            newest.increment_revision();
            return Ok(newest.clone());
        };
        let not_stored = |source: io::Error| OverrideChangeError::NotStored {
            directory: directory.clone(),
            source,
        };
        // Prevents two processes from changing the file at the same time. The lock file is not removed, because another
        // process may hold its lock.
        let lock = File::create(directory.join(CHANGE_LOCK_FILE)).map_err(not_stored)?;
        lock.lock().map_err(not_stored)?;
        let mut overrides = match self.read() {
            Ok(overrides) => overrides,
            // A file that the system failed to read may be valid, and must not be overwritten.
            Err(OverrideReadError::Unreadable { source, .. }) => return Err(not_stored(source)),
            // An invalid file is replaced with the newest overrides that this process knows.
            Err(_) => self.newest().clone(),
        };
        change(&mut overrides);
        overrides.increment_revision();
        write_file(directory, &overrides).map_err(not_stored)?;
        *self.newest() = overrides.clone();
        Ok(overrides)
    }

    /// Takes the process lock; `None` while another process of this balancer holds it. Fails if the lock file cannot be
    /// opened.
    pub fn try_lock_process(&self) -> io::Result<Option<ProcessLock>> {
        let Some(directory) = &self.directory else {
            return Ok(Some(ProcessLock { _file: None }));
        };
        let file = File::create(directory.join(PROCESS_LOCK_FILE))?;
        match file.try_lock() {
            Err(TryLockError::WouldBlock) => Ok(None),
            // On a file system that cannot lock files, other processes are not detected: the lock counts as taken.
            Ok(()) | Err(TryLockError::Error(_)) => Ok(Some(ProcessLock { _file: Some(file) })),
        }
    }
}

/// The process lock: at most one process of this balancer holds it. The system releases it when the process ends,
/// however it ends.
pub struct ProcessLock {
    _file: Option<File>,
}

/// Reads the stored overrides; `None` if there is no file.
fn read_file(path: &Path) -> Result<Option<Overrides>, OverrideReadError> {
    let unreadable = |source: io::Error| OverrideReadError::Unreadable {
        file_name: OVERRIDES_FILE,
        source,
    };
    let owned_path = || path.to_path_buf();
    let size = match std::fs::metadata(path) {
        Ok(metadata) => metadata.len(),
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(unreadable(error)),
    };
    if size > MAX_FILE_SIZE {
        return Err(OverrideReadError::TooLarge { path: owned_path() });
    }
    let text = std::fs::read(path).map_err(unreadable)?;
    let overrides: Overrides =
        serde_json::from_slice(&text).map_err(|source| OverrideReadError::Malformed {
            path: owned_path(),
            source,
        })?;
    if overrides.format_version() != FORMAT_VERSION {
        return Err(OverrideReadError::UnsupportedVersion {
            path: owned_path(),
            found: overrides.format_version(),
            supported: FORMAT_VERSION,
        });
    }
    Ok(Some(overrides))
}

/// Writes the file so that it is complete even if the process ends during the write.
fn write_file(directory: &Path, overrides: &Overrides) -> io::Result<()> {
    let new_file = directory.join(NEW_OVERRIDES_FILE);
    std::fs::write(&new_file, serde_json::to_vec(overrides)?)?;
    std::fs::rename(new_file, directory.join(OVERRIDES_FILE))
}

#[cfg(test)]
mod tests;
