//! Stand-ins for upstreams, which misbehave as the protocol page says that real ones may.
use crate::oracle::{AttemptEnd, Oracle};
use crate::wire::Reader;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Longest time that a hung request stays open.
const HANG: Duration = Duration::from_secs(8);
/// Second answers come this much later.
const SECOND_ANSWER: Duration = Duration::from_millis(3);

/// How likely each misbehaviour is, from 0 to 1, and how fast an upstream answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Mean time to answer.
    pub answer_ms: f64,
    /// Answers 500.
    pub error: f64,
    /// Declines with the mark that nothing ran.
    pub decline: f64,
    /// Resets the connection once the request has come whole.
    pub reset: f64,
    /// Resets the connection as the request begins.
    pub reset_early: f64,
    /// Never answers.
    pub hang: f64,
    /// Breaks the answer off in its middle.
    pub cut: f64,
    /// Answers what is no HTTP.
    pub garbage: f64,
    /// Answers twice.
    pub twice: f64,
    /// Answers without a length, to the end of the connection.
    pub endless: f64,
    /// Closes an idle connection after an answer without saying so.
    pub close_idle: f64,
    /// Takes connections in and is silent.
    pub silent: f64,
}

/// A running upstream.
pub struct Upstream {
    /// Its number.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    task: Mutex<Option<AbortHandle>>,
}

struct State {
    number: usize,
    oracle: Arc<Oracle>,
    behaviour: Mutex<Behaviour>,
    /// Declines all that is new, as one that drains.
    draining: AtomicBool,
    /// Connections of an earlier process are dead.
    generation: AtomicU64,
    seed: u64,
    connections: AtomicU64,
}

impl Upstream {
    /// Starts an upstream on a free port of loopback.
    pub async fn start(
        number: usize,
        seed: u64,
        behaviour: Behaviour,
        oracle: Arc<Oracle>,
    ) -> io::Result<Upstream> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            number,
            oracle,
            behaviour: Mutex::new(behaviour),
            draining: AtomicBool::new(false),
            generation: AtomicU64::new(0),
            seed,
            connections: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, state.clone()));
        Ok(Upstream {
            number,
            address,
            state,
            task: Mutex::new(Some(task.abort_handle())),
        })
    }

    /// Behaves like this from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        *self
            .state
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// How it behaves.
    pub fn behaviour(&self) -> Behaviour {
        self.state.behaviour()
    }

    /// Whether it declines all that is new.
    pub fn drain(&self, draining: bool) {
        self.state.draining.store(draining, Ordering::Relaxed);
    }

    /// Its process dies: connections are reset, and new ones are refused until [`Upstream::restart`].
    pub fn stop(&self) {
        self.state.generation.fetch_add(1, Ordering::Relaxed);
        if let Some(task) = self
            .task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
        {
            task.abort();
        }
    }

    /// Its process starts again at the same address.
    pub async fn restart(&self) -> io::Result<()> {
        self.drain(false);
        let listener = TcpListener::bind(self.address).await?;
        let task = tokio::spawn(accept(listener, self.state.clone()));
        *self.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task.abort_handle());
        Ok(())
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = state.connections.fetch_add(1, Ordering::Relaxed);
        let random = StdRng::seed_from_u64(state.seed.wrapping_mul(1_000_003).wrapping_add(number));
        tokio::spawn(serve(stream, state.clone(), random));
    }
}

/// What an upstream does with one request.
enum Deed {
    Answer {
        status: &'static str,
        end: AttemptEnd,
    },
    Reset,
    Hang,
    Cut,
    Garbage,
    Twice,
    Endless,
}

