//! Stand-ins of the platform's store, of workers and of clients, and the processes under test.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The host of all routes.
pub const HOST: &str = "jepu9.example";
/// The API key of the only tenant.
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// Time after which a started gateway is in touch: `contact_ms`, and some more.
const CONTACT_TIME: Duration = Duration::from_millis(3_500);
/// Maximum time for an answer at the start of a gateway.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The record of a run, with the time since its start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    /// Creates the record of a case.
    pub fn create(path: &Path) -> Self {
        Self(Arc::new(Mutex::new(File::create(path).expect("a record"))), Instant::now())
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.1.elapsed().as_millis();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{ms:>6} ms  {}", text.as_ref());
    }
}

/// Returns a loopback address that is free for TCP and UDP now.
pub fn free_addr(host: u8) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 21_000 + (std::process::id() % 2_000) as u16 * 4;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), port));
        let is_free = TcpListener::bind(addr).is_ok() && std::net::UdpSocket::bind(addr).is_ok();
        if is_free {
            return addr;
        }
    }
}

/// A request or an answer: first line, headers in lower case and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head from a connection; `rest` holds the bytes behind it.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Message> {
    let end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        fill(stream, rest)?;
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end);
    let mut lines = head.lines();
    let first_line = lines.next().unwrap_or("").to_owned();
    let field = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_lowercase(), value.trim().to_owned()))
    };
    Ok(Message { first_line, headers: lines.filter_map(field).collect(), body: vec![] })
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<()> {
    let mut piece = [0; 16_384];
    match stream.read(&mut piece)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            rest.extend_from_slice(&piece[..count]);
            Ok(())
        }
    }
}

/// Reads a message with a length or in chunks.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Message> {
    let mut message = read_head(stream, rest)?;
    if message.header("transfer-encoding").contains("chunked") {
        while let Some(chunk) = read_chunk(stream, rest)? {
            message.body.extend(chunk);
        }
        return Ok(message);
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while rest.len() < length {
        fill(stream, rest)?;
    }
    message.body = rest.drain(..length).collect();
    Ok(message)
}

/// Reads a chunk, `None` at the regular end.
pub fn read_chunk(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Vec<u8>>> {
    let end = loop {
        if let Some(at) = rest.windows(2).position(|window| window == b"\r\n") {
            break at;
        }
        fill(stream, rest)?;
    };
    let text = String::from_utf8_lossy(&rest[..end]).into_owned();
    let length = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
        .map_err(|error| io::Error::other(format!("chunk length {text:?}: {error}")))?;
    while rest.len() < end + 2 + length + 2 {
        fill(stream, rest)?;
    }
    let chunk = rest[end + 2..end + 2 + length].to_vec();
    rest.drain(..end + 2 + length + 2);
    Ok((length > 0).then_some(chunk))
}

/// Starts a server with a thread for each connection.
pub fn serve(addr: SocketAddr, handler: impl Fn(TcpStream) + Clone + Send + 'static) {
    let listener = TcpListener::bind(addr).expect("an address for a stand-in");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            thread::Builder::new()
                .stack_size(131_072)
                .spawn(move || handler(stream))
                .expect("a thread");
        }
    });
}

/// The platform's store: range reads and watches of all keys.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>);

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, (u64, String)>,
    log: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

impl Store {
    /// Starts an empty store.
    pub fn start(addr: SocketAddr) -> Self {
        let store = Self::default();
        let server = store.clone();
        serve(addr, move |mut stream| {
            let mut rest = vec![];
            while let Ok(request) = read_message(&mut stream, &mut rest) {
                let (status, body) = server.answer(request.path());
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
        });
        store
    }

    /// Writes a value, `None` removes the key.
    pub fn put(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state.items.insert(key.to_owned(), (revision, value.clone())),
            None => state.items.remove(key),
        };
        state.log.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, text)| text.parse::<u64>().ok())
        };
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        match path {
            "/-/kv-range" => {
                let items = state.items.iter();
                let items = items.map(|(key, (at, value))| item(key, *at, Some(value)));
                let items = items.collect::<Vec<_>>().join(",");
                (200, format!(r#"{{"items":[{items}],"has_more":false,"at":{}}}"#, state.revision))
            }
            "/-/kv-watch" => {
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                if after > state.revision {
                    return (410, String::new());
                }
                let is_quiet = |state: &mut StoreState| state.revision <= after;
                state = changed.wait_timeout_while(state, wait, is_quiet).unwrap().0;
                let events = state.log.iter().filter(|(at, ..)| *at > after);
                let events = events.map(|(at, key, value)| item(key, *at, value.as_ref()));
                let events = events.collect::<Vec<_>>().join(",");
                (200, format!(r#"{{"events":[{events}],"at":{}}}"#, state.revision))
            }
            _ => (404, String::new()),
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":1,"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for i in 0..4 {
            match i <= group.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: u32,
    pub timeout_ms: u64,
    pub aim_ms: u64,
}

/// Returns a configuration with these routes and one tenant.
pub fn config(version: u64, routes: &[Route]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let route = |route: &Route| {
        let Route { name, prefix, kind, service, attempts, timeout_ms, aim_ms } = route;
        let is_stream = *kind == "streaming";
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":{aim_ms},"priority":1,"service":"{service}","attempts":{attempts},"public":false,"sticky_sessions":{is_stream},"resume_streams":{is_stream},"target_gap_ms":400,"allowed_regions":[]}}"#
        )
    };
    let service = |name: &&str| {
        format!(
            r#"{{"name":"{name}","health_check_path":"/health","max_connections":434,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}"#
        )
    };
    let routes = routes.iter().map(route).collect::<Vec<_>>().join(",");
    let services = services.iter().map(service).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["{KEY}"],"priority":1,"allowed_regions":[]}}]}}"#
    )
}

