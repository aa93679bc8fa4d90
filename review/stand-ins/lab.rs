//! Small stand-ins for clients, upstreams and discovery, and the start of one balancer. Standard library only.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a child that this case started.
pub fn signal(child: &Child, signal: i32) {
    signal_process(child.id(), signal);
}

/// The same, by the id of the child, which must not have been waited for.
pub fn signal_process(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe {
        kill(pid as i32, signal);
    }
}

/// Starts a process that the system ends when the main thread of this case ends, however it ends. Call it there.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    // SAFETY: between fork and exec the child makes one system call.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as std::ffi::c_ulong);
            Ok(())
        });
    }
    command.spawn()
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The file that says what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        Record {
            file: Arc::new(Mutex::new(File::create(path).expect("record file"))),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} ms  {}", text.as_ref());
    }

    pub fn end(&self, code: i32, verdict: impl AsRef<str>) -> ! {
        self.line(format!("VERDICT {code}: {}", verdict.as_ref()));
        println!("{}", verdict.as_ref());
        std::process::exit(code)
    }
}

/// One side of an HTTP/1.1 connection.
pub struct Peer {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// A message without its body.
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

fn eof() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "connection ended")
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        let _ = stream.set_nodelay(true);
        Peer {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Peer> {
        TcpStream::connect_timeout(&address, Duration::from_secs(2)).map(Peer::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65536];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// `None` at a clean end between messages.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_string();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| {
                        (name.trim().to_ascii_lowercase(), value.trim().to_string())
                    })
                    .collect();
                return Ok(Some(Head {
                    first_line,
                    headers,
                }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(eof())
                };
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(eof());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(eof());
            }
        }
    }

    /// Reads a whole body; `part` gets what has come of it, also if it breaks off.
    pub fn read_body(&mut self, head: &Head, part: &mut Vec<u8>) -> io::Result<()> {
        if head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let size =
                    usize::from_str_radix(self.line()?.split(';').next().unwrap_or("").trim(), 16)
                        .map_err(|_| io::Error::other("bad chunk"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                let data = self.take(size)?;
                part.extend_from_slice(&data);
                self.line()?;
            }
        }
        if let Ok(length) = head.header("content-length").parse::<usize>() {
            while part.len() < length {
                if self.buffer.is_empty() && self.fill()? == 0 {
                    return Err(eof());
                }
                let count = (length - part.len()).min(self.buffer.len());
                part.extend(self.buffer.drain(..count));
            }
        }
        Ok(())
    }
}

/// Serves each connection on a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Peer) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = handle(Peer::new(stream));
            });
        }
    });
}

pub fn loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Two free ports at a loopback address that only this process uses, so that no stand-in can get them before the balancer
/// listens.
fn own_addresses() -> (SocketAddr, SocketAddr) {
    let pid = std::process::id();
    let host: IpAddr = [
        127,
        64 + (pid >> 16) as u8 % 64,
        (pid >> 8) as u8,
        pid as u8,
    ]
    .into();
    let listeners = [0; 2].map(|_| TcpListener::bind((host, 0)).expect("a free port"));
    let [one, other] = listeners
        .each_ref()
        .map(|listener| listener.local_addr().expect("address"));
    (one, other)
}

