//! Clients: those that keep to the protocol, those that leave, and those that misbehave.
use crate::oracle::{ClientEnd, Effect, Oracle, RequestStart, Rule};
use crate::upstream::{answer_body, LARGE};
use crate::wire::{Message, ReadError, Reader};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A client waits this much longer than its deadline before it gives an answer up for lost.
const BEYOND: Duration = Duration::from_millis(900);
/// Deadlines of requests, in milliseconds.
const DEADLINES_MS: std::ops::Range<u64> = 250..2000;
const BODY: &str = "twelve bytes";
/// A large body is the small one so often: 120 KB.
const LARGE_REPEATS: usize = 10_000;
/// Clients send this many times as much in a burst.
const BURST: f64 = 5.0;
/// Pause before a client connects again to a balancer that is not there.
const RECONNECT: Duration = Duration::from_millis(50);

/// What a client is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Sends one request at a time on a connection that it keeps, and waits.
    Steady,
    /// Uses a new connection for each request.
    Fresh,
    /// Often leaves while its request is out.
    Leaves,
    /// Sends several requests at once on one connection.
    Pipelines,
    /// Writes its requests slowly.
    Slow,
    /// Sends and gets bodies that are passed on while they come.
    Large,
    /// Stops in the middle of a request and stays.
    Stalls,
    /// Sends what is no request.
    Babbles,
    /// Connects and is silent.
    Silent,
}

/// Classes as the settings of a run name them.
pub const CLASSES: [(&str, Effect); 3] = [
    ("read", Effect::Free),
    ("order", Effect::Guarded),
    ("pay", Effect::SingleShot),
];

/// What clients share.
pub struct Crowd {
    /// Where their balancer listens.
    pub address: SocketAddr,
    /// Its number.
    pub balancer: usize,
    /// Requests a second of one client while it has no request out.
    pub rate: f64,
    /// Set when no more requests are to be sent.
    pub ends: Arc<AtomicBool>,
    /// Set while clients send several times as much.
    pub burst: AtomicBool,
    /// Set while no new connections are made: the balancer is known to end.
    pub refuses: AtomicBool,
    /// Who judges.
    pub oracle: Arc<Oracle>,
}

struct Connection {
    reader: Reader,
    writer: OwnedWriteHalf,
    used: bool,
}

/// A client that runs until the crowd ends.
pub struct Client {
    crowd: Arc<Crowd>,
    habit: Habit,
    number: u64,
    random: StdRng,
    sent: u64,
    connection: Option<Connection>,
}

struct Prepared {
    id: String,
    text: Vec<u8>,
    start: RequestStart,
}

impl Client {
    /// A client with this number, unique in the run.
    pub fn new(crowd: Arc<Crowd>, habit: Habit, number: u64, seed: u64) -> Client {
        let random = StdRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Client {
            crowd,
            habit,
            number,
            random,
            sent: 0,
            connection: None,
        }
    }

    /// Sends requests until the crowd ends.
    pub async fn run(mut self) {
        while !self.crowd.ends.load(Ordering::Relaxed) {
            let factor = if self.crowd.burst.load(Ordering::Relaxed) {
                BURST
            } else {
                1.0
            };
            let pause = -(1.0 - self.random.random::<f64>()).ln() / (self.crowd.rate * factor);
            sleep(Duration::from_secs_f64(pause.min(3.0))).await;
            if self.habit == Habit::Fresh {
                self.connection = None;
            }
            if self.connect().await.is_none() {
                sleep(RECONNECT).await;
                continue;
            }
            match self.habit {
                Habit::Steady | Habit::Fresh | Habit::Slow | Habit::Large => self.exchange().await,
                Habit::Leaves => self.leave().await,
                Habit::Pipelines => self.pipeline().await,
                Habit::Stalls | Habit::Babbles | Habit::Silent => self.misbehave().await,
            }
        }
    }