/// Returns the entry of a worker in the store.
pub fn entry(service: &str, addr: SocketAddr, slots: u32, born: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"ch-ost-a","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#
    )
}

/// Returns the Unix time in ms.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap().as_millis() as u64
}

/// A gateway process.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub dir: PathBuf,
}

/// What a gateway of a case is started with.
pub struct GatewaySettings {
    pub number: u8,
    pub platform: SocketAddr,
    pub peer_port: u16,
    pub seeds: Vec<SocketAddr>,
    pub retry_extra: f64,
    pub restarted: bool,
}

impl Gateway {
    /// Starts a gateway with the settings of the template for gateways.
    pub fn start(settings: &GatewaySettings, dir: &Path) -> Self {
        Self::start_with_memory(settings, dir, 260)
    }

    /// Starts a gateway on a machine with this memory in MB.
    pub fn start_with_memory(settings: &GatewaySettings, dir: &Path, memory_mb: u32) -> Self {
        let host = 11 + settings.number;
        let (callers, ready) = (free_addr(host), free_addr(host));
        let seeds = settings.seeds.iter().map(|seed| format!(r#""{seed}""#));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let text = format!(
            r#"{{"node":{{"vm":"front-ch-ost-a-{}","zone":"ch-ost-a","zones":{{"ch-ost-a":"ch-ost"}},"peers":"127.0.0.{host}:{}","seeds":[{seeds}],"platform":"{}","restarted":{},"bounds":{{"version":"8000ms","retry_ratio":0.2,"retry_extra":{:?},"retry_window":"10s","cold_factor":1.5,"cold_extra":5,"grace":"8s"}}}},"memory":"{memory_mb}MB","callers":"{callers}","ready":"{ready}","log":{{"format":"json","output":"stdout"}}}}"#,
            settings.number,
            settings.peer_port,
            settings.platform,
            settings.restarted,
            settings.retry_extra
        );
        let path = dir.join(format!("gateway-{}.json", settings.number));
        fs::write(&path, text).expect("a settings file");
        let log =
            File::create(dir.join(format!("gateway-{}.log", settings.number))).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/sequoiahold")
            .arg("gateway")
            .env_clear()
            .env("SEQUOIAHOLD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("the gateway of the deploy file");
        let gateway = Self { child, callers, dir: dir.to_owned() };
        gateway.wait_ready(ready);
        gateway
    }

    fn wait_ready(&self, ready: SocketAddr) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(mut stream) = TcpStream::connect(ready) {
                let _ = stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n");
                let answer = read_message(&mut stream, &mut vec![]).unwrap_or_default();
                if answer.status() == 200 {
                    thread::sleep(CONTACT_TIME);
                    return;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        eprintln!("the gateway is not ready");
        std::process::exit(2);
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Returns how the process ended, `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns a field of `/proc/PID/status` in KB.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        line.and_then(|rest| rest.split_whitespace().nth(0)?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the folder of a case, a temporary folder of its own, and whether the disruption is left
/// out.
pub fn case_dirs(number: u32) -> (PathBuf, PathBuf, bool) {
    let case = PathBuf::from(format!("review/{number}"));
    let dir = std::env::temp_dir().join(format!("case-{number}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    (case, dir, std::env::var("TROUBLE").is_ok_and(|value| value == "0"))
}

/// Returns an attempt id of its own.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the bytes of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
