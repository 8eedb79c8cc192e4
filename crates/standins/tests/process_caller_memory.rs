//! Gateway processes whose callers read long answers slowly or never finish their uploads.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use actix_rt::time::{sleep, timeout};
use futures_util::future::join_all;
use sequoiahold_standins::{
    hosted::{Store, gateway_config, gateway_settings, loopback_addr, registry_entry},
    processes::{Process, program_path},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Mutex,
};

/// Memory of the smallest VM of a gateway, in KiB.
const MEMORY_KB: u64 = 160 * 1_024;
/// Maximum number of open descriptors of the gateway, several for each connection of the crowd.
const MAX_DESCRIPTORS: usize = 400;
/// Number of callers that read slowly.
const READERS: usize = 40;
/// Length of a long answer.
const ANSWER_BYTES: usize = 8_388_608;
/// Number of callers that upload.
const UPLOADERS: usize = 60;
/// Length of an upload, the largest that the configuration allows.
const UPLOAD_BYTES: usize = 4_194_304;
/// Receive buffer of a caller that reads slowly, and send buffer of one that uploads, so that
/// neither holds more than a small part of a body.
const BUFFER_BYTES: u32 = 4_096;
/// Time that an answer may take by its route where callers begin to read after it.
const SHORT_TIMEOUT_MS: u64 = 1_000;
/// Time that a request may take, longer than a test.
const REQUEST_TIME_MS: u64 = 60_000;
/// Time within which each caller of a crowd has bytes of an answer, or the end of its connection.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a crowd stays after that.
const STAY_TIME: Duration = Duration::from_secs(2);
/// Time within which an ordinary request must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the memory of the gateway is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Held by each test, so that one runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

struct Fixture {
    callers: SocketAddr,
    gateway: Process,
    dir: PathBuf,
    _store: Store,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// The most that a process has used.
#[derive(Debug, Default)]
struct Usage {
    memory_kb: u64,
    descriptors: usize,
}

impl Fixture {
    /// Starts a gateway whose routes have this timeout.
    async fn start(timeout_ms: u64) -> Self {
        let (platform, callers, ready, peers) =
            (loopback_addr(), loopback_addr(), loopback_addr(), loopback_addr());
        let store = Store::start(platform).await.expect("a store");
        let mut config = gateway_config(1, &["key-1"]);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = json!(timeout_ms);
        }
        store.put("op/config", Some(config));
        let endpoint = loopback_addr();
        let listener = TcpListener::bind(endpoint).await.expect("an address");
        actix_rt::spawn(accept(listener));
        let mut entry = registry_entry(endpoint, "ready");
        entry["slots"] = json!(100);
        store.put("servers/i-0", Some(entry));
        let dir = std::env::temp_dir().join(format!("caller-memory-{}", callers));
        fs::create_dir_all(&dir).expect("a directory for settings");
        let settings = gateway_settings("gateway-1", peers, platform, &[], callers, ready);
        let gateway = Process::start(&program_path(), "gateway", "gateway-1", &dir, &settings)
            .expect("a gateway");
        let fixture = Self { callers, gateway, dir, _store: store };
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        while fixture.send_ordinary().await != 200 {
            assert!(Instant::now() < deadline, "the gateway is not ready");
            sleep(Duration::from_millis(100)).await;
        }
        fixture
    }

    /// Sends a request with a short answer and returns its status, 0 if there is none.
    async fn send_ordinary(&self) -> u16 {
        let exchange = async {
            let mut stream = TcpStream::connect(self.callers).await.ok()?;
            stream.write_all(request("GET", "/read/short", 0).as_bytes()).await.ok()?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await.ok()?;
            std::str::from_utf8(&head[9..]).ok()?.parse().ok()
        };
        timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten().unwrap_or(0)
    }

