//! A prompt part that crashes workers, in requests that come several at a time.

#[path = "stand.rs"]
mod stand;

use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
};

use stand::*;

const ZONES: [&str; 3] = ["ost-a", "west-a", "sud-a"];
const WORKERS: u8 = 16;
const SLOTS: u64 = 16;
/// The part that crashes workers.
const POISON: &str = "91bd3f06";
/// Requests with that part that come at the same moment.
const BATCH: usize = 6;
/// Times at which they come, in ms after the first sound request.
const BATCHES_MS: [u64; 3] = [4_000, 11_000, 18_000];
const CONTACT_S: f64 = 3.0;
const PREFILL_MS: u64 = 60;
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"voka93.example","prefix":"/draft/","kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"priority":1,"service":"assist","attempts":2,"public":false,"sticky_sessions":true,"resume_streams":true,"target_gap_ms":400,"allowed_regions":[]}}],"services":[{{"name":"assist","health_check_path":"/health","max_connections":434,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{{"slots":{SLOTS},"kv_cache_tokens":317000,"stride":5,"models":[{{"name":"daka51","warm_s":0.3}}],"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"usual":{{"prompt":979,"answer":92}}}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["{KEY}"],"priority":1,"allowed_regions":[]}}]}}"#
    )
}

/// A worker that has restarted holds no layers.
fn entry(worker: &Worker) -> String {
    let zone = ZONES[worker.name.parse::<usize>().unwrap_or(0) % ZONES.len()];
    let held = match worker.instance().ends_with("-1") {
        true => {
            r#""models":[{"name":"daka51","version":1,"adapters":[]}],"layers":{"from":0,"to":16,"version":1}"#
        }
        false => r#""models":[],"layers":[]"#,
    };
    format!(
        r#"{{"service":"assist","address":"{}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{},{held}}}"#,
        worker.addr,
        worker.born()
    )
}

/// Streams ten events after the prefill, or crashes where the answer would begin.
fn serve(
    worker: &Worker,
    request: &Message,
    conn: &mut Conn,
    on_poison: &(dyn Fn(&str, &str) + Send + Sync),
    on_crash: &(dyn Fn() + Send + Sync),
) -> Run {
    let prefix = request.header("prompt-prefix").unwrap_or("").to_owned();
    let poisoned = prefix.split(',').any(|part| part.starts_with(POISON));
    if poisoned {
        on_poison(&request.attempt(), &worker.instance());
    }
    sleep_ms(PREFILL_MS);
    if worker.is_down() {
        return Run::Close;
    }
    if poisoned {
        worker.crash();
        on_crash();
        return Run::Crash;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Stamp: {}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.attempt(),
        worker.signature
    );
    let first = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
    let mut out = head.into_bytes();
    for id in first..=10_u64 {
        let event = format!("id: {id}\ndata: token {id}\n\n");
        out.extend(format!("{:x}\r\n{event}\r\n", event.len()).bytes());
        if conn.write(&out).is_err() {
            return Run::Close;
        }
        out.clear();
        sleep_ms(50);
    }
    match conn.write(b"0\r\n\r\n") {
        Ok(()) => Run::Kept,
        Err(_) => Run::Close,
    }
}

fn request(parts: &str) -> String {
    let id = attempt_id();
    format!(
        "POST /draft/1 HTTP/1.1\r\nHost: voka93.example\r\nAttempt-Id: {id}\r\nModel: daka51\r\nToken-Counts: 1290,100\r\nPrompt-Prefix: {parts}\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
    )
}

fn run(dir: PathBuf) -> std::io::Result<i32> {
    let (record, temp) = (Record::new(&dir)?, TempDir::new()?);
    let store = Store::start(loopback_ip(1))?;
    store.put("op/config", Some(&config()));
    let reached: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let mut workers = vec![];
    for number in 0..WORKERS {
        let (record, reached, crashes) = (record.clone(), reached.clone(), crashes.clone());
        let handler = move |worker: &Worker, request: &Message, conn: &mut Conn| {
            let on_poison = |attempt: &str, instance: &str| {
                record.line(format!("worker {instance} gets {attempt}, with the part {POISON}"));
                reached.lock().unwrap().push((record.now(), attempt.to_owned()));
            };
            let on_crash = || {
                record.line(format!("worker {} crashes", worker.instance()));
                crashes.lock().unwrap().push(record.now());
            };
            serve(worker, request, conn, &on_poison, &on_crash)
        };
        let ip = loopback_ip(10 + number);
        workers.push(Worker::start(&number.to_string(), ip, SLOTS, handler)?);
    }
    follow_workers(&store, &workers, 3_000, entry);
    let ips = [2, 3, 4].map(loopback_ip);
    let gateways = start_gateways(&temp.0, &store, &ZONES, &ips)?;
    if !wait_ready(&gateways) {
        record.say("the gateways are not ready");
        return Ok(NOT_RUN);
    }
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    sleep_ms(1_000);
    let start = record.now();
    let mut threads = vec![];
    let sound: Arc<Mutex<Vec<(f64, bool)>>> = Arc::default();
    // Sound streams share the key and the first part.
    for number in 0..130_u64 {
        let (addr, record, sound) = (callers[number as usize % 3], record.clone(), sound.clone());
        threads.push(thread::spawn(move || {
            sleep_ms(number * 170);
            let parts = format!("5c1e07a2:40,{:08x}:900,{:08x}:350", 0xa000 + number % 12, number);
            let sent = record.now();
            let reply = call(addr, &request(&parts), b"text", 6_000);
            let whole = reply.status == 200 && reply.body.ends_with(b"token 10\n\n");
            record.line(format!("sound stream {number}: {} {:?}", reply.status, reply.error));
            sound.lock().unwrap().push((sent, whole));
        }));
    }
    if has_trouble() {
        for at in BATCHES_MS {
            for number in 0..BATCH {
                let (addr, record) = (callers[number % 3], record.clone());
                threads.push(thread::spawn(move || {
                    sleep_ms(at);
                    let other = at * 100 + number as u64;
                    let parts = format!("5c1e07a2:40,{POISON}:410,{other:08x}:250");
                    record.line(format!("request with the part {POISON} sent, batch at {at} ms"));
                    let reply = call(addr, &request(&parts), b"text", 6_000);
                    record.line(format!("its answer: {} {:?}", reply.status, reply.error));
                }));
            }
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let crashes = crashes.lock().unwrap().clone();
    let sound = sound.lock().unwrap().clone();
    let cut = sound.iter().filter(|(_, whole)| !whole).count();
    record.say(format!(
        "{} crashes of workers; {cut} of {} sound streams not whole",
        crashes.len(),
        sound.len()
    ));
    let Some(fifth) = crashes.get(4) else {
        record.say("fewer than five crashes");
        return Ok(if has_trouble() { NOT_RUN } else { HELD });
    };
    let late: std::collections::BTreeSet<String> = reached
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, _)| *at > fifth + CONTACT_S)
        .map(|(_, attempt)| attempt.clone())
        .collect();
    record.say(format!(
        "fifth crash {:.1} s after the start; {} requests with the part reached workers later than contact_ms after it (3 are allowed)",
        fifth - start,
        late.len()
    ));
    Ok(if late.len() > 3 { BROKEN } else { HELD })
}

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let code = run(dir).unwrap_or_else(|error| {
        eprintln!("{error}");
        NOT_RUN
    });
    std::process::exit(code);
}
