//! A stand-in for discovery: one list, with an agent on a port of its own for each balancer, so that it is known whom what
//! was told when.
use crate::oracle::{Listed, Oracle};
use crate::wire::{Message, Reader};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// News counts as told this long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// A new address has told all that there is this long after the signal.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The queue of discovery fails calls that have waited this long.
const QUEUE_WAIT: Duration = Duration::from_secs(2);
/// And turns them away at once where more than this would be before them.
const QUEUE_MOST: Duration = Duration::from_millis(2300);
/// A watch goes on if its next call comes this soon after the last answer.
const GOES_ON: Duration = Duration::from_millis(200);

/// How balancers learn of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// An agent beside the balancer has it.
    Push,
    /// It is asked for, from one queue for all.
    Ask,
}

/// What discovery does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// Answers.
    Up,
    /// Refuses after a while.
    Refusing,
    /// Takes calls and is silent.
    Silent,
    /// Breaks connections off.
    Broken,
}

impl Condition {
    fn is_reachable(self) -> bool {
        self == Condition::Up
    }
}

#[derive(Clone, Debug)]
struct Entry {
    address: SocketAddr,
    state: &'static str,
    started_ms: u64,
    /// The version that brought its state.
    version: u64,
    changed: Instant,
}

struct State {
    entries: Vec<Entry>,
    version: u64,
    condition: Condition,
    /// Since when it has been reachable without a break.
    reachable: Instant,
    /// When the queue has worked off all that is in it.
    queue_free: Instant,
    /// How long it works for one call that begins a watch or wants the whole list.
    work: Duration,
    /// How likely answers are malformed, end instead of telling, come in pieces, or are the whole list.
    malformed: f64,
    ends: f64,
    pieces: f64,
    whole: f64,
    /// Watches that stood before this are silent.
    silent_before: Option<Instant>,
    /// What silent watches miss counts as told from then on.
    silent_until: Instant,
    /// For each balancer, when its process started and which version it was told last.
    told: Vec<(Instant, u64)>,
}

/// The list and its agents.
pub struct Discovery {
    mode: Mode,
    state: Mutex<State>,
    version: watch::Sender<u64>,
    oracle: Arc<Oracle>,
}

/// Faults in answers, each as likely as stated, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerFaults {
    /// Answers are no list.
    pub malformed: f64,
    /// The connection ends instead of an answer.
    pub ends: f64,
    /// Answers come in pieces.
    pub pieces: f64,
    /// The first answer to a watch is the whole list.
    pub whole: f64,
}

