//! A stand-in for polled discovery whose replies a test scripts call by call.
//!
//! Until [`ScriptedDiscovery::play`], each call waits for its `timeout_ms`. `play` changes the endpoint list and starts
//! the script: from then on each call gets the reply of the next step. Calls after the last step get the change.
use super::{endpoint_list, read_message, Message};
use socket2::{Domain, Socket, Type};
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as notified no later than this long after discovery both had it and could be reached, even if no
/// call has fetched it.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The version of the list before the change.
const VERSION_BEFORE: u64 = 5;
/// The version of the list after the change.
const VERSION_AFTER: u64 = 6;
/// Length of the listener's accept queue, in connections.
const ACCEPT_QUEUE: i32 = 16;

/// What discovery does with a call.
#[derive(Clone, Copy, Debug)]
pub enum CallReply {
    /// Responds with the change this long after the call.
    Serve(Duration),
    /// Responds with status 503 this long after the call.
    Reject(Duration),
    /// Resets the connection.
    Reset,
    /// Resets the connection and refuses new ones for this long.
    RefuseConnections(Duration),
    /// Does not respond.
    Ignore,
    /// Responds with an older list this long after the call.
    ServeOlderList(Duration),
    /// Responds with half of the change and closes the connection.
    Truncate,
}

/// When discovery can be reached and serve the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    None,
    /// While the call is under way, right after it was read.
    DuringCall,
    /// Once the reply to the call is complete; after [`CallReply::RefuseConnections`], once the time of refusal is over.
    AfterReply,
}

/// One call of a script.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    reply: CallReply,
    recovery: Recovery,
}

impl Step {
    /// A call that does not change whether discovery can be reached.
    pub fn new(reply: CallReply) -> Step {
        Step {
            reply,
            recovery: Recovery::None,
        }
    }

    /// A call during which discovery becomes reachable, and which fails nevertheless.
    pub fn recovering_during(reply: CallReply) -> Step {
        Step {
            reply,
            recovery: Recovery::DuringCall,
        }
    }

    /// The last call before discovery becomes reachable.
    pub fn recovering_after(reply: CallReply) -> Step {
        Step {
            reply,
            recovery: Recovery::AfterReply,
        }
    }
}

/// Endpoints as [`endpoint_list`] takes them.
pub type ListedUpstreams = Vec<(usize, SocketAddr, &'static str)>;

/// The lists that discovery has.
#[derive(Clone, Debug)]
pub struct ListHistory {
    older: String,
    /// The list before the change, which the balancer knows.
    pub before: String,
    change: String,
    after: String,
}

impl ListHistory {
    /// A list, a change to it, and the list after the change.
    pub fn new(
        before: &ListedUpstreams,
        change: &ListedUpstreams,
        after: &ListedUpstreams,
    ) -> ListHistory {
        ListHistory {
            older: endpoint_list(VERSION_BEFORE - 1, true, before),
            before: endpoint_list(VERSION_BEFORE, true, before),
            change: endpoint_list(VERSION_AFTER, false, change),
            after: endpoint_list(VERSION_AFTER, true, after),
        }
    }

    /// A list, and a change with which all its upstreams restart at this Unix time in milliseconds.
    pub fn with_restart(before: &ListedUpstreams, started_ms: u128) -> ListHistory {
        let restarted = |list: String| {
            let started = format!("\"started_ms\":{started_ms}");
            list.replace("\"started_ms\":0", &started)
        };
        let history = ListHistory::new(before, before, before);
        ListHistory {
            change: restarted(history.change),
            after: restarted(history.after),
            ..history
        }
    }

    /// A list, and the complete list after the change, which discovery sends to a watch instead of a delta.
    pub fn with_complete_change(before: &ListedUpstreams, after: &ListedUpstreams) -> ListHistory {
        let complete = endpoint_list(VERSION_AFTER, true, after);
        ListHistory {
            change: complete,
            ..ListHistory::new(before, after, after)
        }
    }
}

#[derive(Default)]
struct State {
    script: VecDeque<Step>,
    has_changed: bool,
    /// When discovery had the change and could be reached.
    reachable_at: Option<Instant>,
    /// When the change was first written.
    written_at: Option<Instant>,
    /// When the first call asked for updates after the change, which shows that the balancer has applied it.
    followed_at: Option<Instant>,
    calls: Vec<Instant>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    lists: ListHistory,
}

/// Discovery for one balancer.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Keeps the port reserved while nothing listens on it.
    _reservation: Socket,
}