    async fn connect(&mut self) -> Option<()> {
        if self.connection.is_none() {
            if self.crowd.refuses.load(Ordering::Relaxed) {
                return None;
            }
            let stream = TcpStream::connect(self.crowd.address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (read, writer) = stream.into_split();
            self.connection = Some(Connection {
                reader: Reader::new(read),
                writer,
                used: false,
            });
        }
        Some(())
    }

    fn prepare(&mut self, plain: bool) -> Prepared {
        self.sent += 1;
        let large = self.habit == Habit::Large;
        let id = format!(
            "c{}-{}{}",
            self.number,
            self.sent,
            if large { LARGE } else { "" }
        );
        let (class, effect) = CLASSES[self.random.random_range(0..CLASSES.len())];
        let deadline = Duration::from_millis(self.random.random_range(DEADLINES_MS));
        let (method, key, body) = match effect {
            Effect::Free => ("GET", String::new(), ""),
            Effect::Guarded => ("POST", format!("Idempotency-Key: k-{id}\r\n"), BODY),
            Effect::SingleShot => ("POST", String::new(), BODY),
        };
        let body = if large {
            body.repeat(LARGE_REPEATS)
        } else {
            body.to_string()
        };
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let text = format!(
            "{method} /api HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: club\r\n\
             Req-Deadline: {}m\r\n{key}{length}\r\n{body}",
            deadline.as_millis()
        );
        let new_connection = self
            .connection
            .as_ref()
            .is_some_and(|connection| !connection.used);
        let start = RequestStart {
            effect,
            balancer: self.crowd.balancer,
            deadline,
            answer_within: deadline,
            new_connection,
            plain,
        };
        Prepared {
            id,
            text: text.into_bytes(),
            start,
        }
    }

    /// One request and its answer.
    async fn exchange(&mut self) {
        let request = self.prepare(true);
        let pieces = if self.habit == Habit::Slow {
            self.random.random_range(2..6)
        } else {
            1
        };
        let Some(connection) = self.connection.as_mut() else {
            return;
        };
        self.crowd.oracle.request(&request.id, request.start);
        let written = write_pieces(&mut connection.writer, &request.text, pieces).await;
        self.crowd.oracle.sent(&request.id);
        connection.used = true;
        if !written {
            // The close crossed the request: whether it was read shows at the upstreams.
            self.crowd.oracle.ended(&request.id, ClientEnd::Left);
            self.connection = None;
            return;
        }
        self.receive(&request).await;
    }

    /// Waits for the answer to a request that has been sent.
    async fn receive(&mut self, request: &Prepared) {
        let Some(connection) = self.connection.as_mut() else {
            return;
        };
        let answer = timeout(
            request.start.answer_within + BEYOND,
            connection.reader.message(),
        )
        .await;
        let (end, keep) = match answer {
            Err(_) => (ClientEnd::NoAnswer, false),
            Ok(Ok(answer)) => {
                let keep = answer
                    .header("connection")
                    .is_none_or(|value| !value.eq_ignore_ascii_case("close"));
                (self.judge(&request.id, &answer), keep)
            }
            Ok(Err(ReadError::CutOff | ReadError::Unreadable)) => (ClientEnd::BrokenOff, false),
            Ok(Err(ReadError::Ended | ReadError::Broken(_))) => (ClientEnd::Closed, false),
        };
        self.crowd.oracle.ended(&request.id, end);
        if !keep {
            self.connection = None;
        }
    }

    fn judge(&self, id: &str, answer: &Message) -> ClientEnd {
        let status = answer.status().unwrap_or(0);
        if status == 200 && answer.body != answer_body(id).as_bytes() {
            let body = String::from_utf8_lossy(&answer.body);
            self.crowd
                .oracle
                .violated(Rule::WrongAnswer, format!("{id} was answered {body:?}"));
        }
        ClientEnd::Answered(status)
    }

    /// One request, whose client leaves while it is out.
    async fn leave(&mut self) {
        let request = self.prepare(true);
        let stays = Duration::from_millis(self.random.random_range(0..120));
        let resets = self.random.random::<bool>();
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        self.crowd.oracle.request(&request.id, request.start);
        if connection.writer.write_all(&request.text).await.is_err() {
            return self.crowd.oracle.ended(&request.id, ClientEnd::Left);
        }
        self.crowd.oracle.sent(&request.id);
        let end = match timeout(stays, connection.reader.message()).await {
            Ok(Ok(answer)) => self.judge(&request.id, &answer),
            _ => ClientEnd::Left,
        };
        if let Ok(stream) = connection.reader.reunite(connection.writer) {
            if resets {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
        self.crowd.oracle.ended(&request.id, end);
    }

    /// Several requests at once.
    async fn pipeline(&mut self) {
        let count = self.random.random_range(2..5);
        let mut requests: Vec<Prepared> = (0..count).map(|_| self.prepare(true)).collect();
        let mut longest = Duration::ZERO;
        for request in &mut requests {
            longest = longest.max(request.start.deadline);
            request.start.answer_within = longest;
        }
        let text: Vec<u8> = requests
            .iter()
            .flat_map(|request| request.text.clone())
            .collect();
        let Some(connection) = self.connection.as_mut() else {
            return;
        };
        requests
            .iter()
            .for_each(|request| self.crowd.oracle.request(&request.id, request.start));
        let written = connection.writer.write_all(&text).await.is_ok();
        connection.used = true;
        for request in &requests {
            self.crowd.oracle.sent(&request.id);
            if !written {
                self.crowd.oracle.ended(&request.id, ClientEnd::Left);
            }
        }
        if !written {
            self.connection = None;
            return;
        }
        for request in &requests {
            if self.connection.is_none() {
                // The answer before said that the connection ends: what was not read is sent again, elsewhere.
                self.crowd.oracle.ended(&request.id, ClientEnd::Left);
                continue;
            }
            self.receive(request).await;
        }
    }

    async fn misbehave(&mut self) {
        let text: Vec<u8> = match self.habit {
            Habit::Stalls => {
                let request = self.prepare(false);
                let most = request.text.len();
                request.text[..self.random.random_range(1..most)].to_vec()
            }
            Habit::Babbles => (0..200).map(|_| self.random.random::<u8>()).collect(),
            _ => Vec::new(),
        };
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if connection.writer.write_all(&text).await.is_err() {
            return;
        }
        let _ = timeout(Duration::from_secs(4), connection.reader.ended()).await;
    }
}

/// Writes a request, in several pieces with pauses between them.
async fn write_pieces(writer: &mut OwnedWriteHalf, text: &[u8], pieces: usize) -> bool {
    for (number, piece) in text.chunks(text.len() / pieces + 1).enumerate() {
        if number > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        if writer.write_all(piece).await.is_err() {
            return false;
        }
    }
    true
}