impl Discovery {
    /// Lists these upstreams as active since long ago.
    pub fn new(
        mode: Mode,
        upstreams: &[SocketAddr],
        balancers: usize,
        work: Duration,
        oracle: Arc<Oracle>,
    ) -> Arc<Self> {
        let now = Instant::now();
        let entry = |&address: &SocketAddr| Entry {
            address,
            state: "active",
            started_ms: 0,
            version: 1,
            changed: now,
        };
        let state = State {
            entries: upstreams.iter().map(entry).collect(),
            version: 1,
            condition: Condition::Up,
            reachable: now,
            queue_free: now,
            work,
            malformed: 0.0,
            ends: 0.0,
            pieces: 0.0,
            whole: 0.0,
            silent_before: None,
            silent_until: now,
            told: vec![(now, 1); balancers],
        };
        Arc::new(Discovery {
            mode,
            state: Mutex::new(state),
            version: watch::Sender::new(1),
            oracle,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an agent for a balancer; it answers for as long as the runtime lasts.
    pub async fn open_agent(
        self: &Arc<Self>,
        balancer: usize,
        seed: u64,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        tokio::spawn(async move {
            let mut number = seed;
            while let Ok((stream, _)) = listener.accept().await {
                number = number.wrapping_add(1);
                let random = StdRng::seed_from_u64(number);
                tokio::spawn(discovery.clone().serve(stream, balancer, random));
            }
        });
        Ok(address)
    }

    /// Does this with calls from now on.
    pub fn condition(&self, condition: Condition) {
        let mut state = self.state();
        if !state.condition.is_reachable() && condition.is_reachable() {
            state.reachable = Instant::now();
        }
        state.condition = condition;
        drop(state);
        // Waiting calls look again.
        self.version.send_modify(|_| ());
    }

    /// Spoils answers like this from now on.
    pub fn spoil(&self, faults: AnswerFaults) {
        let mut state = self.state();
        let AnswerFaults {
            malformed,
            ends,
            pieces,
            whole,
        } = faults;
        (state.malformed, state.ends, state.pieces, state.whole) = (malformed, ends, pieces, whole);
    }

    /// All watches that stand now fall silent.
    pub fn silence_watches(&self) {
        let mut state = self.state();
        state.silent_before = Some(Instant::now());
        state.silent_until = Instant::now() + TOLD_WITHIN;
    }

    /// Changes what is listed of an upstream.
    pub fn change(&self, upstream: usize, listed: &'static str, started_ms: Option<u64>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let entry = &mut state.entries[upstream];
        entry.state = listed;
        entry.started_ms = started_ms.unwrap_or(entry.started_ms);
        (entry.version, entry.changed) = (version, Instant::now());
        drop(state);
        self.version.send_replace(version);
    }

    /// A balancer's process starts now.
    pub fn balancer_started(&self, balancer: usize) {
        self.state().told[balancer].0 = Instant::now();
    }

    /// A balancer is told to use another address: what that has to tell counts as told some time later.
    pub fn balancer_reloaded(&self, balancer: usize) {
        self.state().told[balancer].0 = Instant::now() + TOLD_AFTER_RELOAD;
    }

    /// The whole list, as this balancer is given it at its start.
    pub fn snapshot(&self, balancer: usize) -> String {
        let state = self.state();
        state.tell(&self.oracle, balancer, Instant::now());
        state.listing(None)
    }

    /// The whole list, as a further process of this balancer is given it while the first one goes by what it knows.
    pub fn snapshot_beside(&self, balancer: usize) -> String {
        let state = self.state();
        let active = state
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.state == "active");
        for (upstream, _) in active {
            self.oracle
                .told(balancer, upstream, Listed::Active, Instant::now());
        }
        state.listing(None)
    }

    /// Records what counts as told by now though it may not have arrived; to be called often.
    pub fn settle(&self) {
        let now = Instant::now();
        let state = self.state();
        if !state.condition.is_reachable() {
            return;
        }
        for entry in state.entries.iter().enumerate() {
            let (upstream, entry) = entry;
            let had = entry.changed.max(state.reachable);
            for (balancer, &(started, _)) in state.told.iter().enumerate() {
                let counts = match self.mode {
                    Mode::Push => had.max(started).max(state.silent_until),
                    Mode::Ask => had.max(started) + TOLD_WITHIN,
                };
                if now >= counts && entry.state != "active" {
                    self.oracle.told(balancer, upstream, Listed::Closed, counts);
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, balancer: usize, mut random: StdRng) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        let mut answered: Option<Instant> = None;
        while let Ok(call) = reader.message().await {
            let goes_on = answered.is_some_and(|at| at.elapsed() <= GOES_ON);
            let since = parameter(&call, "since");
            let wait = Duration::from_millis(parameter(&call, "timeout_ms").unwrap_or(0));
            let deed = tokio::select! {
                deed = self.decide(since, wait, goes_on, &mut random) => deed,
                () = reader.ended() => return,
            };
            match deed {
                Deed::Silent => return reader.ended().await,
                Deed::End => return,
                Deed::Refuse => {
                    let refused = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    if write.write_all(refused).await.is_err() {
                        return;
                    }
                    answered = None;
                }
                Deed::Malformed => {
                    let _ = write
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"version\": ")
                        .await;
                    return;
                }
                Deed::List { full, pieces } => {
                    let body = self.listing(if full { None } else { since }, balancer);
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if write_pieces(&mut write, text.as_bytes(), pieces)
                        .await
                        .is_err()
                    {
                        return;
                    }
                    answered = Some(Instant::now());
                }
            }
        }
    }

    /// The list as it is now, which this balancer has been told with it.
    fn listing(&self, since: Option<u64>, balancer: usize) -> String {
        let mut state = self.state();
        let version = state.version;
        state.told[balancer].1 = version;
        state.tell(&self.oracle, balancer, Instant::now());
        state.listing(since)
    }

    async fn decide(
        &self,
        since: Option<u64>,
        wait: Duration,
        goes_on: bool,
        random: &mut StdRng,
    ) -> Deed {
        let began = Instant::now();
        if !(goes_on && since.is_some()) {
            if let Some(deed) = self.queue().await {
                return deed;
            }
        }
        let (malformed, ends, pieces, whole) = {
            let state = self.state();
            let mut falls = |likely: f64| random.random::<f64>() < likely;
            (
                falls(state.malformed),
                falls(state.ends),
                falls(state.pieces),
                falls(state.whole),
            )
        };
        let news = since.is_none() || self.newer(since.unwrap_or(0), wait, began).await;
        if self.mode == Mode::Push {
            self.reachable_again().await;
        }
        let condition = {
            let state = self.state();
            if since.is_some() && state.silent_before.is_some_and(|before| began < before) {
                return Deed::Silent;
            }
            state.condition
        };
        match condition {
            Condition::Silent => Deed::Silent,
            Condition::Broken => Deed::End,
            Condition::Refusing => Deed::Refuse,
            Condition::Up if malformed => Deed::Malformed,
            Condition::Up if ends => Deed::End,
            Condition::Up => Deed::List {
                full: since.is_none() || news && whole && !goes_on,
                pieces,
            },
        }
    }

    /// Waits for the turn of a call that begins a watch or wants the whole list, where lists are asked for.
    async fn queue(&self) -> Option<Deed> {
        if self.mode == Mode::Push {
            return None;
        }
        let now = Instant::now();
        let turn = {
            let mut state = self.state();
            if state.condition != Condition::Up {
                None
            } else {
                let turn = state.queue_free.max(now);
                if turn - now > QUEUE_MOST {
                    return Some(Deed::Refuse);
                }
                // Who has given up by then is worked off all the same.
                state.queue_free = turn + state.work;
                Some(turn)
            }
        };
        match turn {
            Some(turn) if turn - now <= QUEUE_WAIT => {
                sleep_until(turn).await;
                None
            }
            Some(_) => {
                sleep(QUEUE_WAIT).await;
                Some(Deed::Refuse)
            }
            None => {
                let condition = self.state().condition;
                if condition == Condition::Refusing {
                    sleep(QUEUE_WAIT).await;
                }
                None
            }
        }
    }

    /// Waits while discovery is down: an agent is silent until then, and answers what waits for it as it gets the news.
    async fn reachable_again(&self) {
        let mut versions = self.version.subscribe();
        while !self.state().condition.is_reachable() {
            if versions.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits for something newer than this version; whether there is.
    async fn newer(&self, since: u64, wait: Duration, began: Instant) -> bool {
        let mut versions = self.version.subscribe();
        let is_newer = || {
            let state = self.state();
            let silent = state.silent_before.is_some_and(|before| began < before);
            state.version > since || !state.condition.is_reachable() || silent
        };
        let changed = async {
            while !is_newer() {
                if versions.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(wait, changed).await.is_ok()
    }
}

enum Deed {
    Silent,
    End,
    Refuse,
    Malformed,
    List { full: bool, pieces: bool },
}

impl State {
    fn listing(&self, since: Option<u64>) -> String {
        let wanted = |entry: &&(usize, &Entry)| match since {
            None => entry.1.state != "left",
            Some(since) => entry.1.version > since,
        };
        let entries: Vec<(usize, &Entry)> = self.entries.iter().enumerate().collect();
        let servers: Vec<_> = entries
            .iter()
            .filter(wanted)
            .map(|(number, entry)| {
                json!({
                    "id": upstream_name(*number), "addr": entry.address.to_string(), "zone": "a", "kind": "m",
                    "cell": number % 3, "state": entry.state, "weight": 1.0, "started_ms": entry.started_ms,
                })
            })
            .collect();
        json!({ "version": self.version, "full": since.is_none(), "servers": servers }).to_string()
    }

    /// A balancer knows all that is listed now.
    fn tell(&self, oracle: &Oracle, balancer: usize, at: Instant) {
        for (upstream, entry) in self.entries.iter().enumerate() {
            let listed = if entry.state == "active" {
                Listed::Active
            } else {
                Listed::Closed
            };
            oracle.told(balancer, upstream, listed, at.max(entry.changed));
        }
    }
}

/// The id of an upstream in lists.
pub fn upstream_name(number: usize) -> String {
    format!("s-{number:08x}")
}

fn parameter(call: &Message, name: &str) -> Option<u64> {
    let path = call.start.split(' ').nth(1)?;
    let (_, query) = path.split_once('?')?;
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value?.parse().ok()
}

async fn write_pieces(write: &mut OwnedWriteHalf, text: &[u8], pieces: bool) -> io::Result<()> {
    if !pieces {
        return write.write_all(text).await;
    }
    for piece in text.chunks(text.len() / 4 + 1) {
        write.write_all(piece).await?;
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}