/// Whether the connection carries further calls.
#[derive(PartialEq)]
enum Connection {
    Kept,
    Closed,
    /// Closed. New ones are refused for this long; then the recovery is applied.
    RefusedFor(Duration, Recovery),
}

impl ScriptedDiscovery {
    /// Listens, and serves one connection at a time.
    pub fn start(lists: ListHistory) -> ScriptedDiscovery {
        let reservation = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let bound_to = reservation.local_addr().expect("an address");
        let address = bound_to.as_socket().expect("an address");
        let listener = listen(address);
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            lists,
        });
        let serving = shared.clone();
        thread::spawn(move || serving.accept_connections(listener));
        ScriptedDiscovery {
            address,
            shared,
            _reservation: reservation,
        }
    }

    /// Makes the change and starts the script; a call that waits now gets its first step. Discovery counts as reachable
    /// from the step made by [`Step::recovering_during`] or [`Step::recovering_after`], or at once if there is none.
    pub fn play(&self, script: &[Step]) {
        let mut state = self.shared.state();
        state.script = script.iter().copied().collect();
        state.has_changed = true;
        if script.iter().all(|step| step.recovery == Recovery::None) {
            state.reachable_at = Some(Instant::now());
        }
        self.shared.changed.notify_all();
    }

    /// When the change counts as notified; `None` while discovery cannot be reached.
    pub fn notified_at(&self) -> Option<Instant> {
        let state = self.shared.state();
        let due_at = state.reachable_at? + NOTIFICATION_DEADLINE;
        Some(state.written_at.map_or(due_at, |at| at.min(due_at)))
    }

    /// When the balancer showed by its next call that it has applied the change.
    pub fn followed_at(&self) -> Option<Instant> {
        self.shared.state().followed_at
    }

    /// When calls arrived.
    pub fn calls(&self) -> Vec<Instant> {
        self.shared.state().calls.clone()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panicked while it held the lock")
    }

    fn accept_connections(&self, mut listener: TcpListener) {
        let address = listener.local_addr().expect("an address");
        while let Ok((stream, _)) = listener.accept() {
            let ended = self.serve(BufReader::new(stream));
            if let Connection::RefusedFor(period, recovery) = ended {
                drop(listener);
                thread::sleep(period);
                self.recover(recovery);
                listener = listen(address);
            }
        }
    }

    fn serve(&self, mut stream: BufReader<TcpStream>) -> Connection {
        let mut connection = Connection::Kept;
        while connection == Connection::Kept {
            let Some(call) = read_message(&mut stream) else {
                return Connection::Closed;
            };
            connection = self.respond(&call, &mut stream);
        }
        connection
    }

    fn respond(&self, call: &Message, stream: &mut BufReader<TcpStream>) -> Connection {
        let since = query_parameter(call.path(), "since");
        let Some(step) = self.next_step(call, since) else {
            return self.write_list(stream, since);
        };
        if step.recovery == Recovery::DuringCall {
            self.recover(step.recovery);
        }
        let connection = self.perform(step, stream, since);
        // After a refusal, `accept_connections` recovers once the time of refusal is over.
        if !matches!(connection, Connection::RefusedFor(..)) {
            self.recover(step.recovery);
        }
        connection
    }

    fn perform(
        &self,
        step: Step,
        stream: &mut BufReader<TcpStream>,
        since: Option<u64>,
    ) -> Connection {
        match step.reply {
            CallReply::Serve(delay) => {
                thread::sleep(delay);
                self.write_list(stream, since)
            }
            CallReply::Reject(delay) => {
                thread::sleep(delay);
                write(stream, "503 Service Unavailable", "");
                // The connection is closed after a rejection; the balancer opens another one.
                Connection::Closed
            }
            CallReply::Reset => reset(stream),
            CallReply::RefuseConnections(period) => {
                reset(stream);
                Connection::RefusedFor(period, step.recovery)
            }
            CallReply::Ignore => {
                while read_message(stream).is_some() {}
                Connection::Closed
            }
            CallReply::ServeOlderList(delay) => {
                thread::sleep(delay);
                write(stream, "200 OK", &self.lists.older);
                Connection::Closed
            }
            CallReply::Truncate => {
                let half = &self.lists.change[..self.lists.change.len() / 2];
                let length = self.lists.change.len();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                let _ = stream.get_mut().write_all((head + half).as_bytes());
                Connection::Closed
            }
        }
    }

    /// The script's step for a call; `None` if there is no change yet or no step left. A call waits for up to its
    /// `timeout_ms`: until the change is made, or the whole time if the balancer has the change already.
    fn next_step(&self, call: &Message, since: Option<u64>) -> Option<Step> {
        let mut state = self.state();
        state.calls.push(Instant::now());
        if state.written_at.is_some() && since == Some(VERSION_AFTER) {
            state.followed_at.get_or_insert_with(Instant::now);
        }
        let long_poll =
            Duration::from_millis(query_parameter(call.path(), "timeout_ms").unwrap_or(0));
        let is_notified = since == Some(VERSION_AFTER);
        let (mut state, _) = self
            .changed
            .wait_timeout_while(state, long_poll, |state| is_notified || !state.has_changed)
            .expect("no thread panicked while it held the lock");
        if !state.has_changed {
            return None;
        }
        state.script.pop_front()
    }

    /// Responds to a watch with the change, and to a call for a snapshot with the list after it. If there is no change
    /// yet, or the balancer has it, a watch gets an empty delta and a call for a snapshot the list before the change.
    fn write_list(&self, stream: &mut BufReader<TcpStream>, since: Option<u64>) -> Connection {
        let mut state = self.state();
        let has_news = state.has_changed && since != Some(VERSION_AFTER);
        if has_news {
            state.written_at.get_or_insert_with(Instant::now);
        }
        drop(state);
        let body = match since {
            Some(_) if has_news => self.lists.change.clone(),
            None if has_news => self.lists.after.clone(),
            None => self.lists.before.clone(),
            Some(version) => endpoint_list(version, false, &[]),
        };
        write(stream, "200 OK", &body);
        Connection::Kept
    }

    fn recover(&self, recovery: Recovery) {
        let mut state = self.state();
        if recovery != Recovery::None && state.has_changed {
            state.reachable_at.get_or_insert_with(Instant::now);
        }
    }
}

/// A socket bound to this address, which other sockets can share (`SO_REUSEPORT`).
fn bind(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creates a socket");
    socket.set_reuse_port(true).expect("sets SO_REUSEPORT");
    socket.bind(&address.into()).expect("binds");
    socket
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = bind(address);
    socket.listen(ACCEPT_QUEUE).expect("listens");
    socket.into()
}

/// A number in the query of a path.
fn query_parameter(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='))
        .find(|(parameter, _)| *parameter == name)
        .and_then(|(_, value)| value.parse().ok())
}

fn write(stream: &mut BufReader<TcpStream>, status: &str, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
    // The balancer may have abandoned the call.
    let _ = stream.get_mut().write_all(text.as_bytes());
}

fn reset(stream: &mut BufReader<TcpStream>) -> Connection {
    let no_linger = Some(Duration::ZERO);
    socket2::SockRef::from(stream.get_ref())
        .set_linger(no_linger)
        .expect("sets SO_LINGER");
    Connection::Closed
}
