//! What the scripts of this review share: a balancer as a separate process, and small stand-ins of its clients, upstreams
//! and discovery. Standard library only. Every address is a loopback address.
#![allow(dead_code)]
use std::env;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;
/// A script that runs for longer than this could not run.
const LIMIT: Duration = Duration::from_secs(110);

struct Run {
    start: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    children: Mutex<Vec<Child>>,
    trouble: bool,
}

static RUN: OnceLock<Run> = OnceLock::new();

fn run() -> &'static Run {
    RUN.get().expect("run_case was called")
}

/// Runs a case: opens its record, ends all processes afterwards, and exits with the code that `case` returns.
pub fn run_case(case: fn() -> i32) -> ! {
    let case_folder = PathBuf::from(env::var_os("CASE_DIR").unwrap_or_else(|| ".".into()));
    let file = File::create(case_folder.join("record.txt")).expect("opens record.txt");
    let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("creates a temporary folder");
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let state = Run {
        start: Instant::now(),
        record: Mutex::new(file),
        folder,
        children: Mutex::new(Vec::new()),
        trouble,
    };
    let _ = RUN.set(state);
    thread::spawn(|| {
        thread::sleep(LIMIT);
        record(format!("the case ran for {:?}: it is ended", LIMIT));
        finish(COULD_NOT_RUN);
    });
    record(format!("trouble: {}", trouble));
    let code = std::panic::catch_unwind(case).unwrap_or_else(|_| {
        record("a stand-in failed, see standard error".to_string());
        COULD_NOT_RUN
    });
    finish(code)
}

fn finish(code: i32) -> ! {
    if let Ok(mut children) = run().children.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    let result = match code {
        HELD => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case could not run",
    };
    record(format!("result: {}", result));
    // Nobody may read the output.
    let _ = writeln!(io::stdout(), "{}", result);
    let _ = fs::remove_dir_all(&run().folder);
    std::process::exit(code)
}

/// Whether the case injects its disruption.
pub fn trouble() -> bool {
    run().trouble
}

/// Writes a line to the record, with the time since the start in seconds.
pub fn record(line: String) {
    let text = format!("{:8.4} {}\n", run().start.elapsed().as_secs_f64(), line);
    if let Ok(mut file) = run().record.lock() {
        let _ = file.write_all(text.as_bytes());
    }
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn sleep_ms(count: u64) {
    thread::sleep(millis(count));
}

/// A request id that no earlier run has used.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_nanos() as u64);
    format!("{:012x}{:04x}", nanos & 0xffff_ffff_ffff, NEXT.fetch_add(1, Ordering::SeqCst))
}

/// A listener at a free port.
pub fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("binds a free port")
}

/// A port that is free now, at a loopback address that no stand-in and no other run uses: nothing else takes the port
/// before the balancer does.
fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 64 + (high & 63), low, 1);
    let listener = TcpListener::bind((address, 0)).expect("binds a free port");
    listener.local_addr().expect("an address")
}

// ---------------------------------------------------------------- messages

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it ended as its head announced.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> String {
        self.header("req-id").unwrap_or("-").to_string()
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }

    pub fn closes(&self) -> bool {
        self.header("connection").map_or(false, |value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the head of a message; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut dyn BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if message.start_line.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.start_line.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start_line.is_empty() {
            message.start_line = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads a body as the head of its message announces it. What arrives of it is kept, also if it breaks off.
pub fn read_body(reader: &mut dyn BufRead, message: &mut Message, is_response: bool) -> io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some();
    let length: Option<usize> = message.header("content-length").and_then(|text| text.parse().ok());
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size > 0 {
                read_counted(reader, size, &mut message.body)?;
            }
            let mut end = String::new();
            if reader.read_line(&mut end)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        read_counted(reader, length, &mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(())
}

fn read_counted(reader: &mut dyn BufRead, mut length: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let mut buffer = [0; 4096];
    while length > 0 {
        let wanted = length.min(buffer.len());
        let count = reader.read(&mut buffer[..wanted])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..count]);
        length -= count;
    }
    Ok(())
}

/// Reads a whole message; `None` if the connection ended before its first byte.
pub fn read_message(reader: &mut dyn BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, is_response)?;
    Ok(Some(message))
}

