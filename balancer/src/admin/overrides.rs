//! What staff have ordered: upstreams left out, those taken back, and whether clients are sent away. Kept in a small
//! file, so that it holds for every process of this balancer and over an upgrade.
use balancer_core::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs::{File, TryLockError};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The form of the file; another one is not read.
const VERSION: u32 = 1;
/// Largest file read: thousands of upstreams.
const FILE_MOST: u64 = 1 << 20;

/// Everything ordered so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Overrides {
    version: u32,
    /// Grows with each change.
    revision: u64,
    /// Processes of this balancer that have begun to serve.
    pub processes: u64,
    /// Whether clients are sent away.
    pub paused: bool,
    /// Names of the upstreams that are left out.
    pub suspended: BTreeSet<String>,
    /// When upstreams were taken back into use, as long as they may still be cold.
    pub restored: BTreeMap<String, Millis>,
}

impl Overrides {
    /// Leaves an upstream out.
    pub fn suspend(&mut self, name: &str) {
        self.restored.remove(name);
        self.suspended.insert(name.to_string());
    }

    /// Takes an upstream back that was left out. What was taken back more than `cold` ago is warm and needs no note.
    pub fn restore(&mut self, name: &str, now: Millis, cold: Millis) {
        self.restored.retain(|_, &mut at| now - at < cold);
        if self.suspended.remove(name) {
            self.restored.insert(name.to_string(), now);
        }
    }

    /// Whether these were given after `other`.
    pub fn newer_than(&self, other: &Overrides) -> bool {
        self.revision > other.revision
    }
}

/// Where orders are kept. Its calls wait for the disk.
#[derive(Clone)]
pub struct OverrideStore {
    /// The folder; none: they are kept in this process alone.
    folder: Option<PathBuf>,
    /// The newest that this process has seen.
    seen: Arc<Mutex<Overrides>>,
}

impl OverrideStore {
    /// A store in this folder, which every process of this balancer is given, and no other balancer.
    pub fn new(folder: Option<PathBuf>) -> OverrideStore {
        let orders = Overrides {
            version: VERSION,
            ..Overrides::default()
        };
        OverrideStore {
            folder,
            seen: Arc::new(Mutex::new(orders)),
        }
    }

    fn seen(&self) -> MutexGuard<'_, Overrides> {
        // Overrides are replaced whole, so that a panic elsewhere leaves them good.
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest orders. An error is what the file has wrong: what was seen before holds.
    pub fn read(&self) -> Result<Overrides, ReadError> {
        let Some(folder) = &self.folder else {
            return Ok(self.seen().clone());
        };
        let read = read(&folder.join(FILE));
        let mut seen = self.seen();
        match read {
            Ok(Some(orders)) if orders.newer_than(&seen) => *seen = orders,
            Ok(_) => {}
            Err(error) => return Err(error),
        }
        Ok(seen.clone())
    }

    /// Gives an order: it is kept once this returns.
    pub fn change(&self, order: impl FnOnce(&mut Overrides)) -> Result<Overrides, String> {
        let Some(folder) = &self.folder else {
            let mut seen = self.seen();
            order(&mut seen);
            seen.revision += 1;
            return Ok(seen.clone());
        };
        let failed = |e: io::Error| format!("the order is not kept: {}: {e}", folder.display());
        // Guards against two processes that change the file at once. Left behind, as others may hold it.
        let lock = File::create(folder.join(CHANGES)).map_err(failed)?;
        lock.lock().map_err(failed)?;
        let mut orders = match self.read() {
            Ok(orders) => orders,
            // What is broken is replaced by what this process knows.
            Err(ReadError::Malformed(_)) => self.seen().clone(),
            // What may only not be had now is not written over.
            Err(ReadError::Unreadable(error)) => return Err(failed(error)),
        };
        order(&mut orders);
        orders.revision += 1;
        write(folder, &orders).map_err(failed)?;
        *self.seen() = orders.clone();
        Ok(orders)
    }

    /// The right to be this balancer's only process, for as long as it is held; none while another has it.
    pub fn try_lock_process(&self) -> Option<ProcessLock> {
        let Some(folder) = &self.folder else {
            return Some(ProcessLock(None));
        };
        let file = File::create(folder.join(PROCESS)).ok()?;
        match file.try_lock() {
            Err(TryLockError::WouldBlock) => None,
            // Where files cannot be locked, nothing can be told of another.
            Ok(()) | Err(TryLockError::Error(_)) => Some(ProcessLock(Some(file))),
        }
    }
}

/// Held by a process of which no other runs. The system lets go of it when the process ends, however it does.
pub struct ProcessLock(#[allow(dead_code)] Option<File>);

const FILE: &str = "herondock-orders.json";
const FRESH: &str = "herondock-orders.new";
const CHANGES: &str = "herondock-orders.lock";
const PROCESS: &str = "herondock-process.lock";

/// Why the file of orders was not read.
#[derive(Debug)]
pub enum ReadError {
    /// The system does not give it, perhaps only now.
    Unreadable(io::Error),
    /// It holds no orders.
    Malformed(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Unreadable(error) => write!(f, "{FILE}: {error}"),
            ReadError::Malformed(what) => f.write_str(what),
        }
    }
}

