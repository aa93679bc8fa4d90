//! Applies the stored overrides, whichever process of this balancer received them.
use crate::admin::disk_worker::{run_on_disk_thread, DiskWorkerError};
use crate::admin::override_error::{OverrideChangeError, OverrideReadError};
use crate::admin::override_store::{OverrideStore, ProcessLock};
use crate::admin::overrides::Overrides;
use crate::control::driver::DriverHandle;
use crate::phase::Phase;
use crate::telemetry::log::log_line;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use tokio::sync::watch;

/// Keeps the overrides that this process applies up to date with the store.
pub struct OverrideSync {
    driver: DriverHandle,
    phase: Rc<watch::Sender<Phase>>,
    store: OverrideStore,
    /// The overrides in force.
    applied: RefCell<Overrides>,
    /// Whether the last read failed. Only the first of several failures in a row is logged.
    last_read_failed: Cell<bool>,
}

impl OverrideSync {
    /// Creates a synchronizer. No override is in force before the first [`OverrideSync::refresh`].
    pub fn new(
        driver: DriverHandle,
        phase: Rc<watch::Sender<Phase>>,
        store: OverrideStore,
    ) -> Rc<OverrideSync> {
        Rc::new(OverrideSync {
            driver,
            phase,
            store,
            applied: RefCell::default(),
            last_read_failed: Cell::new(false),
        })
    }

    /// How many processes of this balancer have started to serve.
    pub fn started_processes(&self) -> u64 {
        self.applied.borrow().started_processes()
    }

    /// Whether this balancer is paused.
    pub fn is_paused(&self) -> bool {
        self.applied.borrow().is_paused()
    }

    /// Applies overrides that another process has stored. Returns whether the system could read the file, even if its
    /// content is invalid.
    pub async fn refresh(&self) -> bool {
        let error = match self.on_disk(|store| store.read()).await {
            Ok(Ok(overrides)) => {
                self.last_read_failed.set(false);
                self.apply(overrides);
                return true;
            }
            Ok(Err(error)) => error,
            Err(_) => return false,
        };
        self.log_read_error(&error);
        error.is_content_invalid()
    }

    fn log_read_error(&self, error: &OverrideReadError) {
        if !self.last_read_failed.replace(true) {
            log_line!("overrides: {error}: ignored");
        }
    }

    /// Changes the overrides. The change is stored and in force once this returns without an error.
    pub async fn change(
        &self,
        change: impl FnOnce(&mut Overrides) + Send + 'static,
    ) -> Result<(), OverrideChangeError> {
        let overrides = self.on_disk(|store| store.change(change)).await??;
        self.apply(overrides);
        Ok(())
    }

    /// Takes the process lock; `None` while another process of this balancer holds it. Fails if the system cannot tell
    /// whether another process holds it; that may be temporary.
    pub async fn try_lock_process(&self) -> io::Result<Option<ProcessLock>> {
        self.on_disk(|store| store.try_lock_process())
            .await
            .map_err(io::Error::other)?
    }

    /// Runs a job that may block on the disk, without blocking the event loop.
    async fn on_disk<T: Send + 'static>(
        &self,
        job: impl FnOnce(OverrideStore) -> T + Send + 'static,
    ) -> Result<T, DiskWorkerError> {
        let store = self.store.clone();
        run_on_disk_thread(move || job(store)).await
    }

    fn apply(&self, overrides: Overrides) {
        let mut applied = self.applied.borrow_mut();
        if !overrides.is_newer_than(&applied) {
            return;
        }
        for name in overrides.suspended().difference(applied.suspended()) {
            self.driver.suspend(name);
        }
        for (name, &restored_at) in overrides.restored() {
            if applied.restored().get(name) != Some(&restored_at) {
                self.driver.restore(name, restored_at);
            }
        }
        self.apply_pause(overrides.is_paused());
        *applied = overrides;
    }

    fn apply_pause(&self, paused: bool) {
        self.phase.send_if_modified(|phase| {
            let next = match *phase {
                Phase::Serving | Phase::Paused if paused => Phase::Paused,
                Phase::Serving | Phase::Paused => Phase::Serving,
                // A pause also closes the connections that clients still have to a process that has handed its clients
                // off to a successor.
                Phase::HandedOff if paused => Phase::Closing,
                other => other,
            };
            std::mem::replace(phase, next) != next
        });
    }
}