/// A response with a length.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, headers, body.len(), body).into_bytes()
}

/// A `POST /api` of the class `open-plan` with a length.
pub fn post(id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    let head = post_head(id, deadline_ms);
    format!("{}Content-Length: {}\r\n\r\n{}", head, body.len(), body).into_bytes()
}

/// The same in chunked coding.
pub fn post_chunked(id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    let head = post_head(id, deadline_ms);
    format!("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head, body.len(), body).into_bytes()
}

fn post_head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {}\r\nReq-Kind: open-plan\r\n\
         Req-Owner: delta-furniture\r\nReq-Deadline: {}m\r\n",
        id, deadline_ms
    )
}

// ---------------------------------------------------------------- discovery

struct Listed {
    version: u64,
    /// Entries as JSON by id, with the version that changed them last.
    entries: Vec<(String, String, u64)>,
}

/// The agent of discovery on the balancer's machine.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listed>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = listen();
        let listed = Listed { version: 41, entries: Vec::new() };
        let discovery = Discovery {
            address: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(listed), Condvar::new())),
        };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        discovery
    }

    /// Lists an upstream with this state: `active`, `leaving` or `left`.
    pub fn set(&self, id: &str, address: SocketAddr, state: &str) {
        let (listed, changed) = &*self.state;
        let mut listed = listed.lock().expect("the list");
        listed.version += 1;
        let entry = format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"memphis-dc\",\"kind\":\"api-std\",\"cell\":3,\"state\":\"{}\",\
             \"weight\":1.0,\"started_ms\":0}}",
            id, address, state
        );
        let version = listed.version;
        listed.entries.retain(|(other, _, _)| other != id);
        listed.entries.push((id.to_string(), entry, version));
        record(format!("discovery: {} at {} is {}", id, address, state));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false)? {
            let target = request.start_line.split(' ').nth(1).unwrap_or("").to_string();
            let since = query(&target, "since");
            let wait = millis(query(&target, "timeout_ms").unwrap_or(0).min(60_000));
            let text = self.list(since, wait);
            writer.write_all(&response("200 OK", "Content-Type: application/json\r\n", &text))?;
        }
        Ok(())
    }

    fn list(&self, since: Option<u64>, wait: Duration) -> String {
        let (listed, changed) = &*self.state;
        let mut listed = listed.lock().expect("the list");
        if let Some(since) = since {
            let until = Instant::now() + wait;
            while listed.version <= since {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                listed = changed.wait_timeout(listed, left).expect("the list").0;
            }
        }
        let is_new = |changed_at: u64| since.map_or(true, |since| changed_at > since);
        let entries: Vec<&str> = listed
            .entries
            .iter()
            .filter(|(_, entry, at)| is_new(*at) && (since.is_some() || !entry.contains("\"left\"")))
            .map(|(_, entry, _)| entry.as_str())
            .collect();
        format!(
            "{{\"version\":{},\"full\":{},\"servers\":[{}]}}",
            listed.version,
            since.is_none(),
            entries.join(",")
        )
    }
}

fn query(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let pair = query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))?;
    pair.1.parse().ok()
}

// ---------------------------------------------------------------- upstreams

/// One request at an upstream, and the connection that it came on.
pub struct Exchange<'a> {
    pub upstream: &'a str,
    pub connection: u64,
    /// Number of the request at this upstream, from 1.
    pub number: u64,
    pub request: &'a Message,
    pub stream: &'a mut TcpStream,
}

