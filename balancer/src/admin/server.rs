//! The operators' admin: one line to a connection, one answer that begins with `YES` or `NO`. It hands calls on and
//! decides nothing.
use crate::admin::overrides::{OverrideStore, Overrides, ProcessLock, ReadError};
use crate::control::driver::DriverHandle;
use crate::inbound::phase::Phase;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::socket_io::Socket;
use crate::telemetry::metrics::Metrics;
use balancer_core::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

/// Most callers at once; one more takes the place of the one that has been there longest.
const CALLERS_MOST: usize = 16;
/// Descriptors that the admin may take.
pub const DESCRIPTORS: usize = CALLERS_MOST + 1;
/// Longest line taken.
const LINE_MOST: usize = 512;
/// A caller has this long for its line, and again to take the answer.
const WAIT: Duration = Duration::from_secs(5);
/// What a caller goes on sending behind its line is read for this long, and this much of it: closing on bytes unread
/// would destroy the answer on its way.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: u64 = 64 << 10;
/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How often orders are looked at that came in at another process of this balancer: well within the grace that
/// such an order has.
const LOOK: Duration = Duration::from_millis(100);
/// A process that starts waits this long for orders that the system does not give: those are owed.
const ORDERS_WAIT: Duration = Duration::from_secs(1);
/// While another process of this balancer serves, a new one waits this long for its first list.
const LIST_WAIT: Duration = Duration::from_secs(2);

/// What calls at the admin reach.
pub struct AdminServer {
    driver: DriverHandle,
    metrics: Rc<Metrics>,
    sockets: DescriptorBudget,
    phase: Rc<watch::Sender<Phase>>,
    store: OverrideStore,
    /// What is carried out.
    applied: RefCell<Overrides>,
    /// This process's number among those of this balancer, once it serves.
    number: Cell<u64>,
    /// Restored upstreams are cold for this long at most.
    cold: Millis,
    /// Tells others that this process runs, once it is the only one.
    alone: RefCell<Option<ProcessLock>>,
    /// Whether the file could not be read when it was looked at last.
    unreadable: Cell<bool>,
}

/// The answer to a call: what was asked for is so, with a remark; or it is not, and why.
type AdminResponse = Result<String, String>;

impl AdminServer {
    /// A admin to these, with the orders in `store`.
    pub fn new(
        driver: DriverHandle,
        metrics: Rc<Metrics>,
        sockets: DescriptorBudget,
        phase: Rc<watch::Sender<Phase>>,
        store: OverrideStore,
        cold: Millis,
    ) -> Rc<AdminServer> {
        let (applied, number) = (RefCell::default(), Cell::new(0));
        let (alone, unreadable) = (RefCell::default(), Cell::new(false));
        Rc::new(AdminServer {
            driver,
            metrics,
            sockets,
            phase,
            store,
            applied,
            number,
            cold,
            alone,
            unreadable,
        })
    }

    /// Prepares for serving: takes over what was ordered, and leaves another process its part. Returns once this
    /// process may listen: beside another one with a list that is not old.
    pub async fn prepare(self: &Rc<AdminServer>) {
        let until = Instant::now() + ORDERS_WAIT;
        while !self.look().await && Instant::now() < until {
            sleep(LOOK).await;
        }
        if let Ok(Some(alone)) = self.disk(|store| Ok(store.try_lock_process())).await {
            *self.alone.borrow_mut() = Some(alone);
            return;
        }
        eprintln!("another process of this balancer serves");
        self.sockets.yield_half().await;
        // Without news by then the known list must do: it will not come sooner to those who wait.
        let _ = timeout(LIST_WAIT, self.driver.endpoints_notified()).await;
    }

    /// Tells that this process serves from now on, to the one that was there before.
    pub async fn serve(self: &Rc<AdminServer>) {
        if let Err(error) = self.register().await {
            eprintln!("{error}: tried again until it is");
        }
        let paused = self.applied.borrow().paused;
        self.phase.send_replace(if paused {
            Phase::Paused
        } else {
            Phase::Serving
        });
        tokio::task::spawn_local(self.clone().follow());
    }

