//! Stand-ins of the platform's store, of workers and of callers, for the cases of this review.
//!
//! Only the standard library is used, so that `rustc` alone builds every case.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
    fn getrlimit(resource: i32, limit: *mut [u64; 2]) -> i32;
    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
}

const RLIMIT_NOFILE: i32 = 7;

/// Descriptors of a process, as in the site files `sites/`.
const DESCRIPTORS: u64 = 4_100;

/// Raises the number of descriptors of this process as far as it may, and returns it.
pub fn raise_descriptors() -> u64 {
    let mut limit = [0_u64; 2];
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) == 0 {
            limit[0] = limit[1].min(20_000);
            setrlimit(RLIMIT_NOFILE, &limit);
        }
    }
    limit[0]
}

/// Returns whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns the time of the wall clock in ms.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The file `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(dir: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(dir.join("record.txt"))?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3}  {}\n", self.now(), text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A temporary folder that is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> io::Result<Self> {
        let name = format!("review-2-{}-{}", std::process::id(), wall_ms());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address of its own, the number `n` of this case.
pub fn loopback_ip(n: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 100 + (pid % 100) as u8, (pid / 100 % 250) as u8 + 1, n))
}

/// Returns a port that is free at all of these addresses.
pub fn free_port(ips: &[IpAddr]) -> io::Result<u16> {
    for _ in 0..50 {
        let first = TcpListener::bind((ips[0], 0))?;
        let port = first.local_addr()?.port();
        if ips[1..].iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn attempt(&self) -> String {
        self.header("attempt-id").unwrap_or("-").to_owned()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: vec![] }
    }

    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16_384];
        let read = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..read]);
        Ok(read)
    }

    /// Reads the head of the next message, `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
        Ok(Some(Message { first_line, headers: headers.collect(), body: vec![] }))
    }

    fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..len).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a whole message; fails if it ends early.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        if let Some(len) = message.header("content-length").and_then(|len| len.parse().ok()) {
            message.body = self.read_exact(len)?;
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                let part = self.read_exact(size)?;
                self.read_line()?;
                message.body.extend(part);
                if size == 0 {
                    break;
                }
            }
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        headers.iter().for_each(|(key, value)| head.push_str(&format!("{key}: {value}\r\n")));
        head.push_str("\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}

#[derive(Default)]
struct StoreState {
    /// The values by key, each with the revision of its last change.
    items: BTreeMap<String, (u64, String)>,
    /// All changes: revision, key and value, `None` for a removal.
    log: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

/// The platform's store, which is always up.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(ip: IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { state: Arc::default(), addr: listener.local_addr()? };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a value; `None` removes the key. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => {
                state.items.insert(key.to_owned(), (revision, value.to_owned()));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.log.push((revision, key.to_owned(), value.map(str::to_owned)));
        changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read_message() {
            let body = self.body_for(request.path());
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            let status = if body.is_some() { "200 OK" } else { "404 Not Found" };
            if conn.answer(status, &headers, body.unwrap_or_default().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn body_for(&self, path: &str) -> Option<String> {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let (state, changed) = &*self.state;
        match path {
            "/-/kv-range" => {
                let state = state.lock().unwrap();
                let items = state
                    .items
                    .iter()
                    .map(|(key, (revision, value))| item_json(key, *revision, Some(value)));
                let items = items.collect::<Vec<_>>().join(",");
                let at = state.revision;
                Some(format!(r#"{{"items":[{items}],"has_more":false,"at":{at}}}"#))
            }
            "/-/kv-watch" => {
                let number = |name| param(name).and_then(|text| text.parse::<u64>().ok());
                let (after, wait_ms) = (number("after")?, number("wait_ms").unwrap_or(0));
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let mut state = state.lock().unwrap();
                while state.revision <= after {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
                let events = state.log.iter().filter(|(revision, ..)| *revision > after);
                let events = events
                    .map(|(revision, key, value)| item_json(key, *revision, value.as_deref()));
                let events = events.collect::<Vec<_>>().join(",");
                Some(format!(r#"{{"events":[{events}],"at":{}}}"#, state.revision))
            }
            _ => None,
        }
    }
}

fn item_json(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":1,"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(ALPHABET[(word >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// What a worker does with a request that it runs.
pub enum Run {
    /// It writes its answer itself; the connection is kept.
    Kept,
    /// The connection ends.
    Close,
    /// The worker crashes: all its connections end at once, and it is back after some seconds.
    Crash,
}

/// How a worker handles a request whose `Expect-Instance` names it.
pub type Handler = dyn Fn(&Worker, &Message, &mut Conn) -> Run + Send + Sync;

struct WorkerState {
    instance: String,
    born: u64,
    starts: u32,
    down: bool,
    streams: BTreeMap<u64, TcpStream>,
}

/// A worker at one address; each start is a new instance.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub signature: String,
    state: Arc<Mutex<WorkerState>>,
    handler: Arc<Handler>,
    running: Arc<AtomicU64>,
    slots: u64,
}

impl Worker {
    pub fn start(
        name: &str,
        ip: IpAddr,
        slots: u64,
        handler: impl Fn(&Worker, &Message, &mut Conn) -> Run + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let state = WorkerState {
            instance: format!("i-{name}-1"),
            born: wall_ms(),
            starts: 1,
            down: false,
            streams: BTreeMap::new(),
        };
        let worker = Self {
            name: name.to_owned(),
            addr,
            signature: format!("3e1b.07.{name}.600.0.c9f2a4d1"),
            state: Arc::new(Mutex::new(state)),
            handler: Arc::new(handler),
            running: Arc::default(),
            slots,
        };
        let server = worker.clone();
        thread::spawn(move || server.accept(listener));
        Ok(worker)
    }

    pub fn instance(&self) -> String {
        self.state.lock().unwrap().instance.clone()
    }

    pub fn born(&self) -> u64 {
        self.state.lock().unwrap().born
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    /// Ends all connections and refuses new ones.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        for stream in std::mem::take(&mut state.streams).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again as a new instance at the same address.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.starts += 1;
        state.instance = format!("i-{}-{}", self.name, state.starts);
        state.born = wall_ms();
        state.down = false;
    }

    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut next_id = 0;
        loop {
            if self.is_down() {
                listener = None;
                sleep_ms(5);
                continue;
            }
            let open = match &listener {
                Some(open) => open,
                None => match TcpListener::bind(self.addr) {
                    Ok(bound) => listener.insert(bound),
                    Err(_) => {
                        sleep_ms(5);
                        continue;
                    }
                },
            };
            if open.set_nonblocking(true).is_err() {
                return;
            }
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    next_id += 1;
                    let (server, id) = (self.clone(), next_id);
                    if let Ok(copy) = stream.try_clone() {
                        self.state.lock().unwrap().streams.insert(id, copy);
                    }
                    thread::spawn(move || {
                        server.serve(Conn::new(stream));
                        server.state.lock().unwrap().streams.remove(&id);
                    });
                }
                Err(_) => sleep_ms(1),
            }
        }
    }

    fn serve(&self, mut conn: Conn) {
        let starts = self.state.lock().unwrap().starts;
        while let Ok(Some(request)) = conn.read_message() {
            let (instance, now_starts, down) = {
                let state = self.state.lock().unwrap();
                (state.instance.clone(), state.starts, state.down)
            };
            if down || now_starts != starts {
                return;
            }
            let attempt = request.attempt();
            let echo = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            if request.header("expect-instance").is_some_and(|expected| expected != instance) {
                if conn.answer("421 Misdirected Request", &echo, b"").is_err() {
                    return;
                }
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
                if conn.answer("503 Service Unavailable", &echo, b"").is_err() {
                    return;
                }
                continue;
            }
            let run = (self.handler)(self, &request, &mut conn);
            self.running.fetch_sub(1, Ordering::SeqCst);
            match run {
                Run::Kept => {}
                Run::Close => return,
                Run::Crash => return self.crash(),
            }
        }
    }
}

/// Keeps the entries of workers in the store as they crash and come back.
///
/// An entry is removed after three heartbeat intervals of silence; a worker is back `back_ms` after
/// its crash, under a new id.
pub fn follow_workers(
    store: &Store,
    workers: &[Worker],
    back_ms: u64,
    entry: impl Fn(&Worker) -> String + Send + Sync + 'static,
) {
    const SILENCE_MS: u64 = 3_600;
    let entry = Arc::new(entry);
    for worker in workers {
        store.put(&format!("servers/{}", worker.instance()), Some(&entry(worker)));
        let (store, worker, entry) = (store.clone(), worker.clone(), entry.clone());
        thread::spawn(move || {
            loop {
                sleep_ms(5);
                if !worker.is_down() {
                    continue;
                }
                let (crashed, old) = (Instant::now(), worker.instance());
                sleep_ms(back_ms);
                worker.restart();
                store.put(&format!("servers/{}", worker.instance()), Some(&entry(&worker)));
                let left = Duration::from_millis(SILENCE_MS).saturating_sub(crashed.elapsed());
                thread::sleep(left);
                store.put(&format!("servers/{old}"), None);
            }
        });
    }
}

/// A process of the system under test, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns a figure of `/proc/PID/status` in kB.
    pub fn status_kb(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        unsafe { kill(self.child.id() as i32, SIGKILL) };
        let _ = self.child.wait();
    }
}

/// A gateway with its addresses.
pub struct Gateway {
    pub vm: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    pub process: Process,
}

/// Memory of the machine of a gateway, in MB, as in the site files `sites/`.
pub const MEMORY_MB: u64 = 260;

/// Starts gateways, one in each zone in turn, with the settings that `deploy/gateway.json` gives on a
/// small deployment.
pub fn start_gateways(
    dir: &Path,
    store: &Store,
    zones: &[&str],
    ips: &[IpAddr],
) -> io::Result<Vec<Gateway>> {
    let port = free_port(ips)?;
    let seeds = ips.iter().take(3).map(|ip| format!("\"{ip}:{port}\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let regions = zones.iter().map(|zone| format!("\"{zone}\":\"region-{zone}\""));
    let regions = regions.collect::<Vec<_>>().join(",");
    let program = Path::new("target/release/sequoiahold");
    let mut gateways = vec![];
    for (number, ip) in ips.iter().enumerate() {
        let zone = zones[number % zones.len()];
        let vm = format!("front-{zone}-{}", number / zones.len() + 1);
        let callers = SocketAddr::new(*ip, free_port(&[*ip])?);
        let ready = SocketAddr::new(*ip, free_port(&[*ip])?);
        let settings = format!(
            r#"{{
  "node": {{
    "vm": "{vm}", "zone": "{zone}", "zones": {{{regions}}},
    "peers": "{ip}:{port}", "seeds": [{seeds}], "platform": "{}", "restarted": false,
    "bounds": {{
      "version": "8000ms", "retry_ratio": 0.2, "retry_extra": 106, "retry_window": "10s",
      "cold_factor": 1.5, "cold_extra": 5, "grace": "8s"
    }}
  }},
  "memory": "{MEMORY_MB}MB", "callers": "{callers}", "ready": "{ready}",
  "log": {{ "format": "json", "output": "stdout" }}
}}"#,
            store.addr
        );
        let path = dir.join(format!("{vm}.json"));
        std::fs::write(&path, settings)?;
        let log = dir.join(format!("{vm}.log"));
        let mut command = Command::new(program);
        command
            .arg("gateway")
            .env("SEQUOIAHOLD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::null());
        // The process ends with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                setrlimit(RLIMIT_NOFILE, &[DESCRIPTORS; 2]);
                Ok(())
            });
        }
        let process = Process { child: command.spawn()? };
        gateways.push(Gateway { vm, callers, ready, log, process });
    }
    Ok(gateways)
}

/// Returns whether a gateway says that it is ready.
pub fn is_ready(gateway: &Gateway) -> bool {
    let ask = || -> io::Result<u16> {
        let mut conn = Conn::connect(gateway.ready)?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        conn.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        Ok(conn.read_message()?.map_or(0, |answer| answer.status()))
    };
    ask().unwrap_or(0) == 200
}

/// Waits until all gateways are ready; returns whether they are within 20 s.
pub fn wait_ready(gateways: &[Gateway]) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    gateways.iter().all(|gateway| {
        loop {
            if is_ready(gateway) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            sleep_ms(50);
        }
    })
}

/// Returns a new attempt id.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// 0 without a complete answer.
    pub status: u16,
    pub body: Vec<u8>,
    pub error: Option<String>,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], deadline_ms: u64) -> Reply {
    let exchange = || -> io::Result<Option<Message>> {
        let mut conn = Conn::connect(addr)?;
        conn.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
        conn.write(&[head.as_bytes(), body].concat())?;
        conn.read_message()
    };
    match exchange() {
        Ok(Some(answer)) => Reply { status: answer.status(), body: answer.body, error: None },
        Ok(None) => Reply { status: 0, body: vec![], error: Some("closed".to_owned()) },
        Err(error) => Reply { status: 0, body: vec![], error: Some(error.to_string()) },
    }
}

/// A flag that ends background threads.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
