//! A worker spoils the id of one event of a stream, behind sound events in the same chunk.

#[path = "../standins-3/common.rs"]
mod common;

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use common::*;

/// Events of a stream.
const EVENTS: u64 = 12;
/// Events that a worker writes together.
const STRIDE: u64 = 3;
/// Pause between two writes.
const PAUSE: Duration = Duration::from_millis(20);
/// Streams of the faulty worker of which the last one is spoilt.
const STREAMS: usize = 50;
/// Clients, and streams that each asks for.
const CLIENTS: usize = 4;
const STREAMS_EACH: usize = 60;
/// The last sound event of a spoilt stream.
const LAST_SOUND: u64 = 5;

type Runs = Arc<Mutex<Vec<(String, u64)>>>;

fn start_worker(
    addr: SocketAddr,
    name: &'static str,
    is_faulty: bool,
    runs: &Runs,
    record: &Record,
) {
    let (runs, record) = (runs.clone(), record.clone());
    serve(addr, move |mut stream| {
        let mut rest = vec![];
        while let Ok(request) = read_message(&mut stream, &mut rest) {
            if answer(&mut stream, &request, name, is_faulty, &runs, &record).is_err() {
                return;
            }
        }
    });
}

fn answer(
    stream: &mut TcpStream,
    request: &Message,
    name: &str,
    is_faulty: bool,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    let id = request.header("attempt-id");
    if request.header("expect-instance") != name {
        let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
        return write!(stream, "{head}Attempt-Id: {id}\r\n\r\n");
    }
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let count = {
        let mut runs = runs.lock().unwrap();
        runs.push((id.to_owned(), after));
        runs.len()
    };
    let is_spoilt = is_faulty && after == 0 && count % STREAMS == 0;
    if after > 0 || is_spoilt {
        record.line(format!("{name}: runs {id} from event {}, spoilt {is_spoilt}", after + 1));
    }
    let head = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\nContent-Type: text/event-stream\r\n";
    write!(stream, "{head}Transfer-Encoding: chunked\r\nAttempt-Id: {id}\r\n\r\n")?;
    let numbers: Vec<u64> = (after + 1..=EVENTS).collect();
    for group in numbers.chunks(STRIDE as usize) {
        let event = |number: &u64| {
            // One wrong byte: the id of the event behind the last sound one.
            let shown = if is_spoilt && *number == LAST_SOUND + 1 { 1 } else { *number };
            format!("id: {shown}\ndata: piece {number}\n\n")
        };
        let text: String = group.iter().map(event).collect();
        write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        thread::sleep(PAUSE);
    }
    write!(stream, "0\r\n\r\n")
}

/// Asks for a stream and returns the numbers of its pieces and whether it ended as complete.
fn read_stream(callers: SocketAddr, id: &str) -> io::Result<(Vec<u64>, bool)> {
    let mut stream = TcpStream::connect(callers)?;
    stream.write_all(&request("POST", "/draft/1", id, 6_000, b"names"))?;
    let mut rest = vec![];
    let head = read_head(&mut stream, &mut rest)?;
    if head.status() != 200 {
        return Ok((vec![], false));
    }
    let mut text = String::new();
    let is_complete = loop {
        match read_chunk(&mut stream, &mut rest) {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let pieces = text.lines().filter_map(|line| line.strip_prefix("data: piece ")?.parse().ok());
    Ok((pieces.collect(), is_complete))
}

fn main() {
    let (case, dir, is_calm) = case_dirs(12);
    let record = Record::create(&case.join("record.txt"));
    record.line(format!("one worker of two spoils an event id: {}", !is_calm));
    let platform = free_addr(1);
    let store = Store::start(platform);
    let (first_runs, second_runs) = (Runs::default(), Runs::default());
    let (first, second) = (free_addr(2), free_addr(3));
    start_worker(first, "i-first", !is_calm, &first_runs, &record);
    start_worker(second, "i-second", false, &second_runs, &record);
    store.put(
        "op/config",
        Some(config(
            1,
            &[Route {
                name: "layout-draft",
                prefix: "/draft/",
                kind: "streaming",
                service: "assist-llm",
                attempts: 2,
                timeout_ms: 6_000,
                aim_ms: 500,
            }],
        )),
    );
    store.put("servers/i-first", Some(entry("assist-llm", first, 16, unix_ms())));
    store.put("servers/i-second", Some(entry("assist-llm", second, 16, unix_ms())));
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let (mut whole, mut wrong) = (0, 0);
                for _ in 0..STREAMS_EACH {
                    let id = attempt_id();
                    let (pieces, is_complete) = read_stream(callers, &id).unwrap_or_default();
                    if pieces.iter().copied().eq(1..=EVENTS) && is_complete {
                        whole += 1;
                    } else {
                        let is_wrong = is_complete && !pieces.is_empty();
                        wrong += usize::from(is_wrong);
                        record.line(format!(
                            "client: {id} got {pieces:?}, ends as complete {is_complete}"
                        ));
                    }
                }
                (whole, wrong)
            })
        })
        .collect();
    let results: Vec<(usize, usize)> =
        clients.into_iter().map(|client| client.join().unwrap()).collect();
    let whole: usize = results.iter().map(|(whole, _)| whole).sum();
    let wrong: usize = results.iter().map(|(_, wrong)| wrong).sum();
    let (first_count, second_count) =
        (first_runs.lock().unwrap().len(), second_runs.lock().unwrap().len());
    record.line(format!("runs: {first_count} and {second_count}; streams: {whole} whole"));
    record.line(format!("streams that end as complete and lack pieces: {wrong}"));
    drop(gateway);
    let _ = std::fs::remove_dir_all(&dir);
    println!("case 12: {wrong} streams end as complete and lack pieces, {whole} are whole");
    std::process::exit(match (wrong, whole) {
        (_, 0) => 2,
        (0, _) => 0,
        _ => 1,
    });
}