pub fn server_entry(id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"memphis-dc","kind":"api-std","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// Discovery whose list never changes.
pub fn start_discovery(servers: Vec<String>) -> SocketAddr {
    let listener = loopback();
    let address = listener.local_addr().expect("address");
    serve(listener, move |mut peer| {
        while let Some(head) = peer.read_head()? {
            let target = head.first_line.split(' ').nth(1).unwrap_or("").to_string();
            let wait = target
                .split("timeout_ms=")
                .nth(1)
                .and_then(|ms| ms.parse::<u64>().ok());
            let body = if target.contains("since=41") {
                thread::sleep(Duration::from_millis(wait.unwrap_or(0).min(60_000)));
                r#"{"version":41,"full":false,"servers":[]}"#.to_string()
            } else {
                list(&servers)
            };
            peer.write(
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .as_bytes(),
            )?;
        }
        Ok(())
    });
    address
}

pub fn list(servers: &[String]) -> String {
    format!(
        r#"{{"version":41,"full":true,"servers":[{}]}}"#,
        servers.join(",")
    )
}

/// One balancer of the workspace, started as the deploy file says.
pub struct Balancer {
    pub child: Child,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    directory: PathBuf,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// The example of the settings on the page of the wire, with this `deadline` and `objective`.
pub fn settings(deadline: u32, objective: u32) -> String {
    format!(
        r#"{{"balancers":1,"index":0,"stage":0,"zone":0,"tick":5.0,"domain_type":"chain",
"classes":[{{"name":"open-plan","deadline":{deadline}.0,"objective":{objective}.0,"effect":"single_shot","dedup_scope":"all",
"repeat_window":5000.0,"importance":1.0,"late_worth":0.25,"streaming":false}}],
"charges":{{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.05,"probe":0.03,"waste":0.17}},
"clients":{{"marks_retry":false}},"dcs":["memphis-dc"],"kinds":["api-fast","api-std","api-small"],
"family_info":{{"passes_deadline":true}},"membership_mode":"pushed","over_share_worth":0.2,
"invariants":{{"ask_within":10000.0,"cold_from":0.13,"drain_grace":300.0,"fall":1000.0,"grace_to_answer":20.0,"ramp_time":23000.0,"tip_multiple":4.0}},
"permissions":{{"attempts_cap":5,"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":800000,"dial_timeout":120.0,"idle_close":30000.0,
"max_open":40000,"max_retry_after":2000.0,"may_probe":true,"multiplex":1,"peers":false,"retry_after":true,"second_copies":false}},
"stats":{{"columns":["util","qps"],"via":"probe"}},
"tenants":[{{"name":"delta-furniture","quota_per_s":49.0,"share":0.46}},{{"name":"bayou-outfitters","quota_per_s":36.0,"share":0.34}},
{{"name":"pinecrest-tires","quota_per_s":21.0,"share":0.2}}],
"tiers":["checkout-api","plan-service","ledger-service"],"weights":"rough","worth_by":"request"}}"#
    )
}

impl Balancer {
    /// Starts it and waits until its readiness check says yes. A start is tried three times.
    pub fn start(servers: &[String], settings: &str, record: &Record) -> Balancer {
        Balancer::start_with_limits(
            servers,
            settings,
            r#""memory_mb":192,"sockets":1024"#,
            record,
        )
    }

    pub fn start_with_limits(
        servers: &[String],
        settings: &str,
        limits: &str,
        record: &Record,
    ) -> Balancer {
        for _ in 0..3 {
            if let Some(balancer) = Balancer::try_start(servers, settings, limits, record) {
                return balancer;
            }
        }
        record.end(COULD_NOT_RUN, "the balancer did not become ready");
    }

    fn try_start(
        servers: &[String],
        settings: &str,
        limits: &str,
        record: &Record,
    ) -> Option<Balancer> {
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".into());
        let deploy = fs::read_to_string(format!("{root}/deploy/balancer.toml")).unwrap_or_default();
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .map(|value| value.trim().trim_matches('"').to_string());
        let Some(run) = run else {
            record.end(COULD_NOT_RUN, "no run command in deploy/balancer.toml")
        };
        let (address, admin) = own_addresses();
        let directory =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), address.port()));
        let _ = fs::create_dir_all(&directory);
        let discovery = start_discovery(servers.to_vec());
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","ops":"{admin}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,{limits}}},"known":{},"settings":{settings}}}"#,
            list(servers)
        );
        let path = directory.join("config.json");
        fs::write(&path, config).expect("configuration");
        let log = std::env::var("BALANCER_LOG")
            .ok()
            .and_then(|path| File::create(path).ok());
        let child = spawn(
            Command::new("/bin/sh")
                .args(["-c", &run])
                .current_dir(&root)
                .env("NODE_NAME", "n0")
                .env("NODE_LISTEN", address.to_string())
                .env("NODE_DISCOVERY", discovery.to_string())
                .env("NODE_OPS", admin.to_string())
                .env("NODE_CONFIG", &path)
                .env("TMPDIR", &directory)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log.map_or_else(Stdio::null, Stdio::from)),
        );
        let Ok(child) = child else {
            record.end(COULD_NOT_RUN, "the balancer did not start")
        };
        let balancer = Balancer {
            child,
            address,
            admin,
            directory,
        };
        for _ in 0..60 {
            if balancer.is_ready() {
                record.line(format!("balancer ready on {address}"));
                return Some(balancer);
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("the balancer did not become ready");
        None
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut peer = Peer::connect(self.address)?;
            peer.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            peer.write(
                b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n",
            )?;
            Ok(peer.read_head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

pub const TENANTS: [&str; 3] = ["delta-furniture", "bayou-outfitters", "pinecrest-tires"];

pub fn request_head(id: &str, tenant: &str, deadline_ms: u32, length: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: open-plan\r\nReq-Owner: {tenant}\r\nReq-Deadline: {deadline_ms}m\r\nContent-Length: {length}\r\n\r\n"
    )
}

pub fn close(peer: &Peer) {
    let _ = peer.stream.shutdown(Shutdown::Both);
}

/// Numbers that differ from run to run only with the seed.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}