    /// Counts this process among those of this balancer that serve.
    async fn register(&self) -> Result<(), String> {
        self.change(|orders| orders.processes += 1).await?;
        self.number.set(self.applied.borrow().processes);
        Ok(())
    }

    /// Whether another process of this balancer has begun to serve after this one.
    pub async fn succeeded(&self) -> bool {
        self.look().await;
        self.has_successor()
    }

    fn has_successor(&self) -> bool {
        self.number.get() > 0 && self.applied.borrow().processes > self.number.get()
    }

    /// Follows orders given at another process, and its coming and going.
    async fn follow(self: Rc<AdminServer>) {
        let mut halved = false;
        loop {
            sleep(LOOK).await;
            self.look().await;
            if self.number.get() == 0 {
                // Guards against a folder that could not be written as this process began to serve: the other one would
                // never send its clients over.
                let _ = self.register().await;
            }
            if self.alone.borrow().is_none() {
                if let Ok(Some(alone)) = self.disk(|store| Ok(store.try_lock_process())).await {
                    *self.alone.borrow_mut() = Some(alone);
                    self.sockets.reclaim();
                }
            }
            if !halved && self.has_successor() {
                halved = true;
                let sockets = self.sockets.clone();
                tokio::task::spawn_local(async move { sockets.yield_half().await });
            }
        }
    }

    /// Carries out what was ordered elsewhere. Whether the system gave the orders, be they good or not.
    async fn look(&self) -> bool {
        let read = self.disk(|store| Ok(store.read())).await;
        let error = match read {
            Ok(Ok(orders)) => {
                self.unreadable.set(false);
                self.apply(orders);
                return true;
            }
            Ok(Err(error)) => error,
            Err(_) => return false,
        };
        if !self.unreadable.replace(true) {
            eprintln!("orders: {error}: passed over");
        }
        matches!(error, ReadError::Malformed(_))
    }

    /// Gives an order. Once this returns it is kept and carried out.
    async fn change(
        &self,
        order: impl FnOnce(&mut Overrides) + Send + 'static,
    ) -> Result<(), String> {
        let orders = self.disk(|store| store.change(order)).await?;
        self.apply(orders);
        Ok(())
    }

