//! Clients that nobody controls send further requests before their answers.

mod common;

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;

/// Connections of clients that nobody controls, below the 2,000 that a gateway takes by default.
const CLIENTS: usize = 1_900;
/// Bytes that each of them sends ahead of its answers.
const AHEAD_BYTES: usize = 262_144;
/// Memory of the machine, in KiB.
const MEMORY_KB: u64 = 160 * 1_024;
/// Workers and their slots.
const WORKERS: u8 = 8;
const SLOTS: u32 = 12;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 14;
const PAUSE: Duration = Duration::from_millis(90);
/// Time for which the clients send.
const LOAD_TIME: Duration = Duration::from_secs(20);
/// Ordinary clients that place orders over kept connections, one after the other, and the time that
/// an order takes at its worker.
const ORDINARY: usize = 12;
const ORDER_TIME: Duration = Duration::from_millis(2_200);
/// Connections that may be closed without an answer.
const MAX_LOST: usize = 3;
/// Interval of a client of the crowd that waits for its answers.
const CALM_INTERVAL: Duration = Duration::from_secs(2);

fn start_worker(addr: SocketAddr, name: String, runs: &Arc<AtomicUsize>) {
    let runs = runs.clone();
    serve(addr, move |mut stream| {
        let mut rest = vec![];
        while let Ok(request) = read_message(&mut stream, &mut rest) {
            if answer(&mut stream, &request, &name, &runs).is_err() {
                return;
            }
        }
    });
}

fn answer(
    stream: &mut TcpStream,
    request: &Message,
    name: &str,
    runs: &AtomicUsize,
) -> io::Result<()> {
    let id = request.header("attempt-id");
    if request.header("expect-instance") != name {
        let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
        return write!(stream, "{head}Attempt-Id: {id}\r\n\r\n");
    }
    runs.fetch_add(1, Ordering::Relaxed);
    let head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\nContent-Type: text/event-stream\r\n";
    write!(stream, "{head}Transfer-Encoding: chunked\r\nAttempt-Id: {id}\r\n\r\n")?;
    for number in 1..=EVENTS {
        let text = format!("id: {number}\ndata: piece {number}\n\n");
        write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        thread::sleep(PAUSE);
    }
    write!(stream, "0\r\n\r\n")
}