    /// Runs a crowd, checks the gateway as it stays and returns the status of an ordinary request.
    async fn check(&mut self, crowd: impl Future<Output = Vec<Option<TcpStream>>>) {
        let id = self.gateway.id();
        let mut usage = Usage::default();
        let work = async {
            let streams = crowd.await;
            sleep(STAY_TIME).await;
            let status = self.send_ordinary().await;
            drop(streams);
            status
        };
        let watch = async {
            loop {
                usage.add(id);
                sleep(WATCH_INTERVAL).await;
            }
        };
        let status = tokio::select! {
            status = work => status,
            () = watch => unreachable!("the watch has no end"),
        };
        println!("{usage:?}, ordinary request: {status}");
        assert!(!self.gateway.has_ended(), "the gateway has ended");
        assert!(usage.memory_kb <= MEMORY_KB, "{usage:?} for {MEMORY_KB} KB");
        assert!(usage.descriptors <= MAX_DESCRIPTORS, "{usage:?} for {MAX_DESCRIPTORS}");
        assert_eq!(status, 200, "the ordinary request beside the crowd");
        assert_eq!(self.send_ordinary().await, 200, "the ordinary request after the crowd");
    }
}

impl Usage {
    /// Adds what a process uses now, or has used at most; received bytes that it has not read count.
    fn add(&mut self, id: u32) {
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok())
        };
        let sockets = sockets(id);
        let unread_kb = unread_bytes(id, &sockets) / 1_024;
        let resident_kb = field("VmRSS:").unwrap_or(0);
        let most_kb = field("VmHWM:").unwrap_or(0);
        self.memory_kb = self.memory_kb.max(resident_kb + unread_kb).max(most_kb);
        self.descriptors = self.descriptors.max(sockets.len());
    }
}

/// Returns the targets of the open descriptors of a process.
fn sockets(id: u32) -> BTreeMap<String, String> {
    let entries = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
    let target = |entry: fs::DirEntry| {
        let name = entry.file_name().to_string_lossy().into_owned();
        Some((name, fs::read_link(entry.path()).ok()?.to_string_lossy().into_owned()))
    };
    entries.filter_map(target).collect()
}

/// Returns the number of received bytes that a process has not read from its TCP sockets.
fn unread_bytes(id: u32, sockets: &BTreeMap<String, String>) -> u64 {
    let inode =
        |target: &String| Some(target.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned());
    let own: BTreeSet<String> = sockets.values().filter_map(inode).collect();
    let table = fs::read_to_string(format!("/proc/{id}/net/tcp")).unwrap_or_default();
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_open = *fields.get(3)? != "0A" && own.contains(*fields.get(9)?);
        let (_, unread) = fields[4].split_once(':')?;
        u64::from_str_radix(unread, 16).ok().filter(|_| is_open)
    };
    table.lines().skip(1).filter_map(unread).sum()
}

fn request(method: &str, path: &str, length: usize) -> String {
    use std::hash::{BuildHasher as _, Hasher as _};
    let id = std::collections::hash_map::RandomState::new().build_hasher().finish();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id:016x}\r\n\
         Deadline-Ms: {REQUEST_TIME_MS}\r\nAuthorization: Bearer key-1\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Accepts connections of gateways as an endpoint.
async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(async move { serve(stream).await });
    }
}

