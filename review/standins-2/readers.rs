//! Many callers that read long answers slowly and keep their connections.

#[path = "stand.rs"]
mod stand;

use std::{
    io::{Read, Write},
    net::TcpStream,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use stand::*;

const KEY: &str = "jnbanfqasnmgkcuyj8pj";
const LONG_BYTES: usize = 24_000;
/// Slow callers; a machine has 4,100 descriptors, of which 3,900 are for sockets.
const READERS: usize = 2_100;
const CONTACT: Duration = Duration::from_secs(3);
const ORDINARY: usize = 8;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"voka93.example","prefix":"/status/","kind":"idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"orders","attempts":2,"public":false,"allowed_regions":[]}}],"services":[{{"name":"orders","health_check_path":"/health","max_connections":110,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["{KEY}"],"priority":1,"allowed_regions":[]}}]}}"#
    )
}

fn entry(worker: &Worker) -> String {
    format!(
        r#"{{"service":"orders","address":"{}","zone":"ost-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
        worker.addr,
        worker.born()
    )
}

fn head(path: &str, rest: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: voka93.example\r\nAttempt-Id: {}\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer {KEY}\r\n{rest}\r\n",
        attempt_id()
    )
}

fn run(dir: PathBuf) -> std::io::Result<i32> {
    let (record, temp) = (Record::new(&dir)?, TempDir::new()?);
    let descriptors = raise_descriptors();
    if descriptors < 4_500 {
        record.say(format!("{descriptors} descriptors are too few for the slow callers"));
        return Ok(NOT_RUN);
    }
    let store = Store::start(loopback_ip(1))?;
    store.put("op/config", Some(&config()));
    let mut workers = vec![];
    for number in 0..3_u8 {
        let handler = |worker: &Worker, request: &Message, conn: &mut Conn| {
            sleep_ms(5);
            let attempt = request.attempt();
            let headers =
                [("Attempt-Id", attempt.as_str()), ("Server-Stamp", worker.signature.as_str())];
            let body = vec![b'a'; if request.path() == "/status/long" { LONG_BYTES } else { 800 }];
            match conn.answer("200 OK", &headers, &body) {
                Ok(()) => Run::Kept,
                Err(_) => Run::Close,
            }
        };
        workers.push(Worker::start(&number.to_string(), loopback_ip(10 + number), 6, handler)?);
    }
    follow_workers(&store, &workers, 2_000, entry);
    let gateways = start_gateways(&temp.0, &store, &["ost-a"], &[loopback_ip(2)])?;
    if !wait_ready(&gateways) {
        record.say("the gateway is not ready");
        return Ok(NOT_RUN);
    }
    let addr = gateways[0].callers;
    sleep_ms(1_000);
    let stop = Stop::default();
    let answers: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut threads = vec![];
    for client in 0..ORDINARY {
        let (stop, answers, record) = (stop.clone(), answers.clone(), record.clone());
        threads.push(thread::spawn(move || {
            while !stop.is_set() {
                let reply = call(
                    addr,
                    &head(&format!("/status/{client}"), "Connection: close\r\n"),
                    b"",
                    2_500,
                );
                match reply.status {
                    0 => record.line(format!("ordinary client {client}: {:?}", reply.error)),
                    _ => answers.lock().unwrap().push(Instant::now()),
                }
                sleep_ms(150);
            }
        }));
    }
    sleep_ms(3_000);
    if has_trouble() {
        let (stop, record) = (stop.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let mut readers: Vec<Option<TcpStream>> = (0..READERS).map(|_| None).collect();
            let mut part = [0; 64];
            let mut round = 0;
            while !stop.is_set() {
                for reader in &mut readers {
                    if reader.is_none()
                        && let Ok(mut stream) =
                            TcpStream::connect_timeout(&addr, Duration::from_millis(300))
                        && stream.write_all(head("/status/long", "").as_bytes()).is_ok()
                        && stream.set_nonblocking(true).is_ok()
                    {
                        *reader = Some(stream);
                    }
                    let ended =
                        reader.as_mut().is_some_and(|stream| match stream.read(&mut part) {
                            Ok(read) => read == 0,
                            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
                        });
                    if ended {
                        *reader = None;
                    }
                }
                let open = readers.iter().flatten().count();
                record.line(format!("round {round}: {open} slow callers are connected"));
                round += 1;
                sleep_ms(200);
            }
        }));
    }
    let begin = Instant::now();
    let (mut ready_since, mut longest) = (Instant::now(), Duration::ZERO);
    while begin.elapsed() < Duration::from_secs(40) {
        sleep_ms(100);
        if !is_ready(&gateways[0]) {
            record.line("not ready");
            ready_since = Instant::now();
        }
        let last = answers.lock().unwrap().last().copied().unwrap_or(begin);
        let gap = last.max(ready_since).elapsed();
        if gap > longest {
            longest = gap;
        }
    }
    stop.set();
    for thread in threads {
        let _ = thread.join();
    }
    record.say(format!(
        "longest time in which a ready gateway answered none of {ORDINARY} ordinary clients on new connections: {:.1} s (contact_ms is 3 s); {} answers to them",
        longest.as_secs_f64(),
        answers.lock().unwrap().len()
    ));
    Ok(if longest > CONTACT { BROKEN } else { HELD })
}

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let code = run(dir).unwrap_or_else(|error| {
        eprintln!("{error}");
        NOT_RUN
    });
    std::process::exit(code);
}
