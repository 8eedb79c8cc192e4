//! A worker spoils one digit of a status line: 200 becomes 204, which has no body.

#[path = "../standins-3/common.rs"]
mod common;

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use common::*;

/// Answers of the faulty worker of which the last one is spoilt.
const ANSWERS: usize = 50;
/// Clients, and lookups that each sends over kept connections.
const CLIENTS: usize = 4;
const LOOKUPS: usize = 100;
/// The body of an answer.
const BODY: &str = "order 4711 of workshop 12: etched";
/// Time for which a client waits for bytes behind an answer without a body.
const QUIET_TIME: Duration = Duration::from_millis(150);

fn start_worker(addr: SocketAddr, name: &'static str, is_faulty: bool, record: &Record) {
    let (record, count) = (record.clone(), Arc::new(Mutex::new(0)));
    serve(addr, move |mut stream| {
        let mut rest = vec![];
        while let Ok(request) = read_message(&mut stream, &mut rest) {
            let id = request.header("attempt-id");
            if request.header("expect-instance") != name {
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
                let _ = write!(stream, "{head}Attempt-Id: {id}\r\n\r\n");
                continue;
            }
            let number = {
                let mut count = count.lock().unwrap();
                *count += 1;
                *count
            };
            let is_spoilt = is_faulty && number % ANSWERS == 0;
            if is_spoilt {
                record.line(format!("{name}: answers {id} with 204 for 200, one wrong byte"));
            }
            let status = if is_spoilt { 204 } else { 200 };
            let text = format!(
                "HTTP/1.1 {status} OK\r\nServer-Stamp: 3e1b.07\r\nContent-Length: {}\r\n\
                 Attempt-Id: {id}\r\n\r\n{BODY}",
                BODY.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// What a client saw on its connections.
#[derive(Default)]
struct Seen {
    sound: usize,
    /// Successes without a body that were followed by bytes with no request waiting.
    stray: usize,
    other: usize,
}

/// Sends a lookup over a kept connection and judges the answer; fails if the connection is of no
/// more use.
fn look_up(stream: &mut TcpStream, seen: &mut Seen, record: &Record) -> io::Result<()> {
    let (id, mut rest) = (attempt_id(), vec![]);
    stream.write_all(&request("GET", "/order/4711", &id, 2_500, b""))?;
    let head = read_head(stream, &mut rest)?;
    if head.status() == 204 {
        // The answer ends with its head, whatever its fields say (RFC 9112, 6.3).
        stream.set_read_timeout(Some(QUIET_TIME))?;
        let mut piece = [0; 1_024];
        if rest.is_empty()
            && let Ok(count) = stream.read(&mut piece)
        {
            rest.extend_from_slice(&piece[..count]);
        }
        let text = String::from_utf8_lossy(&rest).into_owned();
        record.line(format!(
            "client: {id} is answered 204, stamp {:?}; with no request waiting the connection \
             brings {text:?}",
            head.header("server-stamp")
        ));
        seen.stray += usize::from(!rest.is_empty());
        return Err(io::Error::other("stray bytes"));
    }
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    while rest.len() < length {
        let mut piece = [0; 1_024];
        match stream.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => rest.extend_from_slice(&piece[..count]),
        }
    }
    if head.status() == 200 && rest == BODY.as_bytes() {
        seen.sound += 1;
    } else {
        seen.other += 1;
        record.line(format!("client: {id} is answered {}", head.status()));
    }
    Ok(())
}

fn main() {
    let (case, dir, is_calm) = case_dirs(15);
    let record = Record::create(&case.join("record.txt"));
    record.line(format!("one worker of two spoils a status: {}", !is_calm));
    let platform = free_addr(1);
    let store = Store::start(platform);
    let (first, second) = (free_addr(2), free_addr(3));
    start_worker(first, "i-first", !is_calm, &record);
    start_worker(second, "i-second", false, &record);
    store.put(
        "op/config",
        Some(config(
            1,
            &[Route {
                name: "order-lookup",
                prefix: "/order/",
                kind: "idempotent",
                service: "orders",
                attempts: 2,
                timeout_ms: 1_200,
                aim_ms: 150,
            }],
        )),
    );
    store.put("servers/i-first", Some(entry("orders", first, 6, unix_ms())));
    store.put("servers/i-second", Some(entry("orders", second, 6, unix_ms())));
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
                let (mut seen, mut kept) = (Seen::default(), None);
                for _ in 0..LOOKUPS {
                    let mut stream = match kept.take() {
                        Some(stream) => stream,
                        None => TcpStream::connect(callers).expect("the gateway"),
                    };
                    if look_up(&mut stream, &mut seen, &record).is_ok() {
                        kept = Some(stream);
                    }
                }
                seen
            })
        })
        .collect();
    let seen: Vec<Seen> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let sum = |pick: fn(&Seen) -> usize| seen.iter().map(pick).sum::<usize>();
    let (sound, stray, other) =
        (sum(|seen| seen.sound), sum(|seen| seen.stray), sum(|seen| seen.other));
    record.line(format!(
        "{sound} sound answers, {stray} with stray bytes behind them, {other} others"
    ));
    drop(gateway);
    let _ = std::fs::remove_dir_all(&dir);
    println!("case 15: {stray} answers with bytes behind them that are no answer, {sound} sound");
    std::process::exit(match (stray, sound) {
        (_, 0) => 2,
        (0, _) => 0,
        _ => 1,
    });
}
