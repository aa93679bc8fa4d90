//! The operators' door: one line to a connection, one answer that begins with `YES` or `NO`. It hands calls on and
//! decides nothing.
use crate::driver::Handle;
use crate::metrics::Figures;
use crate::orders::{Alone, Orders, ReadError, Store};
use crate::server::Phase;
use crate::socket_io::Socket;
use crate::sockets::Sockets;
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
/// Descriptors that the door may take.
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

/// What calls at the door reach.
pub struct Door {
    driver: Handle,
    figures: Rc<Figures>,
    sockets: Sockets,
    phase: Rc<watch::Sender<Phase>>,
    store: Store,
    /// What is carried out.
    applied: RefCell<Orders>,
    /// This process's number among those of this balancer, once it serves.
    number: Cell<u64>,
    /// Restored upstreams are cold for this long at most.
    cold: Millis,
    /// Tells others that this process runs, once it is the only one.
    alone: RefCell<Option<Alone>>,
    /// Whether the file could not be read when it was looked at last.
    unreadable: Cell<bool>,
}

/// The answer to a call: what was asked for is so, with a remark; or it is not, and why.
type Reply = Result<String, String>;

impl Door {
    /// A door to these, with the orders in `store`.
    pub fn new(
        driver: Handle,
        figures: Rc<Figures>,
        sockets: Sockets,
        phase: Rc<watch::Sender<Phase>>,
        store: Store,
        cold: Millis,
    ) -> Rc<Door> {
        let (applied, number) = (RefCell::default(), Cell::new(0));
        let (alone, unreadable) = (RefCell::default(), Cell::new(false));
        Rc::new(Door {
            driver,
            figures,
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
    pub async fn prepare(self: &Rc<Door>) {
        let until = Instant::now() + ORDERS_WAIT;
        while !self.look().await && Instant::now() < until {
            sleep(LOOK).await;
        }
        if let Ok(Some(alone)) = self.disk(|store| Ok(store.alone())).await {
            *self.alone.borrow_mut() = Some(alone);
            return;
        }
        eprintln!("another process of this balancer serves");
        self.sockets.halve().await;
        // Without news by then the known list must do: it will not come sooner to those who wait.
        let _ = timeout(LIST_WAIT, self.driver.told()).await;
    }

    /// Tells that this process serves from now on, to the one that was there before.
    pub async fn serve(self: &Rc<Door>) {
        if let Err(error) = self.register().await {
            eprintln!("{error}: tried again until it is");
        }
        let paused = self.applied.borrow().paused;
        self.phase
            .send_replace(if paused { Phase::Paused } else { Phase::Up });
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
    async fn follow(self: Rc<Door>) {
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
                if let Ok(Some(alone)) = self.disk(|store| Ok(store.alone())).await {
                    *self.alone.borrow_mut() = Some(alone);
                    self.sockets.whole();
                }
            }
            if !halved && self.has_successor() {
                halved = true;
                let sockets = self.sockets.clone();
                tokio::task::spawn_local(async move { sockets.halve().await });
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
    async fn change(&self, order: impl FnOnce(&mut Orders) + Send + 'static) -> Result<(), String> {
        let orders = self.disk(|store| store.change(order)).await?;
        self.apply(orders);
        Ok(())
    }

    /// Does with the store what may wait for the disk.
    async fn disk<T: Send + 'static>(
        &self,
        work: impl FnOnce(Store) -> Result<T, String> + Send + 'static,
    ) -> Result<T, String> {
        let store = self.store.clone();
        tokio::task::spawn_blocking(move || work(store))
            .await
            .unwrap_or_else(|e| Err(e.to_string()))
    }

    fn apply(&self, orders: Orders) {
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
                Phase::Up | Phase::Paused if orders.paused => Phase::Paused,
                Phase::Up | Phase::Paused => Phase::Up,
                // The front hears of it here too.
                Phase::Succeeded if orders.paused => Phase::Closing,
                other => other,
            };
            std::mem::replace(now, next) != next
        });
        *applied = orders;
    }

    /// Answers callers for ever.
    pub async fn run(self: Rc<Door>, listener: TcpListener) {
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

    async fn caller(self: Rc<Door>, mut stream: Socket) {
        let answer = match timeout(WAIT, line(&mut stream)).await {
            Ok(Ok(Some(line))) if line.trim() == "METRICS" => {
                format!(
                    "{}END\n",
                    self.figures
                        .text(self.driver.active(), self.driver.upstreams())
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

    async fn call(&self, line: &str) -> Reply {
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

    fn status(&self) -> Reply {
        match *self.phase.borrow() {
            Phase::Starting => Err("starting".into()),
            _ if !self.driver.ready() => Err("no upstream is known yet".into()),
            Phase::Up => Ok("serving".into()),
            Phase::Paused => Ok("serving, paused: clients are sent away".into()),
            _ => Err("ending".into()),
        }
    }

    async fn pause(&self, paused: bool) -> Reply {
        self.change(move |orders| orders.paused = paused).await?;
        Ok(if paused { "paused" } else { "serving" }.into())
    }

    async fn suspend(&self, id: &str) -> Reply {
        if !self.driver.knows(id) {
            return Err(unknown(id));
        }
        let name = id.to_string();
        self.change(move |orders| orders.suspend(&name)).await?;
        Ok(format!("{id} is left out"))
    }

    async fn restore(&self, id: &str) -> Reply {
        if !self.driver.knows(id) {
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

fn worded(reply: Reply) -> String {
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
