//! The operators' door: one line to a connection, one answer that begins with `YES` or `NO`. It hands calls on and
//! decides nothing.
use crate::driver::Handle;
use crate::metrics::Figures;
use crate::server::Phase;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

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

/// What calls at the door reach.
pub struct Door {
    /// The decisions, to which suspensions go.
    pub driver: Handle,
    /// What `METRICS` shows.
    pub figures: Rc<Figures>,
    /// Whether clients are sent away.
    pub phase: Rc<watch::Sender<Phase>>,
}

/// The answer to a call: what was asked for is so, with a remark; or it is not, and why.
type Reply = Result<String, String>;

impl Door {
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
                    let caller = tokio::task::spawn_local(self.clone().caller(stream));
                    callers.push_back(caller.abort_handle());
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn caller(self: Rc<Door>, mut stream: TcpStream) {
        let answer = match timeout(WAIT, line(&mut stream)).await {
            Ok(Ok(Some(line))) if line.trim() == "METRICS" => {
                format!("{}END\n", self.figures.text(self.driver.upstreams()))
            }
            Ok(Ok(Some(line))) => worded(self.call(&line)),
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
        let _ = timeout(LINGER, tokio::io::copy(&mut stream.take(LINGER_MOST), &mut tokio::io::sink())).await;
    }

    fn call(&self, line: &str) -> Reply {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["STATUS"] => self.status(),
            ["PAUSE"] => self.pause(),
            ["RESUME"] => self.resume(),
            ["SUSPEND", id] => self.suspend(id),
            ["RESTORE", id] => self.restore(id),
            ["STATUS" | "METRICS" | "PAUSE" | "RESUME", ..] => Err(format!("{} takes nothing", words[0])),
            ["SUSPEND" | "RESTORE", ..] => Err(format!("{} takes the id of one upstream", words[0])),
            [] => Err("the line is empty".into()),
            _ => Err("unknown call; there are STATUS METRICS SUSPEND RESTORE PAUSE RESUME".into()),
        }
    }

    fn status(&self) -> Reply {
        match *self.phase.borrow() {
            _ if !self.driver.ready() => Err("no upstream is known yet".into()),
            Phase::Up => Ok("serving".into()),
            Phase::Paused => Ok("serving, paused: clients are sent away".into()),
            _ => Err("ending".into()),
        }
    }

    fn pause(&self) -> Reply {
        self.moves(Phase::Up, Phase::Paused);
        match *self.phase.borrow() {
            Phase::Paused => Ok("paused".into()),
            _ => Err("ending".into()),
        }
    }

    fn resume(&self) -> Reply {
        self.moves(Phase::Paused, Phase::Up);
        match *self.phase.borrow() {
            Phase::Up => Ok("serving".into()),
            _ => Err("ending".into()),
        }
    }

    /// From one phase to another, if it is at the first.
    fn moves(&self, from: Phase, to: Phase) {
        self.phase.send_if_modified(|now| {
            let there = *now == from;
            if there {
                *now = to;
            }
            there
        });
    }

    fn suspend(&self, id: &str) -> Reply {
        if !self.driver.knows(id) {
            return Err(unknown(id));
        }
        self.driver.suspend(id);
        Ok(format!("{id} is left out"))
    }

    fn restore(&self, id: &str) -> Reply {
        if !self.driver.knows(id) {
            return Err(unknown(id));
        }
        self.driver.restore(id);
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
async fn line(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
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
