//! Requests with one prompt part that crashes engines, through two real gateways.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use sequoiahold_standins::{
    hosted::{Fragile, FragileRecord, Store, loopback_addr},
    processes::{Process, Signal, program_path},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Time within which a gateway must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of endpoints.
const ENDPOINTS: usize = 12;
/// The part that crashes endpoints.
const FATAL_PART: &str = "beef";
/// Number of crashes after which requests with the part must stop.
const CRASHES_ALLOWED: u32 = 5;
/// Time after the last allowed crash within which requests with the part may still be sent.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which the allowed crashes happen, unless requests with the part stop before.
const CRASH_TIMEOUT: Duration = Duration::from_secs(6);
/// Largest number of requests with the part that may reach endpoints later.
const LATE_ARRIVALS_ALLOWED: usize = 3;
/// Interval between two requests with the part.
const FATAL_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

struct Gateway {
    process: Option<Process>,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: Value,
}

struct Fixture {
    _store: Store,
    record: Rc<RefCell<FragileRecord>>,
    gateways: RefCell<Vec<Gateway>>,
    dir: PathBuf,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn random_id() -> u64 {
    use std::hash::{BuildHasher as _, Hasher as _};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

fn gateway_config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "streams", "host": "shop.example", "prefix": "/stream/", "kind": "streaming",
            "timeout_ms": 4000, "target_latency_ms": 1500, "priority": 1, "service": "llm",
            "attempts": 2, "public": false, "resume_streams": true, "target_gap_ms": 400,
            "allowed_regions": []
        }],
        "services": [{ "name": "llm", "health_check_path": "/health", "max_connections": 100 }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000
        },
        "tenants": [
            { "name": "acme", "api_keys": ["key-1"], "priority": 1, "allowed_regions": [] }
        ]
    })
}