fn read(path: &Path) -> Result<Option<Overrides>, ReadError> {
    let said = |e: &dyn fmt::Display| ReadError::Malformed(format!("{}: {e}", path.display()));
    let text = match std::fs::metadata(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Ok(meta) if meta.len() > FILE_MOST => return Err(said(&"too large")),
        Err(e) => return Err(ReadError::Unreadable(e)),
        Ok(_) => std::fs::read(path).map_err(ReadError::Unreadable)?,
    };
    let orders: Overrides = serde_json::from_slice(&text).map_err(|e| said(&e))?;
    if orders.version != VERSION {
        return Err(said(&format!(
            "has version {}, not {VERSION}",
            orders.version
        )));
    }
    Ok(Some(orders))
}

/// Whole or not at all, whenever the program is ended.
fn write(folder: &Path, orders: &Overrides) -> io::Result<()> {
    let fresh = folder.join(FRESH);
    std::fs::write(&fresh, serde_json::to_vec(orders)?)?;
    std::fs::rename(fresh, folder.join(FILE))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An empty folder of its own.
    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("balancer-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir(&folder).expect("a folder");
        folder
    }

    #[test]
    fn orders_hold_for_every_process_and_the_next() {
        let folder = folder("hold");
        let (one, other) = (
            OverrideStore::new(Some(folder.clone())),
            OverrideStore::new(Some(folder.clone())),
        );
        one.change(|o| o.suspend("s-1")).expect("kept");
        other.change(|o| o.suspend("s-2")).expect("kept");
        other.change(|o| o.restore("s-1", 5.0, 9.0)).expect("kept");
        one.change(|o| o.paused = true).expect("kept");
        let orders = OverrideStore::new(Some(folder.clone()))
            .read()
            .expect("a good file");
        assert_eq!(
            (orders.suspended.len(), orders.restored.len(), orders.paused),
            (1, 1, true)
        );
        assert_eq!(orders, one.read().expect("a good file"));
        assert_eq!(orders, other.read().expect("a good file"));
        std::fs::remove_dir_all(folder).expect("removes");
    }

    #[test]
    fn a_file_that_cannot_be_read_is_told_of_and_replaced_with_the_next_order() {
        let folder = folder("torn");
        for text in ["", "{\"version\":1,\"rev", "{}", "\u{0}"] {
            std::fs::write(folder.join(FILE), text).expect("writes");
            let store = OverrideStore::new(Some(folder.clone()));
            assert!(
                store.read().is_err_and(|e| e.to_string().contains(FILE)),
                "{text:?}"
            );
            assert!(store.change(|o| o.suspend("s-1")).is_ok());
            assert!(store.read().is_ok_and(|o| o.suspended.contains("s-1")));
        }
        let later = std::fs::read_to_string(folder.join(FILE))
            .expect("reads")
            .replace("n\":1", "n\":2");
        std::fs::write(folder.join(FILE), later).expect("writes");
        let error = OverrideStore::new(Some(folder.clone()))
            .read()
            .expect_err("another version");
        assert!(error.to_string().contains("version 2"), "{error}");
        std::fs::remove_dir_all(folder).expect("removes");
    }

    #[test]
    fn an_order_that_cannot_be_kept_says_so() {
        let gone = folder("gone");
        std::fs::remove_dir_all(&gone).expect("removes");
        let error = OverrideStore::new(Some(gone))
            .change(|o| o.paused = true)
            .expect_err("no folder");
        assert!(error.starts_with("the order is not kept"), "{error}");
    }

    /// A file that the disk does not give for a moment is no broken one: written anew, all that was ordered would be lost.
    #[test]
    fn orders_that_cannot_be_read_for_a_moment_are_not_written_over() {
        let folder = folder("moment");
        OverrideStore::new(Some(folder.clone()))
            .change(|o| o.suspend("s-1"))
            .expect("kept");
        let (file, aside) = (folder.join(FILE), folder.join("aside"));
        std::fs::rename(&file, &aside).expect("renames");
        // A link to itself can be replaced and not read.
        std::os::unix::fs::symlink(&file, &file).expect("links");
        let fresh = OverrideStore::new(Some(folder.clone()));
        assert!(fresh.change(|o| o.suspend("s-2")).is_err());
        std::fs::rename(&aside, &file).expect("renames");
        let orders = fresh.change(|o| o.suspend("s-2")).expect("kept");
        assert_eq!(orders.suspended.len(), 2, "{orders:?}");
        std::fs::remove_dir_all(folder).expect("removes");
    }

    #[test]
    fn one_process_at_a_time_is_alone() {
        let folder = folder("alone");
        let (one, other) = (
            OverrideStore::new(Some(folder.clone())),
            OverrideStore::new(Some(folder.clone())),
        );
        let first = one.try_lock_process();
        assert!(first.is_some() && other.try_lock_process().is_none());
        drop(first);
        assert!(other.try_lock_process().is_some());
        std::fs::remove_dir_all(folder).expect("removes");
    }
}
