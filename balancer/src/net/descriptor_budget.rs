//! The one budget of sockets that callers and upstreams share.
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors for everything else: the listener, discovery, the runtime, sockets that are just closing.
const SPARE: usize = 24;

/// Counts the sockets that are open and those that still may be.
#[derive(Clone)]
pub struct DescriptorBudget {
    all: Arc<Semaphore>,
    callers: Arc<Semaphore>,
    budget: u32,
    callers_most: u32,
    /// What is left to another process of this balancer.
    left: Rc<RefCell<Vec<OwnedSemaphorePermit>>>,
}

/// A caller's place in the budget, given back when dropped.
pub struct ConnectionPermit {
    _all: OwnedSemaphorePermit,
    _caller: OwnedSemaphorePermit,
}

impl DescriptorBudget {
    /// A budget under this many descriptors. Callers may hold three quarters of it, so that there is always a
    /// way on to the upstreams; upstreams may hold all that callers leave.
    pub fn new(descriptors: usize) -> DescriptorBudget {
        let budget = u32::try_from(descriptors.saturating_sub(SPARE))
            .unwrap_or(u32::MAX)
            .min(1 << 20);
        let callers_most = budget / 4 * 3;
        let places = |n: u32| Arc::new(Semaphore::new(n as usize));
        let (all, callers) = (places(budget), places(callers_most));
        DescriptorBudget {
            all,
            callers,
            budget,
            callers_most,
            left: Rc::default(),
        }
    }

    /// Leaves half to another process of this balancer, as descriptors of both count together: at once what is
    /// free, and the rest when it gets free.
    pub async fn yield_half(&self) {
        let callers = self
            .callers
            .clone()
            .acquire_many_owned(self.callers_most / 2)
            .await;
        let all = self.all.clone().acquire_many_owned(self.budget / 2).await;
        // Neither is ever closed.
        self.left
            .borrow_mut()
            .extend([callers, all].into_iter().flatten());
    }

    /// The other process has ended: all of it again.
    pub fn reclaim(&self) {
        self.left.borrow_mut().clear();
    }

    /// A place for a caller, if there is one now.
    pub fn try_acquire_client(&self) -> Option<ConnectionPermit> {
        let _caller = self.callers.clone().try_acquire_owned().ok()?;
        Some(ConnectionPermit {
            _caller,
            _all: self.try_acquire_upstream()?,
        })
    }

    /// A place for a caller, once there is one.
    pub async fn acquire_client(&self) -> Option<ConnectionPermit> {
        let _caller = self.callers.clone().acquire_owned().await.ok()?;
        Some(ConnectionPermit {
            _caller,
            _all: self.all.clone().acquire_owned().await.ok()?,
        })
    }

    /// A place for a connection to an upstream, if there is one now.
    pub fn try_acquire_upstream(&self) -> Option<OwnedSemaphorePermit> {
        self.all.clone().try_acquire_owned().ok()
    }

    /// Whether more than a quarter of the budget may still be opened.
    pub fn is_plentiful(&self) -> bool {
        self.all.available_permits() > self.budget as usize / 4
    }

    /// Whether nothing more may be opened.
    pub fn is_exhausted(&self) -> bool {
        self.all.available_permits() == 0
    }

    /// Waits until no caller is connected.
    pub async fn all_clients_closed(&self) {
        self.reclaim();
        let _all = self.callers.acquire_many(self.callers_most).await;
    }
}

/// Whether a call on sockets failed for want of something on this machine.
pub fn is_shortage(e: &io::Error) -> bool {
    // ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(e.raw_os_error(), Some(12 | 23 | 24 | 99 | 105))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two processes that together hold more descriptors than one may.
    #[tokio::test]
    async fn half_of_the_budget_is_left_to_another_process_for_as_long_as_it_runs() {
        let sockets = DescriptorBudget::new(SPARE + 40);
        let full = |sockets: &DescriptorBudget| {
            std::iter::from_fn(|| sockets.try_acquire_client()).collect::<Vec<_>>()
        };
        assert_eq!(full(&sockets).len(), 30);
        sockets.yield_half().await;
        let callers = full(&sockets);
        assert_eq!(callers.len(), 15);
        assert_eq!(
            std::iter::from_fn(|| sockets.try_acquire_upstream())
                .collect::<Vec<_>>()
                .len(),
            5
        );
        sockets.reclaim();
        // What is taken when the other process starts is left to it as it gets free.
        let further = full(&sockets);
        assert_eq!(further.len(), 15);
        let mut halves = std::pin::pin!(sockets.yield_half());
        assert!(tokio::time::timeout(std::time::Duration::ZERO, &mut halves)
            .await
            .is_err());
        drop(callers);
        halves.await;
        assert!(sockets.try_acquire_client().is_none());
    }
}
