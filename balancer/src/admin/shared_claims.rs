//! Claims requests that must not run twice while two processes of this balancer serve.
//!
//! If the disk fails or is slow, requests are sent without a claim: a client is owed its response.
use crate::admin::claim_store::{Claim, ClaimStore};
use crate::admin::disk_worker::run_on_disk_thread;
use crate::control::request_claims::{RequestClaims, RequestIdHash};
use crate::net::descriptor_budget::DescriptorBudget;
use crate::telemetry::log::log_line;
use crate::time::{sleep, timeout};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a request waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);
/// How long requests wait until the predecessor has published what it has in flight. It learns of this
/// process within 100 ms; an earlier version never publishes.
const PUBLICATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks whether it has.
const PUBLICATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The claims of this process.
pub struct SharedClaims {
    store: ClaimStore,
    descriptors: DescriptorBudget,
    predecessor: Cell<Predecessor>,
    /// Whether the last operation failed. Only the first of several failures in a row is logged.
    has_failed: Cell<bool>,
}

/// What this process knows of a predecessor.
#[derive(Clone, Copy)]
enum Predecessor {
    /// There is none, or it has published its claims.
    Settled,
    /// It serves. This process is not registered yet.
    Serving,
    /// This process is registered with this number since that time.
    Notified { process_number: u64, at: Instant },
}

impl SharedClaims {
    /// Claims in this store, which are required while the limits of `descriptors` are shared.
    pub fn new(store: ClaimStore, descriptors: DescriptorBudget) -> Rc<SharedClaims> {
        Rc::new(SharedClaims {
            store,
            descriptors,
            predecessor: Cell::new(Predecessor::Settled),
            has_failed: Cell::new(false),
        })
    }

    /// This process starts beside one that serves.
    pub fn begin_beside_predecessor(&self) {
        self.predecessor.set(Predecessor::Serving);
    }

    /// This process has its number, by which a predecessor learns of it.
    pub fn record_registered(&self, process_number: u64) {
        if matches!(self.predecessor.get(), Predecessor::Serving) {
            self.predecessor.set(Predecessor::Notified {
                process_number,
                at: Instant::now(),
            });
        }
    }

    /// Claims what this process has in flight, for a successor with this number. Returns whether that
    /// is stored.
    pub async fn publish(&self, ids: Vec<RequestIdHash>, successor: u64) -> bool {
        let published = self.on_disk(move |store| store.publish(&ids, successor));
        published.await.is_some()
    }

    /// Takes over what other processes have claimed, once none runs. Returns it.
    pub async fn take_all(&self) -> Vec<RequestIdHash> {
        self.predecessor.set(Predecessor::Settled);
        let taken = self.on_disk(|store| store.take_all());
        taken.await.unwrap_or_default()
    }

    /// Waits until the predecessor has published its claims, or does not do so in time.
    async fn wait_for_predecessor(&self) {
        let latest = Instant::now() + PUBLICATION_TIMEOUT;
        loop {
            let settled = match self.predecessor.get() {
                Predecessor::Settled => return,
                Predecessor::Serving => Instant::now() >= latest,
                Predecessor::Notified { process_number, at } => {
                    at.elapsed() >= PUBLICATION_TIMEOUT
                        || self.is_published_for(process_number).await
                }
            };
            if settled {
                self.predecessor.set(Predecessor::Settled);
                return;
            }
            sleep(PUBLICATION_CHECK_INTERVAL).await;
        }
    }

    async fn is_published_for(&self, process_number: u64) -> bool {
        let published = self.on_disk(move |store| store.is_published_for(process_number));
        published.await.unwrap_or(false)
    }

    /// Runs a job on a disk thread; `None` if it fails or takes too long.
    async fn on_disk<T: Send + 'static>(
        &self,
        job: impl FnOnce(ClaimStore) -> io::Result<T> + Send + 'static,
    ) -> Option<T> {
        let store = self.store.clone();
        let running = run_on_disk_thread(move || job(store));
        let Ok(Ok(Ok(result))) = timeout(CLAIM_TIMEOUT, running).await else {
            if !self.has_failed.replace(true) {
                log_line!("requests are not claimed: the file of claims cannot be used in time");
            }
            return None;
        };
        self.has_failed.set(false);
        Some(result)
    }
}

impl RequestClaims for SharedClaims {
    fn is_required(&self) -> bool {
        self.descriptors.is_shared()
    }

    fn claim(&self, id: RequestIdHash) -> Pin<Box<dyn Future<Output = bool> + '_>> {
        Box::pin(async move {
            self.wait_for_predecessor().await;
            let claim = self.on_disk(move |store| store.claim(id)).await;
            claim != Some(Claim::TakenByOther)
        })
    }
}