impl State {
    fn behaviour(&self) -> Behaviour {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn deed(&self, random: &mut StdRng) -> Deed {
        let b = self.behaviour();
        if self.draining.load(Ordering::Relaxed) {
            return Deed::Answer {
                status: "503 Service Unavailable\r\nSrv-Declined: 1",
                end: AttemptEnd::Declined,
            };
        }
        let mut chance = random.random::<f64>();
        let mut falls = |likely: f64| {
            chance -= likely;
            chance < 0.0
        };
        if falls(b.error) {
            Deed::Answer {
                status: "500 Internal Server Error",
                end: AttemptEnd::Failed,
            }
        } else if falls(b.decline) {
            Deed::Answer {
                status: "503 Service Unavailable\r\nSrv-Declined: 1",
                end: AttemptEnd::Declined,
            }
        } else if falls(b.reset) {
            Deed::Reset
        } else if falls(b.hang) {
            Deed::Hang
        } else if falls(b.cut) {
            Deed::Cut
        } else if falls(b.garbage) {
            Deed::Garbage
        } else if falls(b.twice) {
            Deed::Twice
        } else if falls(b.endless) {
            Deed::Endless
        } else {
            Deed::Answer {
                status: "200 OK",
                end: AttemptEnd::Served,
            }
        }
    }
}

/// Requests whose id ends so get a large answer.
pub const LARGE: &str = "-large";
const LARGE_REPEATS: usize = 10_000;

/// The body of the answer to a request, by which its client knows it.
pub fn answer_body(id: &str) -> String {
    let body = format!("served {id}");
    if id.ends_with(LARGE) {
        body.repeat(LARGE_REPEATS)
    } else {
        body
    }
}

async fn serve(stream: TcpStream, state: Arc<State>, mut random: StdRng) {
    let _ = stream.set_nodelay(true);
    let generation = state.generation.load(Ordering::Relaxed);
    if random.random::<f64>() < state.behaviour().silent {
        sleep(HANG).await;
        return;
    }
    let (read, mut write) = stream.into_split();
    let mut reader = Reader::new(read);
    loop {
        let Ok(begun) = reader.begun().await else {
            return;
        };
        if random.random::<f64>() < state.behaviour().reset_early {
            return reset(reader, write);
        }
        let Ok(request) = reader.message().await else {
            return;
        };
        if state.generation.load(Ordering::Relaxed) != generation {
            return reset(reader, write);
        }
        let Some(id) = request.header("req-id").map(str::to_string) else {
            return;
        };
        let told = request
            .span_ms("req-deadline")
            .map(|ms| Duration::from_secs_f64(ms / 1000.0));
        let number = state.oracle.attempt(&id, state.number, begun, told);
        let Some(number) = number else {
            state.oracle.violated(
                crate::oracle::Rule::WrongAnswer,
                format!("a request that no client sent: {id}"),
            );
            return;
        };
        state.oracle.attempt_whole(&id, number);
        let given_up = tokio::select! {
            biased;
            goes_on = answer(&mut write, &state, &mut random, &id, number) => match goes_on {
                After::Keep => None,
                After::Close => return,
                After::Reset => return reset(reader, write),
            },
            () = reader.ended() => Some(()),
        };
        if given_up.is_some() {
            state.oracle.attempt_ended(&id, number, AttemptEnd::GivenUp);
            return;
        }
        if random.random::<f64>() < state.behaviour().close_idle {
            sleep(Duration::from_millis(random.random_range(0..40))).await;
            return;
        }
    }
}

enum After {
    Keep,
    Close,
    Reset,
}

async fn answer(
    write: &mut OwnedWriteHalf,
    state: &State,
    random: &mut StdRng,
    id: &str,
    number: usize,
) -> After {
    let behaviour = state.behaviour();
    let busy = -behaviour.answer_ms * (1.0 - random.random::<f64>()).ln();
    sleep(Duration::from_secs_f64(busy.min(2000.0) / 1000.0)).await;
    let body = answer_body(id);
    let whole = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let ended = |end| state.oracle.attempt_ended(id, number, end);
    match state.deed(random) {
        Deed::Answer { status, end } => {
            let body = if end == AttemptEnd::Served {
                body
            } else {
                String::new()
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            ended(end);
            sent(write.write_all(text.as_bytes()).await)
        }
        Deed::Reset => {
            ended(AttemptEnd::Reset);
            After::Reset
        }
        Deed::Hang => {
            sleep(HANG).await;
            ended(AttemptEnd::Reset);
            After::Reset
        }
        Deed::Cut => {
            let half = &whole.as_bytes()[..whole.len() - body.len() / 2];
            let _ = write.write_all(half).await;
            ended(AttemptEnd::Reset);
            After::Reset
        }
        Deed::Garbage => {
            let _ = write.write_all(b"SMTP ready\r\n\r\n").await;
            ended(AttemptEnd::Failed);
            After::Close
        }
        Deed::Twice => {
            ended(AttemptEnd::Served);
            if write.write_all(whole.as_bytes()).await.is_err() {
                return After::Close;
            }
            sleep(SECOND_ANSWER).await;
            sent(write.write_all(whole.as_bytes()).await)
        }
        Deed::Endless => {
            ended(AttemptEnd::Served);
            let text = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
            let _ = write.write_all(text.as_bytes()).await;
            After::Close
        }
    }
}

fn sent(result: io::Result<()>) -> After {
    match result {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

/// Closes a connection so that the other side sees a reset.
fn reset(reader: Reader, write: OwnedWriteHalf) {
    if let Ok(stream) = reader.reunite(write) {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}
