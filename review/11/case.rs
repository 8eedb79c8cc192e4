//! A worker answers with a keep-alive time beyond the range of the gateway's clock.

#[path = "../standins-3/common.rs"]
mod common;

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use common::*;

/// The keep-alive time of the faulty answer, in whole seconds.
const FAULTY_TIMEOUT: u64 = 9_223_372_036_854_775_807;
/// Clients that place an order over a connection that they keep.
const CLIENTS: usize = 6;
/// Time that the sound worker works on an order.
const WORK_TIME: Duration = Duration::from_millis(200);
/// Answers of the faulty worker of which the last one is faulty.
const ANSWERS: usize = 61;
/// Time after the first orders at which the catalogue is asked.
const LEAD: Duration = Duration::from_millis(500);
/// Lookups in the catalogue, enough for the faulty answer.
const LOOKUPS: usize = 200;
/// Starts of the gateway.
const ROUNDS: usize = 3;
/// Connections that may be closed without an answer.
const MAX_LOST: usize = 3;

type Runs = Arc<Mutex<Vec<String>>>;

/// Starts a worker that records what it runs and answers after `work`.
fn start_worker(
    addr: SocketAddr,
    name: &'static str,
    work: Duration,
    keep_alive: u64,
    runs: &Runs,
) {
    let runs = runs.clone();
    serve(addr, move |mut stream| {
        let mut rest = vec![];
        while let Ok(request) = read_message(&mut stream, &mut rest) {
            let id = request.header("attempt-id").to_owned();
            if request.header("expect-instance") != name {
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
                let _ = write!(stream, "{head}Attempt-Id: {id}\r\n\r\n");
                continue;
            }
            let count = {
                let mut runs = runs.lock().unwrap();
                runs.push(id.clone());
                runs.len()
            };
            let seconds = if count % ANSWERS == 0 { keep_alive } else { 5 };
            if request.path().contains("/slow/") {
                thread::sleep(work);
            }
            let head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\nContent-Length: 5\r\n";
            let text =
                format!("{head}Keep-Alive: timeout={seconds}\r\nAttempt-Id: {id}\r\n\r\nplate");
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// Sends a request over a kept connection and returns the answer's status, 0 without an answer.
fn ask(stream: &mut TcpStream, method: &str, path: &str, id: &str) -> u16 {
    if stream.write_all(&request(method, path, id, 2_500, b"")).is_err() {
        return 0;
    }
    read_message(stream, &mut vec![]).map_or(0, |answer| answer.status())
}

fn main() {
    let (case, dir, is_calm) = case_dirs(11);
    let record = Record::create(&case.join("record.txt"));
    let keep_alive = if is_calm { 5 } else { FAULTY_TIMEOUT };
    record.line(format!("keep-alive time of the faulty worker: {keep_alive} s"));
    let platform = free_addr(1);
    let store = Store::start(platform);
    let (sound_runs, other_runs) = (Runs::default(), Runs::default());
    let (sound, other, third) = (free_addr(2), free_addr(3), free_addr(4));
    start_worker(sound, "i-sound", WORK_TIME, 5, &sound_runs);
    start_worker(other, "i-other", Duration::ZERO, keep_alive, &other_runs);
    start_worker(third, "i-third", Duration::ZERO, 5, &Runs::default());
    let route = |name, prefix, kind, service, attempts| Route {
        name,
        prefix,
        kind,
        service,
        attempts,
        timeout_ms: 1_200,
        aim_ms: 150,
    };
    store.put(
        "op/config",
        Some(config(
            1,
            &[
                route("place-order", "/order/", "non_idempotent", "orders", 1),
                route("catalogue", "/glass/", "idempotent", "catalogue", 2),
            ],
        )),
    );
    store.put("servers/i-sound", Some(entry("orders", sound, 6, unix_ms())));
    store.put("servers/i-other", Some(entry("catalogue", other, 8, unix_ms())));
    store.put("servers/i-third", Some(entry("catalogue", third, 8, unix_ms())));
    let peer_port = free_addr(11).port();
    let (mut lost, mut ends) = (0, 0);
    for round in 0..ROUNDS {
        let settings = GatewaySettings {
            number: 0,
            platform,
            peer_port,
            seeds: vec![],
            retry_extra: 104.0,
            restarted: round > 0,
        };
        let mut gateway = Gateway::start(&settings, &dir);
        let callers = gateway.callers;
        let is_over = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (record, runs, is_over) = (record.clone(), sound_runs.clone(), is_over.clone());
                thread::spawn(move || {
                    let mut stream = TcpStream::connect(callers).expect("the gateway");
                    let mut served = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        let id = attempt_id();
                        let status = ask(&mut stream, "POST", "/order/slow/1", &id);
                        if status == 200 {
                            served += 1;
                            continue;
                        }
                        let has_run = runs.lock().unwrap().contains(&id);
                        record.line(format!(
                            "round {round}: order {id} on a connection with {served} answers \
                             before: run {has_run}, status {status}"
                        ));
                        return served > 0 && has_run && status == 0;
                    }
                    false
                })
            })
            .collect();
        thread::sleep(LEAD);
        let mut stream = TcpStream::connect(callers).expect("the gateway");
        let lookups = (0..LOOKUPS).map(|_| ask(&mut stream, "GET", "/glass/1", &attempt_id()));
        let served = lookups.take_while(|status| *status == 200).count();
        record.line(format!("round {round}: {served} lookups in the catalogue served"));
        thread::sleep(LEAD);
        is_over.store(true, Ordering::Relaxed);
        lost += clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .filter(|lost| *lost)
            .count();
        thread::sleep(Duration::from_millis(200));
        if let Some(status) = gateway.ended() {
            ends += 1;
            record.line(format!("round {round}: the gateway has ended by itself: {status}"));
            let log = std::fs::read_to_string(dir.join("gateway-0.log")).unwrap_or_default();
            let fault = log.lines().find(|line| line.contains("broken invariant")).unwrap_or("");
            let fault = fault.rsplit("\\n").next().and_then(|text| text.split('"').next());
            let fault = fault.unwrap_or("");
            record.line(format!("its log: {fault}"));
        }
    }
    let other_count = other_runs.lock().unwrap().len();
    record.line(format!("{other_count} answers of the faulty worker, {ends} ends of the gateway"));
    record.line(format!(
        "orders that the sound worker ran and whose kept connection ended without an answer: {lost}"
    ));
    let _ = std::fs::remove_dir_all(&dir);
    let is_broken = lost > MAX_LOST;
    println!("case 11: {lost} orders lost, {ends} ends of the gateway by itself");
    std::process::exit(i32::from(is_broken));
}
