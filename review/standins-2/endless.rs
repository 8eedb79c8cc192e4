//! Workers whose streams go on without end and without the end of an event.

#[path = "stand.rs"]
mod stand;

use std::{
    collections::BTreeSet,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use stand::*;

const WORKERS: u8 = 16;
const SLOTS: u64 = 16;
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// Bytes that a stream sends at once after its first event; then it goes on slowly.
const BULK: usize = 1_000_000;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"voka93.example","prefix":"/draft/","kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"priority":1,"service":"assist","attempts":2,"public":false,"sticky_sessions":true,"resume_streams":true,"target_gap_ms":400,"allowed_regions":[]}},{{"name":"r-2","host":"voka93.example","prefix":"/order/","kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"orders","attempts":2,"public":false,"allowed_regions":[]}}],"services":[{{"name":"orders","health_check_path":"/health","max_connections":110,"cold_start_s":0.0,"cold_per_s":0.0}},{{"name":"assist","health_check_path":"/health","max_connections":434,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{{"slots":{SLOTS},"kv_cache_tokens":317000,"stride":5,"models":[{{"name":"daka51","warm_s":0.3}}],"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"usual":{{"prompt":979,"answer":92}}}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["{KEY}"],"priority":1,"allowed_regions":[]}}]}}"#
    )
}

fn entry(worker: &Worker) -> String {
    format!(
        r#"{{"service":"assist","address":"{}","zone":"ost-a","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{},"models":[{{"name":"daka51","version":1,"adapters":[]}}],"layers":{{"from":0,"to":16,"version":1}}}}"#,
        worker.addr,
        worker.born()
    )
}

fn orders_entry(worker: &Worker) -> String {
    format!(
        r#"{{"service":"orders","address":"{}","zone":"ost-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
        worker.addr,
        worker.born()
    )
}

fn serve(worker: &Worker, request: &Message, conn: &mut Conn) -> Run {
    sleep_ms(60);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: {}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.attempt(),
        worker.signature
    );
    let chunk = |data: &[u8]| [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
    if conn.write(&[head.as_bytes(), &chunk(b"id: 1\ndata: token 1\n\n")].concat()).is_err() {
        return Run::Close;
    }
    if !has_trouble() {
        for id in 2..=10 {
            sleep_ms(200);
            let event = format!("id: {id}\ndata: token {id}\n\n");
            if conn.write(&chunk(event.as_bytes())).is_err() {
                return Run::Close;
            }
        }
        return if conn.write(b"0\r\n\r\n").is_ok() { Run::Kept } else { Run::Close };
    }
    let part = vec![b'x'; 50_000];
    for _ in 0..BULK / part.len() {
        if conn.write(&chunk(&part)).is_err() {
            return Run::Close;
        }
    }
    while conn.write(&chunk(b"xxxxxxxx")).is_ok() {
        sleep_ms(200);
    }
    Run::Close
}

/// A sound order on a kept connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answered,
    /// The connection ended without an answer.
    Closed,
}

fn run(dir: PathBuf) -> std::io::Result<i32> {
    let (record, temp) = (Record::new(&dir)?, TempDir::new()?);
    let store = Store::start(loopback_ip(1))?;
    store.put("op/config", Some(&config()));
    let mut engines = vec![];
    for number in 0..WORKERS {
        let ip = loopback_ip(10 + number);
        engines.push(Worker::start(&number.to_string(), ip, SLOTS, serve)?);
    }
    follow_workers(&store, &engines, 3_000, entry);
    let passed_on: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut orders = vec![];
    for number in 0..3_u8 {
        let passed_on = passed_on.clone();
        let handler = move |worker: &Worker, request: &Message, conn: &mut Conn| {
            let attempt = request.attempt();
            passed_on.lock().unwrap().insert(attempt.clone());
            sleep_ms(120);
            let headers =
                [("Attempt-Id", attempt.as_str()), ("Server-Stamp", worker.signature.as_str())];
            match conn.answer("200 OK", &headers, b"{}") {
                Ok(()) => Run::Kept,
                Err(_) => Run::Close,
            }
        };
        orders.push(Worker::start(&format!("o{number}"), loopback_ip(40 + number), 6, handler)?);
    }
    follow_workers(&store, &orders, 3_000, orders_entry);
    let mut gateways = start_gateways(&temp.0, &store, &["ost-a"], &[loopback_ip(2)])?;
    if !wait_ready(&gateways) {
        record.say("the gateway is not ready");
        return Ok(NOT_RUN);
    }
    let addr = gateways[0].callers;
    sleep_ms(1_000);
    let stop = Stop::default();
    let outcomes: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let mut threads = vec![];
    // Sound orders, each client on one connection that it keeps.
    for client in 0..10_u64 {
        let (stop, record, outcomes) = (stop.clone(), record.clone(), outcomes.clone());
        threads.push(thread::spawn(move || {
            while !stop.is_set() {
                let Ok(mut conn) = Conn::connect(addr) else {
                    sleep_ms(100);
                    continue;
                };
                let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(4)));
                for turn in 0.. {
                    let id = attempt_id();
                    let head = format!(
                        "POST /order/1 HTTP/1.1\r\nHost: voka93.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nbook"
                    );
                    let answer = match conn.write(head.as_bytes()) {
                        Ok(()) => conn.read_message(),
                        Err(error) => Err(error),
                    };
                    if stop.is_set() {
                        return;
                    }
                    let outcome = match &answer {
                        Ok(Some(_)) => Outcome::Answered,
                        _ => Outcome::Closed,
                    };
                    if outcome == Outcome::Closed {
                        record.line(format!("order {id} of client {client}: closed without an answer"));
                    }
                    // The first request of a connection does not count as one on a kept connection.
                    if turn > 0 {
                        outcomes.lock().unwrap().push((id, outcome));
                    }
                    if outcome == Outcome::Closed {
                        break;
                    }
                    sleep_ms(20);
                }
                sleep_ms(200);
            }
        }));
    }
    for client in 0..320_u64 {
        let (stop, record) = (stop.clone(), record.clone());
        threads.push(thread::spawn(move || {
            sleep_ms(2_000 + client * 15);
            while !stop.is_set() {
                let head = format!(
                    "POST /draft/1 HTTP/1.1\r\nHost: voka93.example\r\nAttempt-Id: {}\r\nModel: daka51\r\nToken-Counts: 1290,100\r\nPrompt-Prefix: 5c1e07a2:40,{client:08x}:1250\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: 4\r\n\r\n",
                    attempt_id()
                );
                let reply = call(addr, &head, b"text", 6_000);
                record.line(format!("stream of client {client}: {} {:?}", reply.status, reply.error));
                sleep_ms(300);
            }
        }));
    }
    let until = Instant::now() + Duration::from_secs(30);
    // In MiB, so that the limit is rather too high.
    let limit = MEMORY_MB * 1_024;
    let (mut peak, mut ended) = (0, false);
    while Instant::now() < until {
        sleep_ms(20);
        if !gateways[0].process.is_running() {
            record.say("the gateway has ended by itself");
            ended = true;
            break;
        }
        let used = gateways[0].process.status_kb("VmRSS:");
        if used > peak {
            record.line(format!("resident memory of the gateway: {used} kB"));
            peak = used;
        }
        if used > limit {
            record.say(format!(
                "the gateway exceeds {MEMORY_MB} MB and is killed, as the platform does"
            ));
            gateways.clear();
            ended = true;
            break;
        }
    }
    if ended {
        sleep_ms(3_000);
    }
    stop.set();
    drop(gateways);
    let (outcomes, passed_on) = (outcomes.lock().unwrap(), passed_on.lock().unwrap());
    let lost = outcomes
        .iter()
        .filter(|(id, outcome)| *outcome == Outcome::Closed && passed_on.contains(id))
        .count();
    record.say(format!(
        "peak resident memory of the gateway {peak} kB of {limit} kB; {lost} of {} sound orders on kept connections were passed on and closed without an answer (3 are allowed)",
        outcomes.len()
    ));
    Ok(if lost > 3 { BROKEN } else { HELD })
}

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let code = run(dir).unwrap_or_else(|error| {
        eprintln!("{error}");
        NOT_RUN
    });
    std::process::exit(code);
}
