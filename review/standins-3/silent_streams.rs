//! A gateway is stopped while workers make a pause in their streams.

mod common;

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

/// Workers and their slots.
const WORKERS: u8 = 4;
const SLOTS: u32 = 16;
/// Streams in progress when the gateway is stopped.
const STREAMS: usize = 24;
/// Events of a stream, and the usual time between two.
const EVENTS: u64 = 20;
const GAP: Duration = Duration::from_millis(60);
/// Time from the first request to the signal, to the pause and to its end.
const STOP_AT: Duration = Duration::from_millis(400);
const PAUSE_AT: Duration = Duration::from_millis(700);
const PAUSE_END: Duration = Duration::from_millis(2_300);
/// Part of the site's 104 retries that is left to each of its 8 gateways, here for two.
const RETRY_EXTRA: f64 = 26.0;
/// Time after the signal in which the rule counts: the grace period and one second.
const COUNTED: Duration = Duration::from_secs(9);

/// When the pause begins and ends, `None` before the streams.
type Pause = Arc<Mutex<Option<(Instant, Instant)>>>;
/// The runs: attempt id, worker, events made, and whether the caller of the worker left.
type Runs = Arc<Mutex<Vec<(String, String, u64, bool)>>>;

fn start_worker(addr: SocketAddr, name: String, pause: &Pause, runs: &Runs) {
    let (pause, runs) = (pause.clone(), runs.clone());
    serve(addr, move |mut stream| {
        let mut rest = vec![];
        while let Ok(request) = read_message(&mut stream, &mut rest) {
            if answer(&mut stream, &request, &name, &pause, &runs).is_err() {
                return;
            }
        }
    });
}

fn answer(
    stream: &mut TcpStream,
    request: &Message,
    name: &str,
    pause: &Pause,
    runs: &Runs,
) -> io::Result<()> {
    let id = request.header("attempt-id");
    if request.header("expect-instance") != name {
        let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
        return write!(stream, "{head}Attempt-Id: {id}\r\n\r\n");
    }
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let index = {
        let mut runs = runs.lock().unwrap();
        runs.push((id.to_owned(), name.to_owned(), after, false));
        runs.len() - 1
    };
    let head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\nContent-Type: text/event-stream\r\n";
    write!(stream, "{head}Transfer-Encoding: chunked\r\nAttempt-Id: {id}\r\n\r\n")?;
    for number in after + 1..=EVENTS {
        let window = *pause.lock().unwrap();
        if let Some((from, until)) = window
            && (from..until).contains(&Instant::now())
        {
            thread::sleep(until - Instant::now());
        }
        let text = format!("id: {number}\ndata: piece {number}\n\n");
        if let Err(error) = write!(stream, "{:x}\r\n{text}\r\n", text.len()) {
            runs.lock().unwrap()[index].3 = true;
            return Err(error);
        }
        runs.lock().unwrap()[index].2 = number;
        thread::sleep(GAP);
    }
    write!(stream, "0\r\n\r\n")
}

/// Asks for a stream; returns the last event and whether the answer is complete.
fn read_stream(callers: SocketAddr, id: &str) -> io::Result<(u64, bool)> {
    let mut stream = TcpStream::connect(callers)?;
    stream.write_all(&request("POST", "/draft/1", id, 6_000, b"names"))?;
    let mut rest = vec![];
    let head = read_head(&mut stream, &mut rest)?;
    if head.status() != 200 {
        return Ok((0, true));
    }
    let mut text = String::new();
    loop {
        let chunk = read_chunk(&mut stream, &mut rest);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        let last = ids.last().unwrap_or(0);
        match chunk {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return Ok((last, true)),
            Err(_) => return Ok((last, false)),
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
    record.line(format!("the workers make a pause of 1,600 ms: {}", !is_calm));
    let platform = free_addr(1);
    let store = Store::start(platform);
    store.put(
        "op/config",
        Some(config(
            1,
            &[Route {
                name: "layout-draft",
                prefix: "/draft/",
                kind: "streaming",
                service: "assist-llm",
                attempts: 3,
                timeout_ms: 6_000,
                aim_ms: 500,
            }],
        )),
    );
    let (pause, runs) = (Pause::default(), Runs::default());
    for number in 0..WORKERS {
        let (addr, name) = (free_addr(2), format!("i-{number}"));
        start_worker(addr, name.clone(), &pause, &runs);
        store.put(&format!("servers/{name}"), Some(entry("assist-llm", addr, SLOTS, unix_ms())));
    }
    let peer_port = free_addr(11).port();
    let settings = |number| GatewaySettings {
        number,
        platform,
        peer_port,
        retry_extra: RETRY_EXTRA,
        restarted: false,
        seeds: vec![SocketAddr::from(([127, 0, 0, 11], 1)), SocketAddr::from(([127, 0, 0, 12], 1))],
    };
    let mut gateway = Gateway::start(&settings(0), &dir);
    let other = Gateway::start(&settings(1), &dir);
    thread::sleep(Duration::from_secs(1));
    let callers = gateway.callers;
    let started = Instant::now();
    if !is_calm {
        *pause.lock().unwrap() = Some((started + PAUSE_AT, started + PAUSE_END));
    }
    let clients: Vec<_> = (0..STREAMS)
        .map(|_| {
            thread::spawn(move || {
                let id = attempt_id();
                let outcome = read_stream(callers, &id).unwrap_or((0, false));
                (id, outcome, Instant::now())
            })
        })
        .collect();
    thread::sleep(STOP_AT);
    gateway.signal("TERM");
    let stopped = Instant::now();
    record.line("SIGTERM to the gateway of the clients");
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let mut lost = 0;
    for (id, (last, is_complete), ended) in &outcomes {
        let runs = runs.lock().unwrap();
        let own: Vec<_> = runs.iter().filter(|run| run.0 == *id).collect();
        let is_cut = !is_complete && !own.is_empty() && *ended < stopped + COUNTED;
        lost += usize::from(is_cut);
        let text = own.iter().map(|run| format!("{} to event {}, left {}", run.1, run.2, run.3));
        record.line(format!(
            "{id}: ended {} ms after the signal with event {last}, complete {is_complete}; runs: {}",
            ended.saturating_duration_since(stopped).as_millis(),
            text.collect::<Vec<_>>().join("; ")
        ));
    }
    let took = Instant::now();
    while gateway.ended().is_none() && took.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(50));
    }
    let end = gateway.ended();
    record.line(format!(
        "the gateway ended {} ms after the signal: {end:?}",
        stopped.elapsed().as_millis()
    ));
    record.line(format!("streams cut without a complete answer: {lost} of {STREAMS}"));
    drop((gateway, other));
    let _ = std::fs::remove_dir_all(&dir);
    println!("silent_streams: {lost} of {STREAMS} streams cut without a complete answer");
    std::process::exit(i32::from(lost > 0));
}