/// Starts an upstream. `serve` answers each request that has come whole, and returns whether the connection stays open.
pub fn upstream<F>(name: &'static str, serve: F) -> SocketAddr
where
    F: Fn(Exchange) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    let numbers = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            let numbers = numbers.clone();
            thread::spawn(move || {
                let connection = connection as u64 + 1;
                let _ = serve_upstream(name, connection, stream, &numbers, &*serve);
            });
        }
    });
    address
}

fn serve_upstream(
    name: &str,
    connection: u64,
    stream: TcpStream,
    numbers: &AtomicU64,
    serve: &dyn Fn(Exchange) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, false)? {
        let number = numbers.fetch_add(1, Ordering::SeqCst) + 1;
        record(format!("upstream {}, connection {}: request {} has come whole", name, connection, request.id()));
        let stream = &mut writer;
        if !serve(Exchange { upstream: name, connection, number, request: &request, stream })? {
            break;
        }
    }
    Ok(())
}

// ---------------------------------------------------------------- the balancer

/// The settings that cases differ in.
#[derive(Clone)]
pub struct Settings {
    pub effect: &'static str,
    pub deadline_ms: u64,
    pub objective_ms: u64,
    pub quota_per_s: u64,
}

impl Default for Settings {
    /// Those of the class `open-plan` on `memphis-main`.
    fn default() -> Settings {
        Settings { effect: "single_shot", deadline_ms: 6000, objective_ms: 2500, quota_per_s: 106 }
    }
}

impl Settings {
    /// The settings of a deployment with one balancer of the first tier. The figures are those of WIRE, section 5.
    fn json(&self) -> String {
        format!(
            "{{\"balancers\":1,\"index\":0,\"stage\":0,\"zone\":0,\"membership_mode\":\"pushed\",\
             \"dcs\":[\"memphis-dc\"],\"kinds\":[\"api-fast\",\"api-std\",\"api-small\"],\
             \"tiers\":[\"checkout-api\",\"plan-service\",\"ledger-service\"],\
             \"classes\":[{{\"name\":\"open-plan\",\"objective\":{}.0,\"deadline\":{}.0,\"effect\":\"{}\",\
             \"dedup_scope\":\"all\",\"repeat_window\":5000.0,\"late_worth\":0.25,\"importance\":1.0,\"streaming\":false}}],\
             \"tenants\":[{{\"name\":\"delta-furniture\",\"share\":1.0,\"quota_per_s\":{}}}],\
             \"permissions\":{{\"attempts_cap\":5,\"cancel\":true,\"dial_timeout\":120.0,\"idle_close\":30000.0,\
             \"max_open\":40000,\"max_retry_after\":2000.0,\"retry_after\":true,\"second_copies\":false,\"multiplex\":1}},\
             \"invariants\":{{\"ask_within\":10000.0,\"cold_from\":0.13,\"drain_grace\":300.0,\"fall\":1000.0,\
             \"grace_to_answer\":20.0,\"ramp_time\":23000.0,\"tip_multiple\":4.0}}}}",
            self.objective_ms, self.deadline_ms, self.effect, self.quota_per_s
        )
    }
}

/// One balancer's place: its addresses, its configuration and its `$TMPDIR`.
pub struct Place {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub settings: Settings,
    /// The limits that the configuration states.
    pub sockets: u32,
    pub memory_mb: u64,
    pub folder: PathBuf,
}

/// A running process of a balancer.
pub struct Balancer {
    pub pid: u32,
    pub address: SocketAddr,
    pub admin: SocketAddr,
}

impl Place {
    pub fn new(name: &str, discovery: &Discovery, settings: Settings) -> Place {
        let folder = run().folder.join(name);
        fs::create_dir_all(folder.join("tmp")).expect("creates the folder of a balancer");
        Place {
            name: name.to_string(),
            listen: free_address(),
            discovery: discovery.address,
            settings,
            sockets: 1024,
            memory_mb: 192,
            folder,
        }
    }

