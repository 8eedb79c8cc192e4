//! A worker starts again at its address and sends the answer to a misdirected request twice.

#[path = "../standins-3/common.rs"]
mod common;

use std::{
    io::Write as _,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

/// Restarts of the worker.
const RESTARTS: usize = 8;
/// Clients, and orders that each places between two restarts.
const CLIENTS: usize = 3;
const ORDERS: usize = 60;
/// Time for which the worker is down, and after which the entry of its last start is removed: three
/// heartbeat intervals of 1,200 ms.
const DOWN_TIME: Duration = Duration::from_millis(2_100);
/// Share of the answers of the faulty worker that may be sent twice.
const COPY_SHARE: f64 = 0.02;
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
/// Time that an order takes, and the time after which the second copy of an answer is sent.
const WORK_TIME: Duration = Duration::from_millis(30);
const COPY_DELAY: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Worker {
    name: String,
    streams: Vec<TcpStream>,
    runs: Vec<String>,
    answers: usize,
    copies: usize,
    is_down: bool,
}

fn start_worker(addr: SocketAddr, worker: &Arc<Mutex<Worker>>, is_faulty: bool, record: &Record) {
    let (worker, record) = (worker.clone(), record.clone());
    serve(addr, move |stream| {
        let mut rest = vec![];
        let mut reader = stream.try_clone().expect("a connection");
        worker.lock().unwrap().streams.push(stream.try_clone().expect("a connection"));
        let writer = Arc::new(Mutex::new(stream));
        while let Ok(request) = read_message(&mut reader, &mut rest) {
            let id = request.header("attempt-id").to_owned();
            let (is_own, name) = {
                let mut worker = worker.lock().unwrap();
                if worker.is_down {
                    return;
                }
                worker.answers += 1;
                (request.header("expect-instance") == worker.name, worker.name.clone())
            };
            if !is_own {
                let expected = request.header("expect-instance");
                record.line(format!("worker: order {id} expects {expected}, answer 421"));
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
                let text = format!("{head}Instance-Id: {name}\r\nAttempt-Id: {id}\r\n\r\n");
                let _ = writer.lock().unwrap().write_all(text.as_bytes());
                let is_doubled = {
                    let mut worker = worker.lock().unwrap();
                    let allowed = worker.answers as f64 * COPY_SHARE;
                    let is_doubled = is_faulty && (worker.copies + 1) as f64 <= allowed;
                    worker.copies += usize::from(is_doubled);
                    is_doubled
                };
                if is_doubled {
                    let (writer, record) = (writer.clone(), record.clone());
                    thread::spawn(move || {
                        thread::sleep(COPY_DELAY);
                        record.line(format!("worker: second copy of the answer 421 to {id}"));
                        let _ = writer.lock().unwrap().write_all(text.as_bytes());
                    });
                }
                continue;
            }
            worker.lock().unwrap().runs.push(id.clone());
            thread::sleep(WORK_TIME);
            let head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\nContent-Length: 5\r\n";
            let text = format!("{head}Keep-Alive: timeout=5\r\nAttempt-Id: {id}\r\n\r\nplate");
            if writer.lock().unwrap().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// Places an order over a new connection and returns the status, 0 without an answer.
fn order(callers: SocketAddr, id: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect(callers) else { return 0 };
    if stream.write_all(&request("POST", "/order/1", id, 2_500, b"plate")).is_err() {
        return 0;
    }
    read_message(&mut stream, &mut vec![]).map_or(0, |answer| answer.status())
}

/// Places orders one after the other; returns how many were served, answered 503 although they had
/// run, and then run again as the client came back.
fn place_orders(
    callers: SocketAddr,
    worker: &Mutex<Worker>,
    record: &Record,
) -> (usize, usize, usize) {
    let (mut served, mut refused_and_run, mut twice) = (0, 0, 0);
    for _ in 0..ORDERS {
        let id = attempt_id();
        let status = order(callers, &id);
        let has_run = worker.lock().unwrap().runs.contains(&id);
        served += usize::from(status == 200);
        if status == 503 && has_run {
            refused_and_run += 1;
            let again = attempt_id();
            thread::sleep(Duration::from_millis(700));
            let second = order(callers, &again);
            twice += usize::from(second == 200);
            record.line(format!(
                "client: order {id} is answered 503 and has run; it comes again as {again}: {second}"
            ));
        } else if status != 200 {
            record.line(format!("client: order {id} is answered {status}, run {has_run}"));
        }
    }
    (served, refused_and_run, twice)
}

fn main() {
    let (case, dir, is_calm) = case_dirs(14);
    let record = Record::create(&case.join("record.txt"));
    record.line(format!("the worker sends answers 421 twice: {}", !is_calm));
    let platform = free_addr(1);
    let store = Store::start(platform);
    store.put(
        "op/config",
        Some(config(
            1,
            &[Route {
                name: "place-order",
                prefix: "/order/",
                kind: "non_idempotent",
                service: "orders",
                attempts: 2,
                timeout_ms: 1_200,
                aim_ms: 150,
            }],
        )),
    );
    let addr = free_addr(2);
    let worker = Arc::new(Mutex::new(Worker { name: "i-0".to_owned(), ..Worker::default() }));
    start_worker(addr, &worker, !is_calm, &record);
    store.put("servers/i-0", Some(entry("orders", addr, 6, unix_ms())));
    // Another worker of the service, which stays as it is.
    let other_addr = free_addr(3);
    let other = Arc::new(Mutex::new(Worker { name: "i-other".to_owned(), ..Worker::default() }));
    start_worker(other_addr, &other, false, &record);
    store.put("servers/i-other", Some(entry("orders", other_addr, 6, unix_ms())));
    let settings = GatewaySettings {
        number: 0,
        platform,
        peer_port: free_addr(11).port(),
        seeds: vec![],
        retry_extra: 104.0,
        restarted: false,
    };
    let gateway = Gateway::start(&settings, &dir);
    let callers = gateway.callers;
    let (mut refused_and_run, mut served, mut twice) = (0, 0, 0);
    for restart in 0..=RESTARTS {
        if restart > 0 {
            let crashed = Instant::now();
            {
                let mut worker = worker.lock().unwrap();
                worker.is_down = true;
                worker.streams.drain(..).for_each(|stream| {
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
            thread::sleep(DOWN_TIME);
            let (old, new) = (format!("i-{}", restart - 1), format!("i-{restart}"));
            {
                let mut worker = worker.lock().unwrap();
                (worker.name, worker.is_down) = (new.clone(), false);
            }
            store.put(&format!("servers/{new}"), Some(entry("orders", addr, 6, unix_ms())));
            record.line(format!("the worker {old} has started again as {new} at its address"));
            thread::sleep(Duration::from_millis(300));
            let store = store.clone();
            thread::spawn(move || {
                thread::sleep(ENTRY_TIME.saturating_sub(crashed.elapsed()));
                store.put(&format!("servers/{old}"), None);
            });
        }
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (worker, record) = (worker.clone(), record.clone());
                thread::spawn(move || place_orders(callers, &worker, &record))
            })
            .collect();
        for client in clients {
            let placed = client.join().expect("a client");
            served += placed.0;
            refused_and_run += placed.1;
            twice += placed.2;
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    let (answers, copies) = {
        let (worker, other) = (worker.lock().unwrap(), other.lock().unwrap());
        (worker.answers + other.answers, worker.copies)
    };
    record.line(format!("{served} orders served; {copies} of {answers} answers were sent twice"));
    record.line(format!(
        "orders answered 503 that had run: {refused_and_run}; run again as the client came back: {twice}"
    ));
    drop(gateway);
    let _ = std::fs::remove_dir_all(&dir);
    println!(
        "case 14: {refused_and_run} orders answered 503 that had run, {twice} run again, {served} served"
    );
    std::process::exit(match (refused_and_run, served) {
        (_, 0) => 2,
        (0, _) => 0,
        _ => 1,
    });
}