/// Answers requests, with a long body if the path names one.
async fn serve(mut stream: TcpStream) -> Option<()> {
    let mut bytes = vec![];
    let mut piece = vec![0; 65_536];
    loop {
        let end = loop {
            if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            let count = stream.read(&mut piece).await.ok().filter(|count| *count > 0)?;
            bytes.extend_from_slice(&piece[..count]);
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        bytes.drain(..end);
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = field("content-length: ").and_then(|text| text.parse().ok());
        let mut rest: usize = length.unwrap_or(0);
        let buffered = rest.min(bytes.len());
        bytes.drain(..buffered);
        rest -= buffered;
        while rest > 0 {
            let wanted = rest.min(piece.len());
            let read = stream.read(&mut piece[..wanted]).await.ok();
            rest -= read.filter(|count| *count > 0)?;
        }
        let length = if head.contains("/read/long") { ANSWER_BYTES } else { 5 };
        let attempt = field("attempt-id: ").unwrap_or("none");
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nserver-stamp: signed-i-0\r\n\
             content-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        let block = [b'x'; 16_384];
        let mut rest = length;
        while rest > 0 {
            let count = rest.min(block.len());
            stream.write_all(&block[..count]).await.ok()?;
            rest -= count;
        }
    }
}

/// Asks for a long answer and reads none of it; returns the connection once bytes have arrived.
async fn read_slowly(addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(BUFFER_BYTES).ok()?;
    let mut stream = socket.connect(addr).await.ok()?;
    stream.write_all(request("GET", "/read/long", 0).as_bytes()).await.ok()?;
    let _ = timeout(SETTLE_TIMEOUT, stream.readable()).await;
    Some(stream)
}

/// Uploads all but the last byte of a body, unless the connection ends before; returns it.
async fn upload(addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_send_buffer_size(BUFFER_BYTES).ok()?;
    let mut stream = socket.connect(addr).await.ok()?;
    let sending = async {
        stream.write_all(request("POST", "/order/1", UPLOAD_BYTES).as_bytes()).await.ok()?;
        stream.write_all(&vec![b'x'; UPLOAD_BYTES - 1]).await.ok()
    };
    let _ = timeout(SETTLE_TIMEOUT, sending).await;
    Some(stream)
}

/// Takes an answer with a body of this length from a connection; `bytes` are those read before.
async fn read_answer(stream: &mut TcpStream, bytes: &mut Vec<u8>, length: usize) -> Vec<u8> {
    let body = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        assert!(stream.read_buf(bytes).await.expect("bytes") > 0, "it ended");
    };
    let head = String::from_utf8_lossy(&bytes[..body]);
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    while bytes.len() < body + length {
        assert!(stream.read_buf(bytes).await.expect("bytes") > 0, "it is cut short");
    }
    bytes.drain(..body + length).skip(body).collect()
}

#[actix_rt::test]
async fn long_answers_that_callers_do_not_read_fit_into_the_memory() {
    let _turn = TURN.lock().await;
    let mut fixture = Fixture::start(REQUEST_TIME_MS).await;
    let addr = fixture.callers;
    fixture.check(join_all((0..READERS).map(|_| read_slowly(addr)))).await;
}

#[actix_rt::test]
async fn uploads_that_callers_do_not_finish_fit_into_the_memory() {
    let _turn = TURN.lock().await;
    let mut fixture = Fixture::start(REQUEST_TIME_MS).await;
    let addr = fixture.callers;
    fixture.check(join_all((0..UPLOADERS).map(|_| upload(addr)))).await;
}

#[actix_rt::test]
async fn largest_upload_and_a_long_answer_are_served_in_calm() {
    let _turn = TURN.lock().await;
    let fixture = Fixture::start(REQUEST_TIME_MS).await;
    let mut stream = TcpStream::connect(fixture.callers).await.expect("a connection");
    for (method, path, length, expected) in
        [("POST", "/order/1", UPLOAD_BYTES, 5), ("GET", "/read/long", 0, ANSWER_BYTES)]
    {
        stream.write_all(request(method, path, length).as_bytes()).await.expect("a head");
        stream.write_all(&vec![b'x'; length]).await.expect("a body");
        let mut bytes = vec![];
        let read = read_answer(&mut stream, &mut bytes, expected);
        assert_eq!(timeout(SETTLE_TIMEOUT, read).await.map(|body| body.len()), Ok(expected));
        assert!(bytes.is_empty(), "bytes behind the answer");
    }
}

// Guards against a reply at the route's timeout within or behind an answer that is being written.
#[actix_rt::test]
async fn answer_that_is_read_after_the_timeout_of_its_route_is_followed_by_no_other() {
    let _turn = TURN.lock().await;
    let fixture = Fixture::start(SHORT_TIMEOUT_MS).await;
    let mut stream = read_slowly(fixture.callers).await.expect("a connection");
    sleep(Duration::from_millis(2 * SHORT_TIMEOUT_MS)).await;
    stream.write_all(request("GET", "/read/short", 0).as_bytes()).await.expect("a second request");
    let read = async {
        let (mut bytes, mut bodies) = (vec![], vec![]);
        for length in [ANSWER_BYTES, 5] {
            let body = read_answer(&mut stream, &mut bytes, length).await;
            bodies.push(body.iter().all(|byte| *byte == b'x'));
        }
        bodies
    };
    assert_eq!(timeout(SETTLE_TIMEOUT, read).await, Ok(vec![true, true]), "bodies are whole");
}