    /// Starts a process with the command `run` of the deploy file, and waits until it is ready.
    pub fn start(&self) -> Balancer {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let admin = free_address();
        let config = self.folder.join(format!("config-{}.json", number));
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"ops\":\"{}\",\"seed\":\"8c1f30d27a5be9{:02x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":null,\"settings\":{}}}",
            self.name, self.listen, self.discovery, admin, number, self.memory_mb, self.sockets, self.settings.json()
        );
        fs::write(&config, text).expect("writes the configuration");
        let log = File::create(self.folder.join(format!("log-{}.txt", number))).expect("opens the log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", self.discovery.to_string())
            .env("NODE_OPS", admin.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("starts the balancer");
        let balancer = Balancer { pid: child.id(), address: self.listen, admin };
        run().children.lock().expect("the children").push(child);
        record(format!("balancer {}: process {} started, clients at {}", self.name, balancer.pid, self.listen));
        balancer.wait_until_ready();
        record(format!("balancer {}: process {} is ready", self.name, balancer.pid));
        balancer
    }

    /// The log of all processes.
    pub fn log(&self) -> String {
        let mut text = String::new();
        for number in 0..16 {
            text += &fs::read_to_string(self.folder.join(format!("log-{}.txt", number))).unwrap_or_default();
        }
        text
    }
}

fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("reads the deploy file");
    let line = text.lines().find(|line| line.starts_with("run ")).expect("the deploy file has the key run");
    let value = line.splitn(2, '=').nth(1).unwrap_or("").trim();
    value.trim_matches('"').to_string()
}

impl Balancer {
    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.command("STATUS").starts_with("YES") && self.readiness() == 200 {
                return;
            }
            sleep_ms(20);
        }
        panic!("the balancer did not become ready");
    }

    /// The status of the answer to `GET /-/ready`; 0 without an answer.
    pub fn readiness(&self) -> u16 {
        let ask = || -> io::Result<u16> {
            let mut client = Client::connect(self.address)?;
            client.send(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")?;
            Ok(client.answer(millis(1000))?.map_or(0, |answer| answer.status()))
        };
        ask().unwrap_or(0)
    }

    /// Sends a call of the operators and returns the answer.
    pub fn command(&self, line: &str) -> String {
        let call = || -> io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.admin, millis(1000))?;
            stream.set_read_timeout(Some(millis(1000)))?;
            stream.write_all(format!("{}\n", line).as_bytes())?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        call().unwrap_or_default()
    }

    /// Sends a signal: `TERM`, `KILL`, `HUP`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        record(format!("SIG{} to process {}", name, self.pid));
        let status = Command::new("/bin/sh").args(["-c", &format!("kill -{} {}", name, self.pid)]).status();
        assert!(status.map_or(false, |status| status.success()), "sends a signal");
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut children = run().children.lock().expect("the children");
        let child = children.iter_mut().find(|child| child.id() == self.pid).expect("a child");
        matches!(child.try_wait(), Ok(Some(_)))
    }
}

// ---------------------------------------------------------------- clients

/// One connection of a client.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, millis(1000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next answer; `None` if the connection ended before its first byte.
    pub fn answer(&mut self, within: Duration) -> io::Result<Option<Message>> {
        self.stream.set_read_timeout(Some(within))?;
        read_message(&mut self.reader, true)
    }

    /// The reader of the answers.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }
}

/// Says what came of a request, for the record.
pub fn describe(answer: &io::Result<Option<Message>>) -> String {
    match answer {
        Ok(Some(message)) => {
            let text = message.text();
            let shown: String = text.chars().take(60).collect();
            let close = if message.closes() { ", Connection: close" } else { "" };
            format!("{} {:?} ({} bytes{})", message.status(), shown, message.body.len(), close)
        }
        Ok(None) => "the connection was closed without an answer".to_string(),
        Err(error) => format!("no whole answer: {}", error),
    }
}
