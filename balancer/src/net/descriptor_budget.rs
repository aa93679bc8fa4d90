//! The process's budget of file descriptors, which connections to clients and upstreams share.
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Descriptors reserved for all other uses: the listener, discovery, the runtime, and sockets that
/// are closing.
const RESERVED_DESCRIPTORS: usize = 24;
/// Upper bound of the number of permits, whatever the number of descriptors.
const MAX_CONNECTIONS: u32 = 1 << 20;

/// `errno` values of Linux that mean a shortage of resources on this machine.
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
/// The limit of descriptors registered with `epoll` is reached.
const ENOSPC: i32 = 28;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// Counts open connections and limits them.
#[derive(Clone)]
pub struct DescriptorBudget {
    /// Permits of all connections, to clients and upstreams.
    connections: Arc<Semaphore>,
    /// Permits of client connections, each of which also needs a permit of `connections`.
    clients: Arc<Semaphore>,
    max_connections: u32,
    max_clients: u32,
    /// Permits that are yielded to another process of this balancer.
    yielded: Rc<RefCell<Vec<OwnedSemaphorePermit>>>,
    /// Whether another process of this balancer has half of the limits. Its permits may still be
    /// awaited.
    is_shared: Rc<Cell<bool>>,
    /// Wakes those who wait to yield permits when the limits are not shared any more.
    sharing_ended: Rc<Notify>,
}

/// A client connection's share of the budget; released when dropped.
pub struct ConnectionPermit {
    _connection: OwnedSemaphorePermit,
    _client: OwnedSemaphorePermit,
}

impl DescriptorBudget {
    /// Creates the budget of a process that may have this many descriptors. Clients may use three
    /// quarters of it, so that connections to upstreams are always possible. Upstreams may use all
    /// that clients do not use.
    pub fn new(descriptors: usize) -> DescriptorBudget {
        let max_connections = u32::try_from(descriptors.saturating_sub(RESERVED_DESCRIPTORS))
            .unwrap_or(u32::MAX)
            .min(MAX_CONNECTIONS);
        let max_clients = max_connections / 4 * 3;
        DescriptorBudget {
            connections: Arc::new(Semaphore::new(max_connections as usize)),
            clients: Arc::new(Semaphore::new(max_clients as usize)),
            max_connections,
            max_clients,
            yielded: Rc::default(),
            is_shared: Rc::default(),
            sharing_ended: Rc::new(Notify::new()),
        }
    }

    /// Another process of this balancer has half of the limits from now on.
    pub fn begin_sharing(&self) {
        self.is_shared.set(true);
    }

    /// Yields half of the budget to another process of this balancer: free permits at once, the
    /// others when they are released.
    pub async fn yield_half(&self) {
        self.begin_sharing();
        self.yield_half_while_shared().await;
    }

    /// Yields half of the budget, unless the limits are not shared any more.
    pub async fn yield_half_while_shared(&self) {
        if !self.is_shared() {
            return;
        }
        tokio::select! {
            biased;
            () = self.sharing_ended.notified() => {}
            half = self.acquire_half() => self.yielded.borrow_mut().extend(half),
        }
    }

    async fn acquire_half(&self) -> impl Iterator<Item = OwnedSemaphorePermit> {
        let clients = self
            .clients
            .clone()
            .acquire_many_owned(self.max_clients / 2)
            .await;
        let connections = self
            .connections
            .clone()
            .acquire_many_owned(self.max_connections / 2)
            .await;
        // Acquiring fails only on a closed semaphore, and these are never closed.
        [clients, connections].into_iter().flatten()
    }

    /// Takes back the yielded half, after the other process has ended.
    pub fn reclaim(&self) {
        self.is_shared.set(false);
        self.sharing_ended.notify_waiters();
        self.yielded.borrow_mut().clear();
    }

    /// A permit for a client connection, if one is free.
    pub fn try_acquire_client(&self) -> Option<ConnectionPermit> {
        let client = self.clients.clone().try_acquire_owned().ok()?;
        Some(ConnectionPermit {
            _client: client,
            _connection: self.try_acquire_connection()?,
        })
    }

    /// Waits for a permit for a client connection. `None` cannot occur: the semaphores are never
    /// closed.
    pub async fn acquire_client(&self) -> Option<ConnectionPermit> {
        let client = self.clients.clone().acquire_owned().await.ok()?;
        Some(ConnectionPermit {
            _client: client,
            _connection: self.connections.clone().acquire_owned().await.ok()?,
        })
    }

    /// A permit for one connection, if one is free. A connection to an upstream needs no other; a
    /// client connection also needs a permit of `clients`.
    pub fn try_acquire_connection(&self) -> Option<OwnedSemaphorePermit> {
        self.connections.clone().try_acquire_owned().ok()
    }

    /// Whether more than a quarter of the budget is free. Otherwise descriptors count as scarce.
    pub fn has_spare_permits(&self) -> bool {
        self.connections.available_permits() > self.max_connections as usize / 4
    }

    /// How many connections are open in this process.
    pub fn open_connections(&self) -> usize {
        let has_yielded = !self.yielded.borrow().is_empty();
        let yielded = if has_yielded {
            self.max_connections / 2
        } else {
            0
        };
        let free = self.connections.available_permits();
        ((self.max_connections - yielded) as usize).saturating_sub(free)
    }

    /// Whether another process has half of the limits of this balancer.
    pub fn is_shared(&self) -> bool {
        self.is_shared.get()
    }

    /// Whether no permit is free.
    pub fn is_exhausted(&self) -> bool {
        self.connections.available_permits() == 0
    }

    /// Waits until no client is connected. Takes back a yielded half first, so that only permits of
    /// clients are awaited.
    pub async fn wait_until_clients_closed(&self) {
        self.reclaim();
        let _all = self.clients.acquire_many(self.max_clients).await;
    }
}

/// Whether a socket call failed because this machine has run out of a resource.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(ENOMEM | ENFILE | EMFILE | ENOSPC | EADDRNOTAVAIL | ENOBUFS)
    )
}

#[cfg(test)]
mod tests;