/// Starts the worker for orders, which records what it runs.
fn start_order_worker(addr: SocketAddr, name: &'static str, orders: &Arc<Mutex<Vec<String>>>) {
    let orders = orders.clone();
    serve(addr, move |mut stream| {
        let mut rest = vec![];
        while let Ok(request) = read_message(&mut stream, &mut rest) {
            let id = request.header("attempt-id").to_owned();
            if request.header("expect-instance") != name {
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
                let _ = write!(stream, "{head}Attempt-Id: {id}\r\n\r\n");
                continue;
            }
            orders.lock().unwrap().push(id.clone());
            thread::sleep(ORDER_TIME);
            let head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\nContent-Length: 5\r\n";
            let text = format!("{head}Attempt-Id: {id}\r\n\r\nplate");
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// What became of an order.
struct Order {
    id: String,
    /// The status of the answer, 0 if the connection ended without one.
    status: u16,
    /// Whether the connection was used before.
    is_kept: bool,
}

/// Places orders over one connection until it ends or `is_over`.
fn place_orders(callers: SocketAddr, is_over: &AtomicBool) -> Vec<Order> {
    let mut placed: Vec<Order> = vec![];
    let Ok(mut stream) = TcpStream::connect(callers) else { return placed };
    while !is_over.load(Ordering::Relaxed) {
        let (id, is_kept) = (attempt_id(), !placed.is_empty());
        let sent = stream.write_all(&request("POST", "/order/1", &id, 4_000, b"plate"));
        let answer = sent.and_then(|()| read_message(&mut stream, &mut vec![]));
        let status = answer.map_or(0, |answer| answer.status());
        placed.push(Order { id, status, is_kept });
        if status == 0 {
            break;
        }
    }
    placed
}

/// A connection of a client that nobody controls.
struct Crowd {
    stream: TcpStream,
    unsent: Vec<u8>,
    sent: usize,
    is_open: bool,
}

fn connect(callers: SocketAddr) -> io::Result<Crowd> {
    let stream = TcpStream::connect(callers)?;
    stream.set_nonblocking(true)?;
    Ok(Crowd { stream, unsent: vec![], sent: 0, is_open: true })
}

impl Crowd {
    /// Sends what the connection takes; with `reads`, also reads what has arrived.
    fn step(&mut self, reads: bool) {
        if !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(count) => {
                    self.unsent.drain(..count);
                    self.sent += count;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.is_open = false,
            }
        }
        let mut piece = [0; 4_096];
        while reads {
            match self.stream.read(&mut piece) {
                Ok(0) => self.is_open = false,
                Ok(_) => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.is_open = false,
            }
            break;
        }
    }
}

fn main() {
    let Some(out) = std::env::args().nth(1) else {
        eprintln!("the folder for record.txt is missing");
        std::process::exit(2);
    };
    let (_, dir, is_calm) = case_dirs(0);
    let record = Record::create(&std::path::Path::new(&out).join("record.txt"));
    record.line(format!("{CLIENTS} clients, each sends ahead of its answers: {}", !is_calm));
    let platform = free_addr(1);
    let store = Store::start(platform);
    let route = |name, prefix, kind, service, attempts, timeout_ms, aim_ms| Route {
        name,
        prefix,
        kind,
        service,
        attempts,
        timeout_ms,
        aim_ms,
    };
    let routes = [
        route("layout-draft", "/draft/", "streaming", "assist-llm", 2, 6_000, 500),
        route("place-order", "/order/", "non_idempotent", "orders", 1, 4_000, 2_500),
    ];
    store.put("op/config", Some(config(1, &routes)));
    let orders = Arc::default();
    let order_addr = free_addr(3);
    start_order_worker(order_addr, "i-orders", &orders);
    store.put("servers/i-orders", Some(entry("orders", order_addr, 24, unix_ms())));
    let runs = Arc::new(AtomicUsize::new(0));
    for number in 0..WORKERS {
        let (addr, name) = (free_addr(2), format!("i-{number}"));
        start_worker(addr, name.clone(), &runs);
        store.put(&format!("servers/{name}"), Some(entry("assist-llm", addr, SLOTS, unix_ms())));
    }
    let settings = GatewaySettings {
        number: 0,
        platform,
        peer_port: free_addr(11).port(),
        seeds: vec![],
        retry_extra: 104.0,
        restarted: false,
    };
    let mut gateway = Gateway::start_with_memory(&settings, &dir, 160);
    let callers = gateway.callers;
    record.line(format!("resident memory before: {} KB", gateway.memory_kb("VmRSS:")));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..ORDINARY)
        .map(|_| {
            let is_over = is_over.clone();
            thread::spawn(move || place_orders(callers, &is_over))
        })
        .collect();
    // Each connection has served an order before the crowd comes.
    thread::sleep(ORDER_TIME + Duration::from_millis(400));
    let mut crowd: Vec<Crowd> = (0..CLIENTS).filter_map(|_| connect(callers).ok()).collect();
    if crowd.len() < CLIENTS {
        record.line(format!("only {} connections", crowd.len()));
        std::process::exit(2);
    }
    let one = || request("POST", "/draft/1", &attempt_id(), 6_000, b"");
    if !is_calm {
        for client in &mut crowd {
            while client.unsent.len() < AHEAD_BYTES {
                client.unsent.extend(one());
            }
        }
    }
    let (started, mut last_calm, mut most_kb) = (Instant::now(), None::<Instant>, 0);
    let mut is_killed = false;
    let mut next_line = Instant::now();
    while started.elapsed() < LOAD_TIME && gateway.ended().is_none() {
        if is_calm && last_calm.is_none_or(|at| at.elapsed() >= CALM_INTERVAL) {
            last_calm = Some(Instant::now());
            crowd.iter_mut().for_each(|client| client.unsent.extend(one()));
        }
        crowd.iter_mut().filter(|client| client.is_open).for_each(|client| client.step(is_calm));
        most_kb = gateway.memory_kb("VmRSS:").max(most_kb);
        if most_kb > MEMORY_KB {
            record.line(format!("{most_kb} KB of {MEMORY_KB} KB: the platform kills the gateway"));
            gateway.signal("KILL");
            is_killed = true;
            break;
        }
        if Instant::now() >= next_line {
            next_line = Instant::now() + Duration::from_secs(1);
            let open = crowd.iter().filter(|client| client.is_open).count();
            let sent: usize = crowd.iter().map(|client| client.sent).sum();
            record.line(format!(
                "resident {} KB, {open} connections open, {} KB sent, {} runs at workers",
                gateway.memory_kb("VmRSS:"),
                sent / 1_024,
                runs.load(Ordering::Relaxed)
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    let placed: Vec<Order> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    let has_run = |order: &&Order| orders.lock().unwrap().contains(&order.id);
    let served = placed.iter().filter(|order| order.status == 200).count();
    let lost = placed.iter().filter(|order| order.status == 0 && order.is_kept).filter(has_run);
    let lost: Vec<&str> = lost.map(|order| order.id.as_str()).collect();
    for id in &lost {
        record.line(format!("order {id} on a kept connection: run, no answer"));
    }
    drop(crowd);
    drop(gateway);
    let _ = std::fs::remove_dir_all(&dir);
    record.line(format!(
        "{served} orders served; most resident memory {most_kb} KB of {MEMORY_KB} KB, killed \
         {is_killed}"
    ));
    record.line(format!("orders that have run and got no answer: {}", lost.len()));
    println!(
        "crowd: {} orders lost, {served} served; most memory {most_kb} KB of {MEMORY_KB} KB",
        lost.len()
    );
    std::process::exit(match (lost.len(), served) {
        (_, 0) => 2,
        (0..=MAX_LOST, _) => 0,
        _ => 1,
    });
}