    /// Does with the store what may wait for the disk.
    async fn disk<T: Send + 'static>(
        &self,
        work: impl FnOnce(OverrideStore) -> Result<T, String> + Send + 'static,
    ) -> Result<T, String> {
        let store = self.store.clone();
        tokio::task::spawn_blocking(move || work(store))
            .await
            .unwrap_or_else(|e| Err(e.to_string()))
    }

    fn apply(&self, orders: Overrides) {
        let mut applied = self.applied.borrow_mut();
        if !orders.newer_than(&applied) {
            return;
        }
        for name in orders.suspended.difference(&applied.suspended) {
            self.driver.suspend(name);
        }
        for (name, &since) in &orders.restored {
            if applied.restored.get(name) != Some(&since) {
                self.driver.restore(name, since);
            }
        }
        self.phase.send_if_modified(|now| {
            let next = match *now {
                Phase::Serving | Phase::Paused if orders.paused => Phase::Paused,
                Phase::Serving | Phase::Paused => Phase::Serving,
                // The front hears of it here too.
                Phase::HandedOff if orders.paused => Phase::Closing,
                other => other,
            };
            std::mem::replace(now, next) != next
        });
        *applied = orders;
    }

    /// Answers callers for ever.
    pub async fn run(self: Rc<AdminServer>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    callers.retain(|caller| !caller.is_finished());
                    // Guards against callers that stay without a call: they shut out none that has one.
                    if callers.len() >= CALLERS_MOST {
                        callers.pop_front().iter().for_each(AbortHandle::abort);
                    }
                    let caller = tokio::task::spawn_local(self.clone().caller(Socket::new(stream)));
                    callers.push_back(caller.abort_handle());
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn caller(self: Rc<AdminServer>, mut stream: Socket) {
        let answer = match timeout(WAIT, line(&mut stream)).await {
            Ok(Ok(Some(line))) if line.trim() == "METRICS" => {
                format!(
                    "{}END\n",
                    self.metrics
                        .render(self.driver.active_requests(), self.driver.endpoint_counts())
                )
            }
            Ok(Ok(Some(line))) => worded(self.call(&line).await),
            Ok(Ok(None)) => worded(Err("a call is one line of text of at most 512 bytes".into())),
            // It is gone, or has not asked for anything.
            Ok(Err(_)) | Err(_) => return,
        };
        // A caller that does not wait for its answer harms nobody.
        let _ = timeout(WAIT, async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await
        })
        .await;
        let _ = timeout(
            LINGER,
            tokio::io::copy(&mut stream.take(LINGER_MOST), &mut tokio::io::sink()),
        )
        .await;
    }

    async fn call(&self, line: &str) -> AdminResponse {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["STATUS"] => self.status(),
            ["PAUSE"] => self.pause(true).await,
            ["RESUME"] => self.pause(false).await,
            ["SUSPEND", id] => self.suspend(id).await,
            ["RESTORE", id] => self.restore(id).await,
            ["STATUS" | "METRICS" | "PAUSE" | "RESUME", ..] => {
                Err(format!("{} takes nothing", words[0]))
            }
            ["SUSPEND" | "RESTORE", ..] => {
                Err(format!("{} takes the id of one upstream", words[0]))
            }
            [] => Err("the line is empty".into()),
            _ => Err("unknown call; there are STATUS METRICS SUSPEND RESTORE PAUSE RESUME".into()),
        }
    }

    fn status(&self) -> AdminResponse {
        match *self.phase.borrow() {
            Phase::Starting => Err("starting".into()),
            _ if !self.driver.has_endpoints() => Err("no upstream is known yet".into()),
            Phase::Serving => Ok("serving".into()),
            Phase::Paused => Ok("serving, paused: clients are sent away".into()),
            _ => Err("ending".into()),
        }
    }

    async fn pause(&self, paused: bool) -> AdminResponse {
        self.change(move |orders| orders.paused = paused).await?;
        Ok(if paused { "paused" } else { "serving" }.into())
    }

    async fn suspend(&self, id: &str) -> AdminResponse {
        if !self.driver.is_known_upstream(id) {
            return Err(unknown(id));
        }
        let name = id.to_string();
        self.change(move |orders| orders.suspend(&name)).await?;
        Ok(format!("{id} is left out"))
    }

    async fn restore(&self, id: &str) -> AdminResponse {
        if !self.driver.is_known_upstream(id) {
            return Err(unknown(id));
        }
        let (name, now, cold) = (id.to_string(), self.driver.now(), self.cold);
        self.change(move |orders| orders.restore(&name, now, cold))
            .await?;
        Ok(format!("{id} is in use"))
    }
}

fn unknown(id: &str) -> String {
    format!("no upstream {id:?} is known")
}

fn worded(reply: AdminResponse) -> String {
    match reply {
        Ok(remark) => format!("YES {remark}\n"),
        Err(reason) => format!("NO {reason}\n"),
    }
}

/// The caller's line. `None`: it is none, as it is too long, no text, or its end is missing.
async fn line(stream: &mut Socket) -> std::io::Result<Option<String>> {
    let (mut line, mut some) = (Vec::new(), [0; LINE_MOST]);
    loop {
        let n = stream.read(&mut some).await?;
        line.extend_from_slice(&some[..n]);
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end);
            return Ok(String::from_utf8(line).ok().filter(|l| l.len() < LINE_MOST));
        }
        if n == 0 || line.len() >= LINE_MOST {
            return Ok(None);
        }
    }
}