impl Fixture {
    async fn start() -> Self {
        let dir = std::env::temp_dir().join(format!("parts-{:016x}", random_id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let platform = loopback_addr();
        let store = Store::start(platform).await.expect("a store");
        store.put("op/config", Some(gateway_config()));
        let record = Rc::default();
        for number in 0..ENDPOINTS {
            let (addr, name) = (loopback_addr(), format!("i-{number}"));
            let started = Fragile::start(addr, &name, FATAL_PART, Rc::clone(&record)).await;
            started.expect("an endpoint");
            let entry = json!({
                "service": "llm", "address": addr.to_string(), "zone": "z1", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1
            });
            store.put(&format!("servers/{name}"), Some(entry));
        }
        let addrs = [loopback_addr(), loopback_addr()];
        // All processes listen for peers on the same port, each at its own address.
        let peers = addrs.map(|addr| SocketAddr::new(addr.ip(), addrs[0].port()));
        let gateways = peers.iter().enumerate().map(|(number, own)| {
            let (callers, ready) = (loopback_addr(), loopback_addr());
            let settings = json!({
                "node": {
                    "vm": format!("gateway-{number}"), "zone": "z1", "zones": { "z1": "r1" },
                    "peers": own, "seeds": peers, "platform": platform,
                    "bounds": { "retry_ratio": 0.5, "retry_extra": 100.0, "grace": "6s" }
                },
                "callers": callers, "ready": ready, "log": { "format": "json" }
            });
            Gateway { process: None, callers, ready, settings }
        });
        let gateways = RefCell::new(gateways.collect());
        let fixture = Self { _store: store, record, gateways, dir };
        fixture.start_gateway(0);
        fixture.start_gateway(1);
        fixture.wait_ready(0).await;
        fixture.wait_ready(1).await;
        fixture
    }

    fn start_gateway(&self, number: usize) {
        let gateway = &mut self.gateways.borrow_mut()[number];
        let (program, vm) = (program_path(), format!("gateway-{number}"));
        let process = Process::start(&program, "gateway", &vm, &self.dir, &gateway.settings);
        gateway.process = Some(process.expect("a gateway"));
    }

    async fn wait_ready(&self, number: usize) {
        let addr = self.gateways.borrow()[number].ready;
        let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let deadline = Instant::now() + READY_TIMEOUT;
        while exchange(addr, request).await != 200 {
            assert!(Instant::now() < deadline, "gateway {number} is not ready");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request that no other one equals, with these parts and a last one of its own.
    async fn send(&self, gateway: usize, parts: &str) -> u16 {
        let callers = self.gateways.borrow()[gateway].callers;
        let (id, session) = (random_id(), random_id());
        let request = format!(
            "POST /stream/{session:x} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id:016x}\r\n\
             Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\
             Prompt-Prefix: {parts},{session:x}:40\r\nContent-Length: 0\r\n\r\n"
        );
        exchange(callers, &request).await
    }

    fn fatal_arrivals(&self) -> usize {
        self.record.borrow().arrivals.iter().filter(|arrival| arrival.fatal).count()
    }

    async fn wait_crashes(&self, crashes: u32) {
        let deadline = Instant::now() + CRASH_TIMEOUT;
        while self.record.borrow().crashes < crashes && Instant::now() < deadline {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn exchange(addr: SocketAddr, request: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect(addr).await else { return 0 };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return 0;
    }
    let mut bytes = vec![];
    let read = stream.read_to_end(&mut bytes);
    let _ = actix_rt::time::timeout(Duration::from_secs(10), read).await;
    let text = String::from_utf8_lossy(&bytes);
    // A stream that breaks off ends without its last chunk.
    let complete = !text.contains("chunked") || text.ends_with("0\r\n\r\n");
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    if complete { status } else { 0 }
}

/// Sends requests with the fatal part to both gateways until the task is aborted.
fn send_fatal(fixture: &Rc<Fixture>) -> actix_rt::task::JoinHandle<()> {
    let fixture = fixture.clone();
    actix_rt::spawn(async move {
        for number in 0.. {
            let fixture = fixture.clone();
            actix_rt::spawn(async move {
                fixture.send(number % 2, &format!("a1:300,{FATAL_PART}:200")).await
            });
            actix_rt::time::sleep(FATAL_INTERVAL).await;
        }
    })
}

/// Sends sound requests for `time` to both gateways; returns how many were answered, and of how
/// many.
async fn send_sound(fixture: &Rc<Fixture>, time: Duration) -> (usize, usize) {
    let (started, mut calls) = (Instant::now(), vec![]);
    while started.elapsed() < time {
        let (sender, number) = (fixture.clone(), calls.len());
        calls.push(actix_rt::spawn(async move {
            // A part that all share, and one that few share.
            sender.send(number % 2, &format!("a1:300,c{}:200", number % 16)).await
        }));
        actix_rt::time::sleep(SOUND_INTERVAL).await;
    }
    let (mut answered, total) = (0, calls.len());
    for call in calls {
        answered += usize::from(call.await.is_ok_and(|status| status == 200));
    }
    (answered, total)
}

#[actix_rt::test]
async fn requests_that_share_a_part_that_crashes_engines_stop_on_all_gateways() {
    let fixture = Rc::new(Fixture::start().await);
    let sending = send_fatal(&fixture);
    let sound = fixture.clone();
    let early = actix_rt::spawn(async move { send_sound(&sound, Duration::from_secs(4)).await });
    fixture.wait_crashes(CRASHES_ALLOWED).await;
    assert!(fixture.record.borrow().crashes >= 3, "the part crashes endpoints");
    actix_rt::time::sleep(CONTACT_TIME).await;
    let before = fixture.fatal_arrivals();
    let _ = early.await;
    let (answered, sent) = send_sound(&fixture, Duration::from_secs(5)).await;
    fixture.gateways.borrow()[1].process.as_ref().expect("a process").signal(Signal::Kill);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fixture.start_gateway(1);
    fixture.wait_ready(1).await;
    let (answered_again, sent_again) = send_sound(&fixture, Duration::from_secs(5)).await;
    sending.abort();
    let late = fixture.fatal_arrivals() - before;
    let crashes = fixture.record.borrow().crashes;
    let sound = format!("sound: {answered} of {sent}, {answered_again} of {sent_again} later");
    assert!(late <= LATE_ARRIVALS_ALLOWED, "{late} late arrivals, {crashes} crashes; {sound}");
    assert!(2 * answered >= sent, "{sound}");
    assert!(2 * answered_again >= sent_again, "{sound}");
}
